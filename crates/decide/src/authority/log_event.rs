//! The log lines of the authority over services.

use std::fmt;
use std::time::Duration;

use model::{Position, ServiceId, Term, UpstreamId};

use crate::authority::PromotionError;
use crate::log_event::NumberedEvent;
use crate::raft::LogIndex;

/// Log lines of this area.
#[derive(Clone, Debug, PartialEq)]
pub enum AuthorityLogEvent {
    /// A service needs another primary.
    Suspected {
        /// The service.
        service: ServiceId,
        /// The term of its primary.
        term: Term,
        /// Why.
        reason: &'static str,
        /// How long ago the primary last answered.
        unheard: Option<Duration>,
    },
    /// A replica has stopped receiving.
    Fenced {
        /// The service.
        service: ServiceId,
        /// The replica.
        upstream: UpstreamId,
        /// Its position.
        position: Position,
    },
    /// An instance was chosen.
    Chosen {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
        /// Its position.
        position: Position,
    },
    /// The platform was given an order.
    Ordered {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
        /// The number of the order.
        number: LogIndex,
    },
    /// The platform's answer came, or none did.
    Answered {
        /// The service.
        service: ServiceId,
        /// The number of the order.
        number: LogIndex,
        /// The error, if it was not carried out.
        error: Option<PromotionError>,
    },
    /// An instance leads.
    Leads {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
        /// Its term.
        term: Term,
    },
    /// An attempt was given up.
    GaveUp {
        /// The service.
        service: ServiceId,
        /// Why.
        reason: &'static str,
    },
}

impl NumberedEvent for AuthorityLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Suspected { .. } => 350,
            Self::Fenced { .. } => 351,
            Self::Chosen { .. } => 352,
            Self::Ordered { .. } => 353,
            Self::Answered { .. } => 354,
            Self::Leads { .. } => 355,
            Self::GaveUp { .. } => 356,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Suspected { .. } | Self::GaveUp { .. } => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

impl fmt::Display for AuthorityLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Suspected {
                service,
                term,
                reason,
                unheard,
            } => {
                let unheard = unheard.map_or(-1, |time| time.as_millis() as i64);
                write!(
                    f,
                    "replacement-wanted service={service} term={term} reason={reason} unheard_ms={unheard}"
                )
            }
            Self::Fenced {
                service,
                upstream,
                position,
            } => write!(
                f,
                "replica-fenced service={service} upstream={upstream} position={position}"
            ),
            Self::Chosen {
                service,
                upstream,
                position,
            } => write!(
                f,
                "successor-chosen service={service} upstream={upstream} position={position}"
            ),
            Self::Ordered {
                service,
                upstream,
                number,
            } => write!(
                f,
                "promotion-ordered service={service} upstream={upstream} order={number}"
            ),
            Self::Answered {
                service,
                number,
                error,
            } => {
                let outcome = if error.is_some() {
                    "failed"
                } else {
                    "accepted"
                };
                let error = error.map_or("none", PromotionError::name);
                write!(
                    f,
                    "promotion-answered service={service} order={number} outcome={outcome} error={error}"
                )
            }
            Self::Leads {
                service,
                upstream,
                term,
            } => write!(
                f,
                "primary-confirmed service={service} upstream={upstream} term={term}"
            ),
            Self::GaveUp { service, reason } => {
                write!(f, "replacement-stopped service={service} reason={reason}")
            }
        }
    }
}
