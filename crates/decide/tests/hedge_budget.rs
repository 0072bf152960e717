//! How many hedged reads a small budget allows, with instances that answer them soon and with ones
//! that don't.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::time::Duration;

use decide::Settings;
use traffic_harness::{
    Harness, advance, answer_and_count, first_run, host, take_addressed_msgs, two_owner_harness,
};

const HEDGE_AFTER: Duration = Duration::from_millis(150);
const READS: usize = 30;

fn harness() -> Harness {
    let mut settings = Settings::default();
    settings.session.hedge_after = Some(HEDGE_AFTER);
    settings.session.hedge.burst = 2.0;
    settings.session.hedge.ratio = 0.02;
    settings.room.limit_retries = true;
    two_owner_harness(settings)
}

/// Sends reads whose first attempt is not answered, and returns how many are hedged; each hedge is
/// answered after a time.
fn hedged_reads(answered_after: Duration) -> usize {
    let mut harness = harness();
    let mut hedged = 0;
    for _ in 0..READS {
        harness.request(|req| req.repeatable = true);
        let first = first_run(&take_addressed_msgs(&mut harness));
        let sent = advance(&mut harness, HEDGE_AFTER);
        let answered = match sent.is_empty() {
            true => first,
            false => {
                hedged += 1;
                first_run(&sent)
            }
        };
        advance(&mut harness, answered_after);
        assert_eq!(answer_and_count(&mut harness, &answered), 1);
        harness.effects.clear();
    }
    hedged
}

/// Guards against reads that wait for a silent instance since the budget is small.
#[test]
fn hedges_that_are_answered_soon_cost_nothing() {
    assert_eq!(hedged_reads(Duration::from_millis(20)), READS);
}

/// Guards against hedges that add to the load of instances which are slow because of it.
#[test]
fn hedges_that_are_answered_late_use_up_the_budget() {
    assert_eq!(hedged_reads(Duration::from_millis(300)), 2);
}

/// Guards against reads of the newest state that are parked although the primary may answer them:
/// its owners had all left a read unanswered, and a replica's had not.
#[test]
fn a_read_of_the_newest_state_goes_to_the_primary_whose_owners_left_reads_unanswered() {
    let mut harness = harness();
    let mut replica = harness.view.upstreams["i1"].clone();
    replica.announcement.upstream = "i2".into();
    replica.owners = vec!["h4".into()];
    harness.view.hosts.insert("h4".into(), host("h4"));
    harness.view.upstreams.insert("i2".into(), replica);
    let service = harness.view.services.get_mut("ledger").unwrap();
    service.upstreams.push("i2".into());
    harness.publish_view();
    for _ in 0..2 {
        harness.request(|req| req.repeatable = true);
        harness.effects.clear();
        let hedge = first_run(&advance(&mut harness, HEDGE_AFTER));
        assert_eq!(answer_and_count(&mut harness, &hedge), 1);
        harness.effects.clear();
    }
    harness.request(|req| req.repeatable = true);
    let (_, run) = first_run(&take_addressed_msgs(&mut harness));
    assert_eq!(*run.upstream, *"i1");
}
