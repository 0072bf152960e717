//! Promises, promotions and refused writes, tested on the reducer without I/O.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::engine::Engine;
use standin::engine::event::{Effect, Event, Reply};
use standin::sql::parse::parse;
use standin::sql::{Output, SqlError};
use standin::{Credentials, FaultCommand, InstanceConfig, Login};

/// An instance whose clock the test advances, with one connection logged in.
struct TestInstance {
    engine: Engine,
    now: Instant,
}

impl TestInstance {
    fn start(cfg: InstanceConfig) -> Self {
        let now = Instant::now();
        let addr = cfg.listen;
        let engine = Engine::start(Arc::new(cfg), addr, 0, now, &mut Vec::new());
        let mut instance = Self { engine, now };
        let Credentials { user, password } = Credentials::default();
        let login = Login {
            user,
            password,
            params: Vec::new(),
        };
        instance.reduce(Event::Login(1, login));
        instance.advance_clock();
        instance
    }

    fn reduce(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.engine.reduce(self.now, event, &mut effects);
        effects
    }

    /// Advances the clock by more than the connect time and the statement time.
    fn advance_clock(&mut self) -> Vec<Effect> {
        self.now += Duration::from_millis(50);
        self.reduce(Event::Tick)
    }

    fn run(&mut self, sql: &str) -> Result<Output, SqlError> {
        let stmt = parse(sql).expect("the statement parses").remove(0);
        let mut effects = self.reduce(Event::RunStmt(1, stmt));
        effects.extend(self.advance_clock());
        effects
            .into_iter()
            .find_map(|effect| match effect {
                Effect::Reply(1, Reply::StmtDone { result, .. }) => Some(result),
                _ => None,
            })
            .expect("the statement is answered")
    }

    /// Calls a `caraway.*` function and returns `role term log_term granted`.
    fn call(&mut self, call: &str) -> String {
        let output = self
            .run(&format!("SELECT * FROM caraway.{call}"))
            .expect("the call is answered");
        [0, 1, 2, 5]
            .map(|at| output.rows[0][at].to_text().expect("no null").to_string())
            .join(" ")
    }

    fn write(&mut self, key: &str) -> Result<(), &'static str> {
        self.run(&format!("INSERT INTO kv VALUES ('{key}', '')"))
            .map(drop)
            .map_err(|error| error.code)
    }
}

#[test]
fn a_term_is_promised_once_and_only_upwards() {
    let mut instance = TestInstance::start(InstanceConfig::default());
    assert_eq!(instance.call("status(0, 0, 0)"), "primary 1 1 t");
    assert_eq!(instance.call("promise(1, 'a')"), "primary 1 1 f");
    assert_eq!(instance.call("promise(3, 'a')"), "replica 3 1 t");
    assert_eq!(instance.call("promise(3, 'a')"), "replica 3 1 t");
    assert_eq!(instance.call("promise(3, 'b')"), "replica 3 1 f");
    assert_eq!(instance.call("promise(2, 'b')"), "replica 3 1 f");
    assert_eq!(instance.call("promise(4, 'b')"), "replica 4 1 t");
}

#[test]
fn only_the_promised_candidate_promotes_and_a_repeat_changes_nothing() {
    let mut instance = TestInstance::start(InstanceConfig::default());
    assert_eq!(instance.call("promote(2, 'a')"), "primary 1 1 f");
    instance.call("promise(2, 'a')");
    assert_eq!(instance.call("promote(2, 'b')"), "replica 2 1 f");
    assert_eq!(instance.call("promote(2, 'a')"), "primary 2 2 t");
    let position = instance.engine.report().position;
    assert_eq!(instance.call("promote(2, 'a')"), "primary 2 2 t");
    assert_eq!(instance.engine.report().position, position);
    let primaries = instance.engine.report().primaries;
    assert_eq!(primaries, [(1, "u1".into()), (2, "u1".into())]);
}

#[test]
fn a_follower_of_a_term_is_never_promoted_in_it() {
    let mut instance = TestInstance::start(InstanceConfig::default());
    instance.call("promise(2, 'a')");
    assert_eq!(
        instance.call("follow(1, 'u2', '127.0.0.1:1')"),
        "replica 2 1 f"
    );
    assert_eq!(
        instance.call("follow(2, 'u2', '127.0.0.1:1')"),
        "replica 2 1 t"
    );
    assert_eq!(instance.call("promote(2, 'a')"), "replica 2 1 f");
}

#[test]
fn a_primary_follows_itself_but_nobody_else_in_its_term() {
    let mut instance = TestInstance::start(InstanceConfig::default());
    assert_eq!(
        instance.call("follow(1, 'u1', '127.0.0.1:1')"),
        "primary 1 1 t"
    );
    assert_eq!(
        instance.call("follow(1, 'u2', '127.0.0.1:1')"),
        "primary 1 1 f"
    );
    assert_eq!(
        instance.call("follow(2, 'u2', '127.0.0.1:1')"),
        "replica 2 1 t"
    );
}

#[test]
fn writes_stop_with_a_higher_promise_also_inside_a_transaction() {
    let mut instance = TestInstance::start(InstanceConfig::default());
    assert_eq!(instance.write("x"), Ok(()));
    instance.run("BEGIN").expect("begins");
    assert_eq!(instance.write("y"), Ok(()));
    instance.call("promise(2, 'a')");
    let refused = instance.run("COMMIT").expect_err("is refused");
    assert_eq!(refused.code, "25006");
    assert_eq!(instance.write("z"), Err("25006"));
    assert_eq!(instance.engine.report().kv.len(), 1);
    instance.call("promote(2, 'a')");
    assert_eq!(instance.write("y"), Ok(()));
}

#[test]
fn a_restart_keeps_promises_and_the_log() {
    let mut instance = TestInstance::start(InstanceConfig::default());
    instance.write("x").expect("writes");
    instance.call("promise(2, 'a')");
    let cfg = InstanceConfig {
        restart: Some(instance.engine.restart_state()),
        ..InstanceConfig::default()
    };
    let mut instance = TestInstance::start(cfg);
    assert_eq!(instance.call("status(0, 0, 0)"), "replica 2 1 t");
    assert_eq!(instance.call("promise(2, 'b')"), "replica 2 1 f");
    assert_eq!(instance.call("promote(2, 'a')"), "primary 2 2 t");
    assert_eq!(instance.engine.report().kv.len(), 1);
}

#[test]
fn a_frozen_instance_goes_on_where_it_halted() {
    let mut instance = TestInstance::start(InstanceConfig::default());
    instance.reduce(Event::InjectFault(FaultCommand::SetFrozen(true)));
    assert_eq!(instance.engine.wake_at(), None);
    let stmt = parse("INSERT INTO kv VALUES ('x', '')")
        .expect("parses")
        .remove(0);
    assert!(instance.reduce(Event::RunStmt(1, stmt)).is_empty());
    assert!(instance.advance_clock().is_empty());
    instance.reduce(Event::InjectFault(FaultCommand::SetFrozen(false)));
    let effects = instance.advance_clock();
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Reply(1, _)))
    );
    assert_eq!(instance.engine.report().kv.len(), 1);
}
