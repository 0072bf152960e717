//! The warm-up ramp: how many requests a cold instance gets from each of its owners.

use std::time::Instant;

/// Most tokens that an owner saves up, so that few requests start at the same moment.
const BURST: f64 = 2.0;
/// Tokens of an owner that starts; a change of owners so adds little to the rate.
const FIRST_TOKENS: f64 = 1.0;

/// Tokens of one owner for the requests to one cold instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Tokens gained in a second.
    per_s: f64,
    tokens: f64,
    /// When the tokens were last counted.
    counted_at: Instant,
}

impl Ramp {
    /// Returns the ramp of one of `owners` owners of an instance that may get `per_s` requests a
    /// second from all of them.
    pub fn new(now: Instant, per_s: u32, owners: usize) -> Self {
        Self {
            per_s: share(per_s, owners),
            tokens: FIRST_TOKENS,
            counted_at: now,
        }
    }

    /// Sets the rate and the number of owners, and keeps the tokens.
    pub fn set_rate(&mut self, now: Instant, per_s: u32, owners: usize) {
        self.refill(now);
        self.per_s = share(per_s, owners);
    }

    /// Returns whether there is a token for a request.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Spends a token, also one that is not there: a statement of an open transaction can't run
    /// elsewhere.
    pub fn spend(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.counted_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.per_s).min(BURST);
        self.counted_at = now;
    }
}

fn share(per_s: u32, owners: usize) -> f64 {
    f64::from(per_s) / owners.max(1) as f64
}
