//! Log events of owners, about the requests, connections and claims of their upstreams.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{ConnId, HostId, RequestId, UpstreamId, WorkspaceId};

use crate::log_event::NumberedEvent;

/// A log event about an upstream that this host owns, or about a request on it.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerLogEvent {
    /// A request was queued and waits for a slot.
    Queued {
        /// The request, with its sender and workspace.
        request: LoggedRequest,
        /// The expected wait in service time of the requests ahead of it.
        ahead: Duration,
    },
    /// A request was given a slot and a connection.
    Dispatched {
        /// The request, with its sender and workspace.
        request: LoggedRequest,
        /// The id of the pooled connection.
        conn: ConnId,
        /// How the connection was chosen: `transaction` (pinned) or `free`.
        reason: &'static str,
        /// Whether the upstream has announced that it drains.
        draining: bool,
    },
    /// A request was refused; it did not run.
    Refused {
        /// The request, with its sender and workspace.
        request: LoggedRequest,
        /// Why it was refused.
        reason: &'static str,
    },
    /// A request was sent back, to run on another upstream or owner.
    Bounced {
        /// The request, with its sender and workspace.
        request: LoggedRequest,
        /// Why it was sent back.
        reason: &'static str,
    },
    /// The owner closed a pooled connection.
    ConnClosed {
        /// The upstream concerned.
        upstream: UpstreamId,
        /// The id of the pooled connection.
        conn: ConnId,
        /// Why it was closed.
        reason: &'static str,
    },
    /// A connection could not be opened, or broke.
    ConnLost {
        /// The upstream concerned.
        upstream: UpstreamId,
        /// The id of the pooled connection.
        conn: ConnId,
        /// How the connection was lost.
        reason: &'static str,
    },
    /// An open transaction was ended by the owner.
    TransactionLost {
        /// The upstream concerned.
        upstream: UpstreamId,
        /// The connection that it was pinned to.
        conn: ConnId,
        /// Why it was ended.
        reason: &'static str,
    },
    /// The circuit breaker of an upstream opened, so it gets no requests for a while.
    BreakerOpened {
        /// The upstream concerned.
        upstream: UpstreamId,
    },
    /// A draining upstream gets no new requests from this host any more.
    DrainEnded {
        /// The upstream concerned.
        upstream: UpstreamId,
        /// Whether it is still the primary, so that its service has none that takes requests.
        is_primary: bool,
        /// How many requests waited for it; those outside of open transactions are sent back.
        queued: usize,
    },
    /// This host's claim on an upstream has changed.
    Claimed {
        /// The upstream concerned.
        upstream: UpstreamId,
        /// How many statements this host may run there at a time.
        slots: u32,
        /// How many connections this host may hold to it.
        connections: u32,
    },
    /// Busy or successful responses have changed how many statements may run on an upstream.
    LimitChanged {
        /// The upstream concerned.
        upstream: UpstreamId,
        /// How many statements this host may run there by its claim.
        slots: u32,
        /// How many it runs at most, since the upstream accepts no more.
        limit: u32,
        /// How many requests wait for it.
        queued: usize,
    },
}

/// The request that a log line is about; displayed as `key=value` pairs.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedRequest {
    /// The upstream concerned.
    pub upstream: UpstreamId,
    /// The workspace that it is charged to.
    pub workspace: WorkspaceId,
    /// The host that sent it.
    pub from: HostId,
    /// The sender's id of the request.
    pub request: RequestId,
    /// The caller's own id of the request, as a log field.
    pub label: Arc<str>,
}

impl fmt::Display for LoggedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            upstream,
            workspace,
            from,
            request,
            label,
        } = self;
        write!(
            f,
            "upstream={upstream} workspace={workspace} from={from} request={request} id={label}"
        )
    }
}

impl NumberedEvent for OwnerLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Queued { .. } => 200,
            Self::Dispatched { .. } => 201,
            Self::Refused { .. } => 202,
            Self::Bounced { .. } => 203,
            Self::ConnClosed { .. } => 204,
            Self::ConnLost { .. } => 205,
            Self::TransactionLost { .. } => 206,
            Self::BreakerOpened { .. } => 207,
            Self::Claimed { .. } => 208,
            Self::DrainEnded { .. } => 209,
            Self::LimitChanged { .. } => 260,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Queued { .. } | Self::ConnClosed { .. } => log::Level::Debug,
            Self::DrainEnded {
                is_primary: true, ..
            } => log::Level::Warn,
            Self::Dispatched { .. }
            | Self::Refused { .. }
            | Self::Bounced { .. }
            | Self::Claimed { .. }
            | Self::LimitChanged { .. }
            | Self::DrainEnded { .. } => log::Level::Info,
            Self::ConnLost { .. } | Self::TransactionLost { .. } | Self::BreakerOpened { .. } => {
                log::Level::Warn
            }
        }
    }
}

impl fmt::Display for OwnerLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Queued { request, ahead } => {
                write!(f, "queued {request} ahead_us={}", ahead.as_micros())
            }
            Self::Dispatched {
                request,
                conn,
                reason,
                draining,
            } => write!(
                f,
                "dispatched {request} conn={conn} reason={reason} draining={draining}"
            ),
            Self::Refused { request, reason } => write!(f, "refused {request} reason={reason}"),
            Self::Bounced { request, reason } => write!(f, "bounced {request} reason={reason}"),
            Self::ConnClosed {
                upstream,
                conn,
                reason,
            } => write!(
                f,
                "connection-closed upstream={upstream} conn={conn} reason={reason}"
            ),
            Self::ConnLost {
                upstream,
                conn,
                reason,
            } => write!(
                f,
                "connection-lost upstream={upstream} conn={conn} reason={reason}"
            ),
            Self::TransactionLost {
                upstream,
                conn,
                reason,
            } => write!(
                f,
                "transaction-lost upstream={upstream} conn={conn} reason={reason}"
            ),
            Self::DrainEnded {
                upstream,
                is_primary,
                queued,
            } => write!(
                f,
                "drain-ended upstream={upstream} primary={is_primary} queued={queued}"
            ),
            Self::LimitChanged {
                upstream,
                slots,
                limit,
                queued,
            } => write!(
                f,
                "limit-changed upstream={upstream} slots={slots} limit={limit} queued={queued}"
            ),
            Self::BreakerOpened { upstream } => write!(f, "breaker-opened upstream={upstream}"),
            Self::Claimed {
                upstream,
                slots,
                connections,
            } => write!(
                f,
                "claimed upstream={upstream} slots={slots} connections={connections}"
            ),
        }
    }
}
