//! Settings of the pools, queues and replica reads of an owner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use model::Request;

use crate::breaker::BreakerSettings;
use crate::pool::PoolKey;

/// How an owner learns its share of an upstream's slots and connections, and how fresh the
/// upstream's data is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CapacitySource {
    /// The upstream grants claims, and its status reports the age of its data.
    #[default]
    Claimed,
    /// The owners divide the announced connections, and replica reads wait for log positions.
    Announced,
}

/// Settings of an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnerSettings {
    /// How many idle connections are kept open to each upstream.
    pub warm_connections: u32,
    /// How long a connection may be idle before it is closed.
    #[serde(with = "humantime_serde")]
    pub idle_timeout: Duration,
    /// The share of a claim's connections that open transactions may hold.
    pub transaction_share: f64,
    /// How long an open transaction may be idle before it is rolled back.
    #[serde(with = "humantime_serde")]
    pub idle_in_transaction: Duration,
    /// How long a leaving host waits for open transactions, of its callers and on its connections.
    #[serde(with = "humantime_serde")]
    pub leave_timeout: Duration,
    /// How long an upstream that has announced that it drains still gets new requests.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: Duration,
    /// How long a read may wait for a replica that is expected to reach its floor.
    #[serde(with = "humantime_serde")]
    pub replica_wait: Duration,
    /// How long to wait after a failed attempt to open a connection.
    #[serde(with = "humantime_serde")]
    pub open_backoff: Duration,
    /// How an owner learns its share of an upstream: claimed or announced.
    pub capacity: CapacitySource,
    /// Announced connections of an upstream that its owners leave free where they divide them.
    pub spare_connections: u32,
    /// How often an owner of a replica queries the primary's log position.
    #[serde(with = "humantime_serde")]
    pub position_refresh: Duration,
    /// Time subtracted from the maximum age of a read for its way to the upstream.
    #[serde(with = "humantime_serde")]
    pub age_margin: Duration,
    /// The circuit breaker of each upstream.
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
            drain_timeout: Duration::from_secs(10),
            replica_wait: Duration::from_millis(20),
            open_backoff: Duration::from_millis(200),
            capacity: CapacitySource::default(),
            spare_connections: 6,
            position_refresh: Duration::from_millis(300),
            age_margin: Duration::from_millis(300),
            breaker: BreakerSettings::default(),
        }
    }
}

impl OwnerSettings {
    /// Returns the key of the pooled connections that a request may run on: its workspace where
    /// capacity is announced; where it is claimed, all workspaces share connections.
    pub(crate) fn pool_key(&self, req: &Request) -> PoolKey {
        (self.capacity == CapacitySource::Announced).then(|| req.workspace.clone())
    }
}
