//! Calls that operators and the platform make to a host, and the replies to them.

use bytes::Bytes;
use evac::Order;
use model::config::{BadChange, Change, Replacement};
use model::{Announcement, Config, ConfigVersion, HostId, PatchId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::entry::explanation::{ExplainRequest, Explanation};
use crate::view::FleetStatus;

/// A call of an operator or of the platform to a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Applies changes to the configuration, if it still has the patch's base version.
    Patch(Patch),
    /// Replaces the whole configuration by a document and its version, unless the current version is
    /// as high or higher.
    Replace(Box<Replacement>),
    /// Reads the configuration, confirmed as current by a quorum.
    Config,
    /// Reads the document of the last replacement as it was sent, confirmed as current by a
    /// quorum.
    Document,
    /// Reads the accepted patches that made the versions after one.
    History {
        /// The version that the listed ones must be above.
        after: ConfigVersion,
    },
    /// Reads what this host knows of the fleet.
    Status,
    /// Announces an upstream, or renews its announcement.
    Announce(Announcement),
    /// Withdraws the announcement of an upstream that is gone.
    Withdraw(UpstreamId),
    /// Adds a host to consensus, first as a learner and as a voter once it has caught up.
    AddVoter {
        /// The host to add.
        host: HostId,
    },
    /// Removes a voter from consensus.
    RemoveVoter {
        /// The host to remove.
        host: HostId,
    },
    /// Evacuates a data centre or restores it; may be sent again.
    Evacuation(Order),
    /// Asks where this host would send a request now, and why, without sending it.
    Explain(ExplainRequest),
}

/// Changes to a given version of the configuration, applied all or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Identifies the patch, so that a resent one is recognised.
    pub id: PatchId,
    /// The version that the changes are made to.
    pub base: ConfigVersion,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}

/// The outcome of a patch; a patch that is sent again gets the same outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PatchOutcome {
    /// Accepted; the new configuration has this version.
    Accepted(ConfigVersion),
    /// Rejected, since the base is not the current version, which this is.
    Stale(ConfigVersion),
    /// Rejected, since a change can't be applied.
    Bad(BadChange),
    /// Rejected, since another patch was sent under the same id.
    IdReused,
}

/// A reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The outcome of a patch.
    Patched(PatchOutcome),
    /// The version after a replacement: that of the replacement, or the current one if that was
    /// higher.
    Replaced(ConfigVersion),
    /// The configuration, confirmed as current by a quorum.
    Config(Config),
    /// The document of the last replacement as it was sent; `None` if there was none.
    Document(Option<Bytes>),
    /// Accepted patches, each with the version that it made.
    History(Vec<(ConfigVersion, Patch)>),
    /// What this host knows of the fleet.
    Status(Box<FleetStatus>),
    /// The call was carried out.
    Done,
    /// No quorum has confirmed the outcome in time, so it is unknown.
    Unconfirmed,
    /// The call can't be carried out, for the stated reason, and nothing was changed.
    Refused(String),
    /// Where this host would send a request now, and why.
    Explained(Box<Explanation>),
}
