//! The reserves of a host: those that it keeps and lends, and those that it borrows.

use std::time::{Duration, Instant};

use model::clock::holder_lease;
use model::{HashMap, PartAddr, PartId};

use crate::Cx;
use crate::grant::hold::Holder;
use crate::grant::{Grant, GrantLogEvent, GrantMsg, Home, Lot};

/// How long the leader may leave a demand unanswered before the reserve is used.
///
/// Several trips between data centres, and less than a request may wait for a token.
const RESERVE_AFTER: Duration = Duration::from_millis(15);
/// How long tokens of the reserve may be used once they are with a traffic part.
const RESERVE_HOLDS: Duration = Duration::from_millis(100);
/// How often the keeper of a reserve is asked for more.
const BORROW_EVERY: Duration = Duration::from_millis(10);

impl Holder {
    /// Takes in reserves from the leader.
    pub(super) fn take_reserve(&mut self, cx: &Cx<'_>, grant: &Grant, sent_at: Instant) {
        self.on_reserve = false;
        self.reserve_until = Some(sent_at + holder_lease(grant.reserve_lease));
        for stock in self.stocks.values_mut() {
            stock.reserve.answered(grant.demand);
        }
        if self.reserve_until <= Some(cx.now) {
            return;
        }
        for lot in grant.lots.iter().filter(|lot| lot.reserve > 0) {
            let stock = self.stocks.entry(lot.workspace.clone()).or_default();
            stock.reserve.add(lot.reserve);
        }
    }

    /// Follows which hosts share reserves with this one.
    pub fn set_home(&mut self, cx: &Cx<'_>, home: Home) {
        if self.home != home {
            self.home = home;
            self.set_targets(cx);
        }
    }

    /// Works out which reserves this host keeps.
    pub(super) fn set_targets(&mut self, cx: &Cx<'_>) {
        let settings = &cx.settings.grant;
        for (workspace, cfg) in &self.config.workspaces {
            let reserve = settings.reserve_of(cfg);
            if reserve == 0 {
                continue;
            }
            let keeps = self.home.keeper(workspace) == Some(&cx.me.host);
            let target = if keeps { self.home.part(reserve) } else { 0 };
            if keeps || self.stocks.contains_key(workspace) {
                let stock = self.stocks.entry(workspace.clone()).or_default();
                stock.reserve.target = target;
            }
        }
    }

    /// Uses the reserves for requests that wait, if the leader does not answer.
    pub(super) fn use_reserve(&mut self, cx: &mut Cx<'_>) {
        let unanswered = self.unanswered(cx.now);
        if self.leader.is_some() && unanswered < RESERVE_AFTER {
            return;
        }
        let mut feeds: HashMap<PartId, Vec<Lot>> = HashMap::default();
        for (workspace, stock) in &mut self.stocks {
            for (part, tokens) in stock.draw_reserve(cx.now) {
                let workspace = workspace.clone();
                let lots = feeds.entry(part).or_default();
                lots.push(Lot { workspace, tokens });
            }
            let need = stock.need();
            let asked = stock.reserve.borrowed_at;
            let asked = asked.is_some_and(|at| cx.now < at + BORROW_EVERY);
            let keeper = self.home.keeper(workspace).filter(|_| need > 0 && !asked);
            if let Some(keeper) = keeper.filter(|keeper| **keeper != cx.me.host) {
                stock.reserve.borrowed_at = Some(cx.now);
                let workspace = workspace.clone();
                let tokens = need;
                cx.send_control(keeper, GrantMsg::Borrow(Lot { workspace, tokens }));
            }
        }
        if !feeds.is_empty() {
            self.note_reserve(cx);
            self.until.get_or_insert(cx.now + RESERVE_HOLDS);
            self.feed_all(cx, feeds);
        }
    }

    fn note_reserve(&mut self, cx: &mut Cx<'_>) {
        if !std::mem::replace(&mut self.on_reserve, true) {
            let unanswered = self.unanswered(cx.now);
            let left = self.stocks.values().map(|stock| stock.reserve.left()).sum();
            cx.log(GrantLogEvent::ReserveUsed { unanswered, left });
        }
    }

    /// Lends tokens of a reserve that this host keeps.
    pub fn on_borrow(&mut self, cx: &mut Cx<'_>, from: &PartAddr, lot: Lot) {
        self.expire(cx);
        let Some(stock) = self.stocks.get_mut(&lot.workspace) else {
            return;
        };
        let tokens = stock.reserve.draw(cx.now + RESERVE_HOLDS, lot.tokens);
        if tokens > 0 {
            let workspace = lot.workspace;
            cx.send(from.clone(), GrantMsg::Lent(Lot { workspace, tokens }));
        }
    }

    /// Takes tokens that the keeper of a reserve has lent.
    pub fn on_lent(&mut self, cx: &mut Cx<'_>, lot: &Lot) {
        self.expire(cx);
        let Some(stock) = self.stocks.get_mut(&lot.workspace) else {
            return;
        };
        let mut feeds: HashMap<PartId, Vec<Lot>> = HashMap::default();
        for (part, tokens) in stock.add(lot.tokens) {
            let workspace = lot.workspace.clone();
            feeds.insert(part, vec![Lot { workspace, tokens }]);
        }
        self.note_reserve(cx);
        self.until.get_or_insert(cx.now + RESERVE_HOLDS);
        self.feed_all(cx, feeds);
        self.reschedule(cx);
    }

    /// Returns for how long the leader has left demands unanswered.
    fn unanswered(&self, now: Instant) -> Duration {
        let since = self.asked_since;
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns when the reserve is looked at next, while requests wait.
    pub(super) fn reserve_at(&self, now: Instant) -> Option<Instant> {
        let since = self.asked_since?;
        Some((since + RESERVE_AFTER).max(now + BORROW_EVERY))
    }
}
