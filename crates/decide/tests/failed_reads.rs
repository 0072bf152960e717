//! What the caller of a read is told that an instance has answered with an error.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decide::relay::{Bounce, RelayMsg, RunRequest};
use decide::{Effect, Event, Msg, Settings};
use model::config::ReadRule;
use model::{Answer, PartAddr, Refusal, Verdict};
use traffic_harness::{Harness, config, first_run, host, take_addressed_msgs, two_owner_harness};

type Sent = (PartAddr, RunRequest);

/// Sends a read that two instances may run, the second of which has the owner `h4`.
fn read() -> (Harness, Sent) {
    let mut harness = two_owner_harness(Settings::default());
    harness.view.hosts.insert("h4".into(), host("h4"));
    let mut second = harness.view.upstreams["i1"].clone();
    second.announcement.upstream = "i2".into();
    second.owners = vec!["h4".into()];
    harness.view.upstreams.insert("i2".into(), second);
    let service = harness.view.services.get_mut("ledger").unwrap();
    service.upstreams.push("i2".into());
    let mut config = config(2);
    let route = config.routes.get_mut("pots").unwrap();
    let max_age = Duration::from_secs(1);
    route.reads = ReadRule::Bounded { max_age };
    harness.view.config = Arc::new(config);
    harness.publish_view();
    harness.effects.clear();
    harness.request(|req| req.repeatable = true);
    let sent = first_run(&take_addressed_msgs(&mut harness));
    (harness, sent)
}

fn fail(harness: &mut Harness, (from, run): &Sent, error: &'static str) {
    let answer = Answer {
        payload: Bytes::from_static(error.as_bytes()),
        ..Answer::without_result(Verdict::Ran)
    };
    let msg = Msg::Relay(RelayMsg::Failed { id: run.id, answer });
    let from = from.clone();
    harness.handle(Event::Peer { from, msg });
}

fn reply(harness: &mut Harness, (from, run): &Sent, msg: impl Fn(u64) -> RelayMsg) {
    let msg = Msg::Relay(msg(run.id));
    let from = from.clone();
    harness.handle(Event::Peer { from, msg });
}

/// Returns the verdicts and payloads of the answers that the caller has got.
fn answers(harness: &mut Harness) -> Vec<(Verdict, Bytes)> {
    let answers = harness.effects.drain(..).filter_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some((answer.verdict, answer.payload)),
        _ => None,
    });
    answers.collect()
}

/// Guards against a read that fails on one instance after the other, and against an error that is
/// lost: the second one is the caller's answer.
#[test]
fn a_read_that_fails_is_sent_to_another_instance_once() {
    let (mut harness, first) = read();
    fail(&mut harness, &first, "first");
    let second = first_run(&take_addressed_msgs(&mut harness));
    assert_ne!(first.1.upstream, second.1.upstream);
    fail(&mut harness, &second, "second");
    assert_eq!(
        answers(&mut harness),
        [(Verdict::Ran, Bytes::from("second"))]
    );
}

/// Guards against "not run" for a read that an instance has answered, and against a caller that
/// waits for a second instance although the error is there.
#[test]
fn the_error_is_the_answer_if_no_other_instance_runs_the_read() {
    let bounced = |id| RelayMsg::Bounce {
        id,
        why: Bounce::Unavailable,
    };
    let refused = |id| RelayMsg::Answer {
        id,
        answer: Answer::without_result(Verdict::NotRun(Refusal::Overloaded)),
        pin: None,
    };
    for reply_of_second in [bounced, refused] {
        let (mut harness, first) = read();
        fail(&mut harness, &first, "first");
        let second = first_run(&take_addressed_msgs(&mut harness));
        reply(&mut harness, &second, reply_of_second);
        assert_eq!(
            answers(&mut harness),
            [(Verdict::Ran, Bytes::from("first"))]
        );
    }
}
