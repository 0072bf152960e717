//! Log lines about sessions and their requests.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{HostId, Refusal, RequestId, ServiceId, SessionId, UpstreamId, Verdict, WorkspaceId};

use crate::log_event::NumberedEvent;

/// Log lines of this area.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionLogEvent {
    /// A request was sent to an upstream.
    Routed {
        /// The session.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// The caller's own id of it.
        label: Arc<str>,
        /// The upstream.
        upstream: UpstreamId,
        /// The owner that the request went to.
        owner: HostId,
        /// Why this upstream was taken.
        reason: &'static str,
    },
    /// A request waits, since nothing can run it yet.
    Parked {
        /// The session.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// The caller's own id of it.
        label: Arc<str>,
        /// Why it waits.
        refusal: Refusal,
    },
    /// A read without an answer was sent to another owner too.
    Hedged {
        /// The session.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// The caller's own id of it.
        label: Arc<str>,
        /// The upstream that has not answered.
        upstream: UpstreamId,
        /// The owner that has not answered.
        owner: HostId,
        /// How long the request has been there.
        waited: Duration,
    },
    /// A request was answered without having certainly run.
    Answered {
        /// The session.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// The caller's own id of it.
        label: Arc<str>,
        /// Who would have paid.
        workspace: WorkspaceId,
        /// How long it was there.
        waited: Duration,
        /// Whether it may have run.
        verdict: Verdict,
    },
    /// A caller asked for a session.
    Login {
        /// The session.
        session: SessionId,
        /// The workspace, or none on an open route.
        workspace: Option<WorkspaceId>,
        /// The service.
        service: ServiceId,
        /// The refusal, if it was turned away.
        refusal: Option<Refusal>,
    },
    /// A session was ended by the system.
    Ended {
        /// The session.
        session: SessionId,
        /// Why.
        refusal: Refusal,
    },
}

impl NumberedEvent for SessionLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Routed { .. } => 100,
            Self::Parked { .. } => 101,
            Self::Answered { .. } => 102,
            Self::Hedged { .. } => 103,
            Self::Login { .. } => 110,
            Self::Ended { .. } => 111,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Answered { .. } | Self::Ended { .. } => log::Level::Warn,
            Self::Login { refusal, .. } if refusal.is_some() => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

impl fmt::Display for SessionLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Routed {
                session,
                request,
                label,
                upstream,
                owner,
                reason,
            } => write!(
                f,
                "routed session={session} request={request} id={label} upstream={upstream} owner={owner} reason={reason}"
            ),
            Self::Parked {
                session,
                request,
                label,
                refusal,
            } => write!(
                f,
                "parked session={session} request={request} id={label} reason={refusal:?}"
            ),
            Self::Answered {
                session,
                request,
                label,
                workspace,
                waited,
                verdict,
            } => write!(
                f,
                "answered session={session} request={request} id={label} workspace={workspace} waited_ms={} verdict={verdict:?}",
                waited.as_millis()
            ),
            Self::Hedged {
                session,
                request,
                label,
                upstream,
                owner,
                waited,
            } => write!(
                f,
                "hedged session={session} request={request} id={label} upstream={upstream} owner={owner} waited_ms={}",
                waited.as_millis()
            ),
            Self::Login {
                session,
                workspace,
                service,
                refusal,
            } => {
                let workspace = workspace.as_deref().unwrap_or("-");
                write!(
                    f,
                    "login session={session} workspace={workspace} service={service}"
                )?;
                match refusal {
                    Some(refusal) => write!(f, " refused={refusal:?}"),
                    None => write!(f, " admitted"),
                }
            }
            Self::Ended { session, refusal } => {
                write!(f, "ended session={session} reason={refusal:?}")
            }
        }
    }
}
