//! What the caller of a hedged read is told if its attempts do not run.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::time::Duration;

use decide::relay::{Bounce, RelayMsg, RunRequest};
use decide::{Effect, Event, Msg};
use model::{Answer, PartAddr, Refusal, Verdict};
use traffic_harness::{Harness, advance, first_run, hedging_harness, take_addressed_msgs};

type Sent = (PartAddr, RunRequest);

/// Sends a read, and a second attempt of it after the time for hedges.
fn hedged_read() -> (Harness, Sent, Sent) {
    let mut harness = hedging_harness(20.0);
    harness.request(|req| req.repeatable = true);
    let first = first_run(&take_addressed_msgs(&mut harness));
    let second = first_run(&advance(&mut harness, Duration::from_millis(150)));
    (harness, first, second)
}

fn bounce(harness: &mut Harness, (from, run): &Sent, why: Bounce) {
    let msg = Msg::Relay(RelayMsg::Bounce { id: run.id, why });
    let from = from.clone();
    harness.handle(Event::Peer { from, msg });
}

fn refuse(harness: &mut Harness, (from, run): &Sent) {
    let verdict = Verdict::NotRun(Refusal::Overloaded);
    let answer = Answer::without_result(verdict);
    let (id, pin) = (run.id, None);
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    let from = from.clone();
    harness.handle(Event::Peer { from, msg });
}

/// Returns the verdicts that the caller gets until its time is over, while no owner takes requests.
fn verdicts(harness: &mut Harness) -> Vec<Verdict> {
    harness.view.services.clear();
    harness.publish_view();
    let mut verdicts = Vec::new();
    for _ in 0..110 {
        verdicts.extend(harness.effects.drain(..).filter_map(|effect| match effect {
            Effect::Answer { answer, .. } => Some(answer.verdict),
            _ => None,
        }));
        harness.now += Duration::from_millis(10);
        harness.handle(Event::Tick);
    }
    verdicts
}

/// Guards against "may have run" for a read that no upstream has accepted: instances that were busy
/// bounced both attempts of it, and its caller could not tell that from an answer that was lost.
#[test]
fn a_hedged_read_that_was_only_bounced_has_not_run() {
    let (mut harness, first, second) = hedged_read();
    bounce(&mut harness, &first, Bounce::Unavailable);
    bounce(&mut harness, &second, Bounce::Unavailable);
    let verdicts = verdicts(&mut harness);
    assert_eq!(verdicts, [Verdict::NotRun(Refusal::NoUpstream)]);
}

#[test]
fn a_hedged_read_whose_earlier_attempt_has_not_ended_may_have_run() {
    let (mut harness, _, second) = hedged_read();
    bounce(&mut harness, &second, Bounce::Unavailable);
    assert_eq!(verdicts(&mut harness), [Verdict::MayHaveRun]);
}

#[test]
fn a_hedged_read_whose_earlier_attempt_could_not_be_proved_may_have_run() {
    let (mut harness, first, second) = hedged_read();
    bounce(&mut harness, &first, Bounce::Unproved);
    bounce(&mut harness, &second, Bounce::Unavailable);
    assert_eq!(verdicts(&mut harness), [Verdict::MayHaveRun]);
}

/// Guards against "not run" from one owner while the other attempt runs.
#[test]
fn a_refusal_of_one_attempt_leaves_the_other_to_answer() {
    let (mut harness, first, second) = hedged_read();
    refuse(&mut harness, &second);
    let (id, pin) = (first.1.id, None);
    let answer = Answer::without_result(Verdict::Ran);
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    let from = first.0.clone();
    harness.handle(Event::Peer { from, msg });
    assert_eq!(verdicts(&mut harness), [Verdict::Ran]);
}

/// Guards against a caller that waits until its deadline for an attempt that was lost with the link
/// to its owner.
#[test]
fn a_refusal_is_passed_on_at_once_if_the_other_attempt_is_lost() {
    let (mut harness, first, second) = hedged_read();
    harness.handle(Event::LinkDown(first.0.host.clone()));
    harness.effects.clear();
    refuse(&mut harness, &second);
    let answer = harness.effects.iter().find_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.verdict),
        _ => None,
    });
    assert_eq!(answer, Some(Verdict::MayHaveRun));
}

/// Guards against "not run" for a hedged read that runs: a bounce that refuses one attempt ended the
/// request.
#[test]
fn a_bounce_that_refuses_one_attempt_leaves_the_other_to_answer() {
    let (mut harness, first, second) = hedged_read();
    bounce(&mut harness, &second, Bounce::Refused(Refusal::NotAllowed));
    let (id, pin) = (first.1.id, None);
    let answer = Answer::without_result(Verdict::Ran);
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    let from = first.0.clone();
    harness.handle(Event::Peer { from, msg });
    assert_eq!(verdicts(&mut harness), [Verdict::Ran]);
}
