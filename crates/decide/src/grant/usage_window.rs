//! Counts the tokens used within a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::clock::CLOCK_RATE_MARGIN_PER_MILLE;

/// The longest time from the first to the last use that one interval counts.
const INTERVAL_LENGTH: Duration = Duration::from_millis(50);

/// Recently used tokens, counted in short intervals.
///
/// Each use counts as made at the last use of its interval, so that it never leaves the window too
/// early.
#[derive(Debug, Default)]
pub(crate) struct UsageWindow {
    intervals: VecDeque<Interval>,
    total: u32,
}

/// The tokens used from the first to the last use of an interval.
#[derive(Debug)]
struct Interval {
    from: Instant,
    to: Instant,
    tokens: u32,
}

impl UsageWindow {
    /// Counts tokens that are used at a moment or earlier.
    pub(crate) fn add(&mut self, used_by: Instant, tokens: u32) {
        if tokens == 0 {
            return;
        }
        self.total += tokens;
        match self.intervals.back_mut() {
            Some(interval) if used_by < interval.from + INTERVAL_LENGTH => {
                interval.to = used_by;
                interval.tokens += tokens;
            }
            _ => self.intervals.push_back(Interval {
                from: used_by,
                to: used_by,
                tokens,
            }),
        }
    }

    /// Returns the tokens used within the window that ends now, and drops older uses.
    ///
    /// The window is lengthened by the most that clocks may run apart.
    pub(crate) fn total_within(&mut self, now: Instant, window: Duration) -> u32 {
        let window = window + window * CLOCK_RATE_MARGIN_PER_MILLE / 1000;
        while let Some(interval) = self.intervals.front()
            && interval.to + window <= now
        {
            self.total -= interval.tokens;
            self.intervals.pop_front();
        }
        self.total
    }
}
