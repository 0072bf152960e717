//! The leader's side of the rate limits: answers demands of hosts from one bucket per workspace.
//!
//! A base share is the part of a workspace's rate and burst that a host may use while no grant
//! reaches it; a share index is the number under which a host has one. A reserve is the tokens
//! counted apart from rate and burst, for the time in which the leader doesn't answer. The window
//! is the setting `grant.window`; none if unset.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Config, HashMap, HashSet, HostId, Incarnation, PartAddr, WorkspaceId};

use crate::Cx;
use crate::grant::base_share::{ShareIndex, base_burst, base_share};
use crate::grant::bucket::{BucketLimits, WorkspaceBucket};
use crate::grant::reserve::ReserveAllocator;
use crate::grant::{
    Demand, Grant, GrantLogEvent, GrantMsg, GrantSettings, WorkspaceDemand, WorkspaceGrant,
};

/// How many grants to a host are kept, to find the one that a later demand names as its last.
const SENT_GRANTS_MAX: usize = 64;

/// Grants the tokens of all workspaces while this host leads consensus.
#[derive(Debug, Default)]
pub struct Allocator {
    leadership: Option<Leadership>,
    config: Arc<Config>,
    share_indexes: HashMap<HostId, ShareIndex>,
    hosts: HashMap<HostId, HostGrants>,
    buckets: HashMap<WorkspaceId, WorkspaceBucket>,
    reserves: ReserveAllocator,
    /// The share indexes of the hosts that may be using their base shares.
    base_share_users: Vec<ShareIndex>,
    /// Before this moment `base_share_users` stays valid and no host's tokens expire.
    recheck_at: Option<Instant>,
}

/// The term that this host leads.
#[derive(Debug)]
struct Leadership {
    term: u64,
    /// Before this moment no other leader can have been elected.
    leading_until: Instant,
    /// From this moment all grants of earlier leaders have been reported or have expired.
    grants_from: Instant,
    /// The hosts that have reported their tokens to this leader; each ignores earlier leaders from
    /// its report on.
    reported_hosts: HashSet<HostId>,
}

/// The leader's record of the demands of and grants to one host.
#[derive(Debug, Default)]
struct HostGrants {
    /// Incarnation and `seq` of the last demand; older ones are ignored.
    last_demand: Option<(Incarnation, u64)>,
    /// Number of the last grant, 0 before the first.
    last_grant_number: u64,
    /// Number and time of the last grants.
    sent_grants: VecDeque<(u64, Instant)>,
    /// When the host's tokens expire.
    expires_at: Option<Instant>,
    /// When the host's reserve expires.
    reserve_expires_at: Option<Instant>,
    /// The end of the time for which the host is known to leave its base share unused.
    ///
    /// A host that reports a received grant doesn't use it until that grant's lease ends.
    base_unused_until: Option<Instant>,
}

impl HostGrants {
    /// Returns whether the host is known to leave its base share unused.
    fn is_base_unused(&self, now: Instant) -> bool {
        self.base_unused_until.is_some_and(|until| now < until)
    }

    /// Returns when a grant was sent, if it is one of the last.
    fn sent_at(&self, number: u64) -> Option<Instant> {
        let sent = self.sent_grants.iter().find(|(sent, _)| *sent == number);
        sent.map(|(_, at)| *at)
    }

    /// Records that a grant is sent now, extends the leases and returns the grant's number.
    fn record_grant(&mut self, now: Instant, lease: Duration, reserve_lease: Duration) -> u64 {
        self.last_grant_number += 1;
        self.sent_grants.push_back((self.last_grant_number, now));
        if self.sent_grants.len() > SENT_GRANTS_MAX {
            self.sent_grants.pop_front();
        }
        self.expires_at = Some(now + lease);
        self.reserve_expires_at = Some(now + reserve_lease);
        self.last_grant_number
    }
}

impl Allocator {
    /// Starts granting in a new term, or extends the time in which no other leader can be elected.
    pub fn on_leader(&mut self, cx: &mut Cx<'_>, term: u64, leading_until: Instant) {
        if let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.term == term)
        {
            leadership.leading_until = leadership.leading_until.max(leading_until);
            return;
        }
        let grants_from = cx.now + cx.settings.grant.lease;
        self.leadership = Some(Leadership {
            term,
            leading_until,
            grants_from,
            reported_hosts: HashSet::default(),
        });
        self.hosts.clear();
        self.buckets.clear();
        self.reserves.start_term(cx.now, &cx.settings.grant);
        self.recheck_at = None;
        self.add_missing_buckets(refill_start(cx, grants_from));
        cx.log(GrantLogEvent::Allocating { term });
    }

    /// Stops granting, since this host is no longer the leader.
    pub fn on_deposed(&mut self) {
        self.leadership = None;
        self.hosts.clear();
        self.buckets.clear();
    }

    /// Applies a committed configuration after refilling the buckets under the old one.
    pub fn on_config(&mut self, cx: &Cx<'_>, config: &Arc<Config>) {
        self.refill_all(cx);
        self.config = config.clone();
        let workspaces = &self.config.workspaces;
        self.buckets
            .retain(|workspace, _| workspaces.contains_key(workspace));
        if let Some(leadership) = &self.leadership {
            let refill_from = refill_start(cx, leadership.grants_from.max(cx.now));
            self.add_missing_buckets(refill_from);
        }
    }

    /// Creates an empty bucket for each workspace without one; it refills from a moment on.
    fn add_missing_buckets(&mut self, refill_from: Instant) {
        for workspace in self.config.workspaces.keys() {
            if !self.buckets.contains_key(workspace) {
                self.buckets
                    .insert(workspace.clone(), WorkspaceBucket::new(refill_from));
            }
        }
    }

    /// Applies the committed share indexes.
    ///
    /// A share index may pass to another host only after the base lease of its former host has
    /// expired, counted from when the index was last confirmed to that host. The base lease is the
    /// setting `grant.base_lease`; each grant that names the index confirms it.
    pub fn on_share_indexes(&mut self, cx: &Cx<'_>, share_indexes: &HashMap<HostId, ShareIndex>) {
        self.refill_all(cx);
        self.share_indexes.clone_from(share_indexes);
        self.recheck_at = None;
    }

    /// Returns whether a host has a committed share index.
    pub fn has_share_index(&self, host: &HostId) -> bool {
        self.share_indexes.contains_key(host)
    }

    /// Answers a host's demand, unless it is old or this host may no longer be the leader.
    pub fn on_demand(&mut self, cx: &mut Cx<'_>, from: &PartAddr, demand: &Demand) {
        let host = &from.host;
        let Some(leadership) = self
            .leadership
            .as_ref()
            .filter(|leadership| cx.now < leadership.leading_until)
        else {
            return;
        };
        // A new leader must know all hosts that may hold tokens: those that have share indexes.
        if !self.share_indexes.contains_key(host) {
            return;
        }
        let (term, grants_from) = (leadership.term, leadership.grants_from);
        let host_grants = self.hosts.entry(host.clone()).or_default();
        let demand_id = (demand.incarnation, demand.seq);
        if host_grants
            .last_demand
            .is_some_and(|last| last >= demand_id)
        {
            return;
        }
        let previous_demand = host_grants.last_demand.replace(demand_id);
        if previous_demand.is_some_and(|(incarnation, _)| incarnation < demand.incarnation) {
            self.reserves.expire_host(cx.now, host);
        }
        if demand.term == term {
            let workspace_demands = &demand.workspaces;
            self.reserves
                .record_report(cx.now, host, workspace_demands, demand.usage_complete);
            self.reserves
                .start_if_all_reported(cx.now, self.share_indexes.keys());
        }
        let prior_grants_unknown = cx.now < grants_from;
        if prior_grants_unknown {
            self.record_prior_grants(cx, host, demand);
            if !grants_waiting_early(cx) || demand.term != term {
                return;
            }
        }
        self.refresh_hosts(cx);
        if let Some((_, number)) = demand
            .last_grant
            .filter(|(granted_in, _)| *granted_in == term)
        {
            self.reconcile_grants(cx, host, number, &demand.workspaces);
            self.refresh_hosts(cx);
        }
        let GrantSettings {
            lease,
            reserve_lease,
            ..
        } = cx.settings.grant;
        let host_grants = self.hosts.entry(host.clone()).or_default();
        let number = host_grants.record_grant(cx.now, lease, reserve_lease);
        let allocations =
            self.grant_tokens(cx, host, number, &demand.workspaces, prior_grants_unknown);
        let grant = Grant {
            term,
            number,
            demand_seq: demand.seq,
            share_index: self.share_indexes.get(host).copied(),
            lease,
            reserve_lease,
            allocations,
        };
        cx.send(from.clone(), GrantMsg::Grant(grant));
    }

    /// Records a host's tokens from earlier leaders; once all hosts have reported, grants start.
    fn record_prior_grants(&mut self, cx: &mut Cx<'_>, host: &HostId, demand: &Demand) {
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.term == demand.term)
        else {
            return;
        };
        leadership.reported_hosts.insert(host.clone());
        if let Some(host_grants) = self.hosts.get_mut(host) {
            host_grants.expires_at = Some(cx.now + cx.settings.grant.lease);
        }
        for workspace_demand in &demand.workspaces {
            if let Some(bucket) = self.buckets.get_mut(&workspace_demand.workspace) {
                bucket.reconcile(host, 0, workspace_demand.remaining);
            }
        }
        if self
            .share_indexes
            .keys()
            .all(|host| leadership.reported_hosts.contains(host))
        {
            leadership.grants_from = cx.now;
            self.buckets
                .values_mut()
                .for_each(|bucket| bucket.refill_from(cx.now));
        }
    }

    /// Updates a host's outstanding tokens with its report, which covers grants up to `number`.
    fn reconcile_grants(
        &mut self,
        cx: &mut Cx<'_>,
        host: &HostId,
        number: u64,
        workspace_demands: &[WorkspaceDemand],
    ) {
        let Some(host_grants) = self.hosts.get(host) else {
            return;
        };
        let Some(sent_at) = host_grants.sent_at(number) else {
            return;
        };
        let unused_until = sent_at + cx.settings.grant.lease;
        self.recheck_at = self.recheck_at.map(|at| at.min(unused_until));
        if !host_grants.is_base_unused(cx.now) && unused_until > cx.now {
            self.refill_all(cx);
            self.recheck_at = None;
            let host = host.clone();
            cx.log(GrantLogEvent::BaseUnused { host });
        }
        if let Some(host_grants) = self.hosts.get_mut(host) {
            host_grants.base_unused_until = host_grants.base_unused_until.max(Some(unused_until));
        }
        for (workspace, bucket) in &mut self.buckets {
            let workspace_demand = workspace_demands
                .iter()
                .find(|workspace_demand| workspace_demand.workspace == *workspace);
            bucket.reconcile(
                host,
                number,
                workspace_demand.map_or(0, |workspace_demand| workspace_demand.remaining),
            );
        }
        self.reserves
            .reconcile(cx.now, host, number, workspace_demands);
    }

    /// Grants tokens and reserves of the workspaces that a host asks for; with `waiting_only`, no
    /// tokens for requests that it only expects.
    fn grant_tokens(
        &mut self,
        cx: &Cx<'_>,
        host: &HostId,
        number: u64,
        workspace_demands: &[WorkspaceDemand],
        waiting_only: bool,
    ) -> Vec<WorkspaceGrant> {
        let mut allocations = Vec::new();
        for workspace_demand in workspace_demands {
            let Some(limits) = self.bucket_limits(cx, &workspace_demand.workspace) else {
                continue;
            };
            let Some(bucket) = self.buckets.get_mut(&workspace_demand.workspace) else {
                continue;
            };
            bucket.refill(cx.now, &limits);
            let prefetch = if waiting_only {
                0
            } else {
                workspace_demand.prefetch
            };
            let tokens = bucket.grant_tokens(host, number, workspace_demand, prefetch, &limits);
            let reserve_limit = self.reserve_limit(cx, &workspace_demand.workspace);
            let reserve =
                self.reserves
                    .grant_tokens(cx.now, host, number, workspace_demand, reserve_limit);
            if tokens + reserve > 0 {
                let workspace = workspace_demand.workspace.clone();
                allocations.push(WorkspaceGrant {
                    workspace,
                    tokens,
                    reserve,
                });
            }
        }
        allocations
    }

    /// Returns the reserve of a workspace in tokens and the window over which its use counts.
    ///
    /// The window is the setting `grant.window`, zero if unset; the reserve is then zero too.
    fn reserve_limit(&self, cx: &Cx<'_>, workspace: &WorkspaceId) -> (u32, Duration) {
        let settings = &cx.settings.grant;
        let cfg = self.config.workspaces.get(workspace);
        let reserve = cfg.map_or(0, |cfg| settings.workspace_reserve(cfg));
        (reserve, settings.window.unwrap_or_default())
    }

    /// Returns a workspace's limits less the base shares that hosts may be using.
    fn bucket_limits(&self, cx: &Cx<'_>, workspace: &WorkspaceId) -> Option<BucketLimits> {
        let settings: &GrantSettings = &cx.settings.grant;
        let cfg = self.config.workspaces.get(workspace)?;
        let limits = settings.limits(cfg);
        let mut bucket_limits = BucketLimits {
            rate: limits.rate,
            burst: limits.burst,
            outstanding_max: limits.burst.saturating_sub(base_burst(cfg, settings)),
        };
        for share_index in &self.base_share_users {
            if let Some(base) = base_share(workspace, cfg, *share_index, settings) {
                bucket_limits.rate = bucket_limits.rate.saturating_sub(base.rate);
                bucket_limits.burst = bucket_limits.burst.saturating_sub(base.burst);
            }
        }
        Some(bucket_limits)
    }

    /// Refills all buckets up to now, before a change to their limits.
    fn refill_all(&mut self, cx: &Cx<'_>) {
        self.refresh_hosts(cx);
        let mut buckets = std::mem::take(&mut self.buckets);
        for (workspace, bucket) in &mut buckets {
            if let Some(limits) = self.bucket_limits(cx, workspace) {
                bucket.refill(cx.now, &limits);
            }
        }
        self.buckets = buckets;
    }

    /// Expires tokens whose lease is over and finds the hosts that may be using base shares.
    fn refresh_hosts(&mut self, cx: &Cx<'_>) {
        let now = cx.now;
        if self.recheck_at.is_some_and(|until| now < until) {
            return;
        }
        self.expire_hosts(now);
        let base_unused = |host: &HostId| {
            self.hosts
                .get(host)
                .is_some_and(|host_grants| host_grants.is_base_unused(now))
        };
        let base_share_users = self
            .share_indexes
            .iter()
            .filter(|(host, _)| !base_unused(host));
        self.base_share_users = base_share_users
            .map(|(_, share_index)| *share_index)
            .collect();
        let expiries = self.hosts.values().flat_map(|host_grants| {
            [
                host_grants.expires_at,
                host_grants.reserve_expires_at,
                host_grants.base_unused_until,
            ]
        });
        let expiries = expiries.flatten().filter(|expiry| *expiry > now);
        self.recheck_at = Some(expiries.fold(now + cx.settings.grant.lease, Instant::min));
    }

    /// Drops the outstanding tokens of hosts whose leases have expired.
    fn expire_hosts(&mut self, now: Instant) {
        for (host, host_grants) in &mut self.hosts {
            if host_grants
                .expires_at
                .take_if(|until| *until <= now)
                .is_some()
            {
                for bucket in self.buckets.values_mut() {
                    bucket.expire_host(host);
                }
            }
            let reserve_expired = host_grants
                .reserve_expires_at
                .take_if(|until| *until <= now);
            if reserve_expired.is_some() {
                self.reserves.expire_host(now, host);
            }
        }
    }
}

/// Returns whether a new leader grants tokens before all grants of earlier leaders are known.
///
/// The refill since its election and the earlier grants together never exceed what a window
/// allows. They could exceed the burst at one moment if hosts kept tokens for later, so only
/// waiting requests get tokens. Without the setting `grant.window`, none are granted early.
fn grants_waiting_early(cx: &Cx<'_>) -> bool {
    cx.settings.grant.window.is_some()
}

/// Returns the moment from which buckets refill; `known_from` is when the grants of earlier leaders
/// are all reported or expired.
fn refill_start(cx: &Cx<'_>, known_from: Instant) -> Instant {
    if grants_waiting_early(cx) {
        cx.now
    } else {
        known_from
    }
}
