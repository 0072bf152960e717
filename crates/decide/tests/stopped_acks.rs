//! Acknowledgements of commits while the leader of consensus replaces a primary.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decide::ack_lease::{AckLease, AckStopList, first_number};
use decide::authority::AuthorityKind;
use decide::conn::{ConnEvent, RunOutcome};
use decide::owner::CapacitySource;
use decide::owner::ack_gate::AckStopMsg;
use decide::relay::{Bounce, RelayMsg, RunRequest};
use decide::upstream_query::QueryReply;
use decide::{Effect, Event, Msg, Settings};
use model::{ConnId, InstanceStatus, Kind, PartAddr, Position, Role, TxStatus, Verdict};
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

/// How long the leader's leases last in the tests that need them.
const ACK_LEASE: Duration = Duration::from_secs(2);

impl Owner {
    fn new() -> Self {
        Self::with_settings(Settings::default())
    }

    /// Returns an owner that needs leases, has none, and also knows a replica.
    fn with_leases() -> Self {
        let mut settings = Settings::default();
        settings.group.authority = AuthorityKind::Quorum;
        settings.group.ack_lease = Some(ACK_LEASE);
        let mut owner = Self::with_settings(settings);
        owner.announce("i2", 1);
        owner
    }

    fn with_settings(mut settings: Settings) -> Self {
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
                            failed: false,
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

    /// Announces a replica, the only one from then on.
    fn announce(&mut self, id: &str, incarnation: u64) {
        let view = &mut self.harness.view;
        let mut up = view.upstreams["i1"].clone();
        up.announcement.upstream = id.into();
        up.announcement.incarnation = incarnation;
        up.owners.clear();
        view.upstreams.retain(|other, _| **other == *"i1");
        view.upstreams.insert(id.into(), up);
        let service = view.services.get_mut("ledger").unwrap();
        service.upstreams = vec!["i1".into(), id.into()];
        self.harness.publish_view();
    }

    /// Takes a lease that lists these stops and was granted now.
    fn take_lease(&mut self, number: u64, stops: &[(&str, u64)], leader_has_same_facts: bool) {
        let stops = stops
            .iter()
            .map(|(service, term)| ((*service).into(), *term));
        let stops = stops.collect();
        let lease = AckLease {
            list: Arc::new(AckStopList { number, stops }),
            granted_at: self.harness.now,
            digest_summary: 0,
        };
        let event = Event::AckLease {
            lease,
            leader_has_same_facts,
        };
        self.harness.handle(event);
    }

    /// Runs a write in term 1 that takes some time, and returns the answer or bounce, if any.
    fn slow_write(&mut self, number: u64, time: Duration) -> Option<RelayMsg> {
        let from = entry_part();
        self.harness.effects.clear();
        self.run.id += 1;
        self.run.req.timeout = Duration::from_secs(9);
        let msg = Msg::Relay(RelayMsg::Run(Box::new(self.run.clone())));
        self.harness.handle(Event::Peer { from, msg });
        self.harness.now += time;
        let run = self.harness.effects.iter().find_map(|effect| match effect {
            Effect::RunOnConn { conn, .. } => Some(*conn),
            _ => None,
        });
        if let Some(conn) = run {
            self.finish_run(conn, number);
        }
        let mut effects = self.harness.effects.iter();
        effects.find_map(|effect| match effect {
            Effect::Send {
                msg: Msg::Relay(msg),
                ..
            } => Some(msg.clone()),
            _ => None,
        })
    }

    fn finish_run(&mut self, conn: ConnId, number: u64) {
        let outcome = RunOutcome {
            payload: Bytes::new(),
            tx: TxStatus::Idle,
            rejected: None,
            failed: false,
            position: Some(Position::new(1, number)),
            status_before: None,
            status_after: None,
        };
        let done = ConnEvent::Done { conn, outcome };
        self.harness.handle(Event::Conn(done));
    }

    /// Answers the queries that replicas get, each with a position in term 1, and returns the
    /// verdict that a caller gets then, if any.
    fn answer_replicas(&mut self, number: u64) -> Option<Verdict> {
        let effects: Vec<Effect> = self.harness.effects.drain(..).collect();
        for effect in effects {
            if let Effect::QueryUpstream { id, upstream, .. } = effect
                && *upstream != *"i1"
            {
                let status = InstanceStatus {
                    role: Role::Replica,
                    term: 1,
                    position: Position::new(1, number),
                    lag: Duration::ZERO,
                };
                let result = Ok(QueryReply {
                    status,
                    granted: true,
                    paused_term: 0,
                    claim: None,
                });
                self.harness.handle(Event::QueryAnswered { id, result });
            }
        }
        self.verdict()
    }

    /// Returns the verdict of an answer that has been sent.
    fn verdict(&mut self) -> Option<Verdict> {
        let mut effects = self.harness.effects.iter();
        effects.find_map(|effect| match effect {
            Effect::Send {
                msg: Msg::Relay(RelayMsg::Answer { answer, .. }),
                ..
            } => Some(answer.verdict),
            _ => None,
        })
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

/// Guards against a commit that a host acknowledges after a restart, before it knows of a stop, and
/// against a write that runs in vain meanwhile.
#[test]
fn a_host_without_a_lease_runs_no_write() {
    let mut owner = Owner::with_leases();
    let bounced = owner.slow_write(7, Duration::ZERO);
    assert!(
        matches!(
            bounced,
            Some(RelayMsg::Bounce {
                why: Bounce::NotPrimary { primary: None },
                ..
            })
        ),
        "{bounced:?}"
    );
    owner.take_lease(1, &[], true);
    assert_eq!(owner.write(1, 7), Verdict::Ran);
}

/// Guards against a commit that is acknowledged by a host that the leader can't reach, and against
/// one that is never acknowledged though the leader is heard again.
#[test]
fn a_commit_without_a_lease_is_acknowledged_with_the_next_one() {
    let mut owner = Owner::with_leases();
    owner.take_lease(1, &[], false);
    assert_eq!(owner.write(1, 7), Verdict::Ran);
    assert!(owner.slow_write(8, ACK_LEASE).is_none());
    owner.take_lease(1, &[], false);
    assert_eq!(owner.verdict(), Some(Verdict::Ran));
    assert!(owner.slow_write(9, ACK_LEASE).is_none());
    owner.take_lease(2, &[("ledger", 1)], false);
    assert_eq!(owner.verdict(), Some(Verdict::MayHaveRun));
}

/// Guards against callers of a data centre that is cut off from the leader and aren't served.
#[test]
fn a_replica_that_the_leader_knows_proves_a_commit_without_a_lease() {
    let mut owner = Owner::with_leases();
    owner.take_lease(1, &[], true);
    assert_eq!(owner.write(1, 7), Verdict::Ran);
    assert!(owner.slow_write(8, ACK_LEASE).is_none());
    assert_eq!(owner.answer_replicas(7), None);
    owner.harness.now += Duration::from_millis(20);
    owner.harness.handle(Event::Tick);
    assert_eq!(owner.answer_replicas(8), Some(Verdict::Ran));
    owner.harness.effects.clear();
    assert!(owner.slow_write(9, Duration::ZERO).is_none(), "not run");
    assert_eq!(owner.answer_replicas(9), Some(Verdict::Ran));
}

/// Guards against commits that only a replica has which the leader doesn't know, or whose fence has
/// ended with a restart.
#[test]
fn a_replica_that_the_leader_may_not_know_proves_nothing() {
    for (id, incarnation) in [("i3", 1), ("i2", 2)] {
        let mut owner = Owner::with_leases();
        owner.take_lease(1, &[], true);
        assert_eq!(owner.write(1, 7), Verdict::Ran);
        owner.announce(id, incarnation);
        assert!(owner.slow_write(8, ACK_LEASE).is_none());
        assert_eq!(owner.answer_replicas(8), None);
    }
}

/// Guards against a new primary whose commits an earlier leader's stop keeps from being
/// acknowledged.
#[test]
fn the_lease_of_a_later_leader_ends_the_stops_that_it_does_not_list() {
    let mut owner = Owner::with_leases();
    let (first, second) = (first_number(3), first_number(4));
    owner.take_lease(first, &[], false);
    owner.tell("c1", stop(u64::MAX, first + 1));
    owner.take_lease(first, &[], false);
    assert_eq!(
        owner.harness.take_msgs().len(),
        0,
        "an older list ends no stop"
    );
    assert!(matches!(
        owner.slow_write(8, Duration::ZERO),
        Some(RelayMsg::Bounce { .. })
    ));
    owner.take_lease(second, &[], false);
    assert_eq!(owner.write(1, 9), Verdict::Ran);
}

/// The same for hosts that need no leases: the later leader has stopped the part, too.
#[test]
fn a_later_leader_ends_the_stops_of_earlier_ones() {
    let mut owner = Owner::new();
    owner.tell("c1", stop(u64::MAX, first_number(3) + 1));
    owner.tell("c2", stop(1, first_number(4) + 1));
    owner.tell("c2", allow(first_number(4) + 2));
    assert_eq!(owner.write(1, 8), Verdict::Ran);
}
