//! Limits how often an entry host sends requests again that were sent back.

use std::time::Instant;

/// Second attempts that a first one adds to the budget.
const RATIO: f64 = 0.2;
/// Second attempts that the budget gains in a second whatever the load, so that a host with little
/// traffic can try again too.
const PER_SECOND: f64 = 5.0;
/// Second attempts that the budget holds at most: about those of a host that loses one of the
/// owners it uses.
const BURST: f64 = 10.0;

/// A budget of second attempts, as a share of the first ones.
///
/// Without it, requests that nothing can run are sent again until their deadlines, and add the more
/// to an overload the longer it lasts.
#[derive(Debug)]
pub struct RetryBudget {
    /// Second attempts that may be made now; a fraction below 1 allows none yet.
    available: f64,
    refilled_at: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: BURST,
            refilled_at: None,
        }
    }
}

impl RetryBudget {
    /// Adds to the budget for a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.available = (self.available + RATIO).min(BURST);
    }

    /// Takes a second attempt out of the budget; returns `false` if none is left.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        let last = self.refilled_at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(last).as_secs_f64();
        self.available = (self.available + passed * PER_SECOND).min(BURST);
        let affordable = self.available >= 1.0;
        if affordable {
            self.available -= 1.0;
        }
        affordable
    }
}
