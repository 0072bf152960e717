//! The expected wait behind queued requests, and the order of those that wait.

use std::time::{Duration, Instant};

use room::{Pace, Waiting};

const COST: Duration = Duration::from_millis(10);

/// Guards against requests that are queued although they can't meet their objective: slots that
/// another owner uses, or connections that open, were no part of the expected wait.
#[test]
fn a_queue_that_moves_at_half_of_its_speed_doubles_the_expected_wait() {
    let mut pace = Pace::default();
    let ahead = COST * 8;
    assert_eq!(pace.expected_wait(ahead, 4), COST * 2);
    let mut now = Instant::now();
    for _ in 0..100 {
        now += COST / 2;
        pace.on_start(now, COST, 4, true);
    }
    let wait = pace.expected_wait(ahead, 4);
    assert!(
        wait.abs_diff(COST * 4) < Duration::from_millis(1),
        "{wait:?}"
    );
    // Time without a queue is not counted.
    pace.on_start(now, COST, 4, false);
    pace.on_start(now + COST * 100, COST, 4, true);
    let after = pace.expected_wait(ahead, 4);
    assert!(after.abs_diff(wait) < Duration::from_millis(3), "{after:?}");
}

#[test]
fn late_requests_go_last_and_open_transactions_first() {
    let waiting = |priority, until_objective| Waiting {
        priority,
        continues_transaction: false,
        until_objective,
        cost: COST,
    };
    let (soon, late) = (COST * 2, COST / 2);
    let transaction = Waiting {
        continues_transaction: true,
        ..waiting(9, late)
    };
    let order = [
        transaction,
        waiting(0, soon),
        waiting(1, soon),
        waiting(0, late),
    ];
    let ranks = order.map(|waiting| waiting.rank());
    assert!(ranks.is_sorted_by(|a, b| a <= b), "{ranks:?}");
    assert!(!transaction.is_late() && order[3].is_late());
}
