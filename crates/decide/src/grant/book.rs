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
    out: Outstanding,
}

/// Tokens that hosts were granted and may still use.
#[derive(Debug, Default)]
pub(crate) struct Outstanding {
    hosts: HashMap<HostId, Vec<Lump>>,
}

impl Outstanding {
    /// Returns how many there are.
    pub(crate) fn total(&self) -> u32 {
        let lumps = self.hosts.values().flatten();
        lumps.map(|lump| lump.tokens).sum()
    }

    /// Settles what a host has received up to a grant: it may still use only so many.
    ///
    /// Returns how many it could have used before.
    pub(crate) fn settle(&mut self, host: &HostId, number: u64, left: u32) -> u32 {
        if left == 0 && !self.hosts.contains_key(host) {
            return 0;
        }
        let lumps = self.hosts.entry(host.clone()).or_default();
        let settled = lumps.extract_if(.., |lump| lump.number <= number);
        let had = settled.map(|lump| lump.tokens).sum();
        self.add(host, number, left);
        had
    }

    /// Adds tokens of a grant.
    pub(crate) fn add(&mut self, host: &HostId, number: u64, tokens: u32) {
        if tokens > 0 {
            let lumps = self.hosts.entry(host.clone()).or_default();
            lumps.push(Lump { number, tokens });
        }
    }

    /// Forgets what a host held; returns how many there were.
    pub(crate) fn lapse(&mut self, host: &HostId) -> u32 {
        let lumps = self.hosts.remove(host).unwrap_or_default();
        lumps.iter().map(|lump| lump.tokens).sum()
    }
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
            out: Outstanding::default(),
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
        let room = floating.burst.saturating_sub(self.out.total());
        self.hand = self.hand.min(NanoTokens::from(room) * TOKEN);
    }

    /// Settles what a host has received up to a grant: it may still use only so many.
    pub(crate) fn settle(&mut self, host: &HostId, number: u64, left: u32) {
        self.out.settle(host, number, left);
    }

    /// Forgets what a host held, since its lease has run out.
    pub(crate) fn lapse(&mut self, host: &HostId) {
        self.out.lapse(host);
    }

    /// Takes back and hands out tokens; returns how many the host gets.
    pub(crate) fn hand_out(
        &mut self,
        host: &HostId,
        number: u64,
        ask: &Ask,
        want: u32,
        floating: &Floating,
    ) -> u32 {
        self.hand += NanoTokens::from(ask.returned) * TOKEN;
        self.cap(floating);
        let room = floating.out.saturating_sub(self.out.total());
        let most = whole(self.hand).min(room);
        let need = ask.need.min(most);
        let ahead = want.min((most - need) / AHEAD_SHARE);
        let tokens = need + ahead;
        if tokens > 0 {
            self.hand -= NanoTokens::from(tokens) * TOKEN;
            self.out.add(host, number, tokens);
        }
        tokens
    }
}
