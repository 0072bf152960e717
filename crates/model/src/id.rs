//! Identifiers, as aliases of plain types.

use std::sync::Arc;

/// Names a host, a machine that runs this system.
pub type HostId = Arc<str>;
/// Names a data centre.
pub type DataCentreId = Arc<str>;
/// Names a workspace, a customer with keys, a rate and a set of services.
pub type WorkspaceId = Arc<str>;
/// Names a database service, which is one replicated group of upstreams.
pub type ServiceId = Arc<str>;
/// Names a route, under which callers reach a service by certain rules.
pub type RouteId = Arc<str>;
/// Names an upstream, one database instance of a service.
pub type UpstreamId = Arc<str>;
/// Numbers a caller's session within the thread that accepted it.
pub type SessionId = u64;
/// Numbers a request within the thread that accepted it.
pub type RequestId = u64;
/// Numbers a connection to an upstream within the thread that opened it.
pub type ConnId = u64;
/// Numbers an operator's or platform's call within its host.
pub type CallId = u64;
/// Names a patch, so that a resent one is recognised.
pub type PatchId = Arc<str>;
/// Numbers a start of a host, so that a restarted host differs from its past.
pub type Incarnation = u64;
/// Numbers a thread's part of a host's state: 0 is control, the rest traffic.
pub type PartId = u16;

/// The part that holds a host's control state.
pub const CONTROL_PART: PartId = 0;
/// The first part that holds traffic.
pub const FIRST_TRAFFIC_PART: PartId = 1;

/// Addresses one part of one host's state.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct PartAddr {
    /// The host.
    pub host: HostId,
    /// The part of its state.
    pub part: PartId,
}
