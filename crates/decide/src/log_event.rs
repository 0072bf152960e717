//! Log lines as data, with a number for each kind of line.

use std::fmt;

use crate::{authority, evacuation, grant, group, owner, raft, session, spread};

/// A log line of one of the features; each has a range of numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// Events 100 to 199: sessions and routing.
    Session(session::SessionLogEvent),
    /// Events 200 to 279: owners, queues and connections.
    Owner(owner::OwnerLogEvent),
    /// Events 280 to 299: reads forwarded to sibling instances.
    Forward(owner::ForwardLogEvent),
    /// Events 300 to 399, except those of `Authority`: health and primaries of upstreams.
    Group(group::GroupLogEvent),
    /// Events 350 to 359: primaries replaced by the leader of consensus.
    Authority(authority::AuthorityLogEvent),
    /// Events 380 to 399: evacuation of data centres.
    Evacuation(evacuation::EvacLogEvent),
    /// Events 400 to 499: consensus over the control state.
    Raft(raft::RaftLogEvent),
    /// Events 500 to 599: hosts, upstreams and configuration in force.
    Spread(spread::SpreadLogEvent),
    /// Events 600 to 699: distribution of workspaces' rates.
    Grant(grant::GrantLogEvent),
}

/// A log line with a number and a level; it is displayed as its name and `key=value` fields.
pub trait NumberedEvent: fmt::Display {
    /// Returns the number under which `docs/EVENTS.md` lists the event.
    fn number(&self) -> u16;
    /// Returns the level at which the line is logged.
    fn level(&self) -> log::Level;
}

macro_rules! with_inner_event {
    ($event:expr, $inner:ident => $body:expr) => {
        match $event {
            LogEvent::Session($inner) => $body,
            LogEvent::Owner($inner) => $body,
            LogEvent::Forward($inner) => $body,
            LogEvent::Group($inner) => $body,
            LogEvent::Authority($inner) => $body,
            LogEvent::Evacuation($inner) => $body,
            LogEvent::Raft($inner) => $body,
            LogEvent::Spread($inner) => $body,
            LogEvent::Grant($inner) => $body,
        }
    };
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        with_inner_event!(self, event => event.fmt(f))
    }
}

impl NumberedEvent for LogEvent {
    fn number(&self) -> u16 {
        with_inner_event!(self, event => event.number())
    }

    fn level(&self) -> log::Level {
        with_inner_event!(self, event => event.level())
    }
}

macro_rules! impl_from {
    ($($variant:ident($inner:ty)),* $(,)?) => {
        $(impl From<$inner> for LogEvent {
            fn from(event: $inner) -> Self {
                Self::$variant(event)
            }
        })*
    };
}

impl_from! {
    Session(session::SessionLogEvent),
    Owner(owner::OwnerLogEvent),
    Forward(owner::ForwardLogEvent),
    Group(group::GroupLogEvent),
    Authority(authority::AuthorityLogEvent),
    Evacuation(evacuation::EvacLogEvent),
    Raft(raft::RaftLogEvent),
    Spread(spread::SpreadLogEvent),
    Grant(grant::GrantLogEvent),
}
