//! Queries and commands to an upstream outside of the connection pool, and its replies.

use std::net::SocketAddr;
use std::time::Duration;

use model::{Claim, HostId, InstanceStatus, Position, Term, UpstreamId};

/// Identifies a query within its part.
pub type QueryId = u64;

/// A query or command for an upstream; each is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamQuery {
    /// Asks for the status, once a position is reached or the wait is over.
    Status {
        /// The position and how long to wait for it.
        wait_for: Option<(Position, Duration)>,
    },
    /// Claims or renews this host's share of the upstream's capacity.
    Claim {
        /// This host.
        host: HostId,
        /// How long the claim should last.
        lease: Duration,
    },
    /// Gives this host's share back.
    Unclaim {
        /// This host.
        host: HostId,
    },
    /// Asks for the promise to take nothing from primaries of lower terms.
    Promise {
        /// The new term.
        term: Term,
        /// Who wants to lead the change to it.
        candidate: HostId,
    },
    /// Makes the upstream the primary of a term that it has promised.
    Promote {
        /// The term.
        term: Term,
        /// Who leads the change.
        candidate: HostId,
    },
    /// Stops a replica from receiving until it is told to go on, or has another primary.
    Pause {
        /// A term above all that are known.
        term: Term,
    },
    /// Lets a replica receive again.
    Resume,
    /// Makes the upstream follow the primary of a term.
    Follow {
        /// The term.
        term: Term,
        /// The primary.
        primary: UpstreamId,
        /// Where the primary listens.
        addr: SocketAddr,
    },
}

/// An upstream's reply to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryReply {
    /// Its status after the query or command.
    pub status: InstanceStatus,
    /// Whether it did what was asked.
    pub granted: bool,
    /// The term for which it has stopped receiving, or 0.
    pub held: Term,
    /// The share of its capacity that this host holds.
    pub claim: Option<Claim>,
}

/// Why a query to an upstream got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// A new connection could not be made.
    Unreachable,
    /// The connection is open but no answer came in time.
    Silent,
    /// The open connection broke.
    Broken,
    /// The upstream refused, such as for want of connections.
    Refused,
}
