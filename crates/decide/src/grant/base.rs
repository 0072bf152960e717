//! The base shares, which follow from configuration and seat alone.

use model::WorkspaceId;
use model::config::Workspace;

use crate::grant::{GrantSettings, NanoTokens};

/// Numbers the hosts that can have a base share, below `hosts_max`.
pub type Seat = u16;

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
    /// How many seats have a share.
    seats: u16,
    /// The burst of each.
    burst: u32,
}

impl Division {
    /// Divides the burst into whole tokens, among fewer seats if it is small.
    fn of(cfg: &Workspace, settings: &GrantSettings) -> Self {
        let burst = settings.limits(cfg).burst;
        let base = (f64::from(burst) * settings.base_share) as u32;
        let max = settings.hosts_max;
        match base / u32::from(max.max(1)) {
            0 => Self {
                seats: u16::try_from(base).unwrap_or(max).min(max),
                burst: 1,
            },
            burst => Self { seats: max, burst },
        }
    }
}

/// Returns the base share of a seat, if it has one.
pub fn base_share(
    workspace: &WorkspaceId,
    cfg: &Workspace,
    seat: Seat,
    settings: &GrantSettings,
) -> Option<BaseShare> {
    let Division { seats, burst } = Division::of(cfg, settings);
    let max = u64::from(settings.hosts_max.max(1));
    // Workspaces with few shares start at different seats.
    let offset: u64 = workspace.bytes().map(u64::from).sum();
    if seat >= settings.hosts_max || (u64::from(seat) + offset) % max >= u64::from(seats) {
        return None;
    }
    let all = (settings.limits(cfg).rate as f64 * settings.base_share) as NanoTokens;
    let rate = all / NanoTokens::from(seats);
    Some(BaseShare { rate, burst })
}

/// Returns the burst of all base shares of a workspace together.
pub(crate) fn base_burst(cfg: &Workspace, settings: &GrantSettings) -> u32 {
    let Division { seats, burst } = Division::of(cfg, settings);
    u32::from(seats) * burst
}
