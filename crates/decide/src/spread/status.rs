//! What a host knows of the fleet, as a report for operators.

use std::collections::BTreeMap;
use std::time::Instant;

use model::HostInfo;

use crate::spread::Spread;
use crate::spread::facts::Fact;
use crate::view::{FleetStatus, HostStatus, ServiceStatus, UpstreamStatus};

impl Spread {
    /// Returns the fleet's status as this host knows it, without the state of consensus.
    ///
    /// A control host knows the versions in force on all hosts, any other host only those
    /// of its links and of the hosts below it in the tree.
    pub fn fleet_status(&self, now: Instant) -> FleetStatus {
        let age = self.config.confirmation_age(now);
        let evacuated = self.evacuations.in_force().closes_at.keys();
        FleetStatus {
            host: self.me.host.to_string(),
            version: self.config.in_force().map_or(0, |config| config.version),
            confirmed_age: age.map(|age| age.as_secs_f64()),
            hosts: self.host_rows(),
            services: self.service_rows(),
            raft: None,
            evacuations: self.evacuations.version(),
            evacuated: evacuated.map(ToString::to_string).collect(),
        }
    }

    fn host_rows(&self) -> Vec<HostStatus> {
        let hosts = self.facts.iter().filter_map(|fact| match fact {
            Fact::Host { info, .. } => Some(info),
            _ => None,
        });
        let mut rows: Vec<HostStatus> = hosts.map(|info| self.host_row(info)).collect();
        rows.sort_by(|a, b| a.host.cmp(&b.host));
        rows
    }

    fn host_row(&self, info: &HostInfo) -> HostStatus {
        let version = if info.host == self.me.host {
            self.config.in_force().map(|config| config.version)
        } else {
            let heard = self
                .links
                .get(&info.host)
                .and_then(|link| link.version_in_force);
            heard.or_else(|| self.host_versions.get(&info.host))
        };
        HostStatus {
            host: info.host.to_string(),
            data_centre: info.data_centre.to_string(),
            version,
            alive: self.tables.hosts().contains_key(&info.host),
            leaving: info.leaving,
        }
    }

    fn service_rows(&self) -> Vec<ServiceStatus> {
        let mut rows: BTreeMap<&str, ServiceStatus> = BTreeMap::new();
        for fact in self.facts.iter() {
            let Fact::Upstream { announcement, .. } = fact else {
                continue;
            };
            let service = &announcement.service;
            let row = rows.entry(service).or_insert_with(|| {
                let primary = self.tables.primary(service);
                ServiceStatus {
                    service: service.to_string(),
                    term: primary.map_or(0, |(term, _)| *term),
                    primary: primary.map(|(_, upstream)| upstream.to_string()),
                    upstreams: Vec::new(),
                }
            });
            let view = self.tables.upstreams().get(&announcement.upstream);
            let owners = view.into_iter().flat_map(|view| &view.owners);
            row.upstreams.push(UpstreamStatus {
                upstream: announcement.upstream.to_string(),
                data_centre: announcement.data_centre.to_string(),
                live: view.is_some(),
                owners: owners.map(ToString::to_string).collect(),
            });
        }
        for row in rows.values_mut() {
            row.upstreams.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        }
        rows.into_values().collect()
    }
}
