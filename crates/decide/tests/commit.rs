//! Confirmation of writes by the instances of a service; each test covers one rule.
//!
//! An owner (the host that runs an upstream's requests) answers a write only after it is confirmed.
//! Under the commit rule `replicated`, a majority of the instances must have the write's log
//! position in its term; under `primary`, a majority must still report the primary's term afterwards. A ticket is
//! the number under which the owner keeps such a write.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use decide::commit::{CommitOutcome, CommitTracker};
use decide::event::ProbeResult;
use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Settings, View};
use model::config::CommitRule;
use model::{
    Announcement, FIRST_TRAFFIC_PART, HostInfo, InstanceStatus, Position, Role, ServiceId, Term,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// How long after its start each write is given up.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// A query that was sent: its id, the instance, the query, and whether it opens a new connection.
type SentQuery = (QueryId, String, UpstreamQuery, bool);

/// A commit tracker with a view, a simulated clock and the queries that it has sent.
struct CommitHarness {
    now: Instant,
    view: View,
    commits: CommitTracker,
    sent_queries: Vec<SentQuery>,
}

impl CommitHarness {
    fn new(instance_count: u8) -> Self {
        let mut view = View::default();
        let service: ServiceId = "appt".into();
        let mut service_view = ServiceView {
            primary: Some((2, "db-1".into())),
            upstreams: Vec::new(),
            group_size: instance_count,
        };
        for number in 1..=instance_count {
            let upstream = format!("db-{number}");
            service_view.upstreams.push(upstream.as_str().into());
            let announcement = Announcement {
                upstream: upstream.as_str().into(),
                service: service.clone(),
                addr: "127.0.0.1:5432".parse().expect("an address"),
                data_centre: "spn".into(),
                group_size: instance_count,
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
            let upstream_view = UpstreamView {
                announcement,
                owners,
                last_ready_at: None,
            };
            view.upstreams.insert(upstream.into(), upstream_view);
        }
        view.services.insert(service, service_view);
        Self {
            now: Instant::now(),
            view,
            commits: CommitTracker::new(),
            sent_queries: Vec::new(),
        }
    }

    /// Calls the commit tracker and records the queries that it sends.
    fn with_tracker<T>(
        &mut self,
        f: impl FnOnce(&mut CommitTracker, &mut Cx<'_>, &View) -> T,
    ) -> T {
        let me = HostInfo {
            host: "spn-1".into(),
            data_centre: "spn".into(),
            peer_addr: "127.0.0.1:7000".parse().expect("an address"),
            incarnation: 1,
            traffic_parts: 1,
            is_entry_host: true,
            is_control_host: false,
            leaving: false,
        };
        let (mut effects, mut raised) = (Vec::new(), VecDeque::new());
        let mut cx = Cx {
            now: self.now,
            me: &me,
            part: FIRST_TRAFFIC_PART,
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
            self.sent_queries
                .push((id, upstream.to_string(), query, fresh));
        }
        out
    }

    /// Tracks a write that has ended on the primary `db-1` in term 2 at a log offset.
    fn track(&mut self, ticket: u64, rule: CommitRule, offset: u64) -> Vec<CommitOutcome> {
        let end = self.now + COMMIT_TIMEOUT;
        self.with_tracker(|commits, cx, view| {
            let (service, primary) = ("appt".into(), "db-1".into());
            let position = Position::new(2, offset);
            commits.track(cx, view, ticket, &service, rule, &primary, position, end)
        })
    }

    /// Answers the oldest open query to an instance.
    fn answer_query(
        &mut self,
        upstream: &str,
        result: Result<QueryReply, QueryError>,
    ) -> Vec<CommitOutcome> {
        let index = self
            .sent_queries
            .iter()
            .position(|asked| asked.1 == upstream);
        let (id, ..) = self.sent_queries.remove(index.expect("a query"));
        self.with_tracker(|commits, cx, _| commits.on_query_reply(cx, id, result))
    }

    /// Reports an instance's status as a probe found it; `None` means that it didn't answer.
    fn report_probe(
        &mut self,
        upstream: &str,
        status: Option<InstanceStatus>,
        asked_at: Instant,
    ) -> Vec<CommitOutcome> {
        let probed = ProbeResult {
            upstream: upstream.into(),
            status,
            asked_at,
            claim: None,
        };
        self.with_tracker(|commits, cx, view| commits.on_probed(cx, view, &probed))
    }

    /// Returns whether a write that starts now can still be confirmed.
    fn can_confirm(&mut self) -> bool {
        self.with_tracker(|commits, cx, view| commits.can_confirm(cx, view, &"appt".into()))
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

fn replica_reply(term: Term, log_term: Term, offset: u64) -> Result<QueryReply, QueryError> {
    Ok(QueryReply {
        paused_term: 0,
        status: status(Role::Replica, term, log_term, offset),
        granted: true,
        claim: None,
    })
}

fn outcome(ticket: u64, confirmed: bool) -> CommitOutcome {
    CommitOutcome { ticket, confirmed }
}

#[test]
fn a_single_instance_confirms_at_once() {
    let mut harness = CommitHarness::new(1);
    let resolved = harness.track(7, CommitRule::Replicated, 10);
    assert_eq!(resolved, [outcome(7, true)]);
    assert!(harness.sent_queries.is_empty());
}

#[test]
fn one_query_to_each_replica_serves_all_writes() {
    let mut harness = CommitHarness::new(3);
    for ticket in [10, 11, 12] {
        assert!(
            harness
                .track(ticket, CommitRule::Replicated, ticket)
                .is_empty()
        );
    }
    assert_eq!(harness.sent_queries.len(), 2);
    for (_, _, query, _) in &harness.sent_queries {
        let lowest = Position::new(2, 10);
        assert!(
            matches!(query, UpstreamQuery::Status { wait_for: Some((at, _)) } if *at == lowest)
        );
    }
    let resolved = harness.answer_query("db-2", replica_reply(2, 2, 11));
    assert_eq!(resolved, [outcome(10, true), outcome(11, true)]);
    let (_, upstream, query, _) = &harness.sent_queries[1];
    assert_eq!(upstream, "db-2");
    let next = Position::new(2, 12);
    assert!(matches!(query, UpstreamQuery::Status { wait_for: Some((at, _)) } if *at == next));
}

#[test]
fn a_higher_offset_of_another_term_confirms_nothing() {
    let mut harness = CommitHarness::new(3);
    harness.track(1, CommitRule::Replicated, 10);
    assert!(
        harness
            .answer_query("db-2", replica_reply(2, 1, 99))
            .is_empty()
    );
    // db-2 has the write but has promised another term; db-3 has not answered yet.
    assert!(
        harness
            .answer_query("db-2", replica_reply(3, 2, 10))
            .is_empty()
    );
    assert_eq!(
        harness.answer_query("db-3", replica_reply(2, 2, 10)),
        [outcome(1, true)]
    );
}

#[test]
fn a_write_is_given_up_once_no_majority_is_left() {
    let mut harness = CommitHarness::new(3);
    harness.track(1, CommitRule::Replicated, 10);
    assert!(
        harness
            .answer_query("db-2", replica_reply(3, 2, 9))
            .is_empty()
    );
    assert_eq!(
        harness.answer_query("db-3", replica_reply(3, 2, 9)),
        [outcome(1, false)]
    );
}

#[test]
fn a_write_is_given_up_once_its_primary_is_succeeded() {
    let mut harness = CommitHarness::new(3);
    harness.track(1, CommitRule::Replicated, 10);
    let successor = status(Role::Primary, 3, 3, 11);
    let now = harness.now;
    let resolved = harness.report_probe("db-2", Some(successor), now);
    assert_eq!(resolved, [outcome(1, false)]);
}

#[test]
fn a_view_with_a_successor_ends_the_wait() {
    let mut harness = CommitHarness::new(3);
    harness.track(1, CommitRule::Replicated, 10);
    let service_view = harness.view.services.get_mut("appt").expect("the service");
    service_view.primary = Some((3, "db-2".into()));
    let resolved = harness.with_tracker(|commits, cx, view| commits.on_view(cx, view));
    assert_eq!(resolved, [outcome(1, false)]);
}

#[test]
fn a_write_is_given_up_at_its_deadline() {
    let mut harness = CommitHarness::new(3);
    harness.track(1, CommitRule::Replicated, 10);
    assert_eq!(
        harness.commits.wake_at(),
        Some(harness.now + COMMIT_TIMEOUT)
    );
    harness.now += COMMIT_TIMEOUT;
    let resolved = harness.with_tracker(|commits, cx, _| commits.on_tick(cx));
    assert_eq!(resolved, [outcome(1, false)]);
    assert_eq!(harness.commits.wake_at(), None);
}

#[test]
fn under_rule_primary_only_later_statuses_count() {
    let mut harness = CommitHarness::new(3);
    let before = harness.now;
    harness.now += Duration::from_millis(1);
    harness.track(1, CommitRule::Primary, 10);
    let old = status(Role::Replica, 2, 2, 5);
    assert!(harness.report_probe("db-3", Some(old), before).is_empty());
    assert!(matches!(
        harness.sent_queries[0].2,
        UpstreamQuery::Status { wait_for: None }
    ));
    assert_eq!(
        harness.answer_query("db-2", replica_reply(2, 2, 5)),
        [outcome(1, true)]
    );
}

#[test]
fn a_silent_replica_is_queried_again_on_a_new_connection() {
    let mut harness = CommitHarness::new(3);
    harness.track(1, CommitRule::Replicated, 10);
    harness.answer_query("db-2", Err(QueryError::Silent));
    let (_, upstream, _, fresh) = harness.sent_queries.last().expect("a query");
    assert_eq!((upstream.as_str(), *fresh), ("db-2", true));
    // The new connection failed too, so the next query is delayed.
    harness.answer_query("db-2", Err(QueryError::Unreachable));
    assert!(harness.commits.wake_at().is_some_and(|at| at > harness.now));
}

#[test]
fn writes_are_refused_up_front_without_a_majority() {
    let mut harness = CommitHarness::new(3);
    assert!(
        harness.can_confirm(),
        "an instance whose status is unknown counts towards the majority"
    );
    let now = harness.now;
    harness.report_probe("db-2", None, now);
    assert!(harness.can_confirm(), "db-1 and db-3 are still a majority");
    harness.report_probe("db-3", Some(status(Role::Replica, 3, 2, 9)), now);
    assert!(!harness.can_confirm(), "db-3 has promised a higher term");
    harness.report_probe("db-2", Some(status(Role::Replica, 2, 2, 9)), now);
    assert!(harness.can_confirm(), "db-1 and db-2 are a majority again");
    harness.now += Duration::from_secs(5);
    assert!(
        !harness.can_confirm(),
        "statuses that are 5 s old don't count"
    );
}
