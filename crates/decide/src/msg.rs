//! The messages between parts, of the same host or of different hosts.

use serde::{Deserialize, Serialize};

use crate::{grant, group, owner, raft, relay, spread};

/// A message from one part to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Consensus between voters, and control calls on their way to the leader.
    Raft(raft::RaftMsg),
    /// Membership: heartbeats, facts and configuration.
    Spread(spread::SpreadMsg),
    /// Agreement between the owners of a service's instances on whether its primary is lost, and
    /// traffic parts' reports of failed connections.
    Group(group::GroupMsg),
    /// Demands for tokens of workspaces' rates, and grants of them.
    Grant(grant::GrantMsg),
    /// Requests on their way to an owner, and answers on their way back.
    Relay(relay::RelayMsg),
    /// Stops of acknowledgements while a primary is replaced, between the leader of consensus and
    /// traffic parts.
    AckStop(owner::ack_gate::AckStopMsg),
}

macro_rules! impl_from {
    ($($variant:ident($inner:ty)),* $(,)?) => {
        $(impl From<$inner> for Msg {
            fn from(msg: $inner) -> Self {
                Self::$variant(msg)
            }
        })*
    };
}

impl_from! {
    Raft(raft::RaftMsg),
    Spread(spread::SpreadMsg),
    Group(group::GroupMsg),
    Grant(grant::GrantMsg),
    Relay(relay::RelayMsg),
    AckStop(owner::ack_gate::AckStopMsg),
}
