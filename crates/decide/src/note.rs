//! Log lines as data, numbered by area.

use std::fmt;

use crate::{authority, grant, group, owner, raft, session, spread};

/// A log line of one of the areas.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// Events 100 to 199: sessions and routing.
    Session(session::SessionNote),
    /// Events 200 to 299: owners, queues and connections.
    Owner(owner::OwnerNote),
    /// Events 300 to 399: primaries.
    Group(group::GroupNote),
    /// Events 350 to 359: the quorum's authority over primaries.
    Authority(authority::AuthorityNote),
    /// Events 400 to 499: control state.
    Raft(raft::RaftNote),
    /// Events 500 to 599: hosts, upstreams and configuration in force.
    Spread(spread::SpreadNote),
    /// Events 600 to 699: rates.
    Grant(grant::GrantNote),
}

/// A log line that has a number and a level; its display is `key=value` fields.
pub trait Numbered: fmt::Display {
    /// Returns the number under which the catalogue lists the event.
    fn number(&self) -> u16;
    /// Returns how loud the event is.
    fn level(&self) -> log::Level;
}

macro_rules! each {
    ($note:expr, $inner:ident => $body:expr) => {
        match $note {
            Note::Session($inner) => $body,
            Note::Owner($inner) => $body,
            Note::Group($inner) => $body,
            Note::Authority($inner) => $body,
            Note::Raft($inner) => $body,
            Note::Spread($inner) => $body,
            Note::Grant($inner) => $body,
        }
    };
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        each!(self, note => note.fmt(f))
    }
}

impl Numbered for Note {
    fn number(&self) -> u16 {
        each!(self, note => note.number())
    }

    fn level(&self) -> log::Level {
        each!(self, note => note.level())
    }
}

macro_rules! wrap {
    ($($variant:ident($inner:ty)),* $(,)?) => {
        $(impl From<$inner> for Note {
            fn from(note: $inner) -> Self {
                Self::$variant(note)
            }
        })*
    };
}

wrap! {
    Session(session::SessionNote),
    Owner(owner::OwnerNote),
    Group(group::GroupNote),
    Authority(authority::AuthorityNote),
    Raft(raft::RaftNote),
    Spread(spread::SpreadNote),
    Grant(grant::GrantNote),
}
