//! Limits how many reads may be hedged, that is, sent a second time.

use serde::{Deserialize, Serialize};

/// Settings of the budget for hedged reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeBudgetSettings {
    /// How many second attempts a read adds to the budget.
    pub ratio: f64,
    /// How many second attempts the budget holds at most.
    pub burst: f64,
}

impl Default for HedgeBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
        }
    }
}

/// Limits second attempts to a share of the reads, so that they can't multiply an overload.
///
/// It is a token bucket that reads fill and second attempts empty.
#[derive(Debug)]
pub struct HedgeBudget {
    settings: HedgeBudgetSettings,
    /// Second attempts that may be made now; a fraction below 1 allows none yet.
    available: f64,
}

impl HedgeBudget {
    /// Returns a full budget.
    pub fn new(settings: HedgeBudgetSettings) -> Self {
        let available = settings.burst;
        Self {
            settings,
            available,
        }
    }

    /// Adds `ratio` second attempts for a read that is sent, up to `burst`.
    pub fn refill_for_read(&mut self) {
        self.available = (self.available + self.settings.ratio).min(self.settings.burst);
    }

    /// Gives back what a second attempt has cost.
    pub fn refund(&mut self) {
        self.available = (self.available + 1.0).min(self.settings.burst);
    }

    /// Takes one second attempt out of the budget; returns `false` if none is left.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.available >= 1.0;
        if affordable {
            self.available -= 1.0;
        }
        affordable
    }
}
