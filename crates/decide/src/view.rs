//! Snapshots of the fleet: for the traffic parts, and as a report for operators.
//!
//! A part is the state of one thread of a host: the control part, or one of the traffic parts.

use std::sync::Arc;
use std::time::Instant;

use evac::{EvacuationVersion, InForce};
use model::{
    Announcement, Config, ConfigVersion, HashMap, HostId, HostInfo, ServiceId, Term, UpstreamId,
};
use serde::{Deserialize, Serialize};

/// An immutable snapshot of the fleet that the control part publishes to the traffic parts.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force on this host.
    pub config: Arc<Config>,
    /// Whether the configuration was confirmed recently enough to serve callers by it.
    pub config_usable: bool,
    /// The live hosts, including those that are leaving.
    pub hosts: HashMap<HostId, HostInfo>,
    /// A number that differs between views of one host whose `hosts` differ; `None` if the view
    /// doesn't tell.
    pub hosts_revision: Option<u64>,
    /// The live upstreams, which may get requests.
    pub upstreams: HashMap<UpstreamId, UpstreamView>,
    /// The services that have a live upstream.
    pub services: HashMap<ServiceId, ServiceView>,
    /// The evacuated data centres.
    pub evacuations: Arc<InForce>,
}

impl View {
    /// Returns from when nothing is sent to an upstream, if its data centre is evacuated.
    pub fn closes_at(&self, upstream: &UpstreamId) -> Option<Instant> {
        if self.evacuations.closes_at.is_empty() {
            return None;
        }
        let data_centre = &self.upstreams.get(upstream)?.announcement.data_centre;
        self.evacuations.closes_at.get(data_centre).copied()
    }

    /// Returns whether an upstream's data centre is evacuated.
    pub fn is_evacuated(&self, upstream: &UpstreamId) -> bool {
        self.closes_at(upstream).is_some()
    }

    /// Returns whether nothing at all may be sent to an upstream, as its data centre is evacuated.
    pub fn is_closed(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.closes_at(upstream).is_some_and(|at| at <= now)
    }
}

/// A live upstream and its owners.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// The upstream's latest announcement.
    pub announcement: Announcement,
    /// The hosts that may hold connections to it, the highest rendezvous score first.
    pub owners: Vec<HostId>,
    /// When the last announcement was sent by which the upstream does not drain, or a time before
    /// that; `None` if this host is no owner or does not know it.
    pub last_ready_at: Option<Instant>,
}

/// A service that has a live upstream.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// The highest known term and its primary; `None` until one is known.
    pub primary: Option<(Term, UpstreamId)>,
    /// The service's live upstreams, in order of their names.
    pub upstreams: Vec<UpstreamId>,
    /// Announced number of the service's instances, live or not.
    pub group_size: u8,
}

/// What one host knows of the fleet, as a report for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The host that made the report.
    pub host: HostName,
    /// The version of the configuration in force on it.
    pub version: ConfigVersion,
    /// Seconds since a quorum last confirmed that version as current, if ever.
    pub confirmed_age: Option<f64>,
    /// The known hosts, with the configuration versions in force on them.
    pub hosts: Vec<HostStatus>,
    /// The known services, with their primaries and upstreams.
    pub services: Vec<ServiceStatus>,
    /// The state of Raft consensus, if the host is a voter.
    pub raft: Option<RaftStatus>,
    /// Version of the evacuations that the host keeps to; 0 if none was ever ordered.
    #[serde(default)]
    pub evacuations: EvacuationVersion,
    /// The data centres that are evacuated.
    #[serde(default)]
    pub evacuated: Vec<String>,
}

/// A host's name, as text in a report.
pub type HostName = String;

/// One host, in a report for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's name.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: String,
    /// The configuration version in force on the host, if known.
    pub version: Option<ConfigVersion>,
    /// Whether its heartbeats arrive.
    pub alive: bool,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// One service, in a report for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub service: String,
    /// The highest known term of a primary.
    pub term: Term,
    /// The primary of that term.
    pub primary: Option<String>,
    /// The service's upstreams, with their owners.
    pub upstreams: Vec<UpstreamStatus>,
}

/// One upstream, in a report for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream's name.
    pub upstream: String,
    /// The upstream's data centre.
    pub data_centre: String,
    /// Whether it may get new requests.
    pub live: bool,
    /// The hosts that own it, the highest rendezvous score first.
    pub owners: Vec<String>,
}

/// The state of Raft consensus on one voter, in a report for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RaftStatus {
    /// The voter's current Raft term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<String>,
    /// The voters, each written as its host and the id of its store.
    pub voters: Vec<String>,
    /// The members that get the log but don't vote yet.
    pub learners: Vec<String>,
    /// The log index of the last committed entry.
    pub commit: u64,
    /// The index of the last entry in the voter's log.
    pub last: u64,
}
