//! The settings of the byte budget.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How much memory buffers may take, and when a connection that holds much of it is closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// The memory of the machine in MiB; without it, what the system reports.
    pub memory_mb: Option<u64>,
    /// The part of the memory that buffers of callers, links and upstreams may take.
    ///
    /// The rest is for the process itself and for the copies that are made of a buffer while it is
    /// decoded, encoded and sent: up to two at a time.
    pub share: f64,
    /// The part of the budget that only connections with small buffers may use.
    pub small_share: f64,
    /// How many bytes a connection may hold and still use the whole budget.
    pub small_bytes: usize,
    /// How long a peer may make no progress before its connection can be closed to free memory.
    #[serde(with = "humantime_serde")]
    pub stalled_after: Duration,
    /// How long a message between hosts may wait for memory before it is read all the same.
    #[serde(with = "humantime_serde")]
    pub link_wait: Duration,
    /// How long a call on an HTTP listener may take, from its first byte to its response.
    #[serde(with = "humantime_serde")]
    pub call_timeout: Duration,
    /// How many connections each HTTP listener serves; one more closes the oldest without a call.
    pub max_calls: usize,
    /// How many links from other hosts may be opened at a time and not yet be accepted.
    pub max_hellos: usize,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            memory_mb: None,
            share: 0.25,
            small_share: 0.25,
            small_bytes: 64 << 10,
            stalled_after: Duration::from_secs(1),
            link_wait: Duration::from_millis(500),
            call_timeout: Duration::from_secs(15),
            max_calls: 256,
            max_hellos: 64,
        }
    }
}

impl BudgetSettings {
    /// Returns the bytes of the budget; `reported` is the memory in bytes that the system reports.
    pub fn total_bytes(&self, reported: u64) -> usize {
        let memory = self.memory_mb.map_or(reported, |mb| mb << 20);
        // Precision beyond that of `f64` does not matter here.
        (memory as f64 * self.share) as usize
    }

    /// Returns a text for each setting that can't work.
    pub fn faults(&self) -> Vec<String> {
        let share = |name: &str, value: f64| {
            let valid = value > 0.0 && value < 1.0;
            (!valid).then(|| format!("budget.{name}: a share is above 0 and below 1"))
        };
        let positive = |name: &str, value: usize| {
            (value == 0).then(|| format!("budget.{name}: at least 1 is needed"))
        };
        let faults = [
            share("share", self.share),
            share("small_share", self.small_share),
            positive("small_bytes", self.small_bytes),
            positive("max_calls", self.max_calls),
            positive("max_hellos", self.max_hellos),
        ];
        faults.into_iter().flatten().collect()
    }
}
