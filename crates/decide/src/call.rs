//! Calls of operators and of the platform, and the replies to them.

use bytes::Bytes;
use model::config::{BadChange, Change, Replacement};
use model::{Announcement, Config, ConfigVersion, HostId, PatchId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::view::FleetStatus;

/// A call of an operator or of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Applies changes on top of a numbered configuration.
    Patch(Patch),
    /// Replaces the whole configuration, unless one of this version or a higher one is held.
    Replace(Box<Replacement>),
    /// Asks for the configuration, confirmed by a quorum.
    Config,
    /// Asks for the last document that replaced the configuration, confirmed by a quorum.
    Document,
    /// Asks for the accepted patches after a version.
    History {
        /// The version to start after.
        after: ConfigVersion,
    },
    /// Asks for what this host knows of the fleet.
    Status,
    /// Announces or renews an upstream.
    Announce(Announcement),
    /// Withdraws the announcement of an upstream that is gone.
    Withdraw(UpstreamId),
    /// Adds a voter as a learner, and as a voter once it has caught up.
    AddVoter {
        /// The voter's host.
        host: HostId,
    },
    /// Removes a voter.
    RemoveVoter {
        /// The voter's host.
        host: HostId,
    },
}

/// Changes on top of a numbered configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Identifies the patch, so that a resent one is recognised.
    pub id: PatchId,
    /// The version that it was made against.
    pub base: ConfigVersion,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// The outcome of a patch, the same each time that it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PatchOutcome {
    /// Accepted as this version.
    Accepted(ConfigVersion),
    /// Rejected, since the configuration has moved on to this version.
    Stale(ConfigVersion),
    /// Rejected, since a change can't be applied.
    Bad(BadChange),
    /// Rejected, since the id was used for other changes.
    IdReused,
}

/// A reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The outcome of a patch.
    Patched(PatchOutcome),
    /// The replacement is held, or one of the same or a higher version; this is the version.
    Replaced(ConfigVersion),
    /// The configuration in force, confirmed by a quorum.
    Config(Config),
    /// The last document that replaced the configuration, if any did.
    Document(Option<Bytes>),
    /// Accepted patches with the versions that they made.
    History(Vec<(ConfigVersion, Patch)>),
    /// What this host knows of the fleet.
    Status(Box<FleetStatus>),
    /// The call was carried out.
    Done,
    /// The quorum can't be reached, so the outcome is unknown.
    Unconfirmed,
    /// The call can't be carried out, and nothing was changed.
    Refused(String),
}
