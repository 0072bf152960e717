//! The versions in force on other hosts, gathered towards the control hosts for operators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{ConfigVersion, HostId};
use serde::{Deserialize, Serialize};

/// The least time between two reports.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// How much longer it is for each host known, so that a large fleet reports less often.
const REPORT_EVERY_PER_HOST: Duration = Duration::from_millis(40);

/// A host and the version in force on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostVersion {
    /// The host.
    pub host: HostId,
    /// The version.
    pub version: ConfigVersion,
}

/// What a host knows of the versions on the hosts below it; a control host knows all.
#[derive(Debug)]
pub struct Versions {
    known: BTreeMap<HostId, ConfigVersion>,
    changed: BTreeSet<HostId>,
    report_at: Instant,
}

impl Versions {
    /// Returns what a host knows that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            known: BTreeMap::new(),
            changed: BTreeSet::new(),
            report_at: now,
        }
    }

    /// Notes the version on a host; versions only rise.
    pub fn note(&mut self, host: &HostId, version: ConfigVersion) {
        let known = self.known.get(host);
        if known.is_some_and(|known| *known >= version) {
            return;
        }
        self.known.insert(host.clone(), version);
        self.changed.insert(host.clone());
    }

    /// Returns the last known version on a host.
    pub fn get(&self, host: &HostId) -> Option<ConfigVersion> {
        self.known.get(host).copied()
    }

    /// Forgets a host.
    pub fn forget(&mut self, host: &HostId) {
        self.known.remove(host);
        self.changed.remove(host);
    }

    /// Returns all that is known, for a new parent.
    pub fn all(&self) -> Vec<HostVersion> {
        self.rows(self.known.keys())
    }

    /// Returns what has changed since the last report, if one is due.
    pub fn report(&mut self, now: Instant) -> Vec<HostVersion> {
        if now < self.report_at || self.changed.is_empty() {
            return Vec::new();
        }
        let hosts = self.known.len() as u32;
        self.report_at = now + REPORT_EVERY.max(REPORT_EVERY_PER_HOST * hosts);
        let changed = std::mem::take(&mut self.changed);
        self.rows(&changed)
    }

    fn rows<'a>(&self, hosts: impl IntoIterator<Item = &'a HostId>) -> Vec<HostVersion> {
        let rows = hosts.into_iter().filter_map(|host| {
            let version = self.get(host)?;
            let host = host.clone();
            Some(HostVersion { host, version })
        });
        rows.collect()
    }
}
