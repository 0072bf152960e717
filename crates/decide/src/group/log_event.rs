//! Log events of failure detection and elections, numbers 300 to 349.

use std::fmt;

use model::{HostId, Position, ServiceId, Term, UpstreamId};

use crate::group::failure_detection::ReplaceReason;
use crate::log_event::NumberedEvent;
use crate::upstream_query::QueryError;

/// A log event about a group's instances or its primary.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupLogEvent {
    /// An instance no longer answers probes.
    Down {
        /// Service of the group.
        service: ServiceId,
        /// Instance that is down.
        upstream: UpstreamId,
        /// Error of the last probe.
        error: QueryError,
    },
    /// An instance answers probes again.
    Up {
        /// Service of the group.
        service: ServiceId,
        /// Instance that answers.
        upstream: UpstreamId,
    },
    /// A group seems to need another primary.
    Suspected {
        /// Service of the group.
        service: ServiceId,
        /// Term of the present primary, or 0 if none is known.
        term: Term,
        /// Why the primary must be replaced.
        reason: ReplaceReason,
    },
    /// Another owner still sees a primary that can confirm writes, so the attempt stops.
    Contradicted {
        /// Service of the group.
        service: ServiceId,
        /// Term of the suspected primary.
        term: Term,
        /// Owner that sees a working primary.
        host: HostId,
    },
    /// This host asks the instances to promise it a new term.
    Candidate {
        /// Service of the group.
        service: ServiceId,
        /// Term that this host is a candidate for.
        term: Term,
        /// Why the primary must be replaced.
        reason: ReplaceReason,
    },
    /// A majority of the instances has promised the term.
    Promised {
        /// Service of the group.
        service: ServiceId,
        /// Term that was promised.
        term: Term,
        /// Instance that will be promoted.
        chosen: UpstreamId,
        /// Log position of the chosen instance.
        position: Position,
    },
    /// This host has promoted an instance.
    Promoted {
        /// Service of the group.
        service: ServiceId,
        /// Term of the new primary.
        term: Term,
        /// Instance that is the new primary.
        upstream: UpstreamId,
    },
    /// An attempt to replace a primary has failed and is repeated after a backoff.
    GaveUp {
        /// Service of the group.
        service: ServiceId,
        /// Term that this host was a candidate for.
        term: Term,
        /// Step that failed.
        why: &'static str,
    },
    /// An instance is ordered to follow the primary.
    Following {
        /// Service of the group.
        service: ServiceId,
        /// Instance that gets the order.
        upstream: UpstreamId,
        /// Term of the primary.
        term: Term,
        /// Primary to follow.
        primary: UpstreamId,
    },
    /// An instance that is still primary of an older term is ordered to follow the new primary.
    Deposed {
        /// Service of the group.
        service: ServiceId,
        /// Primary of the older term.
        upstream: UpstreamId,
        /// The older term.
        term: Term,
    },
    /// This host has learned of a primary of a newer term.
    Learned {
        /// Service of the group.
        service: ServiceId,
        /// Term of the primary.
        term: Term,
        /// Instance that is the primary.
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
