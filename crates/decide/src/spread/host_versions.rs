//! Configuration versions in force on other hosts, reported up the relay tree for operators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{ConfigVersion, HostId};
use serde::{Deserialize, Serialize};

/// The shortest time between two reports to the parents.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The time between reports for each known host, so that a large fleet reports less often.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(40);

/// A host with the configuration version in force on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostVersion {
    /// The host that has the version in force.
    pub host: HostId,
    /// The configuration version.
    pub version: ConfigVersion,
}

/// The versions in force on the hosts below this one; on a control host, on all hosts.
#[derive(Debug)]
pub struct HostVersions {
    known: BTreeMap<HostId, ConfigVersion>,
    /// Hosts whose version has changed since the last report.
    changed: BTreeSet<HostId>,
    /// The earliest moment of the next report.
    report_at: Instant,
}

impl HostVersions {
    /// Returns the empty state of a host that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            known: BTreeMap::new(),
            changed: BTreeSet::new(),
            report_at: now,
        }
    }

    /// Records the version in force on a host, unless it is older than the known one.
    pub fn record(&mut self, host: &HostId, version: ConfigVersion) {
        let known = self.known.get(host);
        if known.is_some_and(|known| *known >= version) {
            return;
        }
        self.known.insert(host.clone(), version);
        self.changed.insert(host.clone());
    }

    /// Returns the last known version in force on a host.
    pub fn get(&self, host: &HostId) -> Option<ConfigVersion> {
        self.known.get(host).copied()
    }

    /// Removes a host.
    pub fn forget(&mut self, host: &HostId) {
        self.known.remove(host);
        self.changed.remove(host);
    }

    /// Returns all known versions, for a new parent.
    pub fn all_rows(&self) -> Vec<HostVersion> {
        self.rows(self.known.keys())
    }

    /// Returns the versions that changed since the last report; empty if no report is due.
    pub fn take_report(&mut self, now: Instant) -> Vec<HostVersion> {
        if now < self.report_at || self.changed.is_empty() {
            return Vec::new();
        }
        let hosts = self.known.len() as u32;
        self.report_at = now + MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_HOST * hosts);
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
