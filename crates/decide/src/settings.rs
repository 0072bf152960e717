//! The settings of all features; each feature's module defines its type and defaults.

use room::RoomSettings;
use serde::{Deserialize, Serialize};

use crate::grant::GrantSettings;
use crate::group::GroupSettings;
use crate::owner::OwnerSettings;
use crate::raft::RaftSettings;
use crate::session::SessionSettings;
use crate::spread::SpreadSettings;

pub use balance::BalanceSettings;

/// The settings that decisions depend on, one table for each feature.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Sessions of callers, deadlines and hedged reads.
    pub session: SessionSettings,
    /// Queues and connections on the owners of upstreams.
    pub owner: OwnerSettings,
    /// Detection and replacement of primaries.
    pub group: GroupSettings,
    /// Consensus over the control state.
    pub raft: RaftSettings,
    /// Membership, liveness and dissemination of the configuration.
    pub spread: SpreadSettings,
    /// Distribution of workspaces' rates over the hosts.
    pub grant: GrantSettings,
    /// Capacity under pressure.
    pub room: RoomSettings,
    /// Choice of instances and owners by load.
    pub balance: BalanceSettings,
}
