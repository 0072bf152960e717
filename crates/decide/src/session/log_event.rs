//! Log events about callers' sessions and their requests.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{
    HostId, LogField, Refusal, RequestId, ServiceId, SessionId, UpstreamId, Verdict, WorkspaceId,
};

use crate::log_event::NumberedEvent;

/// A log event about a caller's session or one of its requests.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionLogEvent {
    /// A request was sent to an upstream.
    Routed {
        /// The caller's session.
        session: SessionId,
        /// The request's number in the session.
        request: RequestId,
        /// The caller's own id of the request, as a log field.
        label: Arc<str>,
        /// The upstream that should run the request.
        upstream: UpstreamId,
        /// The host that owns connections to the upstream and got the request.
        owner: HostId,
        /// Why this upstream was chosen.
        reason: &'static str,
    },
    /// A request waits, since nothing can run it yet.
    Parked {
        /// The caller's session.
        session: SessionId,
        /// The request's number in the session.
        request: RequestId,
        /// The caller's own id of the request, as a log field.
        label: Arc<str>,
        /// Why the request could not run.
        refusal: Refusal,
    },
    /// A read without an answer was sent to another owner too.
    Hedged {
        /// The caller's session.
        session: SessionId,
        /// The request's number in the session.
        request: RequestId,
        /// The caller's own id of the request, as a log field.
        label: Arc<str>,
        /// The upstream that has not answered.
        upstream: UpstreamId,
        /// The owner that has not answered.
        owner: HostId,
        /// Time since the request arrived.
        waited: Duration,
    },
    /// A read was answered with an error of its upstream, and is sent to another one.
    Failed {
        /// The caller's session.
        session: SessionId,
        /// The request's number in the session.
        request: RequestId,
        /// The caller's own id of the request, as a log field.
        label: Arc<str>,
        /// The upstream that answered.
        upstream: UpstreamId,
        /// Time since the request arrived.
        waited: Duration,
    },
    /// An owner has left a check unanswered and gets no requests for a time.
    OwnerSilent {
        /// The owner.
        owner: HostId,
        /// How many requests of this part's callers wait for it.
        waiting: usize,
    },
    /// A silent owner has sent something again.
    OwnerHeard {
        /// The owner.
        owner: HostId,
    },
    /// A request was answered that did not run, or may not have run.
    Answered {
        /// The caller's session.
        session: SessionId,
        /// The request's number in the session.
        request: RequestId,
        /// The caller's own id of the request, as a log field.
        label: Arc<str>,
        /// The workspace whose rate the request counts against.
        workspace: WorkspaceId,
        /// Time since the request arrived.
        waited: Duration,
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// A caller asked for a session.
    Login {
        /// The caller's session.
        session: SessionId,
        /// The workspace that the caller named, if any.
        workspace: Option<WorkspaceId>,
        /// The service or, where the caller named one, the route.
        service: ServiceId,
        /// Why the login was refused; `None` if it was admitted.
        refusal: Option<Refusal>,
    },
    /// This host ended a session.
    Ended {
        /// The caller's session.
        session: SessionId,
        /// Why the session was ended.
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
            Self::OwnerSilent { .. } => 104,
            Self::OwnerHeard { .. } => 105,
            Self::Login { .. } => 110,
            Self::Ended { .. } => 111,
            Self::Failed { .. } => 283,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Answered { .. } | Self::Ended { .. } | Self::OwnerSilent { .. } => {
                log::Level::Warn
            }
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
            Self::Failed {
                session,
                request,
                label,
                upstream,
                waited,
            } => write!(
                f,
                "read-failed session={session} request={request} id={label} upstream={upstream} waited_ms={}",
                waited.as_millis()
            ),
            Self::OwnerSilent { owner, waiting } => {
                write!(f, "owner-silent owner={owner} waiting={waiting}")
            }
            Self::OwnerHeard { owner } => write!(f, "owner-heard owner={owner}"),
            Self::Login {
                session,
                workspace,
                service,
                refusal,
            } => {
                let workspace = LogField::text(workspace.as_deref().unwrap_or("-"));
                let service = LogField::text(service);
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
