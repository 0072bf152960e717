//! A host's side of grants: asks the leader for tokens and splits them over traffic parts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::clock::{CLOCK_RATE_MARGIN_PER_MILLE, holder_lease};
use model::{Config, HashMap, HostId, PartId, WorkspaceId};

use crate::grant::base::{BaseShare, ShareIndex, base_share};
use crate::grant::stock::Stock;
use crate::grant::{
    Ask, Demand, Grant, GrantLogEvent, GrantMsg, Home, Lot, PartTokenDemand, PartTokenGrant,
};
use crate::{Cx, Effect, Event};

/// How many demands are remembered for the grants that answer them.
const REMEMBERED_DEMANDS: usize = 64;
/// The least time between two demands; it doubles as long as the leader has too little.
const DEMAND_GAP: Duration = Duration::from_millis(2);
/// How often the least time between two demands is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// How long a demand waits for its grant before requests that wait cause another one.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(50);
/// How many demands an idle host makes in a lease.
const DEMANDS_PER_LEASE: u32 = 4;

/// How often requests that wait look at the base share.
const BASE_STEP: Duration = Duration::from_millis(20);
/// The tokens that a host holds, in its control part.
#[derive(Debug, Default)]
pub struct Holder {
    pub(super) leader: Option<HostId>,
    /// The highest term of a leader that is known; grants of lower ones are not taken.
    term: u64,
    pub(super) config: Arc<Config>,
    /// This host's share index and until when it may be relied on.
    share_index: Option<(ShareIndex, Instant)>,
    /// The tokens by workspace.
    pub(super) stocks: HashMap<WorkspaceId, Stock>,
    /// When the tokens run out.
    pub(super) until: Option<Instant>,
    /// The hosts that share reserves with this one.
    pub(super) home: Home,
    /// When the reserve runs out.
    pub(super) reserve_until: Option<Instant>,
    /// Whether the reserve is in use.
    pub(super) on_reserve: bool,
    /// When this host was first seen to run.
    since: Option<Instant>,
    /// From when the base shares may be used.
    base_from: Option<Instant>,
    /// Whether the base shares are in use.
    on_base: bool,
    /// The last grant received, by term and number.
    echo: Option<(u64, u64)>,
    seq: u64,
    /// When the last demands were sent, by number.
    sent: VecDeque<(u64, Instant)>,
    /// Whether the last demand has been answered.
    answered: bool,
    /// When the first demand after the last grant was sent.
    pub(super) asked_since: Option<Instant>,
    /// How many grants in a row have left requests waiting.
    short: u32,
    /// Whether requests wait, or tokens were used or given back, since the last demand.
    news: News,
    wake_at: Option<Instant>,
}

/// What the leader does not know yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    /// Nothing.
    #[default]
    None,
    /// Tokens were used or given back.
    Used,
    /// Requests wait for tokens.
    Needed,
}

impl Holder {
    /// Returns the leader, if one is known.
    pub(crate) fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Follows the leader of a term of consensus.
    pub fn set_leader(&mut self, cx: &mut Cx<'_>, term: u64, leader: HostId) {
        if term < self.term || (term == self.term && self.leader.as_ref() == Some(&leader)) {
            return;
        }
        self.term = term;
        self.leader = Some(leader);
        self.asked_since = None;
        self.expire(cx);
        self.demand(cx);
        self.reschedule(cx);
    }

    /// Takes in the configuration in force.
    pub fn on_config(&mut self, cx: &Cx<'_>, config: &Arc<Config>) {
        let old = std::mem::replace(&mut self.config, config.clone());
        let workspaces = &self.config.workspaces;
        for (workspace, stock) in &mut self.stocks {
            let limits = |config: &Config| {
                let cfg = config.workspaces.get(workspace);
                cfg.map(|cfg| (cfg.rate, cfg.burst))
            };
            // The reserve was handed out under the limits of before.
            if limits(&old) != limits(config) {
                stock.reserve.expire();
            }
        }
        self.stocks
            .retain(|workspace, _| workspaces.contains_key(workspace));
        self.set_targets(cx);
    }

    /// Takes in this host's committed share index, and the moment at which it was confirmed to have it.
    pub fn on_share_index(
        &mut self,
        cx: &Cx<'_>,
        share_index: Option<ShareIndex>,
        confirmed: Instant,
    ) {
        let until = confirmed + holder_lease(cx.settings.grant.base_lease);
        self.share_index = share_index.map(|share_index| (share_index, until));
    }

    /// Takes in what a traffic part has used and needs.
    pub fn on_token_demand(&mut self, cx: &mut Cx<'_>, need: &PartTokenDemand) {
        self.expire(cx);
        let mut lots = Vec::new();
        for used in &need.uses {
            let stock = self.stocks.entry(used.workspace.clone()).or_default();
            let tokens = stock.on_used(need.part, used);
            let news = match stock.need() {
                0 => News::Used,
                _ => News::Needed,
            };
            self.news = self.news.max(news);
            let workspace = used.workspace.clone();
            lots.push(Lot { workspace, tokens });
        }
        self.feed(cx, need.part, lots);
        self.use_base(cx);
        self.demand_if_due(cx);
        self.use_reserve(cx);
        self.reschedule(cx);
    }

    /// Takes in tokens from the leader.
    pub fn on_grant(&mut self, cx: &mut Cx<'_>, grant: &Grant) {
        let received = (grant.term, grant.number);
        let sent_at = self.sent.iter().find(|(seq, _)| *seq == grant.demand);
        let Some((_, sent_at)) = sent_at.copied() else {
            return;
        };
        if grant.term < self.term || self.echo.is_some_and(|last| received <= last) {
            return;
        }
        self.expire(cx);
        self.echo = Some(received);
        self.asked_since = None;
        self.on_share_index(cx, grant.share_index, sent_at);
        self.answered |= grant.demand == self.seq;
        self.until = Some(sent_at + holder_lease(grant.lease));
        self.rest_base(cx, grant.lease);
        self.take_reserve(cx, grant, sent_at);
        if self.until <= Some(cx.now) {
            return self.reschedule(cx);
        }
        let mut feeds: HashMap<PartId, Vec<Lot>> = HashMap::default();
        for lot in &grant.lots {
            let stock = self.stocks.entry(lot.workspace.clone()).or_default();
            for (part, tokens) in stock.add(lot.tokens) {
                let workspace = lot.workspace.clone();
                let lots = feeds.entry(part).or_default();
                lots.push(Lot { workspace, tokens });
            }
        }
        self.feed_all(cx, feeds);
        let waits = self.stocks.values().any(|stock| stock.need() > 0);
        self.short = if waits {
            (self.short + 1).min(MAX_DOUBLINGS)
        } else {
            0
        };
        self.demand_if_due(cx);
        self.reschedule(cx);
    }

    /// Leaves the base shares unused for longer than the leader relies on it.
    fn rest_base(&mut self, cx: &Cx<'_>, lease: Duration) {
        let margin = lease * 2 * CLOCK_RATE_MARGIN_PER_MILLE / 1000;
        self.base_from = Some(cx.now + lease + margin);
        self.on_base = false;
        for stock in self.stocks.values_mut() {
            stock.clear_base();
        }
    }

    /// Sends tokens to a traffic part.
    fn feed(&self, cx: &mut Cx<'_>, part: PartId, lots: Vec<Lot>) {
        let Some(until) = self.until else {
            return;
        };
        let event = Box::new(Event::TokenGrant(PartTokenGrant { until, lots }));
        cx.emit(Effect::ForwardEvent { part, event });
    }

    /// Forgets the tokens once they have run out.
    pub(super) fn expire(&mut self, cx: &Cx<'_>) {
        if self.until.take_if(|until| *until <= cx.now).is_some() {
            self.stocks.values_mut().for_each(Stock::expire);
        }
        if self
            .reserve_until
            .take_if(|until| *until <= cx.now)
            .is_some()
        {
            let stocks = self.stocks.values_mut();
            stocks.for_each(|stock| stock.reserve.expire());
        }
        // A host that has just started may have promised to leave its base shares unused.
        let rest = cx.settings.grant.lease * 2;
        self.base_from.get_or_insert(cx.now + rest);
    }

    /// Uses the base shares if the leader can't be reached.
    fn use_base(&mut self, cx: &mut Cx<'_>) {
        let Some((share_index, _)) = self.share_index.filter(|(_, until)| cx.now < *until) else {
            self.on_base = false;
            return;
        };
        if self.base_from.is_none_or(|from| cx.now < from) {
            return;
        }
        if !self.on_base {
            self.on_base = true;
            cx.log(GrantLogEvent::BaseUsed { share_index });
        }
        let mut feeds: HashMap<PartId, Vec<Lot>> = HashMap::default();
        let from = self.base_from.unwrap_or(cx.now);
        for (workspace, stock) in &mut self.stocks {
            let Some(base) = base_of(&self.config, workspace, share_index, cx) else {
                continue;
            };
            for (part, tokens) in stock.draw_base(cx.now, from, base) {
                let workspace = workspace.clone();
                let lots = feeds.entry(part).or_default();
                lots.push(Lot { workspace, tokens });
            }
        }
        if !feeds.is_empty() {
            self.until = Some(cx.now + cx.settings.grant.lease);
            self.feed_all(cx, feeds);
        }
    }

    /// Sends tokens to the traffic parts, and to all of them until when they may use theirs.
    pub(super) fn feed_all(&self, cx: &mut Cx<'_>, mut feeds: HashMap<PartId, Vec<Lot>>) {
        for part in model::FIRST_TRAFFIC..=cx.me.traffic_parts {
            let lots = feeds.remove(&part).unwrap_or_default();
            self.feed(cx, part, lots);
        }
    }

    /// Sends a demand if there is news for the leader, or it is time to.
    fn demand_if_due(&mut self, cx: &mut Cx<'_>) {
        let due = self.demand_at(cx.settings.grant.report_every, cx.settings.grant.lease);
        if due.is_none_or(|due| cx.now >= due) {
            self.demand(cx);
        }
    }

    /// Sends a demand.
    fn demand(&mut self, cx: &mut Cx<'_>) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        self.seq += 1;
        self.sent.push_back((self.seq, cx.now));
        if self.sent.len() > REMEMBERED_DEMANDS {
            self.sent.pop_front();
        }
        self.answered = false;
        self.asked_since.get_or_insert(cx.now);
        self.news = News::None;
        let settings = &cx.settings.grant;
        let (now, seq) = (cx.now, self.seq);
        // A leader that has not granted anything yet does not know what this host holds.
        let everything = self.echo.is_none_or(|(term, _)| term != self.term);
        let ask = |(workspace, stock): (&WorkspaceId, &mut Stock)| {
            let reserve = stock.reserve.ask(now, seq, everything, settings);
            stock.ask(workspace, reserve)
        };
        let asks: Vec<Ask> = self.stocks.iter_mut().filter_map(ask).collect();
        let since = *self.since.get_or_insert(now);
        let window = settings.window.unwrap_or_default();
        let remembers = now.saturating_duration_since(since) > window;
        let demand = Demand {
            incarnation: cx.me.incarnation,
            seq: self.seq,
            term: self.term,
            echo: self.echo,
            remembers,
            asks,
        };
        cx.send_control(&leader, GrantMsg::Demand(demand));
    }

    /// Returns the moment at which the next demand is due, unless it is now.
    fn demand_at(&self, report_every: Duration, lease: Duration) -> Option<Instant> {
        let (_, last) = self.sent.back()?;
        let gap = match self.news {
            News::Needed if self.answered => {
                (DEMAND_GAP * 2_u32.saturating_pow(self.short)).min(DEMAND_TIMEOUT)
            }
            News::Needed => DEMAND_TIMEOUT,
            News::Used => report_every,
            News::None => lease / DEMANDS_PER_LEASE,
        };
        Some(*last + gap)
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.expire(cx);
        self.use_base(cx);
        if self.stocks.values().any(|stock| stock.need() > 0) {
            self.news = News::Needed;
        }
        self.demand_if_due(cx);
        self.use_reserve(cx);
        self.reschedule(cx);
    }

    /// Returns whether a leader is known that answers within a time.
    pub fn has_leader(&self, now: Instant, patience: Duration) -> bool {
        let late = self
            .asked_since
            .is_some_and(|since| now >= since + patience);
        self.leader.is_some() && !late
    }

    /// Returns the moment at which something is due.
    pub fn wake_at(&self) -> Option<Instant> {
        self.wake_at
    }

    /// Works out when something is due next.
    pub(super) fn reschedule(&mut self, cx: &Cx<'_>) {
        let settings = &cx.settings.grant;
        let demand = self.demand_at(settings.report_every, settings.lease);
        let demand = self.leader.as_ref().map(|_| demand.unwrap_or(cx.now));
        let waits = self.stocks.values().any(|stock| stock.need() > 0);
        let base = self.share_index.filter(|_| waits).and(self.base_from);
        let base = base.map(|from| from.max(cx.now + BASE_STEP));
        let reserve = self.reserve_at(cx.now).filter(|_| waits);
        let ends = [self.until, self.reserve_until];
        let all = [demand, base, reserve].into_iter().chain(ends);
        self.wake_at = all.flatten().min();
    }
}

/// Returns the base share of a workspace.
fn base_of(
    config: &Config,
    workspace: &WorkspaceId,
    share_index: ShareIndex,
    cx: &Cx<'_>,
) -> Option<BaseShare> {
    let cfg = config.workspaces.get(workspace)?;
    base_share(workspace, cfg, share_index, &cx.settings.grant)
}
