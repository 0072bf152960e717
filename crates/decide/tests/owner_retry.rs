//! The budget that limits hedged reads to a share of all reads, and the circuit breaker that stops
//! requests to an upstream whose connections fail.

use std::time::Instant;

use decide::breaker::{Breaker, BreakerSettings};
use decide::entry::budget::{HedgeBudget, HedgeBudgetSettings};

#[test]
fn retries_stay_a_share_of_the_requests() {
    let settings = HedgeBudgetSettings::default();
    let mut budget = HedgeBudget::new(settings.clone());
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.refill_for_read();
        while budget.try_spend() {
            retries += 1;
        }
    }
    assert!((1000..=1020).contains(&retries), "{retries} retries");
}

#[test]
fn breaker_opens_tries_once_and_closes() {
    let settings = BreakerSettings::default();
    let mut breaker = Breaker::default();
    let now = Instant::now();
    assert!(!breaker.on_failure(now, &settings));
    assert!(!breaker.on_failure(now, &settings));
    breaker.on_success();
    assert!(!breaker.on_failure(now, &settings));
    assert!(!breaker.on_failure(now, &settings));
    // The first two failures are outside of the window.
    let now = now + settings.window;
    assert!(!breaker.on_failure(now, &settings));
    assert!(!breaker.on_failure(now, &settings));
    assert!(breaker.allow(now, &settings));
    assert!(breaker.on_failure(now, &settings));
    assert!(!breaker.allow(now, &settings));
    let now = now + settings.open_for;
    assert!(breaker.allow(now, &settings));
    assert!(!breaker.allow(now, &settings), "only one trial at a time");
    assert!(breaker.on_failure(now, &settings));
    let now = now + settings.open_for;
    assert!(breaker.allow(now, &settings));
    // The trial had no result, so another one is allowed.
    let now = now + settings.open_for;
    assert!(breaker.allow(now, &settings));
    breaker.on_success();
    assert!(breaker.allow(now, &settings));
}

/// Guards against requests that nothing can run and that are sent again until their deadlines.
#[test]
fn second_attempts_stay_a_share_of_the_first_ones() {
    let mut budget = room::RetryBudget::default();
    let mut now = Instant::now();
    let mut retries = 0;
    for _ in 0..10_000 {
        now += std::time::Duration::from_millis(1);
        budget.on_first_attempt();
        while budget.try_spend(now) {
            retries += 1;
        }
    }
    // A fifth of the first attempts, five a second for 10 s, and the budget of the start.
    assert!((2040..=2070).contains(&retries), "{retries} retries");
}
