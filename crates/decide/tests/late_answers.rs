//! A write whose answer is late or lost while hosts join, and the caller's second attempt.
//!
//! A booking hangs while new hosts join and take over upstreams from slow ones; its caller tries
//! again. Each attempt may run once, the caller must be told the truth about the first one in time,
//! and an answer that comes after all must not be taken for that of the second attempt.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::time::Duration;

use decide::relay::{RelayMsg, RunRequest};
use decide::{Effect, Event, Msg, Settings};
use model::{Answer, Kind, PartAddr, Verdict};
use traffic_harness::{Harness, first_run, host, take_addressed_msgs, two_owner_harness};

/// The timeout of the caller's route, and how long the entry host waits past it for an answer.
const TOLD_WITHIN: Duration = Duration::from_millis(800 + 250);
const STEP: Duration = Duration::from_millis(10);

fn harness() -> Harness {
    let mut settings = Settings::default();
    settings.session.hedge_after = Some(Duration::from_millis(150));
    settings.session.check_owner_after = Some(Duration::from_millis(100));
    two_owner_harness(settings)
}

fn send_write(harness: &mut Harness) -> (PartAddr, RunRequest) {
    harness.request(|req| req.kind = Kind::Write);
    first_run(&take_addressed_msgs(harness))
}

/// Lets hosts join that take over the upstream from its owners.
fn change_owners(harness: &mut Harness, owners: [&str; 2]) {
    for name in owners {
        harness.view.hosts.insert(name.into(), host(name));
    }
    let up = harness.view.upstreams.get_mut("i1").unwrap();
    up.owners = owners.map(Into::into).to_vec();
    harness.publish_view();
}

/// What was sent to owners and answered to the caller.
#[derive(Debug, Default)]
struct Outcome {
    /// The owners that got a request to run.
    runs: Vec<PartAddr>,
    /// The number of each answered request, with the verdict and the payload.
    answers: Vec<(u64, Verdict, Vec<u8>)>,
}

/// Takes the effects, and returns what was sent to owners and to the caller.
fn take_outcome(harness: &mut Harness) -> Outcome {
    let mut outcome = Outcome::default();
    for effect in harness.effects.drain(..) {
        match effect {
            Effect::Send {
                to,
                msg: Msg::Relay(RelayMsg::Run(run)),
            } if !run.upstream.is_empty() => outcome.runs.push(to),
            Effect::Answer {
                request, answer, ..
            } => {
                let payload = answer.payload.to_vec();
                outcome.answers.push((request, answer.verdict, payload));
            }
            _ => {}
        }
    }
    outcome
}

fn answer(harness: &mut Harness, (from, run): &(PartAddr, RunRequest), payload: &'static [u8]) {
    let answer = Answer {
        payload: payload.into(),
        ..Answer::without_result(Verdict::Ran)
    };
    let (id, pin) = (run.id, None);
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    let from = from.clone();
    harness.handle(Event::Peer { from, msg });
}

/// Lets time pass in steps; returns what was sent and answered meanwhile.
fn wait(harness: &mut Harness, time: Duration) -> Outcome {
    let mut all = Outcome::default();
    for _ in 0..time.as_millis() / STEP.as_millis() {
        harness.now += STEP;
        harness.handle(Event::Tick);
        let outcome = take_outcome(harness);
        all.runs.extend(outcome.runs);
        all.answers.extend(outcome.answers);
    }
    all
}

#[test]
fn a_write_with_a_lost_answer_runs_once_and_its_caller_is_told_the_truth_in_time() {
    let mut harness = harness();
    let first = send_write(&mut harness);
    change_owners(&mut harness, ["h4", "h5"]);
    let Outcome { runs, answers } = wait(&mut harness, TOLD_WITHIN + STEP);
    assert!(runs.is_empty(), "the write was sent again to {runs:?}");
    let [(_, verdict, _)] = &answers[..] else {
        panic!("the caller got {answers:?}");
    };
    assert_eq!(*verdict, Verdict::MayHaveRun);
    answer(&mut harness, &first, b"late");
    let Outcome { answers, .. } = take_outcome(&mut harness);
    assert!(answers.is_empty(), "a second answer: {answers:?}");
}

#[test]
fn a_late_answer_is_delivered_while_its_caller_waits() {
    let mut harness = harness();
    let first = send_write(&mut harness);
    change_owners(&mut harness, ["h4", "h5"]);
    let Outcome { answers, .. } = wait(&mut harness, TOLD_WITHIN - 5 * STEP);
    assert!(answers.is_empty(), "given up early: {answers:?}");
    answer(&mut harness, &first, b"late");
    let Outcome { answers, .. } = take_outcome(&mut harness);
    assert_eq!(answers, [(1, Verdict::Ran, b"late".to_vec())]);
}

#[test]
fn a_second_attempt_runs_once_and_gets_its_own_answer() {
    let mut harness = harness();
    let first = send_write(&mut harness);
    change_owners(&mut harness, ["h4", "h5"]);
    wait(&mut harness, TOLD_WITHIN + STEP);
    let second = send_write(&mut harness);
    assert_ne!(first.0, second.0, "it was sent to an owner of before");
    assert_ne!(first.1.id, second.1.id);
    answer(&mut harness, &first, b"first");
    let Outcome { runs, answers } = take_outcome(&mut harness);
    assert!(runs.is_empty() && answers.is_empty(), "{answers:?}");
    answer(&mut harness, &second, b"second");
    let Outcome { answers, .. } = take_outcome(&mut harness);
    assert_eq!(answers, [(2, Verdict::Ran, b"second".to_vec())]);
}

/// The owner is gone for certain: there is no reason to let the caller wait.
#[test]
fn a_write_at_an_owner_whose_link_is_lost_is_answered_at_once() {
    let mut harness = harness();
    let (owner, _) = send_write(&mut harness);
    change_owners(&mut harness, ["h4", "h5"]);
    harness.handle(Event::LinkDown(owner.host));
    let Outcome { runs, answers } = take_outcome(&mut harness);
    assert!(runs.is_empty(), "the write was sent again to {runs:?}");
    let verdicts: Vec<_> = answers.iter().map(|(_, verdict, _)| *verdict).collect();
    assert_eq!(verdicts, [Verdict::MayHaveRun]);
}
