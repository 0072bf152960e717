//! What a script can break and mend.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::upstream_query::UpstreamQuery;
use model::DataCentreId;

use crate::host::{Input, announcement};
use crate::instance::{Instance, LAG};
use crate::world::{Odds, World};

impl World {
    /// Lets everything go on that waited for something frozen.
    pub(crate) fn thaw(&mut self) {
        for host in &mut self.hosts {
            host.frozen = false;
        }
        for instance in &mut self.instances {
            instance.frozen = false;
        }
        for ev in std::mem::take(&mut self.held) {
            self.after(Duration::ZERO, ev);
        }
    }

    pub(crate) fn is_cut(&self, a: &DataCentreId, b: &DataCentreId) -> bool {
        let pair = (a.clone().min(b.clone()), a.clone().max(b.clone()));
        self.cuts.contains(&pair)
    }

    /// Cuts two data centres off from each other.
    pub(crate) fn cut(&mut self, a: &DataCentreId, b: &DataCentreId) {
        let pair = (a.clone().min(b.clone()), a.clone().max(b.clone()));
        self.cuts.insert(pair);
    }

    /// Cuts a data centre off from all others.
    pub(crate) fn isolate(&mut self, place: &DataCentreId) {
        let all: BTreeSet<DataCentreId> = self
            .instances
            .iter()
            .map(|instance| instance.data_centre.clone())
            .collect();
        for other in all.iter().filter(|other| *other != place) {
            self.cut(place, other);
        }
    }

    /// Ends all cuts.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Makes the open connection of a host to an instance silent for good.
    pub(crate) fn silence(&mut self, host: usize, instance: usize) {
        self.silent.insert((host, instance));
    }

    pub(crate) fn restart_host(&mut self, host: usize) {
        self.hosts[host].restart();
        self.begin(host);
    }

    pub(crate) fn leave_host(&mut self, host: usize) {
        self.input(host, Input::Leave);
    }

    /// Leaves an instance as a candidate would that died after its first promise.
    pub(crate) fn stray_promise(&mut self, instance: usize) {
        let term = self.instances[instance].promised + 1;
        let candidate = "nobody".into();
        let ask = UpstreamQuery::Promise { term, candidate };
        self.instances[instance].answer(self.now, &ask);
    }

    /// Lets an instance announce that it is leaving.
    pub(crate) fn leave_instance(&mut self, instance: usize) {
        self.instances[instance].leaving = true;
        self.announce(None);
    }

    /// Lets the announcement of an instance lapse.
    pub(crate) fn lapse_instance(&mut self, instance: usize) {
        self.announce(Some(instance));
    }

    /// Gives every host a view of all instances but one.
    fn announce(&mut self, but: Option<usize>) {
        let size = self.instances.len() as u8;
        for host in 0..self.hosts.len() {
            let list = self.instances.iter().enumerate();
            let view = list
                .filter(|(instance, _)| Some(*instance) != but)
                .map(|(_, instance)| announcement(&self.service, instance, size))
                .collect();
            self.input(host, Input::View(view));
        }
    }

    /// Returns whether an owner reaches a majority of the instances, which reach each other.
    pub(crate) fn majority_reachable(&self) -> bool {
        let majority = self.instances.len() / 2 + 1;
        let hosts = self.hosts.iter().filter(|host| host.alive && !host.frozen);
        let mut places = hosts.map(|host| &host.info.data_centre);
        places.any(|place| {
            let works = |instance: &&Instance| {
                instance.alive && !instance.frozen && !self.is_cut(place, &instance.data_centre)
            };
            self.instances.iter().filter(works).count() >= majority
        })
    }

    /// Ends all faults.
    pub(crate) fn mend(&mut self) {
        self.odds = Odds::default();
        self.cuts.clear();
        self.thaw();
        for instance in 0..self.instances.len() {
            self.instances[instance].full = false;
            self.instances[instance].detached = false;
            self.instances[instance].lag = LAG;
            self.start_instance(instance);
        }
        for host in 0..self.hosts.len() {
            if !self.hosts[host].alive {
                self.restart_host(host);
            }
        }
    }

    /// Starts an instance again unless it runs.
    pub(crate) fn start_instance(&mut self, instance: usize) {
        if !self.instances[instance].alive {
            self.instances[instance].restart(self.now);
        }
    }
}
