//! Faults of a fleet, changes of its leader and the load on it.

use std::time::Duration;

use decide::Effect;
use decide::admit::Admission;
use decide::grant::Grant;

use super::{Fleet, FleetEvent, HostIndex, Load};

impl<A: Admission> Fleet<A> {
    /// Makes the `nth` control host the leader of a term.
    pub(crate) fn elect(&mut self, nth: usize, term: u64) {
        let index = self.entry_count + nth;
        self.leader = Some((index, term));
        self.schedule(self.now, FleetEvent::ConfirmLeadership(term));
        for entry in 0..self.hosts.len() {
            if self.reaches(entry, index) {
                let leader = self.hosts[index].me.host.clone();
                self.call_host(entry, |host, cx| host.holder.set_leader(cx, term, leader));
            }
        }
    }

    /// Stops confirming the leader, which still sees itself as leader until its confirmation ends.
    pub(crate) fn depose(&mut self) {
        self.leader = None;
    }

    /// Moves hosts to a network partition; hosts of different partitions can't reach each other.
    pub(crate) fn set_partition(
        &mut self,
        hosts: impl IntoIterator<Item = HostIndex>,
        partition: u8,
    ) {
        for host in hosts {
            self.hosts[host].partition = partition;
        }
        let Some((index, term)) = self.leader else {
            return;
        };
        for entry in 0..self.hosts.len() {
            if self.reaches(entry, index) {
                let leader = self.hosts[index].me.host.clone();
                self.call_host(entry, |host, cx| host.holder.set_leader(cx, term, leader));
            }
        }
    }

    /// Returns the simulated time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Returns the index of the `nth` control host.
    pub(crate) fn control_host(&self, nth: usize) -> HostIndex {
        self.entry_count + nth
    }

    /// Stops a host for good.
    pub(crate) fn kill(&mut self, host: HostIndex) {
        self.hosts[host].alive = false;
    }

    /// Returns whether a host accepts a grant; it then sends the expiry to its traffic parts.
    pub(crate) fn accepts_grant(&mut self, index: HostIndex, grant: &Grant) -> bool {
        self.call_host(index, |host, cx| {
            host.holder.on_grant(cx, grant);
            let sent_to_part = |effect: &Effect| matches!(effect, Effect::ForwardEvent { .. });
            cx.effects.iter().any(sent_to_part)
        })
    }

    /// Pauses hosts for a time, after which they handle the events that arrived meanwhile.
    pub(crate) fn freeze(&mut self, hosts: impl IntoIterator<Item = HostIndex>, time: Duration) {
        for host in hosts {
            self.hosts[host].frozen_until = self.now + time;
        }
    }

    /// Sets the load: requests a second, distributed over the entry hosts by weight.
    pub(crate) fn set_load(&mut self, rate: f64, host_weights: Vec<f64>) {
        let idle = self.arrival_rate == 0.0;
        self.arrival_rate = rate;
        self.host_weights = host_weights;
        if idle {
            self.next_arrival(Load::Main);
        }
    }

    /// Sets the load of the quiet workspace beside the main one, distributed over the entry hosts
    /// by the same weights.
    pub(crate) fn set_quiet_load(&mut self, rate: f64) {
        let idle = self.quiet_rate == 0.0;
        self.quiet_rate = rate;
        if idle {
            self.next_arrival(Load::Quiet);
        }
    }
}
