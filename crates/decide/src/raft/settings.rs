//! Settings of consensus.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of this feature.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RaftSettings {
    /// Whether stores found a cluster if all founders are new; not after a first start.
    pub found: bool,
    /// Whether control hosts become voters by themselves, and voters that are lost are dropped.
    pub auto_members: bool,
    /// How long a voter may be silent before another one can take its place.
    #[serde(with = "humantime_serde")]
    pub lost_after: Duration,
    /// The most voters that the leader makes by itself.
    pub voters_max: usize,
    /// How often a leader shows that it is there.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// The shortest silence of a leader after which a voter stands for election.
    #[serde(with = "humantime_serde")]
    pub election_min: Duration,
    /// The longest silence of a leader after which a voter stands for election.
    #[serde(with = "humantime_serde")]
    pub election_max: Duration,
    /// How many applied entries make a snapshot due.
    pub snapshot_after: u64,
    /// How many applied entries stay in memory for members that are a little behind.
    pub trailing: u64,
    /// The most entries in one message.
    pub batch: usize,
    /// How long a host tries to reach the leader for a call.
    #[serde(with = "humantime_serde")]
    pub call_timeout: Duration,
    /// How long a host waits for one voter before it tries the next.
    #[serde(with = "humantime_serde")]
    pub call_retry: Duration,
    /// The most changes in one patch.
    pub patch_changes: usize,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            found: true,
            auto_members: false,
            lost_after: Duration::from_secs(6),
            voters_max: 5,
            heartbeat: Duration::from_millis(50),
            election_min: Duration::from_millis(300),
            election_max: Duration::from_millis(600),
            snapshot_after: 1_000,
            trailing: 200,
            batch: 64,
            call_timeout: Duration::from_secs(5),
            call_retry: Duration::from_millis(500),
            patch_changes: 1_000,
        }
    }
}

impl RaftSettings {
    /// Checks that the settings fit each other.
    ///
    /// # Errors
    ///
    /// Returns the first setting that does not fit.
    pub fn check(&self) -> Result<(), BadRaftSetting> {
        let bad = |name, rule| Err(BadRaftSetting { name, rule });
        if self.heartbeat < Duration::from_millis(1) {
            return bad("heartbeat", "at least 1 ms");
        }
        if self.election_min < self.heartbeat * 3 {
            return bad("election_min", "at least three heartbeats");
        }
        if self.election_max < self.election_min + self.heartbeat {
            return bad("election_max", "a heartbeat above election_min");
        }
        if self.call_retry < self.heartbeat {
            return bad("call_retry", "at least a heartbeat");
        }
        if self.call_timeout < self.call_retry {
            return bad("call_timeout", "at least call_retry");
        }
        if self.snapshot_after == 0 {
            return bad("snapshot_after", "at least 1");
        }
        if self.batch == 0 {
            return bad("batch", "at least 1");
        }
        if self.patch_changes == 0 {
            return bad("patch_changes", "at least 1");
        }
        Ok(())
    }
}

/// A setting that does not fit the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("raft.{name} must be {rule}")]
pub struct BadRaftSetting {
    /// The setting.
    pub name: &'static str,
    /// What it must be.
    pub rule: &'static str,
}
