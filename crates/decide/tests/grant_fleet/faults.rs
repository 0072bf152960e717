//! Faults and loads of a fleet.

use std::time::Duration;

use decide::Effect;
use decide::admit::Admission;
use decide::grant::Grant;

use super::{Due, Fleet, Index};

impl<A: Admission> Fleet<A> {
    /// Makes the `nth` control host the leader of a term.
    pub(crate) fn elect(&mut self, nth: usize, term: u64) {
        let index = self.entries + nth;
        self.leader = Some((index, term));
        self.schedule(self.now, Due::Confirm(term));
        for entry in 0..self.hosts.len() {
            if self.reaches(entry, index) {
                let leader = self.hosts[index].me.host.clone();
                self.with(entry, |host, cx| host.holder.set_leader(cx, term, leader));
            }
        }
    }

    /// Ends the leadership; the leader itself does not learn of it.
    pub(crate) fn depose(&mut self) {
        self.leader = None;
    }

    /// Puts hosts on an island; hosts of different ones can't reach each other.
    pub(crate) fn cut(&mut self, hosts: impl IntoIterator<Item = Index>, island: u8) {
        for host in hosts {
            self.hosts[host].island = island;
        }
        let Some((index, term)) = self.leader else {
            return;
        };
        for entry in 0..self.hosts.len() {
            if self.reaches(entry, index) {
                let leader = self.hosts[index].me.host.clone();
                self.with(entry, |host, cx| host.holder.set_leader(cx, term, leader));
            }
        }
    }

    /// Returns how much time has passed.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Returns the index of the `nth` control host.
    pub(crate) fn control(&self, nth: usize) -> Index {
        self.entries + nth
    }

    /// Ends a host for good.
    pub(crate) fn kill(&mut self, host: Index) {
        self.hosts[host].alive = false;
    }

    /// Returns whether a host takes a grant, which shows in that it feeds its traffic parts.
    pub(crate) fn takes(&mut self, index: Index, grant: &Grant) -> bool {
        self.with(index, |host, cx| {
            host.holder.on_grant(cx, grant);
            let fed = |effect: &Effect| matches!(effect, Effect::ForwardEvent { .. });
            cx.effects.iter().any(fed)
        })
    }

    /// Stops hosts for a time, after which they take up what has come for them.
    pub(crate) fn freeze(&mut self, hosts: impl IntoIterator<Item = Index>, time: Duration) {
        for host in hosts {
            self.hosts[host].frozen_until = self.now + time;
        }
    }

    /// Sends requests at a rate a second, spread over the entry hosts by weight.
    pub(crate) fn load(&mut self, rate: f64, weights: Vec<f64>) {
        let idle = self.rate == 0.0;
        self.rate = rate;
        self.weights = weights;
        if idle {
            self.next_arrival();
        }
    }
}
