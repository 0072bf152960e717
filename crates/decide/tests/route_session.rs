//! Callers' sessions on routes, and hedged reads, in one traffic part without a network.
//!
//! A part is the state of one thread of a host: the control part, or one of the traffic parts. The
//! part under test takes a caller's request, and sends it to an owner, a host that runs requests on
//! the upstream. An owner that can't run it sends it back (a bounce).
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decide::relay::{Bounce, RelayMsg};
use decide::{Effect, Event, Msg, Settings};
use model::config::ReadRule;
use model::{Answer, Kind, PartAddr, Refusal, TxStatus, Verdict};
use traffic_harness::{
    CONN, Harness, advance, answer_and_count, config, first_run, hedging_harness,
    take_addressed_msgs,
};

#[test]
fn a_route_and_a_key_decide_who_gets_a_session() {
    let mut harness = Harness::new();
    assert_eq!(harness.login("none", "k1"), Some(Refusal::NoRoute));
    assert_eq!(harness.login("pots", "k1"), None);
    let mut closed = config(2);
    closed.routes.get_mut("pots").unwrap().open = false;
    harness.view.config = Arc::new(closed);
    harness.publish_view();
    assert_eq!(harness.login("pots", "k2"), Some(Refusal::BadKey));
}

#[test]
fn a_refused_rollback_releases_the_connection() {
    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.open_transaction();
    harness.view.config_usable = false;
    harness.publish_view();
    harness.effects.clear();
    harness.request(|req| {
        req.in_transaction = true;
        req.continues_transaction = true;
        req.rolls_back = true;
    });
    let sent = harness.take_msgs();
    let unpin = |msg: &RelayMsg| matches!(msg, RelayMsg::Unpin { pin: CONN, .. });
    assert!(sent.iter().any(unpin), "{sent:?}");
}

#[test]
fn a_statement_never_runs_in_a_transaction_that_its_caller_has_not_opened() {
    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.open_transaction();
    harness.request(|_| {});
    let sent = harness.take_msgs();
    let unpin = |msg: &RelayMsg| matches!(msg, RelayMsg::Unpin { pin: CONN, .. });
    assert!(sent.iter().any(unpin), "{sent:?}");
    let run = sent.into_iter().find_map(|msg| match msg {
        RelayMsg::Run(run) => Some(run),
        _ => None,
    });
    assert_eq!(run.unwrap().pin, None);
}

#[test]
fn a_route_that_is_removed_lets_an_open_transaction_end() {
    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.open_transaction();
    let mut without = config(2);
    without.routes.clear();
    harness.view.config = Arc::new(without);
    harness.publish_view();
    harness.effects.clear();
    harness.request(|req| {
        req.in_transaction = true;
        req.continues_transaction = true;
    });
    assert_eq!(harness.take_run().pin, Some(CONN));
}

#[test]
fn a_request_has_the_timeout_and_priority_of_its_route() {
    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.request(|_| {});
    let run = harness.take_run();
    assert_eq!(run.req.timeout, Duration::from_millis(800));
    assert_eq!((run.req.priority, &*run.req.service), (1, "ledger"));
}

#[test]
fn an_owner_refuses_what_its_newer_configuration_does_not_allow() {
    let mut owner = Harness::new();
    let mut newer = config(9);
    newer.routes.clear();
    owner.view.config = Arc::new(newer);
    owner.publish_view();
    owner.effects.clear();
    let mut sender = Harness::new();
    sender.login("pots", "k1");
    sender.request(|_| {});
    let run = loop {
        match sender.take_msgs().into_iter().next() {
            Some(RelayMsg::Run(run)) => break run,
            _ => {
                // The request waits for a rate token first.
                let lots = vec![decide::grant::WorkspaceTokens {
                    workspace: "anna".into(),
                    tokens: 5,
                }];
                let until = sender.now + Duration::from_secs(2);
                sender.handle(Event::TokenGrant(decide::grant::PartTokenGrant {
                    expires_at: until,
                    allocations: lots,
                }));
            }
        }
    };
    let from = PartAddr {
        host: "h3".into(),
        part: 1,
    };
    let msg = Msg::Relay(RelayMsg::Run(run));
    owner.handle(Event::Peer { from, msg });
    let sent = owner.take_msgs();
    let refused = |msg: &RelayMsg| {
        use decide::relay::Bounce;
        matches!(
            msg,
            RelayMsg::Bounce {
                why: Bounce::Refused(Refusal::NoRoute),
                ..
            }
        )
    };
    assert!(sent.iter().any(refused), "{sent:?}");
}

#[test]
fn a_read_without_an_answer_is_hedged_to_another_owner() {
    for first_attempt_answers in [false, true] {
        let mut harness = hedging_harness(20.0);
        harness.request(|req| req.repeatable = true);
        let first = first_run(&take_addressed_msgs(&mut harness));
        assert!(advance(&mut harness, Duration::from_millis(100)).is_empty());
        let second = first_run(&advance(&mut harness, Duration::from_millis(50)));
        assert_ne!(first.0, second.0, "the same owner was asked again");
        let (answered, other) = if first_attempt_answers {
            (&first, &second)
        } else {
            (&second, &first)
        };
        assert_eq!(answer_and_count(&mut harness, answered), 1);
        let cancelled = take_addressed_msgs(&mut harness).iter().any(|(to, msg)| {
            *to == other.0 && matches!(msg, RelayMsg::Cancel { id } if *id == other.1.id)
        });
        assert!(cancelled, "the other attempt was not cancelled");
        assert_eq!(
            answer_and_count(&mut harness, other),
            0,
            "the caller got a second answer"
        );
    }
}

#[test]
fn a_write_is_never_hedged() {
    let mut harness = hedging_harness(20.0);
    harness.request(|req| req.kind = Kind::Write);
    first_run(&take_addressed_msgs(&mut harness));
    for _ in 0..8 {
        let sent = advance(&mut harness, Duration::from_millis(50));
        assert!(sent.is_empty(), "{sent:?}");
    }
}

#[test]
fn reads_are_hedged_only_within_the_budget() {
    let mut harness = hedging_harness(1.0);
    for hedged in [true, false] {
        harness.request(|req| req.repeatable = true);
        let first = first_run(&take_addressed_msgs(&mut harness));
        let sent = advance(&mut harness, Duration::from_millis(150));
        assert_eq!(!sent.is_empty(), hedged);
        assert_eq!(answer_and_count(&mut harness, &first), 1);
        harness.effects.clear();
    }
}

/// Guards against a busy loop: while no primary is known, a read that every replica bounces as
/// behind must be parked before it is sent again.
#[test]
fn a_read_that_every_replica_turns_away_is_not_sent_again_at_once() {
    let mut harness = Harness::new();
    let config = Arc::make_mut(&mut harness.view.config);
    let route = config.routes.get_mut("pots").unwrap();
    route.reads = ReadRule::Bounded {
        max_age: Duration::from_secs(1),
    };
    let service = harness.view.services.get_mut("ledger").unwrap();
    service.primary = None;
    let instances = service.upstreams.len();
    harness.publish_view();
    assert_eq!(harness.login("pots", ""), None);
    harness.request(|req| req.repeatable = true);
    let mut sent = 0;
    for _ in 0..20 {
        let msgs = take_addressed_msgs(&mut harness);
        if !msgs.iter().any(|(_, msg)| matches!(msg, RelayMsg::Run(_))) {
            break;
        }
        sent += 1;
        let (from, run) = first_run(&msgs);
        let why = Bounce::Behind;
        let msg = Msg::Relay(RelayMsg::Bounce { id: run.id, why });
        harness.handle(Event::Peer { from, msg });
    }
    // Once to each instance, and once more since the first bounce may be out of date.
    assert!(
        sent <= instances + 1,
        "the read was sent {sent} times without time passing"
    );
}

#[test]
fn a_host_that_leaves_without_work_still_sends_back_requests_of_hosts_that_do_not_know_it() {
    let mut sender = hedging_harness(20.0);
    sender.request(|_| {});
    let (_, run) = first_run(&take_addressed_msgs(&mut sender));
    let mut owner = Harness::new();
    owner.handle(Event::Leave);
    let ended = |effect: &Effect| matches!(effect, Effect::PartDrained);
    assert!(!owner.effects.iter().any(ended), "it ended at once");
    owner.effects.clear();
    // News of it may be lost with a link, and is sent again with the heartbeats.
    let notice = 2 * Settings::default().spread.heartbeat;
    assert!(advance(&mut owner, notice).is_empty());
    let from = PartAddr {
        host: "h3".into(),
        part: 1,
    };
    let msg = Msg::Relay(RelayMsg::Run(Box::new(run.clone())));
    owner.handle(Event::Peer { from, msg });
    let sent = owner.take_msgs();
    let bounced = |msg: &RelayMsg| matches!(msg, RelayMsg::Bounce { id, .. } if *id == run.id);
    assert!(sent.iter().any(bounced), "{sent:?}");
    owner.now = owner.state.wake_at().expect("the part ends by itself");
    owner.handle(Event::Tick);
    assert!(owner.effects.iter().any(ended), "it never ends");
}

/// Returns a harness whose session has an open transaction on a connection of the owner `h2`, on a
/// host that has been leaving for as long as open transactions may take.
fn leaving_harness_with_transaction() -> (Harness, Vec<(PartAddr, RelayMsg)>) {
    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.open_transaction();
    harness.handle(Event::Leave);
    let leave_timeout = Settings::default().owner.leave_timeout;
    let before = advance(&mut harness, leave_timeout - Duration::from_millis(1));
    assert!(before.is_empty(), "{before:?}");
    harness.now = harness.state.wake_at().unwrap();
    let sent = advance(&mut harness, Duration::ZERO);
    (harness, sent)
}

fn continue_transaction(harness: &mut Harness) {
    harness.request(|req| {
        req.in_transaction = true;
        req.continues_transaction = true;
    });
}

fn answers(harness: &Harness) -> Vec<Verdict> {
    let answers = harness.effects.iter().filter_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.verdict),
        _ => None,
    });
    answers.collect()
}

fn releases_conn(sent: &[(PartAddr, RelayMsg)]) -> bool {
    let unpin = |msg: &RelayMsg| matches!(msg, RelayMsg::Unpin { pin: CONN, .. });
    sent.iter().any(|(_, msg)| unpin(msg))
}

/// Guards against statements that a stopping host cuts: it let transactions on connections of
/// other hosts go on until its process ended.
#[test]
fn a_leaving_host_ends_transactions_on_connections_of_other_hosts_in_time() {
    let (mut harness, sent) = leaving_harness_with_transaction();
    assert!(releases_conn(&sent), "{sent:?}");
    continue_transaction(&mut harness);
    let lost = Verdict::NotRun(Refusal::TransactionLost);
    assert_eq!(answers(&harness), [lost]);
    assert!(harness.take_msgs().is_empty(), "the statement was sent on");
}

#[test]
fn a_statement_under_way_when_a_leaving_host_ends_transactions_is_answered() {
    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.open_transaction();
    harness.handle(Event::Leave);
    let leave_timeout = Settings::default().owner.leave_timeout;
    advance(&mut harness, leave_timeout - Duration::from_millis(100));
    continue_transaction(&mut harness);
    let (from, run) = first_run(&take_addressed_msgs(&mut harness));
    let sent = advance(&mut harness, Duration::from_millis(200));
    assert!(!releases_conn(&sent), "{sent:?}");
    let answer = Answer {
        verdict: Verdict::Ran,
        payload: Bytes::new(),
        tx_status: TxStatus::Open,
        position: None,
    };
    let (id, pin) = (run.id, Some(CONN));
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    harness.handle(Event::Peer { from, msg });
    assert_eq!(answers(&harness), [Verdict::Ran]);
    assert!(releases_conn(&take_addressed_msgs(&mut harness)));
}

#[test]
fn a_leaving_host_opens_no_transaction_once_it_has_ended_the_open_ones() {
    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.handle(Event::Leave);
    advance(&mut harness, Settings::default().owner.leave_timeout);
    harness.request(|req| req.in_transaction = true);
    assert_eq!(answers(&harness), [Verdict::NotRun(Refusal::NotReady)]);
}

/// Guards against requests that are cut off without an answer when a host stops.
#[test]
fn a_host_whose_leave_has_timed_out_answers_every_request() {
    let mut harness = hedging_harness(20.0);
    harness.handle(Event::Leave);
    harness.request(|req| req.kind = Kind::Write);
    let (owner, run) = first_run(&take_addressed_msgs(&mut harness));
    harness.handle(Event::LeaveTimedOut);
    assert_eq!(answers(&harness), [Verdict::MayHaveRun]);
    let cancelled = |(to, msg): &(PartAddr, RelayMsg)| {
        *to == owner && matches!(msg, RelayMsg::Cancel { id } if *id == run.id)
    };
    assert!(take_addressed_msgs(&mut harness).iter().any(cancelled));

    let mut harness = Harness::new();
    harness.login("pots", "");
    harness.view.services.clear();
    harness.publish_view();
    harness.request(|req| req.kind = Kind::Write);
    assert!(harness.take_msgs().is_empty(), "no upstream can run it");
    harness.handle(Event::LeaveTimedOut);
    assert_eq!(answers(&harness), [Verdict::NotRun(Refusal::NotReady)]);
}
