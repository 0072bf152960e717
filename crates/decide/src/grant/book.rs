//! The leader's account of one workspace's tokens.

use std::time::Instant;

use model::{HashMap, HostId};

use crate::grant::{Ask, NanoTokens, TOKEN, inflow, whole};

/// The part of what is in hand that is given out ahead of need at a time.
const AHEAD_SHARE: u32 = 4;

/// The tokens of one workspace.
#[derive(Debug)]
pub(crate) struct Book {
    /// What can be handed out.
    hand: NanoTokens,
    /// When `hand` was last brought up to date.
    at: Instant,
    /// What hosts may still use.
    out: HashMap<HostId, Vec<Lump>>,
}

/// Tokens that went to a host in one grant, or what is left of several.
#[derive(Clone, Copy, Debug)]
struct Lump {
    number: u64,
    tokens: u32,
}

/// What of a workspace's rate and burst isn't set aside for hosts that may be cut off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floating {
    /// Billionths of tokens a second.
    pub(crate) rate: NanoTokens,
    /// Tokens, in hand and at hosts together.
    pub(crate) burst: u32,
    /// Tokens at hosts together, however many hosts are cut off.
    pub(crate) out: u32,
}

impl Book {
    /// Returns an account that has nothing in hand until a moment.
    pub(crate) fn new(from: Instant) -> Self {
        Self {
            hand: 0,
            at: from,
            out: HashMap::default(),
        }
    }

    /// Lets tokens flow in from a moment that is earlier than was planned.
    pub(crate) fn start(&mut self, from: Instant) {
        self.at = self.at.min(from);
    }

    /// Lets tokens flow in up to a moment.
    pub(crate) fn refill(&mut self, now: Instant, floating: &Floating) {
        if now > self.at {
            self.hand += inflow(floating.rate, now.duration_since(self.at));
            self.at = now;
        }
        self.cap(floating);
    }

    /// Drops what is above the burst.
    fn cap(&mut self, floating: &Floating) {
        let room = floating.burst.saturating_sub(self.outstanding());
        self.hand = self.hand.min(NanoTokens::from(room) * TOKEN);
    }

    /// Returns how many tokens hosts may still use.
    fn outstanding(&self) -> u32 {
        let lumps = self.out.values().flatten();
        lumps.map(|lump| lump.tokens).sum()
    }

    /// Settles what a host has received up to a grant: it may still use only so many.
    pub(crate) fn settle(&mut self, host: &HostId, number: u64, left: u32) {
        let Some(lumps) = self.out.get_mut(host) else {
            if left > 0 {
                let lump = Lump {
                    number,
                    tokens: left,
                };
                self.out.insert(host.clone(), vec![lump]);
            }
            return;
        };
        lumps.retain(|lump| lump.number > number);
        if left > 0 {
            lumps.push(Lump {
                number,
                tokens: left,
            });
        }
    }

    /// Forgets what a host held, since its lease has run out.
    pub(crate) fn lapse(&mut self, host: &HostId) {
        self.out.remove(host);
    }

    /// Takes back and hands out tokens; returns how many the host gets.
    pub(crate) fn hand_out(
        &mut self,
        host: &HostId,
        number: u64,
        ask: &Ask,
        floating: &Floating,
    ) -> u32 {
        self.hand += NanoTokens::from(ask.returned) * TOKEN;
        self.cap(floating);
        let room = floating.out.saturating_sub(self.outstanding());
        let most = whole(self.hand).min(room);
        let need = ask.need.min(most);
        let ahead = ask.want.min((most - need) / AHEAD_SHARE);
        let tokens = need + ahead;
        if tokens > 0 {
            self.hand -= NanoTokens::from(tokens) * TOKEN;
            let lumps = self.out.entry(host.clone()).or_default();
            lumps.push(Lump { number, tokens });
        }
        tokens
    }
}
