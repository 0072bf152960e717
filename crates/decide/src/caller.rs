//! Events of callers' connections, without any wire format.

use bytes::Bytes;
use model::{Position, Request, RequestId, RouteId, ServiceId, SessionId, WorkspaceId};

/// A login, request or end of a caller's connection.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// A caller asks for a session.
    Login {
        /// The number of the new session.
        session: SessionId,
        /// The caller's key, and what it wants to reach.
        login: Login,
    },
    /// A caller sends a request.
    Request {
        /// The caller's session.
        session: SessionId,
        /// The number that the answer carries.
        id: RequestId,
        /// The request; the session's workspace and service are already in it.
        req: Request,
    },
    /// A caller has disconnected.
    Closed {
        /// The session that it had.
        session: SessionId,
    },
}

/// What a caller shows when it asks for a session.
#[derive(Clone)]
pub struct Login {
    /// The workspace that it names; `None` for a service that may be read without a key, and where
    /// the key alone determines the workspace.
    pub workspace: Option<WorkspaceId>,
    /// The service that it wants to reach; unused if a route is named.
    pub service: ServiceId,
    /// The route that it wants to use, if any.
    pub route: Option<RouteId>,
    /// The key as `keyid.secret`, or the secret alone on a route.
    pub password: Bytes,
    /// Log position that the session's reads must see at least, taken over from an earlier session;
    /// `None` if the session starts afresh.
    pub floor: Option<Position>,
}

impl std::fmt::Debug for Login {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Login")
            .field("workspace", &self.workspace)
            .field("service", &self.service)
            .field("route", &self.route)
            .field("floor", &self.floor)
            .finish_non_exhaustive()
    }
}
