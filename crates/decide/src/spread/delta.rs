//! Differences between two configurations.

use std::collections::{BTreeMap, VecDeque};

use model::config::{Route, Service, Workspace};
use model::{Config, ConfigVersion, RouteId, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The entries of a configuration that differ from an earlier one; none stands for a removed one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The earlier version.
    pub base: ConfigVersion,
    /// The later version.
    pub version: ConfigVersion,
    workspaces: BTreeMap<WorkspaceId, Option<Workspace>>,
    services: BTreeMap<ServiceId, Option<Service>>,
    open_routes: BTreeMap<ServiceId, Option<WorkspaceId>>,
    routes: BTreeMap<RouteId, Option<Route>>,
}

impl ConfigDelta {
    /// Returns what differs between two configurations.
    pub fn between(old: &Config, new: &Config) -> Self {
        Self {
            base: old.version,
            version: new.version,
            workspaces: differing(&old.workspaces, &new.workspaces),
            services: differing(&old.services, &new.services),
            open_routes: differing(&old.open_routes, &new.open_routes),
            routes: differing(&old.routes, &new.routes),
        }
    }

    /// Returns whether it can be applied to a version.
    ///
    /// Only to the one that it starts from: versions between were never seen by whoever made it,
    /// and what they set and a later one took back would stay.
    pub fn fits(&self, version: ConfigVersion) -> bool {
        self.base == version
    }

    /// Returns how many entries it changes.
    pub fn len(&self) -> usize {
        let limits = self.workspaces.len() + self.services.len();
        limits + self.open_routes.len() + self.routes.len()
    }

    /// Returns whether it changes nothing but the version.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies it to a configuration that it fits.
    pub fn apply(&self, config: &mut Config) {
        config.version = self.version;
        replace(&mut config.workspaces, &self.workspaces);
        replace(&mut config.services, &self.services);
        replace(&mut config.open_routes, &self.open_routes);
        replace(&mut config.routes, &self.routes);
    }

    /// Adds a later difference to this one.
    fn extend(&mut self, later: &Self) {
        self.version = later.version;
        self.workspaces.extend(later.workspaces.clone());
        self.services.extend(later.services.clone());
        self.open_routes.extend(later.open_routes.clone());
        self.routes.extend(later.routes.clone());
    }
}

fn differing<K, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> BTreeMap<K, Option<V>>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    let gone = old.keys().filter(|key| !new.contains_key(key));
    let gone = gone.map(|key| (key.clone(), None));
    let set = new
        .iter()
        .filter(|(key, value)| old.get(key) != Some(value));
    let set = set.map(|(key, value)| (key.clone(), Some(value.clone())));
    gone.chain(set).collect()
}

fn replace<K, V>(entries: &mut BTreeMap<K, V>, changed: &BTreeMap<K, Option<V>>)
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

/// The last differences, each based on the one before.
#[derive(Debug, Default)]
pub struct DeltaHistory {
    deltas: VecDeque<ConfigDelta>,
}

impl DeltaHistory {
    /// Adds a difference, and drops the oldest ones over a limit.
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

    /// Returns all that changed since a version, if that is still known.
    pub fn since(&self, version: ConfigVersion) -> Option<ConfigDelta> {
        let start = self
            .deltas
            .partition_point(|delta| delta.version <= version);
        let mut deltas = self.deltas.range(start..);
        let mut merged = deltas.next().filter(|first| first.fits(version))?.clone();
        deltas.for_each(|delta| merged.extend(delta));
        Some(merged)
    }
}
