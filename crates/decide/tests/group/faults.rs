//! The faults that a test can cause and end.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::upstream_query::UpstreamQuery;
use model::DataCentreId;

use crate::host::{Input, announcement};
use crate::instance::{DEFAULT_LAG, Instance};
use crate::world::{MessageFaults, World};

impl World {
    /// Thaws all hosts and instances, and delivers the events that were held for them.
    pub(crate) fn thaw(&mut self) {
        for host in &mut self.hosts {
            host.frozen = false;
        }
        for instance in &mut self.instances {
            instance.frozen = false;
        }
        for event in std::mem::take(&mut self.held_events) {
            self.schedule(Duration::ZERO, event);
        }
    }

    pub(crate) fn is_cut(&self, a: &DataCentreId, b: &DataCentreId) -> bool {
        let pair = (a.clone().min(b.clone()), a.clone().max(b.clone()));
        self.partitions.contains(&pair)
    }

    /// Partitions two data centres from each other.
    pub(crate) fn cut(&mut self, a: &DataCentreId, b: &DataCentreId) {
        let pair = (a.clone().min(b.clone()), a.clone().max(b.clone()));
        self.partitions.insert(pair);
    }

    /// Partitions a data centre from all others.
    pub(crate) fn isolate(&mut self, data_centre: &DataCentreId) {
        let all: BTreeSet<DataCentreId> = self
            .instances
            .iter()
            .map(|instance| instance.data_centre.clone())
            .collect();
        for other in all.iter().filter(|other| *other != data_centre) {
            self.cut(data_centre, other);
        }
    }

    /// Ends all partitions.
    pub(crate) fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Makes the open connection of a host to an instance drop all messages until a new
    /// connection is opened.
    pub(crate) fn silence(&mut self, host: usize, instance: usize) {
        self.silent_connections.insert((host, instance));
    }

    pub(crate) fn restart_host(&mut self, host: usize) {
        self.hosts[host].restart();
        self.start_host(host);
    }

    pub(crate) fn leave_host(&mut self, host: usize) {
        self.feed_host(host, Input::Leave);
    }

    /// Makes an instance promise the next term to a candidate that doesn't exist, as after the
    /// death of a candidate with one promise.
    pub(crate) fn promise_to_dead_candidate(&mut self, instance: usize) {
        let term = self.instances[instance].promised_term + 1;
        let candidate = "nobody".into();
        let query = UpstreamQuery::Promise { term, candidate };
        self.instances[instance].answer(self.now, &query);
    }

    /// Makes an instance announce that it is leaving.
    pub(crate) fn leave_instance(&mut self, instance: usize) {
        self.instances[instance].leaving = true;
        self.announce_all_except(None);
    }

    /// Makes an instance announce that it drains.
    pub(crate) fn drain_instance(&mut self, instance: usize) {
        self.instances[instance].draining = true;
        self.announce_all_except(None);
    }

    /// Removes an instance from all views, as when its announcement lapses.
    pub(crate) fn lapse_instance(&mut self, instance: usize) {
        self.announce_all_except(Some(instance));
    }

    /// Gives every host a view of all instances, except `excluded`.
    fn announce_all_except(&mut self, excluded: Option<usize>) {
        let size = self.instances.len() as u8;
        for host in 0..self.hosts.len() {
            let list = self.instances.iter().enumerate();
            let view = list
                .filter(|(instance, _)| Some(*instance) != excluded)
                .map(|(_, instance)| announcement(&self.service, instance, size))
                .collect();
            self.feed_host(host, Input::Announced(view));
        }
    }

    /// Returns whether a running host reaches a majority of running instances.
    pub(crate) fn majority_reachable(&self) -> bool {
        let majority = self.instances.len() / 2 + 1;
        let hosts = self.hosts.iter().filter(|host| host.alive && !host.frozen);
        let mut data_centres = hosts.map(|host| &host.info.data_centre);
        data_centres.any(|data_centre| {
            let works = |instance: &&Instance| {
                instance.alive
                    && !instance.frozen
                    && !self.is_cut(data_centre, &instance.data_centre)
            };
            self.instances.iter().filter(works).count() >= majority
        })
    }

    /// Ends all faults.
    pub(crate) fn end_all_faults(&mut self) {
        self.message_faults = MessageFaults::default();
        self.partitions.clear();
        self.thaw();
        for instance in 0..self.instances.len() {
            self.instances[instance].refuses_connections = false;
            self.instances[instance].detached = false;
            self.instances[instance].lag = DEFAULT_LAG;
            self.start_instance(instance);
        }
        for host in 0..self.hosts.len() {
            if !self.hosts[host].alive {
                self.restart_host(host);
            }
        }
    }

    /// Restarts an instance that has stopped.
    pub(crate) fn start_instance(&mut self, instance: usize) {
        if !self.instances[instance].alive {
            self.instances[instance].restart(self.now);
        }
    }
}
