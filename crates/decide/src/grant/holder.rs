//! A host's side of the rate limits: asks the leader for tokens and divides them over its traffic
//! parts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::clock::{CLOCK_RATE_MARGIN_PER_MILLE, holder_lease};
use model::{Config, HashMap, HostId, PartId, WorkspaceId};

use crate::grant::balance::TokenBalance;
use crate::grant::base_share::{BaseShare, ShareIndex, base_share};
use crate::grant::{
    Demand, Grant, GrantLogEvent, GrantMsg, PartTokenDemand, PartTokenGrant, ReserveSite,
    WorkspaceDemand, WorkspaceTokens,
};
use crate::{Cx, Effect, Event};

/// How many demands are kept, to find the one that a grant answers.
const SENT_DEMANDS_MAX: usize = 64;
/// The shortest time between two demands while requests wait.
///
/// For each workspace it doubles with each grant in a row that leaves requests of it waiting.
const DEMAND_GAP_MIN: Duration = Duration::from_millis(2);
/// How long a demand may stay unanswered before waiting requests cause another one.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(50);
/// How many demands an idle host sends per lease, so that the lease is renewed in time.
const IDLE_DEMANDS_PER_LEASE: u32 = 4;
/// How often the base share is checked for tokens while requests wait.
const BASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The tokens of one host, in its control part.
#[derive(Debug, Default)]
pub struct TokenHolder {
    /// The leader of consensus, as far as known.
    pub(super) leader: Option<HostId>,
    /// The highest known term of a leader; grants of lower terms are ignored.
    term: u64,
    pub(super) config: Arc<Config>,
    /// This host's share index and the end of the lease for it.
    share_index: Option<(ShareIndex, Instant)>,
    /// The tokens and the reserve of each workspace.
    pub(super) balances: HashMap<WorkspaceId, TokenBalance>,
    /// When the tokens expire, except those of the reserve.
    pub(super) expires_at: Option<Instant>,
    /// The hosts that share reserves with this one.
    pub(super) reserve_site: ReserveSite,
    /// When the reserve expires.
    pub(super) reserve_expires_at: Option<Instant>,
    /// Whether the reserve has been used since the last grant.
    pub(super) using_reserve: bool,
    /// When this host sent its first demand since it started.
    first_demand_at: Option<Instant>,
    /// The moment from which base shares may be used; each grant puts it off.
    base_allowed_from: Option<Instant>,
    /// Whether the base shares are in use.
    using_base: bool,
    /// Term and number of the last grant received.
    last_grant: Option<(u64, u64)>,
    /// The `seq` of the last demand.
    seq: u64,
    /// `seq` and time of the last demands.
    sent_demands: VecDeque<(u64, Instant)>,
    /// Whether the last demand has been answered.
    last_demand_answered: bool,
    /// When the first demand after the last grant, or after a change of leader, was sent.
    pub(super) unanswered_since: Option<Instant>,
    /// What has changed since the last demand.
    unreported: Unreported,
    /// When `on_tick` has something to do next.
    wake_at: Option<Instant>,
}

/// What has changed since the last demand, by rising urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Unreported {
    /// Nothing.
    #[default]
    None,
    /// Tokens were used or given back.
    Usage,
    /// Requests wait for tokens.
    Waiting,
}

impl TokenHolder {
    /// Returns the leader, if one is known.
    pub(crate) fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Sets the leader of a term, unless a higher term is known, and sends it a demand.
    pub fn set_leader(&mut self, cx: &mut Cx<'_>, term: u64, leader: HostId) {
        if term < self.term || (term == self.term && self.leader.as_ref() == Some(&leader)) {
            return;
        }
        self.term = term;
        self.leader = Some(leader);
        self.unanswered_since = None;
        self.expire(cx);
        self.send_demand(cx);
        self.reschedule(cx);
    }

    /// Applies the configuration in force.
    pub fn on_config(&mut self, cx: &Cx<'_>, config: &Arc<Config>) {
        let old = std::mem::replace(&mut self.config, config.clone());
        let workspaces = &self.config.workspaces;
        for (workspace, balance) in &mut self.balances {
            let limits = |config: &Config| {
                let cfg = config.workspaces.get(workspace);
                cfg.map(|cfg| (cfg.rate, cfg.burst))
            };
            // The reserve was granted under the old limits.
            if limits(&old) != limits(config) {
                balance.reserve.expire();
            }
        }
        self.balances
            .retain(|workspace, _| workspaces.contains_key(workspace));
        self.set_reserve_targets(cx);
    }

    /// Sets this host's committed share index, whose lease starts at `confirmed`.
    pub fn on_share_index(
        &mut self,
        cx: &Cx<'_>,
        share_index: Option<ShareIndex>,
        confirmed: Instant,
    ) {
        let until = confirmed + holder_lease(cx.settings.grant.base_lease);
        self.share_index = share_index.map(|share_index| (share_index, until));
    }

    /// Applies a traffic part's report, gives it tokens and asks the leader for more if due.
    pub fn on_token_demand(&mut self, cx: &mut Cx<'_>, demand: &PartTokenDemand) {
        self.expire(cx);
        let mut allocations = Vec::new();
        for part_demand in &demand.workspaces {
            let balance = self
                .balances
                .entry(part_demand.workspace.clone())
                .or_default();
            let tokens = balance.on_part_demand(demand.part, part_demand);
            let unreported = match balance.waiting() {
                0 => Unreported::Usage,
                _ => Unreported::Waiting,
            };
            self.unreported = self.unreported.max(unreported);
            let workspace = part_demand.workspace.clone();
            allocations.push(WorkspaceTokens { workspace, tokens });
        }
        self.send_to_part(cx, demand.part, allocations);
        self.use_base(cx);
        self.send_demand_if_due(cx);
        self.use_reserve(cx);
        self.reschedule(cx);
    }

    /// Applies a grant of the leader, unless it is old or answers no demand that is kept.
    pub fn on_grant(&mut self, cx: &mut Cx<'_>, grant: &Grant) {
        let received = (grant.term, grant.number);
        let sent_at = self
            .sent_demands
            .iter()
            .find(|(seq, _)| *seq == grant.demand_seq);
        let Some((_, sent_at)) = sent_at.copied() else {
            return;
        };
        if grant.term < self.term || self.last_grant.is_some_and(|last| received <= last) {
            return;
        }
        self.expire(cx);
        self.last_grant = Some(received);
        self.unanswered_since = None;
        self.on_share_index(cx, grant.share_index, sent_at);
        self.last_demand_answered |= grant.demand_seq == self.seq;
        self.expires_at = Some(sent_at + holder_lease(grant.lease));
        self.suspend_base(cx, grant.lease);
        self.add_reserve(cx, grant, sent_at);
        if self.expires_at <= Some(cx.now) {
            return self.reschedule(cx);
        }
        let mut part_allocations: HashMap<PartId, Vec<WorkspaceTokens>> = HashMap::default();
        for allocation in &grant.allocations {
            let balance = self
                .balances
                .entry(allocation.workspace.clone())
                .or_default();
            for (part, tokens) in balance.distribute(allocation.tokens) {
                let workspace = allocation.workspace.clone();
                let allocations = part_allocations.entry(part).or_default();
                allocations.push(WorkspaceTokens { workspace, tokens });
            }
        }
        self.send_to_parts(cx, part_allocations);
        self.balances
            .values_mut()
            .for_each(TokenBalance::count_short_grant);
        self.send_demand_if_due(cx);
        self.reschedule(cx);
    }

    /// Stops using base shares for a lease and a margin.
    ///
    /// The leader grants this host's base shares to others for a lease; the margin covers clocks
    /// that run at different rates.
    fn suspend_base(&mut self, cx: &Cx<'_>, lease: Duration) {
        let margin = lease * 2 * CLOCK_RATE_MARGIN_PER_MILLE / 1000;
        self.base_allowed_from = Some(cx.now + lease + margin);
        self.using_base = false;
        for balance in self.balances.values_mut() {
            balance.clear_base();
        }
    }

    /// Sends tokens and their expiry to a traffic part.
    fn send_to_part(&self, cx: &mut Cx<'_>, part: PartId, allocations: Vec<WorkspaceTokens>) {
        let Some(expires_at) = self.expires_at else {
            return;
        };
        let event = Box::new(Event::TokenGrant(PartTokenGrant {
            expires_at,
            allocations,
        }));
        cx.emit(Effect::ForwardEvent { part, event });
    }

    /// Drops tokens and reserves whose lease has expired.
    pub(super) fn expire(&mut self, cx: &Cx<'_>) {
        if self.expires_at.take_if(|until| *until <= cx.now).is_some() {
            self.balances.values_mut().for_each(TokenBalance::expire);
        }
        if self
            .reserve_expires_at
            .take_if(|until| *until <= cx.now)
            .is_some()
        {
            let balances = self.balances.values_mut();
            balances.for_each(|balance| balance.reserve.expire());
        }
        // Before a restart the host may have assured the leader that its base shares are unused.
        let suspension = cx.settings.grant.lease * 2;
        self.base_allowed_from.get_or_insert(cx.now + suspension);
    }

    /// Gives tokens of the base shares to waiting requests, if the leader can't be reached.
    fn use_base(&mut self, cx: &mut Cx<'_>) {
        let Some((share_index, _)) = self.share_index.filter(|(_, until)| cx.now < *until) else {
            self.using_base = false;
            return;
        };
        if self
            .base_allowed_from
            .is_none_or(|allowed_from| cx.now < allowed_from)
        {
            return;
        }
        if !self.using_base {
            self.using_base = true;
            cx.log(GrantLogEvent::BaseUsed { share_index });
        }
        let mut part_allocations: HashMap<PartId, Vec<WorkspaceTokens>> = HashMap::default();
        let allowed_from = self.base_allowed_from.unwrap_or(cx.now);
        for (workspace, balance) in &mut self.balances {
            let Some(base) = base_share_of(&self.config, workspace, share_index, cx) else {
                continue;
            };
            for (part, tokens) in balance.draw_base(cx.now, allowed_from, base) {
                let workspace = workspace.clone();
                let allocations = part_allocations.entry(part).or_default();
                allocations.push(WorkspaceTokens { workspace, tokens });
            }
        }
        if !part_allocations.is_empty() {
            self.expires_at = Some(cx.now + cx.settings.grant.lease);
            self.send_to_parts(cx, part_allocations);
        }
    }

    /// Sends tokens to the traffic parts that get some, and the new expiry to all of them.
    pub(super) fn send_to_parts(
        &self,
        cx: &mut Cx<'_>,
        mut part_allocations: HashMap<PartId, Vec<WorkspaceTokens>>,
    ) {
        for part in model::FIRST_TRAFFIC_PART..=cx.me.traffic_parts {
            let allocations = part_allocations.remove(&part).unwrap_or_default();
            self.send_to_part(cx, part, allocations);
        }
    }

    /// Sends a demand if one is due.
    fn send_demand_if_due(&mut self, cx: &mut Cx<'_>) {
        let due = self.next_demand_at(cx.settings.grant.report_every, cx.settings.grant.lease);
        if due.is_none_or(|due| cx.now >= due) {
            self.send_demand(cx);
        }
    }

    /// Sends a demand to the leader, if one is known.
    fn send_demand(&mut self, cx: &mut Cx<'_>) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        self.seq += 1;
        self.sent_demands.push_back((self.seq, cx.now));
        if self.sent_demands.len() > SENT_DEMANDS_MAX {
            self.sent_demands.pop_front();
        }
        self.last_demand_answered = false;
        self.unanswered_since.get_or_insert(cx.now);
        self.unreported = Unreported::None;
        let settings = &cx.settings.grant;
        let (now, seq) = (cx.now, self.seq);
        // A leader that has not granted anything yet does not know what this host has.
        let full_report = self.last_grant.is_none_or(|(term, _)| term != self.term);
        let workspace_demand = |(workspace, balance): (&WorkspaceId, &mut TokenBalance)| {
            let reserve = balance
                .reserve
                .prepare_demand(now, seq, full_report, settings);
            balance.prepare_demand(workspace, reserve)
        };
        let workspaces: Vec<WorkspaceDemand> = self
            .balances
            .iter_mut()
            .filter_map(workspace_demand)
            .collect();
        let first_demand_at = *self.first_demand_at.get_or_insert(now);
        let window = settings.window.unwrap_or_default();
        let usage_complete = now.saturating_duration_since(first_demand_at) > window;
        let demand = Demand {
            incarnation: cx.me.incarnation,
            seq: self.seq,
            term: self.term,
            last_grant: self.last_grant,
            usage_complete,
            workspaces,
        };
        cx.send_control(&leader, GrantMsg::Demand(demand));
    }

    /// Returns when the next demand is due, `None` if none has been sent yet.
    fn next_demand_at(&self, report_every: Duration, lease: Duration) -> Option<Instant> {
        let (_, last) = self.sent_demands.back()?;
        let gap = match self.unreported {
            Unreported::Waiting if self.last_demand_answered => {
                // A workspace over its rate must not hold up the demands of the others.
                let waiting = self
                    .balances
                    .values()
                    .filter(|balance| balance.waiting() > 0);
                let short_grants = waiting.map(TokenBalance::short_grants).min();
                let doublings = short_grants.unwrap_or_default();
                (DEMAND_GAP_MIN * 2_u32.saturating_pow(doublings)).min(DEMAND_TIMEOUT)
            }
            Unreported::Waiting => DEMAND_TIMEOUT,
            Unreported::Usage => report_every,
            Unreported::None => lease / IDLE_DEMANDS_PER_LEASE,
        };
        Some(*last + gap)
    }

    /// Expires tokens, sends a demand if due and uses base shares or reserves for waiting requests.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.expire(cx);
        self.use_base(cx);
        if self.balances.values().any(|balance| balance.waiting() > 0) {
            self.unreported = Unreported::Waiting;
        }
        self.send_demand_if_due(cx);
        self.use_reserve(cx);
        self.reschedule(cx);
    }

    /// Returns whether a leader is known and has left no demand unanswered for a time.
    pub fn has_answering_leader(&self, now: Instant, timeout: Duration) -> bool {
        let too_late = self
            .unanswered_since
            .is_some_and(|since| now >= since + timeout);
        self.leader.is_some() && !too_late
    }

    /// Returns when `on_tick` has something to do next.
    pub fn wake_at(&self) -> Option<Instant> {
        self.wake_at
    }

    /// Sets when `on_tick` has something to do next.
    pub(super) fn reschedule(&mut self, cx: &Cx<'_>) {
        let settings = &cx.settings.grant;
        let demand = self.next_demand_at(settings.report_every, settings.lease);
        let demand = self.leader.as_ref().map(|_| demand.unwrap_or(cx.now));
        let requests_wait = self.balances.values().any(|balance| balance.waiting() > 0);
        let base = self
            .share_index
            .filter(|_| requests_wait)
            .and(self.base_allowed_from);
        let base = base.map(|from| from.max(cx.now + BASE_CHECK_INTERVAL));
        let reserve = self.next_reserve_check_at(cx.now).filter(|_| requests_wait);
        let expiries = [self.expires_at, self.reserve_expires_at];
        let all = [demand, base, reserve].into_iter().chain(expiries);
        self.wake_at = all.flatten().min();
    }
}

/// Returns the base share of a workspace, if the share index has one.
fn base_share_of(
    config: &Config,
    workspace: &WorkspaceId,
    share_index: ShareIndex,
    cx: &Cx<'_>,
) -> Option<BaseShare> {
    let cfg = config.workspaces.get(workspace)?;
    base_share(workspace, cfg, share_index, &cx.settings.grant)
}
