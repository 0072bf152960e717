//! Messages between hosts about facts, liveness and configuration.

use std::time::Duration;

use model::{Announcement, Config, ConfigVersion, HostId, Incarnation, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::spread::delta::ConfigDelta;
use crate::spread::facts::{Digest, Fact};
use crate::spread::versions::HostVersion;

/// Messages of this area.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SpreadMsg {
    /// A heartbeat, or the answer to one.
    Beat(Box<Beat>),
    /// Facts that changed.
    Facts {
        /// The place of this message in the sender's stream to the receiver.
        place: Place,
        /// The facts.
        facts: Vec<Fact>,
    },
    /// A newer configuration.
    Config(Box<ConfigUpdate>),
    /// Versions in force on hosts below the sender.
    Versions(Vec<HostVersion>),
    /// An upstream's announcement, for one of its owners.
    Announce(Box<Announcement>),
    /// Asks another owner whether an upstream has renewed its announcement.
    AskRenewal {
        /// The upstream.
        upstream: UpstreamId,
        /// The last sequence that the asker knows.
        sequence: u64,
    },
    /// Asks whether the receiver hears a host that the sender does not.
    AskHeard {
        /// The host.
        host: HostId,
    },
    /// The sender hears a host.
    Heard {
        /// The host.
        host: HostId,
    },
    /// The sender no longer takes the receiver as its parent.
    Unlink,
}

/// A heartbeat, or the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Which start of the sender this is.
    pub incarnation: Incarnation,
    /// Numbers the beats of the sender to the receiver, from one.
    pub number: u32,
    /// The last beat that the sender has had from the receiver, or zero.
    pub echo: u32,
    /// Whether this answers a beat.
    pub answer: bool,
    /// Whether the sender takes the receiver as its parent.
    pub linked: bool,
    /// The place after the last message of the sender's stream of facts.
    pub sent: Place,
    /// A digest of all facts that the sender has.
    pub summary: u32,
    /// Asks for a new stream of facts.
    pub hello: Option<Box<Hello>>,
    /// What the sender knows of the configuration.
    pub config: ConfigState,
}

/// A place in a stream of facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Identifies the stream; zero means none.
    pub stream: u32,
    /// The number of the next message.
    pub next: u32,
}

/// Asks for a new stream of facts, without those that the sender has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The fact of the sender itself.
    pub me: Fact,
    /// A digest of all facts that the sender has.
    pub digest: Digest,
}

/// What a host knows of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The version in force.
    pub version: Option<ConfigVersion>,
    /// The version that it holds, in force or not.
    pub held: Option<ConfigVersion>,
    /// How long ago at most the version held was known to be current.
    pub confirmed_age: Option<Duration>,
}

/// A newer configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// All of it.
    Whole(Config),
    /// What changed since a version that the receiver holds.
    Delta(ConfigDelta),
}

impl ConfigUpdate {
    /// Returns the version that it leads to.
    pub fn version(&self) -> ConfigVersion {
        match self {
            Self::Whole(config) => config.version,
            Self::Delta(delta) => delta.version,
        }
    }

    /// Returns whether it has more entries than a number.
    pub fn is_large(&self, entries: usize) -> bool {
        match self {
            Self::Whole(config) => config.routes.len() + config.workspaces.len() > entries,
            Self::Delta(delta) => delta.len() > entries,
        }
    }
}
