//! Circuit breaker: keeps requests from an upstream that fails.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Settings of a circuit breaker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BreakerSettings {
    /// How many failures within the window, without a success between, open the breaker.
    pub failures: u32,
    /// How long a failure is counted.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// How long an upstream may leave a request unanswered before that counts as a failure.
    #[serde(with = "humantime_serde")]
    pub silent_after: Duration,
    /// How long the breaker stays open before a trial request is allowed.
    #[serde(with = "humantime_serde")]
    pub open_for: Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            window: Duration::from_secs(10),
            silent_after: Duration::from_secs(1),
            open_for: Duration::from_secs(1),
        }
    }
}

/// The circuit breaker of one upstream.
#[derive(Debug, Default)]
pub struct Breaker {
    state: BreakerState,
    /// When each failure since the last success occurred; those older than the window are dropped.
    failures: VecDeque<Instant>,
}

/// Which requests the breaker allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum BreakerState {
    /// All requests are allowed.
    #[default]
    Closed,
    /// No request is allowed before `until`.
    Open { until: Instant },
    /// One trial request is under way; another is allowed if the first has no result by `until`.
    HalfOpen { until: Instant },
}

impl Breaker {
    /// Returns whether a request is allowed; an open breaker becomes half-open if it is.
    pub fn allow(&mut self, now: Instant, settings: &BreakerSettings) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until } | BreakerState::HalfOpen { until } if now < until => false,
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {
                let until = now + settings.open_for;
                self.state = BreakerState::HalfOpen { until };
                true
            }
        }
    }

    /// Returns whether the breaker is open.
    pub fn is_open(&self) -> bool {
        matches!(self.state, BreakerState::Open { .. })
    }

    /// Returns whether a trial is under way.
    pub fn is_half_open(&self) -> bool {
        matches!(self.state, BreakerState::HalfOpen { .. })
    }

    /// Closes the breaker since a connection was opened, but keeps the counted failures:
    /// a connection doesn't show that requests are answered.
    pub fn on_connected(&mut self) {
        self.state = BreakerState::Closed;
    }

    /// Closes the breaker since the upstream answered a request, and clears the failures.
    pub fn on_success(&mut self) {
        self.state = BreakerState::Closed;
        self.failures.clear();
    }

    /// Counts a failure; returns whether it opened the breaker.
    pub fn on_failure(&mut self, now: Instant, settings: &BreakerSettings) -> bool {
        self.failures.push_back(now);
        while let Some(first) = self.failures.front()
            && *first + settings.window <= now
        {
            self.failures.pop_front();
        }
        let half_open = matches!(self.state, BreakerState::HalfOpen { .. });
        let threshold_reached = self.failures.len() >= settings.failures as usize;
        if self.is_open() || !(half_open || threshold_reached) {
            return false;
        }
        let until = now + settings.open_for;
        self.state = BreakerState::Open { until };
        true
    }
}
