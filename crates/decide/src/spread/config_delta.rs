//! Deltas: the differences between two versions of the configuration.

use std::collections::{BTreeMap, VecDeque};

use model::config::{Route, Service, Workspace};
use model::{Config, ConfigVersion, RouteId, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The entries that a later version sets or removes; `None` stands for a removed entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The version that the delta applies to.
    pub base: ConfigVersion,
    /// The version that it leads to.
    pub version: ConfigVersion,
    workspaces: BTreeMap<WorkspaceId, Option<Workspace>>,
    services: BTreeMap<ServiceId, Option<Service>>,
    open_routes: BTreeMap<ServiceId, Option<WorkspaceId>>,
    routes: BTreeMap<RouteId, Option<Route>>,
}

impl ConfigDelta {
    /// Returns the delta from one configuration to a later one.
    pub fn between(old: &Config, new: &Config) -> Self {
        Self {
            base: old.version,
            version: new.version,
            workspaces: changed_entries(&old.workspaces, &new.workspaces),
            services: changed_entries(&old.services, &new.services),
            open_routes: changed_entries(&old.open_routes, &new.open_routes),
            routes: changed_entries(&old.routes, &new.routes),
        }
    }

    /// Returns whether the delta may be applied to a version, which only its base may be.
    ///
    /// Its maker may have skipped versions in between. An entry that one of those set and a later
    /// one removed is not in the delta, and would stay on a host that holds such a version.
    pub fn applies_to(&self, version: ConfigVersion) -> bool {
        self.base == version
    }

    /// Returns how many entries the delta sets or removes.
    pub fn len(&self) -> usize {
        let workspaces_and_services = self.workspaces.len() + self.services.len();
        workspaces_and_services + self.open_routes.len() + self.routes.len()
    }

    /// Returns whether the delta changes nothing but the version.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies the delta to a configuration of its base version.
    pub fn apply(&self, config: &mut Config) {
        config.version = self.version;
        apply_entries(&mut config.workspaces, &self.workspaces);
        apply_entries(&mut config.services, &self.services);
        apply_entries(&mut config.open_routes, &self.open_routes);
        apply_entries(&mut config.routes, &self.routes);
    }

    /// Merges the delta that follows this one into it.
    fn append(&mut self, later: &Self) {
        self.version = later.version;
        self.workspaces.extend(later.workspaces.clone());
        self.services.extend(later.services.clone());
        self.open_routes.extend(later.open_routes.clone());
        self.routes.extend(later.routes.clone());
    }
}

fn changed_entries<K, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> BTreeMap<K, Option<V>>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    let removed = old.keys().filter(|key| !new.contains_key(key));
    let removed = removed.map(|key| (key.clone(), None));
    let set = new
        .iter()
        .filter(|(key, value)| old.get(key) != Some(value));
    let set = set.map(|(key, value)| (key.clone(), Some(value.clone())));
    removed.chain(set).collect()
}

fn apply_entries<K, V>(entries: &mut BTreeMap<K, V>, changed: &BTreeMap<K, Option<V>>)
where
    K: Clone + Ord,
    V: Clone,
{
    for (key, value) in changed {
        match value {
            Some(value) => entries.insert(key.clone(), value.clone()),
            None => entries.remove(key),
        };
    }
}

/// The latest deltas, each based on the version that the one before leads to.
#[derive(Debug, Default)]
pub struct DeltaHistory {
    deltas: VecDeque<ConfigDelta>,
}

impl DeltaHistory {
    /// Appends a delta, keeping at most `limit`; one that doesn't follow the last starts anew.
    pub fn push(&mut self, delta: ConfigDelta, limit: usize) {
        if self
            .deltas
            .back()
            .is_some_and(|last| last.version != delta.base)
        {
            self.deltas.clear();
        }
        self.deltas.push_back(delta);
        while self.deltas.len() > limit {
            self.deltas.pop_front();
        }
    }

    /// Returns one delta from `version` to the newest, or `None` if the history lacks that base.
    pub fn since(&self, version: ConfigVersion) -> Option<ConfigDelta> {
        let start = self
            .deltas
            .partition_point(|delta| delta.version <= version);
        let mut deltas = self.deltas.range(start..);
        let mut merged = deltas
            .next()
            .filter(|first| first.applies_to(version))?
            .clone();
        deltas.for_each(|delta| merged.append(delta));
        Some(merged)
    }
}
