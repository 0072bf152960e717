//! Log lines as data, numbered 900 to 999.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use ::log::Level;
use model::{Position, Term, UpstreamId};

/// One log line of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The instance has become primary.
    Primary {
        /// The instance.
        upstream: UpstreamId,
        /// The term that it leads.
        term: Term,
    },
    /// The instance has promised a term, and is no primary of a lower one any more.
    Promised {
        /// The instance.
        upstream: UpstreamId,
        /// The promised term.
        term: Term,
    },
    /// The instance follows a primary.
    Follows {
        /// The instance.
        upstream: UpstreamId,
        /// The primary's term.
        term: Term,
        /// The primary.
        primary: UpstreamId,
    },
    /// The instance has cut off what its primary does not have.
    Cut {
        /// The instance.
        upstream: UpstreamId,
        /// Where its log ends now.
        position: Position,
        /// How many entries were cut off.
        entries: usize,
    },
    /// An announcement did not get through to an address.
    NotAnnounced {
        /// The address.
        addr: SocketAddr,
        /// Why.
        error: Arc<str>,
    },
    /// The thread of an instance has panicked.
    Panicked {
        /// The instance.
        upstream: UpstreamId,
    },
}

impl LogEvent {
    /// Returns the number under which the catalogue lists the event.
    pub fn number(&self) -> u16 {
        match self {
            Self::Primary { .. } => 901,
            Self::Promised { .. } => 902,
            Self::Follows { .. } => 903,
            Self::Cut { .. } => 904,
            Self::NotAnnounced { .. } => 905,
            Self::Panicked { .. } => 906,
        }
    }

    /// Returns how loud the event is.
    pub fn level(&self) -> Level {
        match self {
            Self::NotAnnounced { .. } => Level::Debug,
            Self::Panicked { .. } => Level::Error,
            _ => Level::Info,
        }
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Primary { upstream, term } => {
                write!(f, "standin-primary upstream={upstream} term={term}")
            }
            Self::Promised { upstream, term } => {
                write!(f, "standin-promised upstream={upstream} term={term}")
            }
            Self::Follows {
                upstream,
                term,
                primary,
            } => write!(
                f,
                "standin-follows upstream={upstream} term={term} primary={primary}"
            ),
            Self::Cut {
                upstream,
                position,
                entries,
            } => write!(
                f,
                "standin-cut upstream={upstream} position={position} entries={entries}"
            ),
            Self::NotAnnounced { addr, error } => {
                write!(f, "standin-not-announced addr={addr} error={error:?}")
            }
            Self::Panicked { upstream } => write!(f, "standin-panicked upstream={upstream}"),
        }
    }
}
