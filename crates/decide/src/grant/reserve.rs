//! Reserves: tokens for the time in which the leader of consensus does not answer.
//!
//! Settings say how far the reserve goes beyond a workspace's rate and burst. It is counted
//! apart from these: the reserve tokens at hosts and those used within the last window never
//! add up to more than the reserve of the workspace. In each data centre one host keeps the
//! data centre's part of a workspace's reserve and lends it to the others, because a fleet has
//! more hosts than most workspaces have reserve tokens.

use std::time::{Duration, Instant};

use model::config::Workspace;
use model::{DataCentreId, HashMap, HashSet, HostId, HostInfo, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::grant::bucket::Outstanding;
use crate::grant::usage_window::UsageWindow;
use crate::grant::{GrantSettings, WorkspaceDemand};
use crate::placement::{can_own, rendezvous_score};

/// One grant gives at most this fraction (1/n) of the reserve that is available.
const GRANT_DIVISOR: u32 = 4;
/// How many tenths of the reserve are granted; the rest covers tokens used after they are counted.
const GRANTABLE_TENTHS: u32 = 9;

impl GrantSettings {
    /// Returns the reserve tokens of a workspace, for all hosts together.
    pub(crate) fn workspace_reserve(&self, cfg: &Workspace) -> u32 {
        let Some(window) = self.window else {
            return 0;
        };
        let all = f64::from(cfg.rate) * window.as_secs_f64() + f64::from(cfg.burst);
        let share = self.reserve_share + self.reserve_kept;
        let reserve = (all * share) as u32 + self.reserve_tokens;
        reserve * GRANTABLE_TENTHS / 10
    }

    /// Returns how long after its grant a reserve may still count as outstanding or used.
    pub(crate) fn reserve_recovery_time(&self) -> Duration {
        self.reserve_lease + self.window.unwrap_or_default()
    }
}

/// A host's report of its reserve of one workspace and its request for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveDemand {
    /// How many tokens it may still use.
    pub remaining: u32,
    /// How many tokens it gives back; they are not part of `remaining`.
    pub returned: u32,
    /// How many tokens it lacks to the reserve that it should keep.
    pub missing: u32,
    /// How many it has used within the last window; 0 except in the first reports to a leader.
    pub used_in_window: u32,
}

/// The leader's record of one workspace's reserve: granted tokens and used ones.
#[derive(Debug, Default)]
pub(crate) struct ReservePool {
    outstanding: Outstanding,
    used: UsageWindow,
}

impl ReservePool {
    /// Records a host's reserve and use of it under earlier leaders.
    pub(crate) fn record_report(&mut self, now: Instant, host: &HostId, demand: &ReserveDemand) {
        self.outstanding.reconcile(host, 0, demand.remaining);
        self.used.add(now, demand.used_in_window);
    }

    /// Updates a host's outstanding reserve with its report, which covers grants up to `number`.
    pub(crate) fn reconcile(
        &mut self,
        now: Instant,
        host: &HostId,
        number: u64,
        demand: &ReserveDemand,
    ) {
        let previous = self.outstanding.reconcile(host, number, demand.remaining);
        let used = previous.saturating_sub(demand.remaining + demand.returned);
        self.used.add(now, used);
    }

    /// Counts a host's outstanding reserve as used, since the host will not report on it any more.
    pub(crate) fn expire_host(&mut self, now: Instant, host: &HostId) {
        let remaining = self.outstanding.expire_host(host);
        self.used.add(now, remaining);
    }

    /// Grants tokens; returns how many the host gets.
    pub(crate) fn grant_tokens(
        &mut self,
        now: Instant,
        host: &HostId,
        number: u64,
        missing: u32,
        (reserve, window): (u32, Duration),
    ) -> u32 {
        let committed = self.outstanding.total() + self.used.total_within(now, window);
        let available = reserve.saturating_sub(committed);
        let tokens = missing.min(available.div_ceil(GRANT_DIVISOR));
        self.outstanding.add(host, number, tokens);
        tokens
    }
}

/// The hosts of one data centre, of which one keeps the reserve of each workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReserveSite {
    /// The entry hosts of the data centre, sorted.
    pub entry_hosts: Vec<HostId>,
    /// How many data centres have entry hosts.
    pub data_centres: usize,
}

impl ReserveSite {
    /// Returns the reserve site of a host, from the hosts that it knows.
    pub fn of<'a>(me: &HostInfo, hosts: impl Iterator<Item = &'a HostInfo> + Clone) -> Self {
        let entry_hosts = hosts.filter(|host| can_own(host));
        let local = entry_hosts.clone();
        let local = local.filter(|host| host.data_centre == me.data_centre);
        let mut hosts: Vec<HostId> = local.map(|host| host.host.clone()).collect();
        hosts.sort();
        let data_centres: HashSet<&DataCentreId> =
            entry_hosts.map(|host| &host.data_centre).collect();
        Self {
            entry_hosts: hosts,
            data_centres: data_centres.len(),
        }
    }

    /// Returns the host that keeps a workspace's reserve, by rendezvous hashing.
    pub(crate) fn keeper(&self, workspace: &WorkspaceId) -> Option<&HostId> {
        let hosts = self.entry_hosts.iter();
        hosts.max_by_key(|host| rendezvous_score(workspace, host))
    }

    /// Returns the data centre's part of a workspace's reserve.
    pub(crate) fn local_share(&self, reserve: u32) -> u32 {
        let parts = u32::try_from(self.data_centres.max(1)).unwrap_or(u32::MAX);
        reserve.div_ceil(parts)
    }
}

/// A host's own reserve of one workspace.
#[derive(Debug, Default)]
pub(crate) struct ReserveBalance {
    remaining: u32,
    used_in_window: UsageWindow,
    /// How many tokens this host should keep; 0 if another host is the keeper.
    pub(crate) target: u32,
    /// When the keeper was last asked to lend tokens.
    pub(crate) last_borrow_at: Option<Instant>,
    /// Whether the reserve has changed since the last demand that reported it.
    unreported: bool,
    /// The `seq` of the demand that reported the last change, until the leader answers.
    reported_by: Option<u64>,
}

impl ReserveBalance {
    /// Returns how many tokens may still be used.
    pub(crate) fn remaining(&self) -> u32 {
        self.remaining
    }

    /// Adds tokens that were granted.
    pub(crate) fn add(&mut self, tokens: u32) {
        self.remaining += tokens;
    }

    /// Takes up to `wanted` tokens, counted as used at `used_by`; returns how many.
    pub(crate) fn draw(&mut self, used_by: Instant, wanted: u32) -> u32 {
        let tokens = wanted.min(self.remaining);
        self.remaining -= tokens;
        self.used_in_window.add(used_by, tokens);
        self.unreported |= tokens > 0;
        tokens
    }

    /// Drops all tokens, since their lease has expired or the workspace's limits have changed.
    pub(crate) fn expire(&mut self) {
        self.unreported |= self.remaining > 0;
        self.remaining = 0;
    }

    /// Records that the leader has answered a demand and so knows what it reported.
    pub(crate) fn on_demand_answered(&mut self, demand_seq: u64) {
        self.reported_by.take_if(|seq| *seq <= demand_seq);
    }

    /// Returns the report for the leader, if there is anything to report or ask for.
    ///
    /// A full report, for a leader that has not granted anything yet, has the use in the window.
    pub(crate) fn prepare_demand(
        &mut self,
        now: Instant,
        seq: u64,
        full_report: bool,
        settings: &GrantSettings,
    ) -> Option<ReserveDemand> {
        let returned = self.remaining.saturating_sub(self.target);
        self.remaining -= returned;
        let used_in_window = if full_report {
            self.used_in_window
                .total_within(now, settings.window.unwrap_or_default())
        } else {
            0
        };
        let demand = ReserveDemand {
            remaining: self.remaining,
            returned,
            missing: self.target - self.remaining,
            used_in_window,
        };
        if std::mem::take(&mut self.unreported) || returned > 0 {
            self.reported_by = Some(seq);
        }
        let has_any = demand.remaining + demand.used_in_window > 0;
        let has_report =
            self.reported_by.is_some() || demand.missing > 0 || (full_report && has_any);
        has_report.then_some(demand)
    }
}

/// The leader's side of the reserves of all workspaces.
#[derive(Debug, Default)]
pub(crate) struct ReserveAllocator {
    pools: HashMap<WorkspaceId, ReservePool>,
    /// The hosts that have reported their reserves in this term.
    reported_hosts: HashSet<HostId>,
    /// Whether a host has reported that it does not know all its use within the last window.
    usage_incomplete: bool,
    /// Before this moment no reserve is granted.
    grants_from: Option<Instant>,
}

impl ReserveAllocator {
    /// Starts a term; grants nothing while reserves of earlier leaders may count as used.
    pub(crate) fn start_term(&mut self, now: Instant, settings: &GrantSettings) {
        *self = Self {
            grants_from: Some(now + settings.reserve_recovery_time()),
            ..Self::default()
        };
    }

    /// Records a host's first report of this term.
    pub(crate) fn record_report(
        &mut self,
        now: Instant,
        host: &HostId,
        demands: &[WorkspaceDemand],
        usage_complete: bool,
    ) {
        if !self.reported_hosts.insert(host.clone()) {
            return;
        }
        self.usage_incomplete |= !usage_complete;
        for demand in demands {
            if let Some(reserve) = &demand.reserve {
                let pool = self.pools.entry(demand.workspace.clone()).or_default();
                pool.record_report(now, host, reserve);
            }
        }
    }

    /// Starts granting now if all hosts that may have reserves have reported all their use.
    pub(crate) fn start_if_all_reported<'a>(
        &mut self,
        now: Instant,
        mut hosts: impl Iterator<Item = &'a HostId>,
    ) {
        if !self.usage_incomplete
            && self.grants_from.is_some_and(|from| now < from)
            && hosts.all(|host| self.reported_hosts.contains(host))
        {
            self.grants_from = Some(now);
        }
    }

    /// Updates a host's outstanding reserves with its report, which covers grants up to `number`.
    pub(crate) fn reconcile(
        &mut self,
        now: Instant,
        host: &HostId,
        number: u64,
        demands: &[WorkspaceDemand],
    ) {
        for demand in demands {
            if let Some(reserve) = &demand.reserve
                && let Some(pool) = self.pools.get_mut(&demand.workspace)
            {
                pool.reconcile(now, host, number, reserve);
            }
        }
    }

    /// Counts all outstanding reserves of a host as used.
    pub(crate) fn expire_host(&mut self, now: Instant, host: &HostId) {
        for pool in self.pools.values_mut() {
            pool.expire_host(now, host);
        }
    }

    /// Grants tokens of one workspace; returns how many the host gets.
    pub(crate) fn grant_tokens(
        &mut self,
        now: Instant,
        host: &HostId,
        number: u64,
        demand: &WorkspaceDemand,
        limit: (u32, Duration),
    ) -> u32 {
        let missing = demand.reserve.as_ref().map_or(0, |reserve| reserve.missing);
        let granting = self.grants_from.is_some_and(|from| from <= now);
        if missing == 0 || !granting || !self.reported_hosts.contains(host) {
            return 0;
        }
        let pool = self.pools.entry(demand.workspace.clone()).or_default();
        pool.grant_tokens(now, host, number, missing, limit)
    }
}
