//! Messages between hosts about membership, facts and configuration.

use std::time::Duration;

use evac::{EvacuationVersion, Evacuations};
use model::{Announcement, Config, ConfigVersion, HostId, Incarnation, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::ack_lease::AckLeaseMsg;
use crate::spread::config_delta::ConfigDelta;
use crate::spread::facts::{Digest, Fact};
use crate::spread::host_versions::HostVersion;

/// A message between the control parts of two hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SpreadMsg {
    /// A heartbeat, or the answer to one.
    Heartbeat(Box<Heartbeat>),
    /// A message of a stream of facts, or facts outside any stream.
    Facts {
        /// The position of this message in the sender's stream to the receiver.
        position: StreamPosition,
        /// The facts to merge.
        facts: Vec<Fact>,
    },
    /// An update to a newer configuration.
    Config(Box<ConfigUpdate>),
    /// Configuration versions in force on hosts below the sender in the relay tree.
    Versions(Vec<HostVersion>),
    /// An upstream's announcement, for one of its owners.
    Announce(Box<Announcement>),
    /// Asks another owner whether an upstream has renewed its announcement.
    AskRenewal {
        /// The upstream whose lease ends soon.
        upstream: UpstreamId,
        /// The sequence of the last announcement that the sender has received.
        sequence: u64,
    },
    /// Asks whether the receiver hears a host that the sender doesn't hear.
    AskLiveness {
        /// The host that is silent to the sender.
        host: HostId,
    },
    /// Answers `AskLiveness`: the sender hears the host.
    ConfirmLiveness {
        /// The host that was asked about.
        host: HostId,
    },
    /// The sender no longer takes the receiver as its parent.
    Unlink,
    /// The answer to a child's heartbeat, with the lease by which acknowledgements are passed on.
    ///
    /// There is a lease only if the control hosts have the setting `group.ack_lease`: earlier versions
    /// don't know this message.
    LeasedHeartbeat {
        /// The answer.
        heartbeat: Box<Heartbeat>,
        /// The lease.
        lease: Box<AckLeaseMsg>,
        /// Version of the evacuations that the sender holds, 0 if it knows of none.
        evacuations: EvacuationVersion,
    },
    /// The evacuated data centres that the sender knows of.
    Evacuations(Box<Evacuations>),
    /// A heartbeat, or the answer to one, of a host that knows of evacuations.
    HeartbeatWithEvacuations {
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
        /// Version of the evacuations that the sender holds.
        evacuations: EvacuationVersion,
    },
}

/// A heartbeat, or the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The number of this heartbeat among those of the sender to the receiver, from one.
    pub number: u32,
    /// The number of the last heartbeat that the sender received from the receiver, or zero.
    pub echo: u32,
    /// Whether this answers a heartbeat.
    pub is_answer: bool,
    /// Whether the sender takes the receiver as its parent.
    pub to_parent: bool,
    /// The position after the last message of the sender's stream of facts.
    pub stream_end: StreamPosition,
    /// A short digest of all facts that the sender has.
    pub digest_summary: u32,
    /// Asks for a new stream of facts, after messages were lost or at the start.
    pub sync_request: Option<Box<SyncRequest>>,
    /// The sender's configuration versions and their latest confirmation.
    pub config: ConfigStatus,
}

/// A position in a stream of facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPosition {
    /// The random id of the stream; zero means none.
    pub stream: u32,
    /// The number of the next message.
    pub next_message: u32,
}

/// A request for a new stream of the facts that the sender lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender's fact about itself.
    pub sender: Fact,
    /// A digest of all facts that the sender has.
    pub digest: Digest,
}

/// A host's configuration versions and their latest confirmation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The version in force, if one is.
    pub version_in_force: Option<ConfigVersion>,
    /// The newest version that the host has received, in force or not.
    pub held_version: Option<ConfigVersion>,
    /// An upper bound of the time since the held version was known to be current.
    pub confirmed_age: Option<Duration>,
}

/// An update to a newer configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The full configuration.
    Full(Config),
    /// The changes since the version that the receiver holds.
    Delta(ConfigDelta),
}

impl ConfigUpdate {
    /// Returns the version that the update leads to.
    pub fn version(&self) -> ConfigVersion {
        match self {
            Self::Full(config) => config.version,
            Self::Delta(delta) => delta.version,
        }
    }

    /// Returns the version that the update applies to; `None` if it is a full configuration.
    pub fn base(&self) -> Option<ConfigVersion> {
        match self {
            Self::Full(_) => None,
            Self::Delta(delta) => Some(delta.base),
        }
    }

    /// Returns whether the update has more than `entries` entries.
    pub fn is_large(&self, entries: usize) -> bool {
        match self {
            Self::Full(config) => config.routes.len() + config.workspaces.len() > entries,
            Self::Delta(delta) => delta.len() > entries,
        }
    }
}
