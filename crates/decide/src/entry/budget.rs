//! How many reads may be sent a second time.

use serde::{Deserialize, Serialize};

/// Settings of this feature.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// How many second attempts a read adds to the budget.
    pub ratio: f64,
    /// How many second attempts the budget holds at most.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
        }
    }
}

/// Bounds second attempts to a share of the reads, so that they can't multiply an overload.
#[derive(Debug)]
pub struct Budget {
    settings: BudgetSettings,
    left: f64,
}

impl Budget {
    /// Returns a full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        let left = settings.burst;
        Self { settings, left }
    }

    /// Counts a read that is sent for the first time.
    pub fn on_request(&mut self) {
        self.left = (self.left + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes a second attempt out of the budget; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let some = self.left >= 1.0;
        if some {
            self.left -= 1.0;
        }
        some
    }
}
