//! Grants shares of a workspace's rate, whose sum never passes it.
//!
//! The leader of consensus keeps one token bucket for each workspace and hands whole tokens
//! out to hosts, for a short lease and by demand. At any moment, what the leader has in hand,
//! what hosts may still use, and the base shares of hosts that are cut off add up to the burst
//! at most; what flows in adds up to the rate at most.

pub(crate) mod alloc;
pub(crate) mod base;
pub(crate) mod book;
pub(crate) mod borrow;
pub(crate) mod hold;
pub(crate) mod leader;
pub(crate) mod recent;
pub(crate) mod reserve;
pub(crate) mod stock;

use std::fmt;
use std::time::{Duration, Instant};

use model::config::Workspace;
use model::{HostId, Incarnation, PartId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::log_event::NumberedEvent;

pub use crate::grant::alloc::Allocator;
pub use crate::grant::base::{BaseShare, ShareIndex, base_share};
pub use crate::grant::hold::Holder;
pub use crate::grant::reserve::{Home, ReserveAsk};

/// Settings of this feature.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GrantSettings {
    /// How long a host may use tokens, and leave its base share unused, after a grant.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// The part of the rate that is kept for hosts that are cut off.
    pub base_share: f64,
    /// How long a host that is cut off may use its base share.
    #[serde(with = "humantime_serde")]
    pub base_lease: Duration,
    /// The time over which rate and burst are counted together, where that is stated.
    #[serde(with = "humantime_serde")]
    pub window: Option<Duration>,
    /// How many hosts can have a base share.
    pub hosts_max: u16,
    /// How often a host that uses tokens reports to the leader.
    #[serde(with = "humantime_serde")]
    pub report_every: Duration,
    /// How much expected demand a host keeps tokens for.
    #[serde(with = "humantime_serde")]
    pub horizon: Duration,
    /// How long a request may wait for a token.
    #[serde(with = "humantime_serde")]
    pub max_wait: Duration,
    /// How far a workspace may pass what its window allows while no leader answers, as a share.
    pub reserve_share: f64,
    /// How many tokens more it may pass that by.
    pub reserve_tokens: u32,
    /// The part of what a workspace's window allows that is kept back for the reserve.
    pub reserve_kept: f64,
    /// How long a host may use its reserve after a grant.
    #[serde(with = "humantime_serde")]
    pub reserve_lease: Duration,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(2),
            base_share: 0.4,
            base_lease: Duration::from_secs(3600),
            window: None,
            hosts_max: 20,
            report_every: Duration::from_millis(100),
            horizon: Duration::from_millis(200),
            max_wait: Duration::from_millis(500),
            reserve_share: 0.0,
            reserve_tokens: 0,
            reserve_kept: 0.0,
            reserve_lease: Duration::from_secs(4),
        }
    }
}

/// What may flow in and be used at once of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Billionths of tokens a second.
    pub(crate) rate: NanoTokens,
    /// Tokens at once.
    pub(crate) burst: u32,
}

impl GrantSettings {
    /// Returns the limits of a workspace.
    ///
    /// Where rate and burst are counted over a window, half of the burst flows in over each
    /// window: what any window holds stays the same, and more of it can be used for long.
    pub(crate) fn limits(&self, cfg: &Workspace) -> Limits {
        let rate = NanoTokens::from(cfg.rate) * TOKEN;
        let Some(window) = self.window.filter(|window| !window.is_zero()) else {
            let burst = cfg.burst;
            return Limits { rate, burst };
        };
        let flows = cfg.burst / 2;
        let flow = NanoTokens::from(flows) * TOKEN * TOKEN / window.as_nanos();
        let used_at_will = (1.0 - self.reserve_kept).clamp(0.0, 1.0);
        Limits {
            rate: ((rate + flow) as f64 * used_at_will) as NanoTokens,
            burst: (f64::from(cfg.burst - flows) * used_at_will) as u32,
        }
    }
}

/// Tokens in billionths, so that a rate a second times nanoseconds is exact.
pub(crate) type NanoTokens = u128;

/// One token.
pub(crate) const TOKEN: NanoTokens = 1_000_000_000;

/// Returns what flows in over a time, even if this clock runs too fast.
pub(crate) fn inflow(per_second: NanoTokens, time: Duration) -> NanoTokens {
    per_second * model::clock::holder_lease(time).as_nanos() / TOKEN
}

/// Returns how many whole tokens there are.
pub(crate) fn whole(tokens: NanoTokens) -> u32 {
    u32::try_from(tokens / TOKEN).unwrap_or(u32::MAX)
}

/// Messages of this area.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrantMsg {
    /// A host tells the leader what it holds and needs.
    Demand(Demand),
    /// The leader hands out tokens.
    Grant(Grant),
    /// A host that the leader does not answer asks the keeper of a reserve for tokens.
    Borrow(Lot),
    /// The keeper of a reserve lends tokens, to use at once.
    Lent(Lot),
    /// A host asks a voter who leads.
    WhoLeads,
    /// A voter says who leads in which term, as far as it knows.
    Leader(Option<(u64, HostId)>),
}

/// What a host holds and needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Which start of the host this is.
    pub incarnation: Incarnation,
    /// Rises with each demand of one start.
    pub seq: u64,
    /// The term of the leader that it is for; grants of lower terms are not taken any more.
    pub term: u64,
    /// The last grant that the host received, by term and number.
    pub echo: Option<(u64, u64)>,
    /// Whether it has run for longer than its uses are counted.
    pub remembers: bool,
    /// The workspaces that it holds tokens of, or needs tokens of.
    pub asks: Vec<Ask>,
}

/// What a host holds and needs of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// How many tokens it may still use.
    pub left: u32,
    /// How many tokens it gives back; they are not in `left`.
    pub returned: u32,
    /// How many requests wait for a token.
    pub need: u32,
    /// How many tokens it would like besides, for the requests that it expects.
    pub want: u32,
    /// Its reserve, unless the leader knows that already.
    pub reserve: Option<ReserveAsk>,
}

/// Tokens for a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The term of the leader.
    pub term: u64,
    /// Rises with each grant of one leader to one host.
    pub number: u64,
    /// The demand that it answers.
    pub demand: u64,
    /// The host's share index, if it has one.
    pub share_index: Option<ShareIndex>,
    /// How long the host may use its tokens, counted from its demand.
    pub lease: Duration,
    /// How long it may use its reserve, counted from its demand.
    pub reserve_lease: Duration,
    /// The tokens.
    pub lots: Vec<GrantLot>,
}

/// Tokens of one workspace in a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantLot {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// How many to use at will.
    pub tokens: u32,
    /// How many for when the leader does not answer.
    pub reserve: u32,
}

/// Tokens of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lot {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// How many.
    pub tokens: u32,
}

/// What a traffic part has used and needs, for the control part of its host.
#[derive(Clone, Debug, PartialEq)]
pub struct PartTokenDemand {
    /// The traffic part.
    pub part: PartId,
    /// One entry for each workspace that something has changed for.
    pub uses: Vec<PartUse>,
}

/// What a traffic part has used and needs of one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct PartUse {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// How many tokens it has used since the last report.
    pub used: u32,
    /// How many tokens it gives back.
    pub returned: u32,
    /// How many requests wait for a token.
    pub need: u32,
    /// How many tokens it would like besides.
    pub want: u32,
}

/// Tokens for a traffic part from the control part of its host.
#[derive(Clone, Debug, PartialEq)]
pub struct PartTokenGrant {
    /// The moment after which the part may not use any of its tokens.
    pub until: Instant,
    /// More tokens.
    pub lots: Vec<Lot>,
}

/// Log lines of this area.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantLogEvent {
    /// This host hands out tokens from now on.
    Allocating {
        /// The term that it leads.
        term: u64,
    },
    /// A host that was not known to leave its base share unused does so.
    BaseUnused {
        /// The host.
        host: HostId,
    },
    /// This host is cut off from the leader and uses its base shares.
    BaseUsed {
        /// The share index that they go with.
        share_index: ShareIndex,
    },
    /// The leader does not answer this host, which uses its reserve from now on.
    ReserveUsed {
        /// How long ago the leader was asked first.
        unanswered: Duration,
        /// How many tokens of all workspaces are left.
        left: u32,
    },
}

impl NumberedEvent for GrantLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Allocating { .. } => 600,
            Self::BaseUnused { .. } => 601,
            Self::BaseUsed { .. } => 602,
            Self::ReserveUsed { .. } => 603,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Allocating { .. } => log::Level::Info,
            Self::BaseUnused { .. } => log::Level::Debug,
            Self::BaseUsed { .. } | Self::ReserveUsed { .. } => log::Level::Warn,
        }
    }
}

impl fmt::Display for GrantLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Allocating { term } => write!(f, "allocating term={term}"),
            Self::BaseUnused { host } => write!(f, "base-unused host={host}"),
            Self::BaseUsed { share_index } => write!(f, "base-used seat={share_index}"),
            Self::ReserveUsed { unanswered, left } => {
                let unanswered = unanswered.as_millis();
                write!(f, "reserve-used unanswered_ms={unanswered} left={left}")
            }
        }
    }
}
