//! Acknowledgements of commits while the leader of consensus replaces a primary.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::time::Duration;

use bytes::Bytes;
use decide::conn::{ConnEvent, RunOutcome};
use decide::owner::CapacitySource;
use decide::owner::ack_gate::AckStopMsg;
use decide::relay::{RelayMsg, RunRequest};
use decide::{Effect, Event, Msg, Settings};
use model::{ConnId, Kind, PartAddr, Position, TxStatus, Verdict};
use traffic_harness::{Harness, first_run, take_addressed_msgs, two_owner_harness};

/// An owner of the instance, and the request that its callers' host sends.
struct Owner {
    harness: Harness,
    run: RunRequest,
}

fn entry_part() -> PartAddr {
    PartAddr {
        host: "h2".into(),
        part: 1,
    }
}

fn leader(host: &str) -> PartAddr {
    PartAddr {
        host: host.into(),
        part: model::CONTROL_PART,
    }
}

impl Owner {
    fn new() -> Self {
        let mut settings = Settings::default();
        settings.owner.capacity = CapacitySource::Announced;
        let mut harness = two_owner_harness(settings);
        harness.request(|req| req.kind = Kind::Write);
        let (_, run) = first_run(&take_addressed_msgs(&mut harness));
        let up = harness.view.upstreams.get_mut("i1").unwrap();
        up.owners = vec!["h1".into()];
        harness.publish_view();
        Self { harness, run }
    }

    /// Runs a write that the instance commits at a position, and returns the verdict.
    fn write(&mut self, term: u64, number: u64) -> Verdict {
        self.run(TxStatus::Idle, Position::new(term, number)).0
    }

    /// Runs a request, and returns the verdict and the connection that a transaction keeps.
    fn run(
        &mut self,
        tx: TxStatus,
        position: impl Into<Option<Position>>,
    ) -> (Verdict, Option<ConnId>) {
        let position = position.into();
        let from = entry_part();
        self.run.id += 1;
        let msg = Msg::Relay(RelayMsg::Run(Box::new(self.run.clone())));
        self.harness.handle(Event::Peer { from, msg });
        loop {
            let effects: Vec<Effect> = self.harness.effects.drain(..).collect();
            assert!(!effects.is_empty(), "the request has no answer");
            for effect in effects {
                match effect {
                    Effect::OpenConn { conn, .. } => {
                        self.harness.handle(Event::Conn(ConnEvent::Opened { conn }));
                    }
                    Effect::RunOnConn { conn, .. } => {
                        let outcome = RunOutcome {
                            payload: Bytes::new(),
                            tx,
                            rejected: None,
                            position,
                            status_before: None,
                            status_after: None,
                        };
                        let done = ConnEvent::Done { conn, outcome };
                        self.harness.handle(Event::Conn(done));
                    }
                    Effect::Send {
                        msg: Msg::Relay(RelayMsg::Answer { answer, pin, .. }),
                        ..
                    } => return (answer.verdict, pin),
                    _ => {}
                }
            }
        }
    }

    /// Runs a transaction with one statement, and returns the verdict of its `COMMIT`.
    fn commit_transaction(&mut self, statement: Kind, number: u64) -> Verdict {
        (self.run.req.in_transaction, self.run.req.kind) = (true, statement);
        let (_, pin) = self.run(TxStatus::Open, Position::new(1, number));
        (self.run.pin, self.run.req.kind) = (pin, Kind::Write);
        let (verdict, _) = self.run(TxStatus::Idle, Position::new(1, number));
        (self.run.pin, self.run.req.in_transaction) = (None, false);
        verdict
    }

    /// Gives the part a message of a control host, and returns the answer.
    fn tell(&mut self, host: &str, msg: AckStopMsg) -> AckStopMsg {
        self.harness.effects.clear();
        let (from, msg) = (leader(host), Msg::AckStop(msg));
        self.harness.handle(Event::Peer { from, msg });
        let mut sent = self
            .harness
            .effects
            .drain(..)
            .filter_map(|effect| match effect {
                Effect::Send {
                    msg: Msg::AckStop(msg),
                    to,
                } => Some((to, msg)),
                _ => None,
            });
        let (to, msg) = sent.next().unwrap();
        assert_eq!(to, leader(host));
        msg
    }
}

fn stop(term: u64, round: u64) -> AckStopMsg {
    AckStopMsg::Stop {
        service: "ledger".into(),
        term,
        round,
    }
}

fn allow(round: u64) -> AckStopMsg {
    AckStopMsg::Allow {
        service: "ledger".into(),
        round,
    }
}

/// Guards against a commit that a caller is told of after the successor was chosen.
#[test]
fn a_commit_of_a_stopped_term_is_not_acknowledged() {
    let mut owner = Owner::new();
    assert_eq!(owner.write(1, 7), Verdict::Ran);
    let stopped = owner.tell("c1", stop(1, 4));
    let expected = AckStopMsg::Stopped {
        service: "ledger".into(),
        round: 4,
        incarnation: 1,
        passed_on: Position::new(1, 7),
    };
    assert_eq!(stopped, expected);
    assert_eq!(owner.write(1, 8), Verdict::MayHaveRun);
    assert_eq!(owner.write(2, 8), Verdict::Ran);
}

#[test]
fn commits_are_acknowledged_again_once_the_stop_has_ended() {
    let mut owner = Owner::new();
    owner.tell("c1", stop(1, 4));
    owner.tell("c1", allow(4));
    assert_eq!(owner.write(1, 8), Verdict::Ran);
    owner.tell("c1", stop(1, 5));
    for _ in 0..21 {
        owner.harness.now += Duration::from_secs(1);
        owner.harness.handle(Event::Tick);
    }
    owner.harness.effects.clear();
    assert_eq!(owner.write(1, 9), Verdict::Ran);
}

/// Guards against a former leader that ends the stop of the present one.
#[test]
fn a_stop_is_ended_only_by_the_host_that_asked_for_it() {
    let mut owner = Owner::new();
    owner.tell("c1", stop(1, 4));
    owner.tell("c2", allow(9));
    owner.tell("c1", allow(3));
    assert_eq!(owner.write(1, 8), Verdict::MayHaveRun);
}

/// Guards against a service without a primary: the `COMMIT` of a transaction that wrote nothing
/// carries the position of a log that no replica may ever receive.
#[test]
fn only_commits_of_transactions_that_have_written_count() {
    let mut owner = Owner::new();
    assert_eq!(owner.commit_transaction(Kind::Write, 7), Verdict::Ran);
    assert_eq!(owner.commit_transaction(Kind::Read, 90), Verdict::Ran);
    let stopped = owner.tell("c1", stop(1, 4));
    assert!(
        matches!(&stopped, AckStopMsg::Stopped { passed_on, .. } if *passed_on == Position::new(1, 7)),
        "{stopped:?}"
    );
    assert_eq!(owner.commit_transaction(Kind::Read, 90), Verdict::Ran);
    let verdict = owner.commit_transaction(Kind::Write, 8);
    assert_eq!(verdict, Verdict::MayHaveRun);
}

/// Guards against a lost commit whose answer doesn't say where it stands in the log.
#[test]
fn a_commit_without_a_position_is_not_acknowledged_during_a_stop() {
    let mut owner = Owner::new();
    assert_eq!(owner.run(TxStatus::Idle, None).0, Verdict::Ran);
    owner.tell("control-1", stop(1, 1));
    assert_eq!(owner.run(TxStatus::Idle, None).0, Verdict::MayHaveRun);
}
