//! The rate of requests to a cold instance, summed over its owners.

use std::time::{Duration, Instant};

use evac::Ramp;

const STEP: Duration = Duration::from_millis(1);

/// The most requests in any second that the rule allows.
fn limit(per_s: u32) -> f64 {
    f64::from(per_s) * 1.5 + 5.0
}

/// Guards against a cold instance that gets more than it can run, also after a time without
/// requests, and while one of its owners is replaced; and against a ramp that lets nothing through.
#[test]
fn no_second_has_more_requests_than_the_rule_allows() {
    for per_s in [1, 3, 20, 200] {
        let start = Instant::now();
        let mut owners = vec![Ramp::new(start, per_s, 2), Ramp::new(start, per_s, 2)];
        let mut spent_at = Vec::new();
        for step in 0..10_000 {
            let now = start + STEP * step;
            // Nothing is sent for a while, so that all tokens that can be saved up are.
            if (3_000..5_000).contains(&step) {
                continue;
            }
            if step == 5_500 {
                owners.push(Ramp::new(now, per_s, 2));
            }
            if step == 6_000 {
                owners.remove(0);
            }
            for owner in &mut owners {
                if owner.has_token(now) {
                    owner.spend(now);
                    spent_at.push(step);
                }
            }
        }
        for (nth, from) in spent_at.iter().enumerate() {
            let within = spent_at[nth..].iter().take_while(|at| **at < from + 1_000);
            assert!((within.count() as f64) <= limit(per_s), "{per_s} a second");
        }
        let first = spent_at.iter().filter(|at| **at < 3_000).count();
        assert!(
            first as u32 >= per_s * 2,
            "{per_s} a second: {first} in 3 s"
        );
    }
}

#[test]
fn statements_of_open_transactions_count_also_beyond_the_rate() {
    let now = Instant::now();
    let mut ramp = Ramp::new(now, 10, 2);
    for _ in 0..6 {
        ramp.spend(now);
    }
    assert!(!ramp.has_token(now + Duration::from_millis(1_100)));
    assert!(ramp.has_token(now + Duration::from_millis(1_300)));
}
