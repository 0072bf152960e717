//! Log lines on primaries, events 300 to 399.

use std::fmt;

use model::{HostId, Position, ServiceId, Term, UpstreamId};

use crate::group::suspect::Reason;
use crate::log_event::NumberedEvent;
use crate::upstream_query::QueryError;

/// Log lines of this area.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupLogEvent {
    /// An instance answers no probe any more.
    Down {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
        /// How the last probe failed.
        error: QueryError,
    },
    /// An instance answers probes again.
    Up {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
    },
    /// A service seems to need another primary.
    Suspected {
        /// The service.
        service: ServiceId,
        /// The term of the primary.
        term: Term,
        /// Why.
        reason: Reason,
    },
    /// Another owner still sees a primary that can confirm writes.
    Contradicted {
        /// The service.
        service: ServiceId,
        /// The term of the primary.
        term: Term,
        /// Who sees it.
        host: HostId,
    },
    /// This host asks the instances to promise it a term.
    Candidate {
        /// The service.
        service: ServiceId,
        /// The new term.
        term: Term,
        /// Why.
        reason: Reason,
    },
    /// A majority of the instances has promised the term.
    Promised {
        /// The service.
        service: ServiceId,
        /// The term.
        term: Term,
        /// The instance to promote.
        chosen: UpstreamId,
        /// The place that its log has reached.
        position: Position,
    },
    /// This host has promoted an instance.
    Promoted {
        /// The service.
        service: ServiceId,
        /// The term.
        term: Term,
        /// The new primary.
        upstream: UpstreamId,
    },
    /// An attempt to replace a primary has failed.
    GaveUp {
        /// The service.
        service: ServiceId,
        /// The term of the attempt.
        term: Term,
        /// What failed.
        why: &'static str,
    },
    /// An instance is told to follow the primary.
    Following {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
        /// The term.
        term: Term,
        /// The primary to follow.
        primary: UpstreamId,
    },
    /// An instance that took writes in an older term is told to follow the primary.
    Deposed {
        /// The service.
        service: ServiceId,
        /// The old primary.
        upstream: UpstreamId,
        /// Its term.
        term: Term,
    },
    /// A primary of a newer term has been seen.
    Learned {
        /// The service.
        service: ServiceId,
        /// The term.
        term: Term,
        /// The primary.
        upstream: UpstreamId,
    },
}

impl NumberedEvent for GroupLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Down { .. } => 300,
            Self::Up { .. } => 301,
            Self::Suspected { .. } => 310,
            Self::Contradicted { .. } => 311,
            Self::Candidate { .. } => 320,
            Self::Promised { .. } => 321,
            Self::Promoted { .. } => 322,
            Self::GaveUp { .. } => 323,
            Self::Following { .. } => 330,
            Self::Deposed { .. } => 331,
            Self::Learned { .. } => 340,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Down { .. } | Self::Suspected { .. } | Self::Deposed { .. } => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

impl fmt::Display for GroupLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down {
                service,
                upstream,
                error,
            } => write!(
                f,
                "down service={service} upstream={upstream} error={error:?}"
            ),
            Self::Up { service, upstream } => {
                write!(f, "up service={service} upstream={upstream}")
            }
            Self::Suspected {
                service,
                term,
                reason,
            } => write!(f, "suspected service={service} term={term} reason={reason}"),
            Self::Contradicted {
                service,
                term,
                host,
            } => write!(f, "contradicted service={service} term={term} host={host}"),
            Self::Candidate {
                service,
                term,
                reason,
            } => write!(f, "candidate service={service} term={term} reason={reason}"),
            Self::Promised {
                service,
                term,
                chosen,
                position,
            } => write!(
                f,
                "promised service={service} term={term} chosen={chosen} position={position}"
            ),
            Self::Promoted {
                service,
                term,
                upstream,
            } => write!(
                f,
                "promoted service={service} term={term} upstream={upstream}"
            ),
            Self::GaveUp { service, term, why } => {
                write!(f, "gave_up service={service} term={term} why={why}")
            }
            Self::Following {
                service,
                upstream,
                term,
                primary,
            } => write!(
                f,
                "following service={service} upstream={upstream} term={term} primary={primary}"
            ),
            Self::Deposed {
                service,
                upstream,
                term,
            } => write!(
                f,
                "deposed service={service} upstream={upstream} term={term}"
            ),
            Self::Learned {
                service,
                term,
                upstream,
            } => write!(
                f,
                "learned service={service} term={term} upstream={upstream}"
            ),
        }
    }
}
