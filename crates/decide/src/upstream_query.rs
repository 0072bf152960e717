//! Queries and commands that an upstream gets outside of the connection pool, and its replies.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Claim, HostId, InstanceStatus, Position, Term, UpstreamId};

/// Number of a query, unique within the part that sends it.
pub type QueryId = u64;

/// A query or command for an upstream; all are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamQuery {
    /// Asks for the upstream's status.
    Status {
        /// Log position to wait for before the answer, and for how long at most.
        wait_for: Option<(Position, Duration)>,
    },
    /// Claims a share of the statements that the upstream runs at a time (slots) and of its
    /// connections for this host, or renews the claim.
    Claim {
        /// This host.
        host: HostId,
        /// How long the claim lasts unless it is renewed.
        lease: Duration,
    },
    /// Gives this host's claim back.
    Unclaim {
        /// This host.
        host: HostId,
    },
    /// Asks the upstream to promise that it accepts nothing from primaries of lower terms.
    Promise {
        /// The new term.
        term: Term,
        /// The host that tries to replace the primary.
        candidate: HostId,
    },
    /// Makes the upstream the primary of a term that it has promised.
    Promote {
        /// The term.
        term: Term,
        /// The host that replaces the primary.
        candidate: HostId,
    },
    /// Stops replication on a replica until it is resumed, or the replica gets another primary.
    ///
    /// This fences the replica from a primary that is to be replaced.
    Pause {
        /// A term above all known ones, which the pause is for.
        term: Term,
    },
    /// Resumes replication on a replica.
    Resume,
    /// Makes a primary a replica, so that it acknowledges no further write.
    Demote {
        /// A term above all known ones; only primaries of lower terms are demoted.
        term: Term,
    },
    /// Makes the upstream follow the primary of a term.
    Follow {
        /// The term.
        term: Term,
        /// The primary.
        primary: UpstreamId,
        /// The primary's address.
        addr: SocketAddr,
    },
}

/// An upstream's reply to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryReply {
    /// The upstream's status after the query or command.
    pub status: InstanceStatus,
    /// Whether the upstream did what the query asked for.
    pub granted: bool,
    /// The term that replication is paused for; 0 if it isn't paused.
    pub paused_term: Term,
    /// This host's claim on the upstream, if it has one and the query shows it.
    pub claim: Option<Claim>,
}

/// Why a query to an upstream got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// A new connection could not be made, for no known reason.
    Unreachable,
    /// Its address refused the connection: no process listens there, or a firewall rejects it.
    ConnectionRefused,
    /// Another upstream answers at its address.
    OtherUpstream,
    /// The connection was open, but no answer came in time.
    Silent,
    /// The connection was open and broke.
    Broken,
    /// The upstream refused, for instance because it has no connections left.
    Refused,
}

impl QueryError {
    /// Returns whether the upstream may have got the query, and may still carry it out.
    pub fn may_be_carried_out(self) -> bool {
        match self {
            Self::Unreachable | Self::Silent | Self::Broken => true,
            Self::ConnectionRefused | Self::OtherUpstream | Self::Refused => false,
        }
    }
}
