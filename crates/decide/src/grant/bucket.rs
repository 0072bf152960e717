//! The leader's token bucket of one workspace, with the grants that are outstanding.

use std::time::Instant;

use model::{HashMap, HostId};

use crate::grant::{NanoTokens, ONE_TOKEN, WorkspaceDemand, refill_amount, whole_tokens};

/// For the requests that a host expects, one grant gives at most this fraction (1/n) of the tokens
/// that are left after waiting requests.
const PREFETCH_DIVISOR: u32 = 4;

/// The leader's token bucket of one workspace.
#[derive(Debug)]
pub(crate) struct WorkspaceBucket {
    /// The tokens in the bucket, which may be granted.
    available: NanoTokens,
    /// When `available` was last refilled; in the future while the refill has not started.
    refilled_at: Instant,
    /// The granted tokens that hosts may still use.
    outstanding: Outstanding,
}

/// Granted tokens that hosts may still use.
#[derive(Debug, Default)]
pub(crate) struct Outstanding {
    hosts: HashMap<HostId, Vec<GrantedTokens>>,
}

impl Outstanding {
    /// Returns the tokens of all hosts.
    pub(crate) fn total(&self) -> u32 {
        let grants = self.hosts.values().flatten();
        grants.map(|grant| grant.tokens).sum()
    }

    /// Replaces what a host was granted up to `number` by the tokens that it reports to remain.
    ///
    /// Returns how many were outstanding for those grants before.
    pub(crate) fn reconcile(&mut self, host: &HostId, number: u64, remaining: u32) -> u32 {
        if remaining == 0 && !self.hosts.contains_key(host) {
            return 0;
        }
        let grants = self.hosts.entry(host.clone()).or_default();
        let covered = grants.extract_if(.., |grant| grant.number <= number);
        let previous = covered.map(|grant| grant.tokens).sum();
        self.add(host, number, remaining);
        previous
    }

    /// Adds tokens of a grant.
    pub(crate) fn add(&mut self, host: &HostId, number: u64, tokens: u32) {
        if tokens > 0 {
            let grants = self.hosts.entry(host.clone()).or_default();
            grants.push(GrantedTokens { number, tokens });
        }
    }

    /// Removes a host's tokens; returns how many there were.
    pub(crate) fn expire_host(&mut self, host: &HostId) -> u32 {
        let grants = self.hosts.remove(host).unwrap_or_default();
        grants.iter().map(|grant| grant.tokens).sum()
    }
}

/// Tokens of one grant, or the tokens that remain of all grants up to `number`.
#[derive(Clone, Copy, Debug)]
struct GrantedTokens {
    number: u64,
    tokens: u32,
}

/// The limits of a bucket: rate and burst less the base shares that hosts may be using.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketLimits {
    /// Refill in billionths of tokens a second.
    pub(crate) rate: NanoTokens,
    /// The most tokens in the bucket and outstanding together.
    pub(crate) burst: u32,
    /// The most tokens outstanding, with all base shares left free however many are in use.
    pub(crate) outstanding_max: u32,
}

impl WorkspaceBucket {
    /// Returns an empty bucket that refills from a moment on.
    pub(crate) fn new(from: Instant) -> Self {
        Self {
            available: 0,
            refilled_at: from,
            outstanding: Outstanding::default(),
        }
    }

    /// Moves the start of the refill to an earlier moment.
    pub(crate) fn refill_from(&mut self, from: Instant) {
        self.refilled_at = self.refilled_at.min(from);
    }

    /// Refills the bucket up to now.
    pub(crate) fn refill(&mut self, now: Instant, limits: &BucketLimits) {
        if now > self.refilled_at {
            self.available += refill_amount(limits.rate, now.duration_since(self.refilled_at));
            self.refilled_at = now;
        }
        self.cap_to_burst(limits);
    }

    /// Drops the tokens that exceed the burst together with the outstanding ones.
    fn cap_to_burst(&mut self, limits: &BucketLimits) {
        let free_capacity = limits.burst.saturating_sub(self.outstanding.total());
        self.available = self
            .available
            .min(NanoTokens::from(free_capacity) * ONE_TOKEN);
    }

    /// Replaces what a host was granted up to `number` by the tokens that it reports to remain.
    pub(crate) fn reconcile(&mut self, host: &HostId, number: u64, remaining: u32) {
        self.outstanding.reconcile(host, number, remaining);
    }

    /// Removes a host's outstanding tokens, since its lease has expired.
    pub(crate) fn expire_host(&mut self, host: &HostId) {
        self.outstanding.expire_host(host);
    }

    /// Takes back the tokens that a host returns and grants new ones; returns how many it gets.
    pub(crate) fn grant_tokens(
        &mut self,
        host: &HostId,
        number: u64,
        demand: &WorkspaceDemand,
        prefetch: u32,
        limits: &BucketLimits,
    ) -> u32 {
        self.available += NanoTokens::from(demand.returned) * ONE_TOKEN;
        self.cap_to_burst(limits);
        let outstanding_room = limits
            .outstanding_max
            .saturating_sub(self.outstanding.total());
        let grantable = whole_tokens(self.available).min(outstanding_room);
        let for_waiting = demand.waiting.min(grantable);
        let for_prefetch = prefetch.min((grantable - for_waiting) / PREFETCH_DIVISOR);
        let tokens = for_waiting + for_prefetch;
        if tokens > 0 {
            self.available -= NanoTokens::from(tokens) * ONE_TOKEN;
            self.outstanding.add(host, number, tokens);
        }
        tokens
    }
}
