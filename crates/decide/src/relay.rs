//! Statements on their way to an owner, and answers on their way back.

use crate::owner::primary_position::PositionMsg;
use model::{Answer, ConnId, Refusal, Request, RequestId, SessionId, Term, UpstreamId};
use serde::{Deserialize, Serialize};

/// A message between the part that holds a caller and the part that holds connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMsg {
    /// Runs a request on an upstream.
    Run(Box<Run>),
    /// The request's outcome; final, whatever its verdict.
    Answer {
        /// The sender's number of the request.
        id: RequestId,
        /// The outcome.
        answer: Answer,
        /// The connection that the open transaction is pinned to.
        pin: Option<ConnId>,
    },
    /// The request did not run here and may be sent elsewhere.
    Bounce {
        /// The sender's number of the request.
        id: RequestId,
        /// Why it did not run.
        why: Bounce,
    },
    /// Forgets a request if it has not started.
    Cancel {
        /// The sender's number of the request.
        id: RequestId,
    },
    /// About the positions of primaries, between owners.
    Position(PositionMsg),
    /// The caller of a pinned transaction is gone, so that it must be rolled back.
    Unpin {
        /// The upstream.
        upstream: UpstreamId,
        /// The pinned connection.
        pin: ConnId,
    },
}

/// A request for an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The sender's number of the request; unique among the sender's attempts.
    pub id: RequestId,
    /// The sender's number of the session.
    pub session: SessionId,
    /// The upstream to run it on.
    pub upstream: UpstreamId,
    /// The connection that the open transaction is pinned to.
    pub pin: Option<ConnId>,
    /// The request.
    pub req: Request,
}

/// Why an owner has no answer for a request that may be sent elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bounce {
    /// The receiver holds no connections to the upstream.
    NotOwner,
    /// The upstream is not the primary, and perhaps another one is.
    NotPrimary {
        /// The last known term and primary.
        primary: Option<(Term, UpstreamId)>,
    },
    /// The upstream has not reached the floor, or its data is too old; a read may have run.
    Behind,
    /// The upstream can't be reached, or writes on it can't be confirmed.
    Unavailable,
    /// The request may have run, but it only reads and its answer proves nothing.
    Unproved,
    /// The request can't be run here for this reason.
    Refused(Refusal),
}
