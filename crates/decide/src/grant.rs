//! Rate limits of workspaces over all hosts.
//!
//! The leader of consensus keeps one token bucket for each workspace and grants whole tokens to
//! hosts by demand, for a short lease. A host that gets no grants for longer than a lease is cut
//! off: it uses its base shares, a fixed part of each workspace's rate and burst that belongs to
//! the host's share index. The tokens in a bucket, the granted tokens that hosts may still use, and
//! the base shares of hosts that may be cut off never add up to more than the burst. Refills of the
//! bucket and of the base shares never add up to more than the rate.
//!
//! Between grants a host may also hold a reserve (module `reserve`), which it uses as soon
//! as the leader leaves demands unanswered. The control part of each host asks the leader and
//! divides the tokens over the traffic parts, the threads that serve callers.

pub(crate) mod allocator;
pub(crate) mod balance;
pub(crate) mod base_share;
pub(crate) mod bucket;
pub(crate) mod holder;
pub(crate) mod holder_reserve;
pub(crate) mod leader_finder;
pub(crate) mod reserve;
pub(crate) mod usage_window;

use std::fmt;
use std::time::{Duration, Instant};

use model::config::Workspace;
use model::{HostId, Incarnation, PartId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::log_event::NumberedEvent;

pub use crate::grant::allocator::Allocator;
pub use crate::grant::base_share::{BaseShare, ShareIndex, base_share};
pub use crate::grant::holder::TokenHolder;
pub use crate::grant::reserve::{ReserveDemand, ReserveSite};

/// Settings of the rate limits over all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GrantSettings {
    /// How long a host may use granted tokens, during which it leaves its base share unused.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// The part of a workspace's rate and burst that is set aside for hosts that are cut off.
    pub base_share: f64,
    /// How long a host that is cut off may use its base share after the leader last confirmed it.
    #[serde(with = "humantime_serde")]
    pub base_lease: Duration,
    /// The length of a sliding window in which a workspace may use its rate and burst together.
    ///
    /// Without it, rate and burst are those of a plain token bucket.
    #[serde(with = "humantime_serde")]
    pub window: Option<Duration>,
    /// How many hosts can have a base share.
    pub hosts_max: u16,
    /// How often a host that uses tokens reports to the leader.
    #[serde(with = "humantime_serde")]
    pub report_every: Duration,
    /// How far ahead a host keeps tokens for the demand that it expects.
    #[serde(with = "humantime_serde")]
    pub horizon: Duration,
    /// How long a request may wait for a token.
    #[serde(with = "humantime_serde")]
    pub max_wait: Duration,
    /// What a workspace may use beyond its window while no leader answers, as a share of it.
    pub reserve_share: f64,
    /// How many tokens a workspace's reserve has on top of its share of the window.
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

/// The refill rate and capacity of a workspace's token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Refill in billionths of tokens a second.
    pub(crate) rate: NanoTokens,
    /// Capacity in tokens.
    pub(crate) burst: u32,
}

impl GrantSettings {
    /// Returns the refill rate and capacity of a workspace's bucket.
    ///
    /// Where rate and burst count over a window, half of the burst is added to the refill of
    /// each window: the most that a window allows stays the same, and the sustained rate rises.
    /// What `reserve_kept` holds back for the reserve is left out.
    pub(crate) fn limits(&self, cfg: &Workspace) -> Limits {
        let rate = NanoTokens::from(cfg.rate) * ONE_TOKEN;
        let Some(window) = self.window.filter(|window| !window.is_zero()) else {
            let burst = cfg.burst;
            return Limits { rate, burst };
        };
        let spread_burst = cfg.burst / 2;
        let extra_rate = NanoTokens::from(spread_burst) * ONE_TOKEN * ONE_TOKEN / window.as_nanos();
        let unreserved_share = (1.0 - self.reserve_kept).clamp(0.0, 1.0);
        Limits {
            rate: ((rate + extra_rate) as f64 * unreserved_share) as NanoTokens,
            burst: (f64::from(cfg.burst - spread_burst) * unreserved_share) as u32,
        }
    }
}

/// Tokens in billionths, so that a rate in tokens a second times nanoseconds is exact.
pub(crate) type NanoTokens = u128;

/// One token in billionths.
pub(crate) const ONE_TOKEN: NanoTokens = 1_000_000_000;

/// Returns the refill over a time, reduced by the most that this clock may run too fast.
pub(crate) fn refill_amount(per_second: NanoTokens, time: Duration) -> NanoTokens {
    per_second * model::clock::holder_lease(time).as_nanos() / ONE_TOKEN
}

/// Rounds down to whole tokens.
pub(crate) fn whole_tokens(tokens: NanoTokens) -> u32 {
    u32::try_from(tokens / ONE_TOKEN).unwrap_or(u32::MAX)
}

/// Messages between hosts about rate limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrantMsg {
    /// A host reports its remaining tokens to the leader and asks for more.
    Demand(Demand),
    /// The leader answers a demand with tokens.
    Grant(Grant),
    /// A host that the leader does not answer asks the keeper of a reserve for tokens.
    BorrowReserve(WorkspaceTokens),
    /// The keeper of a reserve gives tokens to a host, to use at once.
    LendReserve(WorkspaceTokens),
    /// A host asks a voter for the leader of consensus.
    WhoLeads,
    /// A voter's answer: the term and the leader, `None` if it knows no leader.
    Leader(Option<(u64, HostId)>),
}

/// A host's report of its tokens and its request for more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The incarnation of the host that sent this, which rises with each start.
    pub incarnation: Incarnation,
    /// Increases with each demand of one incarnation.
    pub seq: u64,
    /// The term of the leader that it is for; the host ignores grants of lower terms.
    pub term: u64,
    /// Term and number of the last grant that the host received.
    pub last_grant: Option<(u64, u64)>,
    /// Whether the host has run for longer than a window, so that it knows all that it used.
    pub usage_complete: bool,
    /// The workspaces that the host has tokens of or needs tokens of.
    pub workspaces: Vec<WorkspaceDemand>,
}

/// A host's remaining tokens of one workspace and its request for more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// How many tokens it may still use.
    pub remaining: u32,
    /// How many tokens it gives back; they are not part of `remaining`.
    pub returned: u32,
    /// How many requests wait for a token.
    pub waiting: u32,
    /// How many more tokens it asks for, for the requests that it expects within the horizon.
    pub prefetch: u32,
    /// Its reserve, unless the leader knows it already and nothing is asked for.
    pub reserve: Option<ReserveDemand>,
}

/// The leader's answer to a demand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The term of the leader.
    pub term: u64,
    /// Increases with each grant of one leader to one host.
    pub number: u64,
    /// The `seq` of the demand that this answers.
    pub demand_seq: u64,
    /// The host's share index, if it has one.
    pub share_index: Option<ShareIndex>,
    /// How long the host may use its tokens, counted from when it sent the demand.
    pub lease: Duration,
    /// How long the host may use its reserve, counted from when it sent the demand.
    pub reserve_lease: Duration,
    /// Tokens and reserves by workspace; workspaces that get nothing are left out.
    pub allocations: Vec<WorkspaceGrant>,
}

/// Tokens of one workspace in a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceGrant {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens that the host may use at any time within the lease.
    pub tokens: u32,
    /// Reserve tokens, to be used only while the leader does not answer.
    pub reserve: u32,
}

/// A number of tokens of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceTokens {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// How many tokens are granted, asked for or lent.
    pub tokens: u32,
}

/// A traffic part's report of used tokens to the control part of its host, which asks for more.
#[derive(Clone, Debug, PartialEq)]
pub struct PartTokenDemand {
    /// The traffic part.
    pub part: PartId,
    /// One entry for each workspace with a change since the last report.
    pub workspaces: Vec<PartWorkspaceDemand>,
}

/// A traffic part's use of and request for tokens of one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct PartWorkspaceDemand {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// How many tokens it has used since the last report.
    pub used: u32,
    /// How many tokens it gives back.
    pub returned: u32,
    /// How many requests wait for a token.
    pub waiting: u32,
    /// How many more tokens it asks for, for the requests that it expects.
    pub prefetch: u32,
}

/// Tokens for a traffic part from the control part of its host.
#[derive(Clone, Debug, PartialEq)]
pub struct PartTokenGrant {
    /// The moment after which the part may not use any of its tokens.
    pub expires_at: Instant,
    /// Tokens that the part gets in addition to those that it has.
    pub allocations: Vec<WorkspaceTokens>,
}

/// Log events of the rate limits.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantLogEvent {
    /// This host has become the leader and grants tokens from now on.
    Allocating {
        /// The term that it leads.
        term: u64,
    },
    /// The leader learned that a host leaves its base share unused, and grants that share to others.
    BaseUnused {
        /// The host.
        host: HostId,
    },
    /// This host is cut off from the leader and starts to use its base shares.
    BaseUsed {
        /// The number under which this host has its base shares.
        share_index: ShareIndex,
    },
    /// The leader does not answer this host, which starts to use its reserve.
    ReserveUsed {
        /// For how long the leader has left demands unanswered.
        unanswered: Duration,
        /// Reserve tokens of all workspaces that this host still has.
        remaining: u32,
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
            Self::ReserveUsed {
                unanswered,
                remaining,
            } => {
                let unanswered = unanswered.as_millis();
                write!(
                    f,
                    "reserve-used unanswered_ms={unanswered} left={remaining}"
                )
            }
        }
    }
}
