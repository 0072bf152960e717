//! The base shares, which follow from configuration and share index alone.

use model::WorkspaceId;
use model::config::Workspace;

use crate::grant::{GrantSettings, NanoTokens};

/// Numbers the hosts that can have a base share, below `hosts_max`.
pub type ShareIndex = u16;

/// What a host may use of a workspace's rate while it is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaseShare {
    /// Billionths of tokens a second.
    pub rate: u128,
    /// Tokens at once.
    pub burst: u32,
}

/// How a workspace's base is divided.
struct Division {
    /// How many share indexes carry a share.
    shares: u16,
    /// The burst of each.
    burst: u32,
}

impl Division {
    /// Divides the burst into whole tokens, among fewer share indexes if it is small.
    fn of(cfg: &Workspace, settings: &GrantSettings) -> Self {
        let burst = settings.limits(cfg).burst;
        let base = (f64::from(burst) * settings.base_share) as u32;
        let max = settings.hosts_max;
        match base / u32::from(max.max(1)) {
            0 => Self {
                shares: u16::try_from(base).unwrap_or(max).min(max),
                burst: 1,
            },
            burst => Self { shares: max, burst },
        }
    }
}

/// Returns the base share of a share index, if it has one.
pub fn base_share(
    workspace: &WorkspaceId,
    cfg: &Workspace,
    share_index: ShareIndex,
    settings: &GrantSettings,
) -> Option<BaseShare> {
    let Division { shares, burst } = Division::of(cfg, settings);
    let max = u64::from(settings.hosts_max.max(1));
    // Workspaces with few shares start at different share indexes.
    let offset: u64 = workspace.bytes().map(u64::from).sum();
    if share_index >= settings.hosts_max
        || (u64::from(share_index) + offset) % max >= u64::from(shares)
    {
        return None;
    }
    let all = (settings.limits(cfg).rate as f64 * settings.base_share) as NanoTokens;
    let rate = all / NanoTokens::from(shares);
    Some(BaseShare { rate, burst })
}

/// Returns the burst of all base shares of a workspace together.
pub(crate) fn base_burst(cfg: &Workspace, settings: &GrantSettings) -> u32 {
    let Division { shares, burst } = Division::of(cfg, settings);
    u32::from(shares) * burst
}
