//! The settings of owners.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use model::Request;

use crate::breaker::BreakerSettings;
use crate::pool::Lane;

/// How an owner learns what it may use of an upstream, and what the upstream's log has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Capacity {
    /// The upstream grants claims, and statuses tell the age of its data.
    #[default]
    Claimed,
    /// Owners divide what is announced, and reads wait for positions.
    Announced,
}

/// Settings of this feature.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnerSettings {
    /// How many free connections to an upstream are kept open.
    pub warm_connections: u32,
    /// How long a connection may be free before it is closed.
    #[serde(with = "humantime_serde")]
    pub idle_timeout: Duration,
    /// The share of a claim's connections that open transactions may hold.
    pub transaction_share: f64,
    /// How long an open transaction may pause before it is rolled back.
    #[serde(with = "humantime_serde")]
    pub idle_in_transaction: Duration,
    /// How long a leaving host waits for open transactions.
    #[serde(with = "humantime_serde")]
    pub leave_timeout: Duration,
    /// How long a read may wait for a replica that will soon have reached its floor.
    #[serde(with = "humantime_serde")]
    pub replica_wait: Duration,
    /// How long after a failure to open a connection the next one is tried.
    #[serde(with = "humantime_serde")]
    pub open_backoff: Duration,
    /// How an owner learns its share of an upstream: claimed or announced.
    pub capacity: Capacity,
    /// Connections of an upstream that owners leave free, where they divide them.
    pub spare_connections: u32,
    /// How often an owner of a replica learns the primary's position anew.
    #[serde(with = "humantime_serde")]
    pub position_refresh: Duration,
    /// What is taken off the age bound of a read for its way to the upstream.
    #[serde(with = "humantime_serde")]
    pub age_margin: Duration,
    /// When an upstream counts as sick.
    pub breaker: BreakerSettings,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            warm_connections: 2,
            idle_timeout: Duration::from_secs(60),
            transaction_share: 0.5,
            idle_in_transaction: Duration::from_secs(60),
            leave_timeout: Duration::from_secs(20),
            replica_wait: Duration::from_millis(20),
            open_backoff: Duration::from_millis(200),
            capacity: Capacity::default(),
            spare_connections: 6,
            position_refresh: Duration::from_millis(300),
            age_margin: Duration::from_millis(300),
            breaker: BreakerSettings::default(),
        }
    }
}

impl OwnerSettings {
    /// Returns the lane of the connections that a request may run on.
    pub(crate) fn lane(&self, req: &Request) -> Lane {
        (self.capacity == Capacity::Announced).then(|| req.workspace.clone())
    }
}
