//! Settings of consensus on the control state (table `raft`).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of consensus on the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RaftSettings {
    /// Whether founders bootstrap a cluster of their new stores; turn it off after the first start.
    /// They do so only if the stores of all founders are new.
    pub found: bool,
    /// Whether control hosts become voters and lost voters are removed without operators' calls.
    pub auto_members: bool,
    /// Time without an answer after which a voter counts as lost and may be replaced.
    #[serde(with = "humantime_serde")]
    pub lost_after: Duration,
    /// The highest number of voters that the leader adds without an operator's call.
    pub voters_max: usize,
    /// Interval between the heartbeats of a leader.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// The shortest time without a leader's message until a voter starts a pre-vote.
    #[serde(with = "humantime_serde")]
    pub election_min: Duration,
    /// The longest time without a leader's message until a voter starts a pre-vote.
    /// Each voter draws its own between the two.
    #[serde(with = "humantime_serde")]
    pub election_max: Duration,
    /// Number of applied entries after which the log is compacted into a snapshot.
    pub snapshot_after: u64,
    /// Number of applied entries that stay in memory after a compaction, for slower members.
    pub trailing: u64,
    /// The highest number of entries in one message.
    pub batch: usize,
    /// Time after which a host gives up a call that the leader hasn't answered.
    #[serde(with = "humantime_serde")]
    pub call_timeout: Duration,
    /// Time that a host waits for one voter's answer to a call before it tries the next.
    #[serde(with = "humantime_serde")]
    pub call_retry: Duration,
    /// The highest number of changes in one patch.
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

/// A setting that is out of range or does not fit the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("raft.{name} must be {rule}")]
pub struct BadRaftSetting {
    /// Name of the setting within table `raft`.
    pub name: &'static str,
    /// The condition that it breaks.
    pub rule: &'static str,
}
