//! Confirmation of writes, one mechanism a test.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use decide::commit::{Commits, Resolved};
use decide::event::ProbeResult;
use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Settings, View};
use model::config::CommitRule;
use model::{
    Announcement, FIRST_TRAFFIC, HostInfo, InstanceStatus, Position, Role, ServiceId, Term,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DEADLINE: Duration = Duration::from_secs(1);

/// A question that was sent: its number, the instance, and the rest.
type Asked = (QueryId, String, UpstreamQuery, bool);

struct Bench {
    now: Instant,
    view: View,
    commits: Commits,
    asked: Vec<Asked>,
}

impl Bench {
    fn new(size: u8) -> Self {
        let mut view = View::default();
        let service: ServiceId = "appt".into();
        let mut known = ServiceView {
            primary: Some((2, "db-1".into())),
            upstreams: Vec::new(),
            group_size: size,
        };
        for number in 1..=size {
            let upstream = format!("db-{number}");
            known.upstreams.push(upstream.as_str().into());
            let announcement = Announcement {
                upstream: upstream.as_str().into(),
                service: service.clone(),
                addr: "127.0.0.1:5432".parse().expect("an address"),
                data_centre: "spn".into(),
                group_size: size,
                slots: 3,
                connections: 50,
                sequence: 1,
                incarnation: 0,
                role: None,
                warming: false,
                draining: false,
                leaving: false,
            };
            let owners = Vec::new();
            let seen = UpstreamView {
                announcement,
                owners,
            };
            view.upstreams.insert(upstream.into(), seen);
        }
        view.services.insert(service, known);
        Self {
            now: Instant::now(),
            view,
            commits: Commits::new(),
            asked: Vec::new(),
        }
    }

    fn with<T>(&mut self, f: impl FnOnce(&mut Commits, &mut Cx<'_>, &View) -> T) -> T {
        let me = HostInfo {
            host: "spn-1".into(),
            data_centre: "spn".into(),
            peer_addr: "127.0.0.1:7000".parse().expect("an address"),
            incarnation: 1,
            traffic_parts: 1,
            entry: true,
            control: false,
            leaving: false,
        };
        let (mut effects, mut raised) = (Vec::new(), VecDeque::new());
        let mut cx = Cx {
            now: self.now,
            me: &me,
            part: FIRST_TRAFFIC,
            settings: &Settings::default(),
            rng: &mut SmallRng::seed_from_u64(1),
            effects: &mut effects,
            raised_events: &mut raised,
        };
        let out = f(&mut self.commits, &mut cx, &self.view);
        for effect in effects {
            let Effect::QueryUpstream {
                id,
                upstream,
                query,
                new_connection: fresh,
                ..
            } = effect
            else {
                panic!("unexpected effect {effect:?}");
            };
            self.asked.push((id, upstream.to_string(), query, fresh));
        }
        out
    }

    fn wait(&mut self, ticket: u64, rule: CommitRule, offset: u64) -> Vec<Resolved> {
        let end = self.now + DEADLINE;
        self.with(|commits, cx, view| {
            let (service, primary) = ("appt".into(), "db-1".into());
            let position = Position::new(2, offset);
            commits.wait(cx, view, ticket, &service, rule, &primary, position, end)
        })
    }

    /// Answers the oldest question to an instance.
    fn tell(&mut self, upstream: &str, result: Result<QueryReply, QueryError>) -> Vec<Resolved> {
        let place = self.asked.iter().position(|asked| asked.1 == upstream);
        let (id, ..) = self.asked.remove(place.expect("a question"));
        self.with(|commits, cx, _| commits.on_query_reply(cx, id, result))
    }

    fn probed(
        &mut self,
        upstream: &str,
        status: Option<InstanceStatus>,
        asked_at: Instant,
    ) -> Vec<Resolved> {
        let probed = ProbeResult {
            upstream: upstream.into(),
            status,
            asked_at,
            claim: None,
        };
        self.with(|commits, cx, view| commits.on_probed(cx, view, &probed))
    }

    fn can_confirm(&mut self) -> bool {
        self.with(|commits, cx, view| commits.can_confirm(cx, view, &"appt".into()))
    }
}

fn status(role: Role, term: Term, log_term: Term, offset: u64) -> InstanceStatus {
    InstanceStatus {
        role,
        term,
        position: Position::new(log_term, offset),
        lag: Duration::ZERO,
    }
}

fn told(term: Term, log_term: Term, offset: u64) -> Result<QueryReply, QueryError> {
    Ok(QueryReply {
        paused_term: 0,
        status: status(Role::Replica, term, log_term, offset),
        granted: true,
        claim: None,
    })
}

fn settled(ticket: u64, confirmed: bool) -> Resolved {
    Resolved { ticket, confirmed }
}

#[test]
fn a_single_instance_confirms_at_once() {
    let mut bench = Bench::new(1);
    let resolved = bench.wait(7, CommitRule::Replicated, 10);
    assert_eq!(resolved, [settled(7, true)]);
    assert!(bench.asked.is_empty());
}

#[test]
fn one_question_to_each_replica_serves_all_writes() {
    let mut bench = Bench::new(3);
    for ticket in [10, 11, 12] {
        assert!(
            bench
                .wait(ticket, CommitRule::Replicated, ticket)
                .is_empty()
        );
    }
    assert_eq!(bench.asked.len(), 2);
    for (_, _, ask, _) in &bench.asked {
        let lowest = Position::new(2, 10);
        assert!(matches!(ask, UpstreamQuery::Status { wait_for: Some((at, _)) } if *at == lowest));
    }
    let resolved = bench.tell("db-2", told(2, 2, 11));
    assert_eq!(resolved, [settled(10, true), settled(11, true)]);
    let (_, upstream, ask, _) = &bench.asked[1];
    assert_eq!(upstream, "db-2");
    let next = Position::new(2, 12);
    assert!(matches!(ask, UpstreamQuery::Status { wait_for: Some((at, _)) } if *at == next));
}

#[test]
fn a_higher_offset_of_another_term_confirms_nothing() {
    let mut bench = Bench::new(3);
    bench.wait(1, CommitRule::Replicated, 10);
    assert!(bench.tell("db-2", told(2, 1, 99)).is_empty());
    // It has the write but has promised another term, and one of two is still open.
    assert!(bench.tell("db-2", told(3, 2, 10)).is_empty());
    assert_eq!(bench.tell("db-3", told(2, 2, 10)), [settled(1, true)]);
}

#[test]
fn a_write_is_given_up_once_no_majority_is_left() {
    let mut bench = Bench::new(3);
    bench.wait(1, CommitRule::Replicated, 10);
    assert!(bench.tell("db-2", told(3, 2, 9)).is_empty());
    assert_eq!(bench.tell("db-3", told(3, 2, 9)), [settled(1, false)]);
}

#[test]
fn a_write_is_given_up_once_its_primary_is_succeeded() {
    let mut bench = Bench::new(3);
    bench.wait(1, CommitRule::Replicated, 10);
    let successor = status(Role::Primary, 3, 3, 11);
    let now = bench.now;
    let resolved = bench.probed("db-2", Some(successor), now);
    assert_eq!(resolved, [settled(1, false)]);
}

#[test]
fn a_view_with_a_successor_ends_the_wait() {
    let mut bench = Bench::new(3);
    bench.wait(1, CommitRule::Replicated, 10);
    let known = bench.view.services.get_mut("appt").expect("the service");
    known.primary = Some((3, "db-2".into()));
    let resolved = bench.with(|commits, cx, view| commits.on_view(cx, view));
    assert_eq!(resolved, [settled(1, false)]);
}

#[test]
fn a_write_is_given_up_at_its_deadline() {
    let mut bench = Bench::new(3);
    bench.wait(1, CommitRule::Replicated, 10);
    assert_eq!(bench.commits.wake_at(), Some(bench.now + DEADLINE));
    bench.now += DEADLINE;
    let resolved = bench.with(|commits, cx, _| commits.on_tick(cx));
    assert_eq!(resolved, [settled(1, false)]);
    assert_eq!(bench.commits.wake_at(), None);
}

#[test]
fn under_rule_primary_only_later_statuses_count() {
    let mut bench = Bench::new(3);
    let before = bench.now;
    bench.now += Duration::from_millis(1);
    bench.wait(1, CommitRule::Primary, 10);
    let old = status(Role::Replica, 2, 2, 5);
    assert!(bench.probed("db-3", Some(old), before).is_empty());
    assert!(matches!(
        bench.asked[0].2,
        UpstreamQuery::Status { wait_for: None }
    ));
    assert_eq!(bench.tell("db-2", told(2, 2, 5)), [settled(1, true)]);
}

#[test]
fn a_silent_replica_is_asked_again_on_a_new_connection() {
    let mut bench = Bench::new(3);
    bench.wait(1, CommitRule::Replicated, 10);
    bench.tell("db-2", Err(QueryError::Silent));
    let (_, upstream, _, fresh) = bench.asked.last().expect("a question");
    assert_eq!((upstream.as_str(), *fresh), ("db-2", true));
    // That failed too: it waits before it asks again.
    bench.tell("db-2", Err(QueryError::Unreachable));
    assert!(bench.commits.wake_at().is_some_and(|at| at > bench.now));
}

#[test]
fn writes_are_refused_up_front_without_a_majority() {
    let mut bench = Bench::new(3);
    assert!(bench.can_confirm(), "nothing is known to speak against it");
    let now = bench.now;
    bench.probed("db-2", None, now);
    assert!(bench.can_confirm(), "two of three are left");
    bench.probed("db-3", Some(status(Role::Replica, 3, 2, 9)), now);
    assert!(!bench.can_confirm(), "db-3 has promised a higher term");
    bench.probed("db-2", Some(status(Role::Replica, 2, 2, 9)), now);
    assert!(bench.can_confirm(), "db-2 is back");
    bench.now += Duration::from_secs(5);
    assert!(!bench.can_confirm(), "nothing has been heard for long");
}
