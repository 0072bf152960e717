//! A host's tokens of one workspace, divided over its traffic parts.

use std::time::Instant;

use model::{HashMap, PartId, WorkspaceId};

use crate::grant::base_share::BaseShare;
use crate::grant::reserve::ReserveBalance;
use crate::grant::{
    NanoTokens, ONE_TOKEN, PartWorkspaceDemand, ReserveDemand, WorkspaceDemand, refill_amount,
    whole_tokens,
};

/// Largest count of grants that left requests waiting.
const SHORT_GRANTS_MAX: u32 = 5;

/// A host's tokens of one workspace.
#[derive(Debug, Default)]
pub(crate) struct TokenBalance {
    /// Granted tokens that no traffic part has; the next demand returns them to the leader.
    unassigned: u32,
    parts: HashMap<PartId, PartBalance>,
    /// Whether the last demand reported waiting requests.
    demanded_for_waiting: bool,
    /// How many grants in a row have left requests waiting that were reported before.
    short_grants: u32,
    /// The reserve, used only while the leader does not answer.
    pub(crate) reserve: ReserveBalance,
    /// The tokens in the bucket of the base share.
    base_tokens: NanoTokens,
    /// When `base_tokens` was last refilled, `None` while base shares are not in use.
    base_refilled_at: Option<Instant>,
}

/// The tokens of a traffic part, its waiting requests and the tokens that it asks for ahead.
#[derive(Debug, Default)]
struct PartBalance {
    tokens: u32,
    waiting: u32,
    prefetch: u32,
}

impl TokenBalance {
    /// Applies a traffic part's report; returns how many unassigned tokens it gets.
    pub(crate) fn on_part_demand(&mut self, part: PartId, demand: &PartWorkspaceDemand) -> u32 {
        let part_balance = self.parts.entry(part).or_default();
        part_balance.tokens = part_balance.tokens.saturating_sub(demand.used);
        let returned = demand.returned.min(part_balance.tokens);
        part_balance.tokens -= returned;
        self.unassigned += returned;
        part_balance.waiting = demand.waiting;
        part_balance.prefetch = demand.prefetch;
        let tokens = self.unassigned.min(demand.waiting + demand.prefetch);
        self.unassigned -= tokens;
        part_balance.add_tokens(tokens);
        tokens
    }

    /// Gives tokens to parts, waiting requests first; returns how many each part gets.
    pub(crate) fn distribute(&mut self, tokens: u32) -> Vec<(PartId, u32)> {
        self.unassigned += tokens;
        let mut distributed = Vec::new();
        let waiting = |part_balance: &PartBalance| part_balance.waiting;
        let prefetch = |part_balance: &PartBalance| part_balance.prefetch;
        for demanded in [waiting, prefetch] {
            for (part, part_balance) in &mut self.parts {
                let tokens = demanded(part_balance).min(self.unassigned);
                if tokens > 0 {
                    self.unassigned -= tokens;
                    part_balance.add_tokens(tokens);
                    distributed.push((*part, tokens));
                }
            }
        }
        distributed
    }

    /// Returns how many requests of all parts wait for a token.
    pub(crate) fn waiting(&self) -> u32 {
        self.parts
            .values()
            .map(|part_balance| part_balance.waiting)
            .sum()
    }

    /// Counts a grant that leaves requests waiting although they were reported; others start the
    /// count anew.
    pub(crate) fn count_short_grant(&mut self) {
        let short = self.demanded_for_waiting && self.waiting() > 0;
        self.short_grants = match short {
            true => (self.short_grants + 1).min(SHORT_GRANTS_MAX),
            false => 0,
        };
    }

    /// Returns how many grants in a row have left reported requests waiting.
    pub(crate) fn short_grants(&self) -> u32 {
        self.short_grants
    }

    /// Returns how many tokens may still be used, without reserve and base share.
    fn remaining(&self) -> u32 {
        let parts = self.parts.values().map(|part_balance| part_balance.tokens);
        self.unassigned + parts.sum::<u32>()
    }

    /// Drops all tokens, since their lease has expired.
    pub(crate) fn expire(&mut self) {
        self.unassigned = 0;
        for part_balance in self.parts.values_mut() {
            part_balance.tokens = 0;
        }
    }

    /// Returns the report for the leader, if there is any, and returns unassigned tokens with it.
    pub(crate) fn prepare_demand(
        &mut self,
        workspace: &WorkspaceId,
        reserve: Option<ReserveDemand>,
    ) -> Option<WorkspaceDemand> {
        let returned = std::mem::take(&mut self.unassigned);
        let remaining = self.remaining();
        let waiting = self.waiting();
        self.demanded_for_waiting = waiting > 0;
        let prefetch = self
            .parts
            .values()
            .map(|part_balance| part_balance.prefetch)
            .sum();
        let demand = WorkspaceDemand {
            workspace: workspace.clone(),
            remaining,
            returned,
            waiting,
            prefetch,
            reserve,
        };
        let has_report = remaining + returned + waiting + prefetch > 0 || reserve.is_some();
        has_report.then_some(demand)
    }

    /// Takes tokens of the base share for waiting requests; returns how many each part gets.
    ///
    /// The first call after a time without base share refills from `from`.
    pub(crate) fn draw_base(
        &mut self,
        now: Instant,
        from: Instant,
        share: BaseShare,
    ) -> Vec<(PartId, u32)> {
        let refilled_at = self.base_refilled_at.replace(now).unwrap_or(from);
        self.base_tokens += refill_amount(share.rate, now.saturating_duration_since(refilled_at));
        let free_capacity = share.burst.saturating_sub(self.remaining());
        self.base_tokens = self
            .base_tokens
            .min(NanoTokens::from(free_capacity) * ONE_TOKEN);
        let tokens = whole_tokens(self.base_tokens).min(self.waiting());
        self.base_tokens -= NanoTokens::from(tokens) * ONE_TOKEN;
        self.distribute(tokens)
    }

    /// Takes tokens of the reserve for waiting requests; returns how many each part gets.
    pub(crate) fn draw_reserve(&mut self, now: Instant) -> Vec<(PartId, u32)> {
        match self.reserve.draw(now, self.waiting()) {
            0 => Vec::new(),
            tokens => self.distribute(tokens),
        }
    }

    /// Empties the base share's bucket.
    pub(crate) fn clear_base(&mut self) {
        self.base_tokens = 0;
        self.base_refilled_at = None;
    }
}

impl PartBalance {
    /// Adds tokens, which count for waiting requests first.
    fn add_tokens(&mut self, tokens: u32) {
        self.tokens += tokens;
        let for_waiting = self.waiting.min(tokens);
        self.waiting -= for_waiting;
        self.prefetch = self.prefetch.saturating_sub(tokens - for_waiting);
    }
}
