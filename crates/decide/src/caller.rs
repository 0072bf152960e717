//! What callers do, without any wire format.

use std::sync::Arc;

use model::{Position, Request, RequestId, RouteId, ServiceId, SessionId, WorkspaceId};

/// Something that a caller did.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// A caller wants a session.
    Login {
        /// The new session.
        session: SessionId,
        /// Who it says it is.
        login: Login,
    },
    /// A caller sends a request.
    Request {
        /// The session.
        session: SessionId,
        /// Numbers the request.
        id: RequestId,
        /// The request; the session's workspace and service are already in it.
        req: Request,
    },
    /// A caller is gone.
    Closed {
        /// The session.
        session: SessionId,
    },
}

/// What a caller shows when it asks for a session.
#[derive(Clone)]
pub struct Login {
    /// The workspace, or none on an open route.
    pub workspace: Option<WorkspaceId>,
    /// The service that it wants to reach; a route, where one is named, decides instead.
    pub service: ServiceId,
    /// The route that it wants to use.
    pub route: Option<RouteId>,
    /// The key in the form `keyid.secret`, or its secret alone on a route.
    pub password: Arc<str>,
    /// The position that the caller brings from an earlier session.
    pub token: Option<Position>,
}

impl std::fmt::Debug for Login {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Login")
            .field("workspace", &self.workspace)
            .field("service", &self.service)
            .field("route", &self.route)
            .field("token", &self.token)
            .finish_non_exhaustive()
    }
}
