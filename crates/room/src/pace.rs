//! How fast an owner's queue for an instance moves, compared with the time that its requests run.

use std::time::{Duration, Instant};

/// Weight of one new measurement in the moving averages.
const NEW_WEIGHT: f64 = 1.0 / 16.0;
/// Greatest factor by which waits are longer than the requests ahead run.
const FACTOR_MAX: f64 = 16.0;

/// Measures how much longer requests wait than those ahead of them run.
///
/// Slots are shared with other owners, and taken by connections that are being opened. Neither is
/// part of a request's service time, and both are part of the wait for a slot.
#[derive(Debug, Default)]
pub struct Pace {
    /// When a request last started while others stayed queued.
    last_start: Option<Instant>,
    /// Moving averages, in seconds: the time between two starts, and the share of a slot's time that
    /// a start takes.
    interval: f64,
    share: f64,
}

impl Pace {
    /// Records that a request started that is expected to run for `cost`; `others_wait` says whether
    /// the queue is not empty after it.
    pub fn on_start(&mut self, now: Instant, cost: Duration, slots: u32, others_wait: bool) {
        let last = std::mem::replace(&mut self.last_start, others_wait.then_some(now));
        let Some(last) = last else {
            return;
        };
        let interval = now.saturating_duration_since(last).as_secs_f64();
        let share = cost.as_secs_f64() / f64::from(slots.max(1));
        self.interval += (interval - self.interval) * NEW_WEIGHT;
        self.share += (share - self.share) * NEW_WEIGHT;
    }

    /// Returns the expected wait behind requests that run for `ahead` in all slots together.
    pub fn expected_wait(&self, ahead: Duration, slots: u32) -> Duration {
        let factor = match self.share > 0.0 {
            true => (self.interval / self.share).clamp(1.0, FACTOR_MAX),
            false => 1.0,
        };
        (ahead / slots.max(1)).mul_f64(factor)
    }
}
