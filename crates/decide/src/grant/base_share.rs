//! Base shares: the part of a workspace's rate and burst that a host may use while it gets no
//! grants from the leader.
//!
//! It follows from the configuration and the host's share index alone, so that a host needs no
//! message to know it.

use model::WorkspaceId;
use model::config::Workspace;

use crate::grant::{GrantSettings, NanoTokens};

/// The number under which a host has its base shares, below `hosts_max`.
pub type ShareIndex = u16;

/// The rate and burst of a workspace that a host may use while it is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaseShare {
    /// Refill in billionths of tokens a second.
    pub rate: u128,
    /// Capacity in tokens.
    pub burst: u32,
}

/// The division of a workspace's base burst over share indexes.
struct BaseDivision {
    /// How many share indexes have a base share of the workspace.
    shares: u16,
    /// The burst of each base share in tokens.
    burst: u32,
}

impl BaseDivision {
    /// Divides the burst into whole tokens; if it is small, only some share indexes get one.
    fn for_workspace(cfg: &Workspace, settings: &GrantSettings) -> Self {
        let burst = settings.limits(cfg).burst;
        let base_burst = (f64::from(burst) * settings.base_share) as u32;
        let max = settings.hosts_max;
        match base_burst / u32::from(max.max(1)) {
            0 => Self {
                shares: u16::try_from(base_burst).unwrap_or(max).min(max),
                burst: 1,
            },
            burst => Self { shares: max, burst },
        }
    }
}

/// Returns the base share of a workspace for a share index, if it has one.
pub fn base_share(
    workspace: &WorkspaceId,
    cfg: &Workspace,
    share_index: ShareIndex,
    settings: &GrantSettings,
) -> Option<BaseShare> {
    let BaseDivision { shares, burst } = BaseDivision::for_workspace(cfg, settings);
    let max = u64::from(settings.hosts_max.max(1));
    // Workspaces with fewer shares than hosts start at different share indexes, so that the shares
    // don't all go to the same hosts.
    let offset: u64 = workspace.bytes().map(u64::from).sum();
    if share_index >= settings.hosts_max
        || (u64::from(share_index) + offset) % max >= u64::from(shares)
    {
        return None;
    }
    let base_rate = (settings.limits(cfg).rate as f64 * settings.base_share) as NanoTokens;
    let rate = base_rate / NanoTokens::from(shares);
    Some(BaseShare { rate, burst })
}

/// Returns the burst of all base shares of a workspace together, in tokens.
pub(crate) fn base_burst(cfg: &Workspace, settings: &GrantSettings) -> u32 {
    let BaseDivision { shares, burst } = BaseDivision::for_workspace(cfg, settings);
    u32::from(shares) * burst
}
