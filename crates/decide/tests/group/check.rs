//! The invariants that are checked at every step, and the measured gaps between writes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::Term;
use model::config::CommitRule;

use crate::instance::{SLOTS, WriteId};
use crate::world::World;

impl World {
    /// Checks that an instance that has just become primary is the only one of its term and has
    /// all acknowledged writes in its log.
    pub(crate) fn check_promotion(&mut self, target: usize) {
        let instance = &self.instances[target];
        let term = instance.promised_term;
        let before = self.promoted.insert(term, (target, self.now));
        assert!(before.is_none(), "two primaries in term {term}");
        let line = format!("{}: became primary of term {term}", instance.id);
        self.trace.push((self.now, line));
        if self.hosts[0].commit_rule == CommitRule::Primary {
            return;
        }
        let instance = &self.instances[target];
        let log: BTreeSet<WriteId> = instance.log.iter().map(|(_, write)| *write).collect();
        for (_, write) in &self.acks {
            assert!(
                log.contains(write),
                "acknowledged write {write} is lost by {} in term {term}",
                instance.id
            );
        }
    }

    /// Records a confirmed write, and checks that it ran on the newest primary and that, under the rule
    /// `replicated`, all later primaries have it.
    pub(crate) fn record_acknowledgement(&mut self, write: WriteId) {
        let ran = &self.executed_writes[&write];
        assert!(!ran.stale, "write {write} ran on an old primary");
        let must_keep_writes = self.hosts[0].commit_rule == CommitRule::Replicated;
        for (_, (target, _)) in self.promoted.range(ran.term + 1..) {
            let log = &self.instances[*target].log;
            assert!(
                !must_keep_writes || log.iter().any(|(_, entry)| *entry == write),
                "write {write} of term {} is acknowledged after a change that lost it",
                ran.term
            );
        }
        let term = ran.term;
        self.acks.push((self.now, write));
        if self.confirmed_terms.insert(term) {
            let line = format!("write confirmed in term {term}");
            self.trace.push((self.now, line));
        }
    }

    /// Checks that the valid claims of all hosts don't exceed an instance's slots.
    pub(crate) fn check_claims(&self) {
        for instance in &self.instances {
            let alive = self.hosts.iter().filter(|host| host.alive);
            let claims = alive.filter_map(|host| host.claims.get(&instance.id));
            let held = claims.filter(|(_, until)| *until > self.now);
            let sum: u32 = held.map(|(slots, _)| slots).sum();
            assert!(
                sum <= SLOTS,
                "{sum} slots of {} are claimed, more than its {SLOTS}",
                instance.id
            );
        }
    }

    /// Returns the term and index of the newest primary, or `None` if there has been none.
    pub(crate) fn primary(&self) -> Option<(Term, usize)> {
        let (term, (target, _)) = self.promoted.last_key_value()?;
        Some((*term, *target))
    }

    /// Returns the longest time without an acknowledged write since `since`.
    pub(crate) fn longest_gap(&self, since: Instant) -> Duration {
        let acks = self.acks.iter().map(|(at, _)| *at);
        let mut previous = since;
        let mut longest = Duration::ZERO;
        for at in acks.filter(|at| *at > since).chain([self.now]) {
            longest = longest.max(at - previous);
            previous = at;
        }
        longest
    }
}
