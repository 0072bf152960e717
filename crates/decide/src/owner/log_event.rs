//! The log lines of owners.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{ConnId, HostId, RequestId, UpstreamId, WorkspaceId};

use crate::log_event::NumberedEvent;

/// Log lines of this area.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerLogEvent {
    /// A request waits for a slot.
    Queued {
        /// The request.
        what: Subject,
        /// The service time that comes before it.
        ahead: Duration,
    },
    /// A request was given a slot and a connection.
    Dispatched {
        /// The request.
        what: Subject,
        /// The connection.
        conn: ConnId,
        /// Why this connection was taken.
        reason: &'static str,
    },
    /// A request was refused; it did not run.
    Refused {
        /// The request.
        what: Subject,
        /// Why.
        reason: &'static str,
    },
    /// A request was sent back for another upstream or owner.
    Bounced {
        /// The request.
        what: Subject,
        /// Why.
        reason: &'static str,
    },
    /// An upstream's connection was closed.
    ConnClosed {
        /// The upstream.
        upstream: UpstreamId,
        /// The connection.
        conn: ConnId,
        /// Why.
        reason: &'static str,
    },
    /// A connection could not be opened, or broke.
    ConnLost {
        /// The upstream.
        upstream: UpstreamId,
        /// The connection.
        conn: ConnId,
        /// What happened.
        reason: &'static str,
    },
    /// An open transaction was ended by the owner.
    TransactionLost {
        /// The upstream.
        upstream: UpstreamId,
        /// The connection that it was pinned to.
        conn: ConnId,
        /// Why.
        reason: &'static str,
    },
    /// An upstream gets no requests for a while.
    BreakerOpened {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// This host's share of an upstream has changed.
    Claimed {
        /// The upstream.
        upstream: UpstreamId,
        /// How many statements it may run at a time.
        slots: u32,
        /// How many connections it may hold.
        connections: u32,
    },
}

/// The request that a log line is about.
#[derive(Clone, Debug, PartialEq)]
pub struct Subject {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Who pays for it.
    pub workspace: WorkspaceId,
    /// The host that sent it.
    pub from: HostId,
    /// The sender's number of it.
    pub request: RequestId,
    /// The caller's own id of it.
    pub label: Arc<str>,
}

impl fmt::Display for Subject {
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
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Queued { .. } | Self::ConnClosed { .. } => log::Level::Debug,
            Self::Dispatched { .. }
            | Self::Refused { .. }
            | Self::Bounced { .. }
            | Self::Claimed { .. } => log::Level::Info,
            Self::ConnLost { .. } | Self::TransactionLost { .. } | Self::BreakerOpened { .. } => {
                log::Level::Warn
            }
        }
    }
}

impl fmt::Display for OwnerLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Queued { what, ahead } => {
                write!(f, "queued {what} ahead_us={}", ahead.as_micros())
            }
            Self::Dispatched { what, conn, reason } => {
                write!(f, "dispatched {what} conn={conn} reason={reason}")
            }
            Self::Refused { what, reason } => write!(f, "refused {what} reason={reason}"),
            Self::Bounced { what, reason } => write!(f, "bounced {what} reason={reason}"),
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
