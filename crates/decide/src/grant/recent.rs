//! How many tokens were used within a window that slides.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::clock::CLOCK_RATE_MARGIN_PER_MILLE;

/// How much time one entry covers.
const STEP: Duration = Duration::from_millis(50);

/// Uses of the last while, each dated no earlier than it was.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    steps: VecDeque<Step>,
    sum: u32,
}

/// The uses of a short time.
#[derive(Debug)]
struct Step {
    from: Instant,
    to: Instant,
    tokens: u32,
}

impl Recent {
    /// Notes that tokens were used, now at the latest.
    pub(crate) fn add(&mut self, now: Instant, tokens: u32) {
        if tokens == 0 {
            return;
        }
        self.sum += tokens;
        match self.steps.back_mut() {
            Some(step) if now < step.from + STEP => {
                step.to = now;
                step.tokens += tokens;
            }
            _ => self.steps.push_back(Step {
                from: now,
                to: now,
                tokens,
            }),
        }
    }

    /// Returns how many were used within the window that ends now, and forgets the others.
    pub(crate) fn within(&mut self, now: Instant, window: Duration) -> u32 {
        let window = window + window * CLOCK_RATE_MARGIN_PER_MILLE / 1000;
        while let Some(step) = self.steps.front()
            && step.to + window <= now
        {
            self.sum -= step.tokens;
            self.steps.pop_front();
        }
        self.sum
    }
}
