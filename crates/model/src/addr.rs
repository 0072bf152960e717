//! Name, data centre, address and roles of a host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, HostId, Incarnation};

/// What a host makes known of itself to all other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// The host's name.
    pub host: HostId,
    /// The data centre in which the host runs.
    pub data_centre: DataCentreId,
    /// Address on which it accepts connections from other hosts.
    pub peer_addr: SocketAddr,
    /// Which start of the host this is.
    pub incarnation: Incarnation,
    /// Number of traffic parts (threads that serve callers and upstream connections); 0 on a
    /// host that isn't an entry host.
    pub traffic_parts: u16,
    /// Whether it serves callers and may hold pooled connections to upstreams.
    pub is_entry_host: bool,
    /// Whether it stores the replicated control state and may vote on it.
    pub is_control_host: bool,
    /// Whether it is shutting down and takes no new work.
    pub leaving: bool,
}
