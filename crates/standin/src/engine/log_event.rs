//! The log lines of an instance as data; event numbers 900 to 999 are reserved for them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use ::log::Level;
use model::{Position, Term, UpstreamId};

/// One log line of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An instance has become primary.
    Primary {
        /// The name of the instance.
        upstream: UpstreamId,
        /// The term in which it leads.
        term: Term,
    },
    /// An instance has promised a term, and so is no longer primary in a lower one.
    Promised {
        /// The name of the instance.
        upstream: UpstreamId,
        /// The promised term.
        term: Term,
    },
    /// An instance has started to follow a primary.
    Follows {
        /// The name of the instance.
        upstream: UpstreamId,
        /// The primary's term.
        term: Term,
        /// The primary that it follows.
        primary: UpstreamId,
    },
    /// An instance has removed entries from its log that its primary does not have.
    Cut {
        /// The name of the instance.
        upstream: UpstreamId,
        /// The last position of the log after the removal.
        position: Position,
        /// How many entries were removed.
        entries: usize,
    },
    /// An announcement to a host's API has failed.
    NotAnnounced {
        /// The address of the host's API.
        addr: SocketAddr,
        /// The error of the HTTP client.
        error: Arc<str>,
    },
    /// The thread of an instance has panicked.
    Panicked {
        /// The name of the instance.
        upstream: UpstreamId,
    },
}

impl LogEvent {
    /// Returns the event's number in `docs/EVENTS.md`.
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

    /// Returns the level at which the event is logged.
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
