//! A host's side of reserves, the tokens for the time in which the leader does not answer.
//!
//! In each data centre one host is the keeper of a workspace's reserve: it holds the data centre's
//! part of it and lends tokens to the other hosts there.

use std::time::{Duration, Instant};

use model::clock::holder_lease;
use model::{HashMap, PartAddr, PartId};

use crate::Cx;
use crate::grant::holder::TokenHolder;
use crate::grant::{Grant, GrantLogEvent, GrantMsg, ReserveSite, WorkspaceTokens};

/// How long the leader may leave a demand unanswered before the reserve is used.
///
/// Longer than several trips between data centres, shorter than a request may wait for a token.
const RESERVE_AFTER_UNANSWERED: Duration = Duration::from_millis(15);
/// How long a traffic part may use reserve tokens that it gets while it has no valid lease.
const RESERVE_PART_LEASE: Duration = Duration::from_millis(100);
/// Time between two requests to the keeper of a reserve while requests wait.
const BORROW_INTERVAL: Duration = Duration::from_millis(10);

impl TokenHolder {
    /// Adds the reserves of a grant and stops the use of reserves.
    pub(super) fn add_reserve(&mut self, cx: &Cx<'_>, grant: &Grant, sent_at: Instant) {
        self.using_reserve = false;
        self.reserve_expires_at = Some(sent_at + holder_lease(grant.reserve_lease));
        for balance in self.balances.values_mut() {
            balance.reserve.on_demand_answered(grant.demand_seq);
        }
        if self.reserve_expires_at <= Some(cx.now) {
            return;
        }
        for allocation in grant
            .allocations
            .iter()
            .filter(|allocation| allocation.reserve > 0)
        {
            let balance = self
                .balances
                .entry(allocation.workspace.clone())
                .or_default();
            balance.reserve.add(allocation.reserve);
        }
    }

    /// Sets the hosts that share reserves with this one.
    pub fn set_reserve_site(&mut self, cx: &Cx<'_>, reserve_site: ReserveSite) {
        if self.reserve_site != reserve_site {
            self.reserve_site = reserve_site;
            self.set_reserve_targets(cx);
        }
    }

    /// Sets how many reserve tokens this host should keep of each workspace.
    pub(super) fn set_reserve_targets(&mut self, cx: &Cx<'_>) {
        let settings = &cx.settings.grant;
        for (workspace, cfg) in &self.config.workspaces {
            let reserve = settings.workspace_reserve(cfg);
            if reserve == 0 {
                continue;
            }
            let is_keeper = self.reserve_site.keeper(workspace) == Some(&cx.me.host);
            let target = if is_keeper {
                self.reserve_site.local_share(reserve)
            } else {
                0
            };
            if is_keeper || self.balances.contains_key(workspace) {
                let balance = self.balances.entry(workspace.clone()).or_default();
                balance.reserve.target = target;
            }
        }
    }

    /// Gives reserve tokens to waiting requests and borrows more, if the leader does not answer.
    pub(super) fn use_reserve(&mut self, cx: &mut Cx<'_>) {
        let unanswered = self.unanswered_for(cx.now);
        if self.leader.is_some() && unanswered < RESERVE_AFTER_UNANSWERED {
            return;
        }
        let mut part_allocations: HashMap<PartId, Vec<WorkspaceTokens>> = HashMap::default();
        for (workspace, balance) in &mut self.balances {
            for (part, tokens) in balance.draw_reserve(cx.now) {
                let workspace = workspace.clone();
                let allocations = part_allocations.entry(part).or_default();
                allocations.push(WorkspaceTokens { workspace, tokens });
            }
            let waiting = balance.waiting();
            let asked_at = balance.reserve.last_borrow_at;
            let asked_recently = asked_at.is_some_and(|at| cx.now < at + BORROW_INTERVAL);
            let keeper = self
                .reserve_site
                .keeper(workspace)
                .filter(|_| waiting > 0 && !asked_recently);
            if let Some(keeper) = keeper.filter(|keeper| **keeper != cx.me.host) {
                balance.reserve.last_borrow_at = Some(cx.now);
                let workspace = workspace.clone();
                let tokens = waiting;
                cx.send_control(
                    keeper,
                    GrantMsg::BorrowReserve(WorkspaceTokens { workspace, tokens }),
                );
            }
        }
        if !part_allocations.is_empty() {
            self.log_reserve_use(cx);
            self.expires_at.get_or_insert(cx.now + RESERVE_PART_LEASE);
            self.send_to_parts(cx, part_allocations);
        }
    }

    /// Logs the first use of the reserve since the last grant.
    fn log_reserve_use(&mut self, cx: &mut Cx<'_>) {
        if !std::mem::replace(&mut self.using_reserve, true) {
            let unanswered = self.unanswered_for(cx.now);
            let remaining = self
                .balances
                .values()
                .map(|balance| balance.reserve.remaining())
                .sum();
            cx.log(GrantLogEvent::ReserveUsed {
                unanswered,
                remaining,
            });
        }
    }

    /// Lends another host tokens of a reserve that this host keeps, as many as there are.
    pub fn on_borrow(&mut self, cx: &mut Cx<'_>, from: &PartAddr, requested: WorkspaceTokens) {
        self.expire(cx);
        let Some(balance) = self.balances.get_mut(&requested.workspace) else {
            return;
        };
        let tokens = balance
            .reserve
            .draw(cx.now + RESERVE_PART_LEASE, requested.tokens);
        if tokens > 0 {
            let workspace = requested.workspace;
            cx.send(
                from.clone(),
                GrantMsg::LendReserve(WorkspaceTokens { workspace, tokens }),
            );
        }
    }

    /// Gives waiting requests the tokens that the keeper of a reserve has lent to this host.
    pub fn on_lent(&mut self, cx: &mut Cx<'_>, lent: &WorkspaceTokens) {
        self.expire(cx);
        let Some(balance) = self.balances.get_mut(&lent.workspace) else {
            return;
        };
        let mut part_allocations: HashMap<PartId, Vec<WorkspaceTokens>> = HashMap::default();
        for (part, tokens) in balance.distribute(lent.tokens) {
            let workspace = lent.workspace.clone();
            part_allocations.insert(part, vec![WorkspaceTokens { workspace, tokens }]);
        }
        self.log_reserve_use(cx);
        self.expires_at.get_or_insert(cx.now + RESERVE_PART_LEASE);
        self.send_to_parts(cx, part_allocations);
        self.reschedule(cx);
    }

    /// Returns for how long the leader has left demands unanswered.
    fn unanswered_for(&self, now: Instant) -> Duration {
        let since = self.unanswered_since;
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns when to try the reserve next while requests wait, `None` if no demand is unanswered.
    pub(super) fn next_reserve_check_at(&self, now: Instant) -> Option<Instant> {
        let since = self.unanswered_since?;
        Some((since + RESERVE_AFTER_UNANSWERED).max(now + BORROW_INTERVAL))
    }
}
