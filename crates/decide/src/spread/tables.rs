//! Tables of live hosts, upstreams and services, updated fact by fact and copied into views.

use std::collections::BTreeMap;

use model::{
    Announcement, DataCentreId, HashMap, HashSet, HostId, HostInfo, ServiceId, Term, UpstreamId,
};

use crate::placement;
use crate::view::{ServiceView, UpstreamView};

/// The live hosts, and the live upstreams with their owners.
///
/// A host that joins or goes costs a check of each upstream of its data centre, and for each
/// upstream that moves a score of every host there; a new upstream costs only those scores.
#[derive(Debug, Default)]
pub struct FleetTables {
    hosts: HashMap<HostId, HostInfo>,
    /// How often the live hosts have changed.
    hosts_revision: u64,
    /// The hosts of each data centre that may own upstreams.
    owner_candidates: BTreeMap<DataCentreId, BTreeMap<HostId, HostInfo>>,
    upstreams: HashMap<UpstreamId, UpstreamView>,
    services: HashMap<ServiceId, ServiceView>,
    /// The last known term and primary of each service, also without live upstreams.
    primaries: HashMap<ServiceId, (Term, UpstreamId)>,
    upstreams_by_data_centre: HashMap<DataCentreId, HashSet<UpstreamId>>,
    /// Upstreams that were added or got other owners since `take_moved_upstreams`.
    moved_upstreams: Vec<UpstreamId>,
    /// Whether anything has changed since `take_changed`.
    changed: bool,
}

impl FleetTables {
    /// Returns the live hosts.
    pub fn hosts(&self) -> &HashMap<HostId, HostInfo> {
        &self.hosts
    }

    /// Returns how often the live hosts have changed.
    pub fn hosts_revision(&self) -> u64 {
        self.hosts_revision
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

    /// Returns the upstreams that were added or got other owners since the last call.
    pub fn take_moved_upstreams(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.moved_upstreams)
    }

    /// Returns the owners of an upstream, which need not be in the tables.
    ///
    /// They are hosts of its data centre, or of any if that has too few candidates.
    pub fn owners(&self, upstream: &UpstreamId, data_centre: &DataCentreId) -> Vec<HostId> {
        let local = self.owner_candidates.get(data_centre).into_iter().flatten();
        let local = local.map(|(_, info)| info);
        if self.count_candidates(data_centre) >= placement::OWNERS_PER_UPSTREAM {
            return placement::owners(upstream, data_centre, local);
        }
        let all = self
            .owner_candidates
            .values()
            .flatten()
            .map(|(_, info)| info);
        placement::owners(upstream, data_centre, all)
    }

    fn count_candidates(&self, data_centre: &DataCentreId) -> usize {
        self.owner_candidates
            .get(data_centre)
            .map_or(0, BTreeMap::len)
    }

    /// Adds a live host or replaces its attributes.
    pub fn set_host(&mut self, info: &HostInfo) {
        if self.hosts.get(&info.host) == Some(info) {
            return;
        }
        let old = self.hosts.insert(info.host.clone(), info.clone());
        self.hosts_revision += 1;
        self.changed = true;
        if let Some(old) = old.filter(placement::can_own)
            && (old.data_centre != info.data_centre || !placement::can_own(info))
        {
            self.remove_candidate(&old);
        }
        if placement::can_own(info) {
            let candidates = self
                .owner_candidates
                .entry(info.data_centre.clone())
                .or_default();
            let new = candidates.insert(info.host.clone(), info.clone()).is_none();
            if new {
                self.place_on_candidate(info);
            }
        }
    }

    /// Removes a host, and moves its upstreams to other owners.
    pub fn remove_host(&mut self, host: &HostId) {
        let Some(old) = self.hosts.remove(host) else {
            return;
        };
        self.hosts_revision += 1;
        self.changed = true;
        if placement::can_own(&old) {
            self.remove_candidate(&old);
        }
    }

    /// Moves upstreams to a new candidate that outranks one of their owners.
    fn place_on_candidate(&mut self, info: &HostInfo) {
        let moved = self.upstreams_ownable_in(&info.data_centre);
        let moved = moved.filter(|upstream| {
            let Some(view) = self.upstreams.get(*upstream) else {
                return false;
            };
            if self.count_candidates(&view.announcement.data_centre)
                <= placement::OWNERS_PER_UPSTREAM
            {
                return true;
            }
            let score = placement::rendezvous_score(upstream, &info.host);
            let worst = view.owners.last();
            worst.is_none_or(|worst| placement::rendezvous_score(upstream, worst) <= score)
        });
        self.recompute_owners(moved.cloned().collect());
    }

    /// Removes a host from the candidates, and moves its upstreams to others.
    fn remove_candidate(&mut self, old: &HostInfo) {
        if let Some(candidates) = self.owner_candidates.get_mut(&old.data_centre) {
            candidates.remove(&old.host);
        }
        let moved = self.upstreams_ownable_in(&old.data_centre);
        let moved = moved.filter(|upstream| {
            let view = self.upstreams.get(*upstream);
            view.is_some_and(|view| view.owners.contains(&old.host))
        });
        self.recompute_owners(moved.cloned().collect());
    }

    /// Returns the upstreams that hosts of a data centre may own: those in it, and those in
    /// data centres with too few candidates.
    fn upstreams_ownable_in(
        &self,
        data_centre: &DataCentreId,
    ) -> impl Iterator<Item = &UpstreamId> {
        let by_data_centre = self.upstreams_by_data_centre.iter();
        let ownable = by_data_centre.filter(move |(located, _)| {
            *located == data_centre
                || self.count_candidates(located) < placement::OWNERS_PER_UPSTREAM
        });
        ownable.flat_map(|(_, upstreams)| upstreams)
    }

    /// Chooses the owners of some upstreams again, and records which have other ones.
    fn recompute_owners(&mut self, upstreams: Vec<UpstreamId>) {
        for upstream in upstreams {
            let Some(view) = self.upstreams.get(&upstream) else {
                continue;
            };
            let owners = self.owners(&upstream, &view.announcement.data_centre);
            if let Some(view) = self.upstreams.get_mut(&upstream)
                && view.owners != owners
            {
                view.owners = owners;
                self.moved_upstreams.push(upstream);
            }
        }
    }

    /// Adds a live upstream or replaces its announcement.
    pub fn set_upstream(&mut self, announcement: &Announcement) {
        let upstream = &announcement.upstream;
        let known = self.upstreams.get(upstream);
        if known.is_some_and(|view| view.announcement == *announcement) {
            return;
        }
        self.remove_upstream(upstream);
        self.changed = true;
        let owners = self.owners(upstream, &announcement.data_centre);
        let data_centre = announcement.data_centre.clone();
        self.upstreams_by_data_centre
            .entry(data_centre)
            .or_default()
            .insert(upstream.clone());
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
            last_ready_at: None,
        };
        self.upstreams.insert(upstream.clone(), view);
        self.moved_upstreams.push(upstream.clone());
    }

    /// Removes an upstream, and its service if that has no other.
    pub fn remove_upstream(&mut self, upstream: &UpstreamId) {
        let Some(old) = self.upstreams.remove(upstream) else {
            return;
        };
        self.changed = true;
        if let Some(upstreams) = self
            .upstreams_by_data_centre
            .get_mut(&old.announcement.data_centre)
        {
            upstreams.remove(upstream);
        }
        let service = &old.announcement.service;
        if let Some(row) = self.services.get_mut(service) {
            row.upstreams.retain(|other| other != upstream);
            if row.upstreams.is_empty() {
                self.services.remove(service);
            }
        }
    }

    /// Records a service's term and primary.
    pub fn set_primary(&mut self, service: &ServiceId, term: Term, upstream: &UpstreamId) {
        let primary = (term, upstream.clone());
        if let Some(row) = self.services.get_mut(service) {
            row.primary = Some(primary.clone());
            self.changed = true;
        }
        self.primaries.insert(service.clone(), primary);
    }
}
