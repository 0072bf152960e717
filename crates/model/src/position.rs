//! Terms of primaries, and positions in a service's log.

use serde::{Deserialize, Serialize};

/// Term of a service's primary; each promotion has a higher term than all before.
pub type Term = u64;
/// Byte offset in a service's log.
pub type LogPosition = u64;

/// Position in a service's log. The one with the higher term is later, whatever the offsets.
///
/// Written as `TERM/OFFSET`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the last entry before the position.
    pub term: Term,
    /// Offset of the end of that entry.
    pub offset: LogPosition,
}

impl Position {
    /// Creates a position.
    pub fn new(term: Term, offset: LogPosition) -> Self {
        Self { term, offset }
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.term, self.offset)
    }
}

/// The text isn't of the form `TERM/OFFSET`.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a position reads TERM/OFFSET, such as 3/1200")]
pub struct BadPosition;

impl std::str::FromStr for Position {
    type Err = BadPosition;

    fn from_str(text: &str) -> Result<Self, BadPosition> {
        let (term, offset) = text.split_once('/').ok_or(BadPosition)?;
        let term = term.parse().map_err(|_| BadPosition)?;
        let offset = offset.parse().map_err(|_| BadPosition)?;
        Ok(Self { term, offset })
    }
}
