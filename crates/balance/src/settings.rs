//! Settings of the choice of instances and owners.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the choice of instances and owners; each feature is off by default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BalanceSettings {
    /// Whether a workspace's requests for an instance go to the same owner while that is usable.
    pub preferred_owner: bool,
    /// Whether owners report their loads to each other and forward reads to sibling instances.
    ///
    /// A host of an earlier version drops the link on these messages: upgrade all hosts first.
    pub forward_reads: bool,
    /// Whether reads of an instance that fails many of them are sent to other instances.
    ///
    /// Owners forward most reads of an instance that answers many with errors or resets their
    /// connections, and a read that failed so is sent to another instance once. A host of an earlier
    /// version drops the link on these messages: upgrade all hosts first.
    pub eject_faulty: bool,
    /// The expected wait from which an owner forwards a read.
    ///
    /// The other owner may have to open a connection, which occupies a slot for 12 ms on the first
    /// deployment: a shorter wait isn't worth that.
    #[serde(with = "humantime_serde")]
    pub forward_after: Duration,
    /// The shortest time between two reports of an instance's load by one owner.
    #[serde(with = "humantime_serde")]
    pub report_interval: Duration,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            preferred_owner: false,
            forward_reads: false,
            eject_faulty: false,
            forward_after: Duration::from_millis(12),
            report_interval: Duration::from_millis(100),
        }
    }
}

impl BalanceSettings {
    /// Returns the age from which a report is not used any more: three reports were missed.
    pub fn max_report_age(&self) -> Duration {
        self.report_interval * 3
    }
}
