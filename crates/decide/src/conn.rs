//! What pooled connections to upstreams do.

use bytes::Bytes;
use model::{ConnId, InstanceStatus, Position, TxStatus};

/// Something that a pooled connection did.
#[derive(Clone, Debug)]
pub enum ConnEvent {
    /// The connection is ready for a request.
    Opened {
        /// The connection.
        conn: ConnId,
    },
    /// The connection could not be opened.
    OpenFailed {
        /// The connection.
        conn: ConnId,
        /// Whether the upstream answered that it has none to spare.
        exhausted: bool,
    },
    /// The request on the connection has its whole answer.
    Done {
        /// The connection.
        conn: ConnId,
        /// The outcome.
        outcome: RunOutcome,
    },
    /// The connection broke, or its request timed out.
    Lost {
        /// The connection.
        conn: ConnId,
        /// Whether any byte of the running request was sent.
        sent: bool,
    },
}

/// Why an upstream rejected a request, which then has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRejection {
    /// It is not the primary.
    NotPrimary,
    /// Its log has not reached the position.
    Behind,
    /// It has more to do than it takes.
    Busy,
}

/// The outcome of a request on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOutcome {
    /// The whole encoded answer.
    pub payload: Bytes,
    /// The state of the transaction after it.
    pub tx: TxStatus,
    /// Why the upstream refused it before it ran, if it did.
    pub refused: Option<UpstreamRejection>,
    /// The position of the upstream's log after it, where each answer tells it.
    pub position: Option<Position>,
    /// The status from before the request, where a position was waited for.
    pub before: Option<InstanceStatus>,
    /// The status from after the request, where it was wanted.
    pub after: Option<InstanceStatus>,
}
