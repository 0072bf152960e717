//! The stand-in database groups, which run in the lab's own process.

use std::net::SocketAddr;

use eyre::eyre;
use load::report::ReadCounts;
use model::{DataCentreId, HashMap, Role, ServiceId, UpstreamId};
use standin::{Group, InstanceConfig};

use crate::sizes::Deployment;

/// The number of services, each served by one group.
const SERVICE_COUNT: usize = 3;
/// The number of instances that serve a service.
const INSTANCES_PER_SERVICE: u8 = 3;

/// The groups of all services, and their counts of reads.
pub(crate) struct Upstreams {
    groups: Vec<Group>,
    /// Each instance's count of reads when it was polled last.
    last_read_counts: HashMap<UpstreamId, u64>,
    /// Reads up to the last poll, by the role that the instance had when polled.
    reads: ReadCounts,
}

/// Returns the names of the services.
pub(crate) fn services(deployment: &Deployment) -> Vec<ServiceId> {
    let name = |nth| format!("{}-{nth}", deployment.service_prefix).into();
    (1..=SERVICE_COUNT).map(name).collect()
}

impl Upstreams {
    /// Starts all groups. The lists of host APIs and data centres are rotated from group to group,
    /// so that groups start at different ones.
    pub(crate) async fn start(deployment: &Deployment, api: &[SocketAddr]) -> eyre::Result<Self> {
        let mut upstreams = Self {
            groups: Vec::new(),
            last_read_counts: HashMap::default(),
            reads: ReadCounts {
                replicas: 0,
                primaries: 0,
            },
        };
        for (nth, service) in services(deployment).into_iter().enumerate() {
            let mut api = api.to_vec();
            let turn = nth % api.len().max(1);
            api.rotate_left(turn);
            let template = InstanceConfig {
                service,
                slots: deployment.slots_per_instance,
                connections: deployment.connections,
                connect_time: deployment.connect_time,
                lag: deployment.replication_lag,
                api,
                ..InstanceConfig::default()
            };
            let centres = deployment.data_centres.iter().cycle().skip(nth);
            let centres = centres.take(deployment.data_centres.len());
            let centres: Vec<DataCentreId> = centres.map(|name| (*name).into()).collect();
            let group = standin::group(INSTANCES_PER_SERVICE, template, &centres).await;
            let group = group.map_err(|error| eyre!("{error}"))?;
            upstreams.groups.push(group);
        }
        Ok(upstreams)
    }

    /// Stops the first group's primary at once, and returns its name.
    pub(crate) async fn kill_primary(&mut self) -> eyre::Result<String> {
        let primary = self.primary_index().await?;
        let member = self.groups[0].members.remove(primary);
        let name = member.config().upstream.to_string();
        member.kill().await.map_err(|error| eyre!("{error}"))?;
        Ok(name)
    }

    /// Makes the first group's primary stop answering, with its connections open, and returns its
    /// name.
    pub(crate) async fn freeze_primary(&mut self) -> eyre::Result<String> {
        let primary = self.primary_index().await?;
        let member = &self.groups[0].members[primary];
        member.freeze(true);
        Ok(member.config().upstream.to_string())
    }

    /// Returns the index of the first group's primary among its members.
    async fn primary_index(&self) -> eyre::Result<usize> {
        for (nth, member) in self.groups[0].members.iter().enumerate() {
            let report = member.report().await.map_err(|error| eyre!("{error}"))?;
            if report.role == Role::Primary {
                return Ok(nth);
            }
        }
        Err(eyre!("the first group has no primary"))
    }

    /// Polls each instance, and counts its reads since the last poll under its present role.
    ///
    /// An instance that does not answer is left out until the next poll.
    pub(crate) async fn count_new_reads(&mut self) {
        for member in self.groups.iter().flat_map(|group| &group.members) {
            let Ok(report) = member.report().await else {
                continue;
            };
            let name = member.config().upstream.clone();
            let last = self
                .last_read_counts
                .insert(name, report.reads)
                .unwrap_or_default();
            let new = report.reads.saturating_sub(last);
            match report.role {
                Role::Primary => self.reads.primaries += new,
                Role::Replica => self.reads.replicas += new,
            }
        }
    }

    /// Returns how many reads ran at replicas and at primaries up to the last poll.
    pub(crate) fn reads(&self) -> ReadCounts {
        self.reads
    }

    /// Returns a line for each instance with its role, term and counts.
    pub(crate) async fn instance_lines(&self) -> eyre::Result<String> {
        let mut text = String::new();
        for member in self.groups.iter().flat_map(|group| &group.members) {
            let report = member.report().await.map_err(|error| eyre!("{error}"))?;
            let name = &member.config().upstream;
            let (role, term, reads, writes) =
                (report.role, report.term, report.reads, report.writes);
            let (conns, logins) = (report.connections, report.logins.len());
            text += &format!(
                "{name:<16} {role:?} term={term} reads={reads} writes={writes} connections={conns} logins={logins}\n"
            );
        }
        Ok(text)
    }

    /// Stops all groups.
    pub(crate) async fn stop(self) {
        for group in self.groups {
            group.stop().await;
        }
    }
}
