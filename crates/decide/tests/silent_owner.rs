//! Owners that go silent while requests wait for them, as in a partition or a pause of the host.
//!
//! A partition is known only after missed heartbeats (1.5 s), longer than callers wait. The entry
//! host must find a silent owner in some hundred milliseconds, and neither take a slow upstream for
//! one nor give up a request that may have committed.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::time::Duration;

use decide::relay::{Bounce, RelayMsg, RunRequest};
use decide::{Effect, Event, Msg, Settings};
use model::{Answer, Kind, PartAddr, Refusal, TxStatus, Verdict};
use traffic_harness::{
    Harness, advance, answer_and_count, first_run, take_addressed_msgs, two_owner_harness,
};

/// How long the owner may send nothing before it is checked.
const CHECK_AFTER: Duration = Duration::from_millis(100);
/// In which time a silent owner must be found: some hundred milliseconds.
const FOUND_WITHIN: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(10);

fn harness() -> Harness {
    let mut settings = Settings::default();
    settings.session.check_owner_after = Some(CHECK_AFTER);
    two_owner_harness(settings)
}

/// Lets time pass in steps while owners send nothing; returns what was sent to them meanwhile.
fn wait(harness: &mut Harness, time: Duration) -> Vec<(PartAddr, RelayMsg)> {
    let steps = time.as_millis() / STEP.as_millis();
    (0..steps).flat_map(|_| advance(harness, STEP)).collect()
}

/// Lets time pass in steps; the owners answer checks, but none of the caller's requests.
fn wait_for_slow_upstream(harness: &mut Harness, time: Duration) -> Vec<(PartAddr, RelayMsg)> {
    let mut sent = Vec::new();
    for _ in 0..time.as_millis() / STEP.as_millis() {
        for (to, msg) in advance(harness, STEP) {
            match &msg {
                RelayMsg::Run(run) if run.upstream.is_empty() => bounce(harness, &to, run.id),
                _ => sent.push((to, msg)),
            }
        }
    }
    sent
}

fn bounce(harness: &mut Harness, from: &PartAddr, id: u64) {
    let why = Bounce::NotOwner;
    let msg = Msg::Relay(RelayMsg::Bounce { id, why });
    let from = from.clone();
    harness.handle(Event::Peer { from, msg });
}

/// Returns the requests out of some messages, without the checks.
fn runs(sent: Vec<(PartAddr, RelayMsg)>) -> Vec<(PartAddr, RunRequest)> {
    let runs = sent.into_iter().filter_map(|(to, msg)| match msg {
        RelayMsg::Run(run) if !run.upstream.is_empty() => Some((to, *run)),
        _ => None,
    });
    runs.collect()
}

/// Takes the verdicts of the answers that the caller has got.
fn take_verdicts(harness: &mut Harness) -> Vec<Verdict> {
    let verdicts = harness.effects.drain(..).filter_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.verdict),
        _ => None,
    });
    verdicts.collect()
}

/// Lets time pass while owners send nothing, and returns the verdicts that the caller has got.
fn verdicts_after(harness: &mut Harness, time: Duration) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for _ in 0..time.as_millis() / STEP.as_millis() {
        harness.now += STEP;
        harness.handle(Event::Tick);
        verdicts.extend(take_verdicts(harness));
    }
    verdicts
}

/// Opens a transaction, and returns its owner.
fn open_transaction(harness: &mut Harness) -> PartAddr {
    harness.request(|req| req.in_transaction = true);
    let (owner, run) = first_run(&take_addressed_msgs(harness));
    answer_open(harness, &owner, run.id);
    harness.effects.clear();
    owner
}

/// Answers the request that opens a transaction, pinned to a connection of the owner.
fn answer_open(harness: &mut Harness, owner: &PartAddr, id: u64) {
    let answer = Answer {
        tx_status: TxStatus::Open,
        ..Answer::without_result(Verdict::Ran)
    };
    let pin = Some(5);
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    let from = owner.clone();
    harness.handle(Event::Peer { from, msg });
}

#[test]
fn a_read_at_a_silent_owner_goes_to_another_one_once() {
    let mut harness = harness();
    harness.request(|req| req.repeatable = true);
    let (silent, _) = first_run(&take_addressed_msgs(&mut harness));
    let again = runs(wait(&mut harness, FOUND_WITHIN));
    assert_eq!(again.len(), 1, "{again:?}");
    assert_ne!(again[0].0, silent, "the silent owner was asked again");
    assert_eq!(answer_and_count(&mut harness, &again[0]), 1);
}

#[test]
fn no_request_is_sent_to_a_silent_owner_until_it_is_heard_again() {
    let mut harness = harness();
    harness.request(|req| req.kind = Kind::Write);
    let (silent, _) = first_run(&take_addressed_msgs(&mut harness));
    let sent = wait(&mut harness, FOUND_WITHIN);
    let check = sent.iter().find_map(|(_, msg)| match msg {
        RelayMsg::Run(run) => Some(run.id),
        _ => None,
    });
    for _ in 0..20 {
        harness.request(|req| req.repeatable = true);
        let run = first_run(&take_addressed_msgs(&mut harness));
        assert_ne!(run.0, silent, "a request was sent to the silent owner");
        answer_and_count(&mut harness, &run);
        harness.effects.clear();
    }
    bounce(&mut harness, &silent, check.unwrap());
    let mut heard = false;
    for _ in 0..20 {
        harness.request(|req| req.repeatable = true);
        let run = first_run(&take_addressed_msgs(&mut harness));
        heard |= run.0 == silent;
        answer_and_count(&mut harness, &run);
        harness.effects.clear();
    }
    assert!(heard, "the owner got no request although it answers");
}

/// The caller's own time is 800 ms: told early, it can start its transaction again.
#[test]
fn a_statement_of_an_open_transaction_is_answered_while_there_is_time_to_start_again() {
    let mut harness = harness();
    let owner = open_transaction(&mut harness);
    harness.request(|req| {
        req.kind = Kind::Write;
        req.continues_transaction = true;
        req.may_be_given_up = true;
    });
    let (at, _) = first_run(&take_addressed_msgs(&mut harness));
    assert_eq!(at, owner);
    let verdicts = verdicts_after(&mut harness, FOUND_WITHIN);
    assert_eq!(verdicts, [Verdict::MayHaveRun]);
    harness.request(|req| {
        req.kind = Kind::Write;
        req.continues_transaction = true;
    });
    let lost = Verdict::NotRun(Refusal::TransactionLost);
    assert_eq!(take_verdicts(&mut harness), [lost], "the next statement");
}

#[test]
fn the_next_statement_of_a_transaction_at_a_silent_owner_is_refused_at_once() {
    let mut harness = harness();
    let owner = open_transaction(&mut harness);
    // Another request finds the owner silent while the transaction rests.
    harness.request(|req| {
        req.kind = Kind::Write;
        req.continues_transaction = true;
    });
    take_addressed_msgs(&mut harness);
    wait(&mut harness, FOUND_WITHIN);
    harness.request(|req| {
        req.kind = Kind::Write;
        req.continues_transaction = true;
    });
    let sent: Vec<_> = harness.effects.clone();
    let verdicts = take_verdicts(&mut harness);
    assert_eq!(verdicts, [Verdict::NotRun(Refusal::TransactionLost)]);
    let rolled_back = sent.iter().any(|effect| {
        let Effect::Send { to, msg } = effect else {
            return false;
        };
        *to == owner && matches!(msg, Msg::Relay(RelayMsg::Unpin { pin: 5, .. }))
    });
    assert!(rolled_back, "the connection was not given up: {sent:?}");
}

/// An answer that comes after all opens a transaction that nobody will end.
#[test]
fn a_transaction_that_opens_after_its_caller_was_answered_is_rolled_back() {
    let mut harness = harness();
    harness.request(|req| {
        req.in_transaction = true;
        req.may_be_given_up = true;
    });
    let (owner, run) = first_run(&take_addressed_msgs(&mut harness));
    let verdicts = verdicts_after(&mut harness, FOUND_WITHIN);
    assert_eq!(verdicts, [Verdict::MayHaveRun]);
    answer_open(&mut harness, &owner, run.id);
    let sent = take_addressed_msgs(&mut harness);
    let rolled_back = sent
        .iter()
        .any(|(to, msg)| *to == owner && matches!(msg, RelayMsg::Unpin { pin: 5, .. }));
    assert!(rolled_back, "{sent:?}");
}

/// A commit or a single write may have run: its answer is awaited and passed on, also late.
#[test]
fn a_request_that_may_have_committed_waits_for_its_answer() {
    let mut harness = harness();
    harness.request(|req| req.kind = Kind::Write);
    let sent = first_run(&take_addressed_msgs(&mut harness));
    let again = wait(&mut harness, Duration::from_millis(700));
    assert!(runs(again).is_empty(), "the write was sent again");
    assert_eq!(answer_and_count(&mut harness, &sent), 1);
}

/// Guards against a slow machine or upstream being taken for a lost one.
#[test]
fn an_owner_that_answers_checks_keeps_its_requests() {
    for transaction in [false, true] {
        let mut harness = harness();
        if transaction {
            open_transaction(&mut harness);
        }
        harness.request(|req| {
            req.continues_transaction = transaction;
            req.may_be_given_up = transaction;
            req.repeatable = !transaction;
        });
        let sent = first_run(&take_addressed_msgs(&mut harness));
        let again = wait_for_slow_upstream(&mut harness, Duration::from_millis(700));
        assert!(again.is_empty(), "{again:?}");
        assert_eq!(answer_and_count(&mut harness, &sent), 1);
    }
}

/// After a pause of this host the owners' answers are there, but not read yet.
#[test]
fn a_host_that_was_paused_itself_takes_no_owner_for_silent() {
    let mut harness = harness();
    harness.request(|req| req.repeatable = true);
    let sent = first_run(&take_addressed_msgs(&mut harness));
    wait(&mut harness, CHECK_AFTER + STEP);
    let again = runs(advance(&mut harness, Duration::from_millis(500)));
    assert!(again.is_empty(), "{again:?}");
    assert_eq!(answer_and_count(&mut harness, &sent), 1);
}
