//! Type aliases for ids.

use std::sync::Arc;

/// Name of a host, one running instance of this program; from its settings, unique in the fleet.
pub type HostId = Arc<str>;
/// Name of a data centre, as hosts and upstreams state it.
pub type DataCentreId = Arc<str>;
/// Name of a workspace: an account with keys, a request rate and a set of services.
pub type WorkspaceId = Arc<str>;
/// Name of a service, a replicated database that a group of upstreams serves.
pub type ServiceId = Arc<str>;
/// Name of a route, which leads callers to a service and sets the rules for their requests.
pub type RouteId = Arc<str>;
/// Name of an upstream, one database instance of a service.
pub type UpstreamId = Arc<str>;
/// Number of a caller's session, unique within the thread that accepted it.
pub type SessionId = u64;
/// Number of a request, unique within the thread that accepted it.
pub type RequestId = u64;
/// Number of a connection to an upstream, unique within the thread that opened it.
pub type ConnId = u64;
/// Number of a control call by an operator or the platform, unique within its host.
pub type CallId = u64;
/// Id of a patch, drawn by its sender, so that a patch sent again is applied only once.
pub type PatchId = Arc<str>;
/// Which start of a host or upstream; later starts have higher numbers.
///
/// A host uses the milliseconds since the Unix epoch at its start; 0 where an upstream states none.
pub type Incarnation = u64;
/// Number of a part, the state of one thread of a host.
///
/// Part 0 is the control part, which keeps the fleet's shared state; parts from 1 on are traffic
/// parts, which serve callers and hold connections to upstreams.
pub type PartId = u16;

/// The control part of a host.
pub const CONTROL_PART: PartId = 0;
/// The first traffic part of a host; the others follow without gaps.
pub const FIRST_TRAFFIC_PART: PartId = 1;

/// Address of one part of one host, for messages between hosts.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct PartAddr {
    /// The host.
    pub host: HostId,
    /// The part of that host.
    pub part: PartId,
}
