//! The tables behind the view, kept up to date fact by fact.

use std::collections::BTreeMap;

use model::{
    Announcement, DataCentreId, HashMap, HashSet, HostId, HostInfo, ServiceId, Term, UpstreamId,
};

use crate::placement;
use crate::view::{ServiceView, UpstreamView};

/// The live hosts and upstreams, with owners.
///
/// A host that joins or goes costs a look at each upstream of its data centre, and a
/// score for each host of it for those that move; an upstream costs the latter alone.
#[derive(Debug, Default)]
pub struct Tables {
    hosts: HashMap<HostId, HostInfo>,
    able: BTreeMap<DataCentreId, BTreeMap<HostId, HostInfo>>,
    upstreams: HashMap<UpstreamId, UpstreamView>,
    services: HashMap<ServiceId, ServiceView>,
    primaries: HashMap<ServiceId, (Term, UpstreamId)>,
    /// The upstreams of each data centre.
    homes: HashMap<DataCentreId, HashSet<UpstreamId>>,
    placed: Vec<UpstreamId>,
    changed: bool,
}

impl Tables {
    /// Returns the live hosts.
    pub fn hosts(&self) -> &HashMap<HostId, HostInfo> {
        &self.hosts
    }

    /// Returns the live upstreams.
    pub fn upstreams(&self) -> &HashMap<UpstreamId, UpstreamView> {
        &self.upstreams
    }

    /// Returns the services with live upstreams.
    pub fn services(&self) -> &HashMap<ServiceId, ServiceView> {
        &self.services
    }

    /// Returns the last known term and primary of a service.
    pub fn primary(&self, service: &str) -> Option<&(Term, UpstreamId)> {
        self.primaries.get(service)
    }

    /// Returns whether anything has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the upstreams that have got other owners since the last call.
    pub fn take_placed(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.placed)
    }

    /// Returns the owners of an upstream, known or not.
    pub fn owners(&self, upstream: &UpstreamId, data_centre: &DataCentreId) -> Vec<HostId> {
        let home = self.able.get(data_centre).into_iter().flatten();
        let home = home.map(|(_, info)| info);
        if self.able_in(data_centre) >= placement::OWNERS_PER_UPSTREAM {
            return placement::owners(upstream, data_centre, home);
        }
        let all = self.able.values().flatten().map(|(_, info)| info);
        placement::owners(upstream, data_centre, all)
    }

    fn able_in(&self, data_centre: &DataCentreId) -> usize {
        self.able.get(data_centre).map_or(0, BTreeMap::len)
    }

    /// Adds or changes a live host.
    pub fn set_host(&mut self, info: &HostInfo) {
        if self.hosts.get(&info.host) == Some(info) {
            return;
        }
        let old = self.hosts.insert(info.host.clone(), info.clone());
        self.changed = true;
        if let Some(old) = old.filter(placement::can_own)
            && (old.data_centre != info.data_centre || !placement::can_own(info))
        {
            self.take_off(&old);
        }
        if placement::can_own(info) {
            let able = self.able.entry(info.data_centre.clone()).or_default();
            let new = able.insert(info.host.clone(), info.clone()).is_none();
            if new {
                self.put_on(info);
            }
        }
    }

    /// Removes a host.
    pub fn remove_host(&mut self, host: &HostId) {
        let Some(old) = self.hosts.remove(host) else {
            return;
        };
        self.changed = true;
        if placement::can_own(&old) {
            self.take_off(&old);
        }
    }

    /// Gives a new host the upstreams that it suits best.
    fn put_on(&mut self, info: &HostInfo) {
        let again = self.affected(&info.data_centre);
        let again = again.filter(|upstream| {
            let Some(view) = self.upstreams.get(*upstream) else {
                return false;
            };
            if self.able_in(&view.announcement.data_centre) <= placement::OWNERS_PER_UPSTREAM {
                return true;
            }
            let score = placement::rendezvous_score(upstream, &info.host);
            let worst = view.owners.last();
            worst.is_none_or(|worst| placement::rendezvous_score(upstream, worst) <= score)
        });
        self.place_again(again.cloned().collect());
    }

    /// Gives the upstreams of a host to others.
    fn take_off(&mut self, old: &HostInfo) {
        if let Some(able) = self.able.get_mut(&old.data_centre) {
            able.remove(&old.host);
        }
        let again = self.affected(&old.data_centre);
        let again = again.filter(|upstream| {
            let view = self.upstreams.get(*upstream);
            view.is_some_and(|view| view.owners.contains(&old.host))
        });
        self.place_again(again.cloned().collect());
    }

    /// Returns the upstreams that hosts of a data centre may own: its own, and those of
    /// data centres with too few hosts.
    fn affected(&self, data_centre: &DataCentreId) -> impl Iterator<Item = &UpstreamId> {
        let homes = self.homes.iter();
        let homes = homes.filter(move |(home, _)| {
            *home == data_centre || self.able_in(home) < placement::OWNERS_PER_UPSTREAM
        });
        homes.flat_map(|(_, upstreams)| upstreams)
    }

    fn place_again(&mut self, upstreams: Vec<UpstreamId>) {
        for upstream in upstreams {
            let Some(view) = self.upstreams.get(&upstream) else {
                continue;
            };
            let owners = self.owners(&upstream, &view.announcement.data_centre);
            if let Some(view) = self.upstreams.get_mut(&upstream)
                && view.owners != owners
            {
                view.owners = owners;
                self.placed.push(upstream);
            }
        }
    }

    /// Adds or changes a live upstream.
    pub fn set_upstream(&mut self, announcement: &Announcement) {
        let upstream = &announcement.upstream;
        let known = self.upstreams.get(upstream);
        if known.is_some_and(|view| view.announcement == *announcement) {
            return;
        }
        self.remove_upstream(upstream);
        self.changed = true;
        let owners = self.owners(upstream, &announcement.data_centre);
        let home = announcement.data_centre.clone();
        self.homes.entry(home).or_default().insert(upstream.clone());
        let announcement = announcement.clone();
        let service = announcement.service.clone();
        let primary = self.primaries.get(&service).cloned();
        let row = self.services.entry(service).or_default();
        row.primary = primary;
        row.group_size = announcement.group_size;
        let index = row.upstreams.partition_point(|other| other < upstream);
        row.upstreams.insert(index, upstream.clone());
        let view = UpstreamView {
            announcement,
            owners,
        };
        self.upstreams.insert(upstream.clone(), view);
        self.placed.push(upstream.clone());
    }

    /// Removes an upstream.
    pub fn remove_upstream(&mut self, upstream: &UpstreamId) {
        let Some(old) = self.upstreams.remove(upstream) else {
            return;
        };
        self.changed = true;
        if let Some(home) = self.homes.get_mut(&old.announcement.data_centre) {
            home.remove(upstream);
        }
        let service = &old.announcement.service;
        if let Some(row) = self.services.get_mut(service) {
            row.upstreams.retain(|other| other != upstream);
            if row.upstreams.is_empty() {
                self.services.remove(service);
            }
        }
    }

    /// Sets a service's primary.
    pub fn set_primary(&mut self, service: &ServiceId, term: Term, upstream: &UpstreamId) {
        let primary = (term, upstream.clone());
        if let Some(row) = self.services.get_mut(service) {
            row.primary = Some(primary.clone());
            self.changed = true;
        }
        self.primaries.insert(service.clone(), primary);
    }
}
