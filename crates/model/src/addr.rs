//! Where a host of the fleet stands and how it is reached.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, HostId, Incarnation};

/// A host as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// The host's name.
    pub host: HostId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes links from other hosts.
    pub peer_addr: SocketAddr,
    /// Which start of the host this is.
    pub incarnation: Incarnation,
    /// How many parts hold traffic state.
    pub traffic_parts: u16,
    /// Whether it serves callers and owns upstreams.
    pub is_entry_host: bool,
    /// Whether it is a voter of the control state.
    pub is_control_host: bool,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}
