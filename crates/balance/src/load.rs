//! What an owner has running and queued for an instance.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The work of one owner, or of all owners, for an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How many statements run.
    pub running: u32,
    /// How many requests wait for a slot or a connection.
    pub queued: u32,
    /// How many statements the instance runs at a time, for all of its owners.
    pub slots: u32,
    /// The expected service time of the running and queued requests together.
    pub work: Duration,
    /// Whether the instance was behind for the last reads that it was to run.
    pub behind: bool,
}

impl LoadReport {
    /// Returns the number of running and queued requests.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }

    /// Returns whether an owner has more than its part of the instance's slots in use.
    ///
    /// Two owners share the slots, and the work of the other one is not in the report.
    pub fn is_loaded(&self) -> bool {
        self.requests() > self.slots / 2
    }

    /// Returns the work of two owners of the same instance together.
    pub fn and(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            queued: self.queued.saturating_add(other.queued),
            slots: self.slots.max(other.slots),
            work: self.work.saturating_add(other.work),
            behind: self.behind || other.behind,
        }
    }

    /// Returns the report with one more request.
    pub fn with_one_more(self, work: Duration) -> Self {
        Self {
            queued: self.queued.saturating_add(1),
            work: self.work.saturating_add(work),
            ..self
        }
    }

    /// Returns how long a new request is expected to wait for a slot.
    pub fn expected_wait(&self) -> Duration {
        let slots = self.slots.max(1);
        let ahead = self.requests().saturating_add(1).saturating_sub(slots);
        self.mean_work().saturating_mul(ahead) / slots
    }

    /// Returns the mean service time of the requests.
    pub fn mean_work(&self) -> Duration {
        self.work / self.requests().max(1)
    }
}
