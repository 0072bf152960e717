//! Log lines as data, numbered by area.

use std::fmt;

use crate::{authority, grant, group, owner, raft, session, spread};

/// A log line of one of the areas.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// Events 100 to 199: sessions and routing.
    Session(session::SessionLogEvent),
    /// Events 200 to 299: owners, queues and connections.
    Owner(owner::OwnerLogEvent),
    /// Events 300 to 399: primaries.
    Group(group::GroupLogEvent),
    /// Events 350 to 359: the quorum's authority over primaries.
    Authority(authority::AuthorityLogEvent),
    /// Events 400 to 499: control state.
    Raft(raft::RaftLogEvent),
    /// Events 500 to 599: hosts, upstreams and configuration in force.
    Spread(spread::SpreadLogEvent),
    /// Events 600 to 699: rates.
    Grant(grant::GrantLogEvent),
}

/// A log line that has a number and a level; its display is `key=value` fields.
pub trait NumberedEvent: fmt::Display {
    /// Returns the number under which the catalogue lists the event.
    fn number(&self) -> u16;
    /// Returns how loud the event is.
    fn level(&self) -> log::Level;
}

macro_rules! each {
    ($event:expr, $inner:ident => $body:expr) => {
        match $event {
            LogEvent::Session($inner) => $body,
            LogEvent::Owner($inner) => $body,
            LogEvent::Group($inner) => $body,
            LogEvent::Authority($inner) => $body,
            LogEvent::Raft($inner) => $body,
            LogEvent::Spread($inner) => $body,
            LogEvent::Grant($inner) => $body,
        }
    };
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        each!(self, event => event.fmt(f))
    }
}

impl NumberedEvent for LogEvent {
    fn number(&self) -> u16 {
        each!(self, event => event.number())
    }

    fn level(&self) -> log::Level {
        each!(self, event => event.level())
    }
}

macro_rules! wrap {
    ($($variant:ident($inner:ty)),* $(,)?) => {
        $(impl From<$inner> for LogEvent {
            fn from(event: $inner) -> Self {
                Self::$variant(event)
            }
        })*
    };
}

wrap! {
    Session(session::SessionLogEvent),
    Owner(owner::OwnerLogEvent),
    Group(group::GroupLogEvent),
    Authority(authority::AuthorityLogEvent),
    Raft(raft::RaftLogEvent),
    Spread(spread::SpreadLogEvent),
    Grant(grant::GrantLogEvent),
}
