//! Events and outcomes of pooled connections to upstreams.

use bytes::Bytes;
use model::{ConnId, InstanceStatus, Position, TxStatus};

/// A change of state of a pooled connection.
#[derive(Clone, Debug)]
pub enum ConnEvent {
    /// The connection was opened and is ready for a request.
    Opened {
        /// The connection's number.
        conn: ConnId,
    },
    /// The connection could not be opened.
    OpenFailed {
        /// The connection's number.
        conn: ConnId,
        /// Whether the upstream refused because it has too many connections.
        no_connections_left: bool,
    },
    /// The request on the connection has its whole answer.
    Done {
        /// The connection's number.
        conn: ConnId,
        /// The answer and the statuses around it.
        outcome: RunOutcome,
    },
    /// The connection broke, or its request timed out.
    Lost {
        /// The connection's number.
        conn: ConnId,
        /// Whether any byte of the running request was sent.
        request_sent: bool,
    },
}

/// Why an upstream rejected a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRejection {
    /// The upstream is not the primary.
    NotPrimary,
    /// The upstream's log has not reached the required position.
    Behind,
    /// The upstream is overloaded.
    Busy,
}

/// The outcome of a request on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOutcome {
    /// The whole encoded answer.
    pub payload: Bytes,
    /// The state of the transaction after the request.
    pub tx: TxStatus,
    /// Why the upstream rejected the request without running it; `None` if it ran.
    pub rejected: Option<UpstreamRejection>,
    /// The upstream's log position after the request, with upstreams whose answers carry it.
    pub position: Option<Position>,
    /// The upstream's status before the request, if the request waited for a position.
    pub status_before: Option<InstanceStatus>,
    /// The upstream's status after the request, if it was asked for.
    pub status_after: Option<InstanceStatus>,
}
