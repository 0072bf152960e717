//! A host's tokens of one workspace, and which of its traffic parts have them.

use std::time::Instant;

use model::{HashMap, PartId, WorkspaceId};

use crate::grant::base::BaseShare;
use crate::grant::reserve::ReserveStock;
use crate::grant::{Ask, NanoTokens, PartUse, ReserveAsk, TOKEN, inflow, whole};

/// The tokens of one workspace.
#[derive(Debug, Default)]
pub(crate) struct Stock {
    /// The tokens that no part has.
    free: u32,
    parts: HashMap<PartId, PartStock>,
    /// What is kept for when the leader does not answer.
    pub(crate) reserve: ReserveStock,
    /// The content of the base share's bucket.
    base: NanoTokens,
    /// When `base` was last brought up to date.
    base_at: Option<Instant>,
}

/// What a part has and needs.
#[derive(Debug, Default)]
struct PartStock {
    tokens: u32,
    need: u32,
    want: u32,
}

impl Stock {
    /// Takes in what a part has used and needs; returns how many tokens it gets.
    pub(crate) fn on_used(&mut self, part: PartId, uses: &PartUse) -> u32 {
        let stock = self.parts.entry(part).or_default();
        stock.tokens = stock.tokens.saturating_sub(uses.used);
        let returned = uses.returned.min(stock.tokens);
        stock.tokens -= returned;
        self.free += returned;
        stock.need = uses.need;
        stock.want = uses.want;
        let tokens = self.free.min(uses.need + uses.want);
        self.free -= tokens;
        stock.give(tokens);
        tokens
    }

    /// Adds tokens; returns which parts get how many of them.
    pub(crate) fn add(&mut self, tokens: u32) -> Vec<(PartId, u32)> {
        self.free += tokens;
        let mut given = Vec::new();
        let needs = |stock: &PartStock| stock.need;
        let wants = |stock: &PartStock| stock.want;
        for wish in [needs, wants] {
            for (part, stock) in &mut self.parts {
                let tokens = wish(stock).min(self.free);
                if tokens > 0 {
                    self.free -= tokens;
                    stock.give(tokens);
                    given.push((*part, tokens));
                }
            }
        }
        given
    }

    /// Returns how many requests wait for a token.
    pub(crate) fn need(&self) -> u32 {
        self.parts.values().map(|stock| stock.need).sum()
    }

    /// Returns how many tokens may still be used.
    fn left(&self) -> u32 {
        let parts = self.parts.values().map(|stock| stock.tokens);
        self.free + parts.sum::<u32>()
    }

    /// Forgets the tokens, which have run out.
    pub(crate) fn expire(&mut self) {
        self.free = 0;
        for stock in self.parts.values_mut() {
            stock.tokens = 0;
        }
    }

    /// Returns what to tell the leader, and gives back what no part wants.
    pub(crate) fn ask(
        &mut self,
        workspace: &WorkspaceId,
        reserve: Option<ReserveAsk>,
    ) -> Option<Ask> {
        let returned = std::mem::take(&mut self.free);
        let left = self.left();
        let need = self.need();
        let want = self.parts.values().map(|stock| stock.want).sum();
        let ask = Ask {
            workspace: workspace.clone(),
            left,
            returned,
            need,
            want,
            reserve,
        };
        let tells = left + returned + need + want > 0 || reserve.is_some();
        tells.then_some(ask)
    }

    /// Uses the base share for requests that wait; returns which parts get how many tokens.
    pub(crate) fn draw_base(
        &mut self,
        now: Instant,
        from: Instant,
        share: BaseShare,
    ) -> Vec<(PartId, u32)> {
        let at = self.base_at.replace(now).unwrap_or(from);
        self.base += inflow(share.rate, now.saturating_duration_since(at));
        let room = share.burst.saturating_sub(self.left());
        self.base = self.base.min(NanoTokens::from(room) * TOKEN);
        let tokens = whole(self.base).min(self.need());
        self.base -= NanoTokens::from(tokens) * TOKEN;
        self.add(tokens)
    }

    /// Uses the reserve for requests that wait; returns which parts get how many tokens.
    pub(crate) fn draw_reserve(&mut self, now: Instant) -> Vec<(PartId, u32)> {
        match self.reserve.draw(now, self.need()) {
            0 => Vec::new(),
            tokens => self.add(tokens),
        }
    }

    /// Empties the base share's bucket.
    pub(crate) fn clear_base(&mut self) {
        self.base = 0;
        self.base_at = None;
    }
}

impl PartStock {
    /// Adds tokens, which meet the need first.
    fn give(&mut self, tokens: u32) {
        self.tokens += tokens;
        let need = self.need.min(tokens);
        self.need -= need;
        self.want = self.want.saturating_sub(tokens - need);
    }
}
