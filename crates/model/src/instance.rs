//! What is known of an upstream: its announcement, its status and its claims.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, HostId, Incarnation, Position, ServiceId, Term, UpstreamId};

/// The part that an upstream plays in its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes writes in its term.
    Primary,
    /// Follows a primary.
    Replica,
}

/// What an upstream says of itself to the system, and renews.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// How many instances its service has in all, present or not.
    pub group_size: u8,
    /// How many statements it runs at a time.
    pub slots: u32,
    /// How many connections it takes in all.
    pub connections: u32,
    /// Which start of the upstream this is; a later start wins over an earlier one.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Rises with each announcement of one start, so that the newest wins.
    pub sequence: u64,
    /// The role that it believes to have, if it says so.
    #[serde(default)]
    pub role: Option<Role>,
    /// Whether it is still slow after its start.
    #[serde(default)]
    pub warming: bool,
    /// Whether it will leave, and goes on with what it has until then.
    #[serde(default)]
    pub draining: bool,
    /// Whether it is leaving and wants no new work.
    pub leaving: bool,
}

impl Announcement {
    /// Returns what orders the announcements of one upstream, also across its starts.
    pub fn recency(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// What an upstream answers when asked for its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its role.
    pub role: Role,
    /// The highest term that it has accepted.
    pub term: Term,
    /// The place that its own log has reached.
    pub position: Position,
    /// How long ago it last knew itself equal to its primary, for a replica.
    pub lag: Duration,
}

/// The part of an upstream's capacity that a host may use until a lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The host that holds it.
    pub host: HostId,
    /// How many statements it may run at a time.
    pub slots: u32,
    /// How many connections it may hold.
    pub connections: u32,
    /// How long it lasts from the moment at which it was asked for.
    pub lease: Duration,
}
