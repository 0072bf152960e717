//! Settings of failure detection and of the dissemination of facts and configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The `spread` table of the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SpreadSettings {
    /// How often a host sends a heartbeat to each of its parents.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// How long a host may be silent before it counts as dead.
    #[serde(with = "humantime_serde")]
    pub dead_after: Duration,
    /// How long changed facts are gathered before they are sent on.
    #[serde(with = "humantime_serde")]
    pub batch_delay: Duration,
    /// How many children a relay of a large data centre has.
    pub relay_fanout: usize,
    /// How long an upstream's announcement holds without renewal.
    #[serde(with = "humantime_serde")]
    pub announce_lease: Duration,
    /// How long a host serves by a configuration that no quorum has confirmed since.
    #[serde(with = "humantime_serde")]
    pub config_grace: Duration,
    /// How soon a withdrawn key must stop working on every host; bounds `config_grace`.
    #[serde(with = "humantime_serde")]
    pub revoke_within: Option<Duration>,
    /// How recent a confirmation must be for a host that starts.
    #[serde(with = "humantime_serde")]
    pub fresh_within: Duration,
    /// How long a host that starts waits for a recent confirmation.
    #[serde(with = "humantime_serde")]
    pub startup_wait: Duration,
    /// How many past configurations can be sent as differences.
    pub config_history: usize,
    /// How long a dead host or lapsed upstream is remembered.
    #[serde(with = "humantime_serde")]
    pub forget_after: Duration,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(300),
            dead_after: Duration::from_millis(1500),
            batch_delay: Duration::from_millis(20),
            relay_fanout: 24,
            announce_lease: Duration::from_secs(3),
            config_grace: Duration::from_secs(24 * 3600),
            revoke_within: None,
            fresh_within: Duration::from_secs(5),
            startup_wait: Duration::from_secs(3),
            config_history: 1024,
            forget_after: Duration::from_secs(48 * 3600),
        }
    }
}

/// The part of `revoke_within` after which an unconfirmed host refuses requests, in fifths.
const REVOKE_GRACE_FIFTHS: u32 = 4;

impl SpreadSettings {
    /// Returns `config_grace`, bounded by four fifths of `revoke_within`.
    pub fn grace(&self) -> Duration {
        let bound = self
            .revoke_within
            .map(|within| within * REVOKE_GRACE_FIFTHS / 5);
        bound.map_or(self.config_grace, |bound| bound.min(self.config_grace))
    }
}
