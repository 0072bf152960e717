//! Messages that carry requests from entry hosts to owners, and answers back.
//!
//! They go between traffic parts, each the state of one thread of a host.

use crate::owner::primary_position::PositionMsg;
use balance::LoadReport;
use model::{Answer, ConnId, PartAddr, Refusal, Request, RequestId, SessionId, Term, UpstreamId};
use serde::{Deserialize, Serialize};

/// Names no upstream: an owner bounces a request for it at once, which shows that it is not silent.
pub const NO_UPSTREAM: &str = "";

/// A message between the traffic part that serves a caller and the one that holds connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayMsg {
    /// Asks an owner to run a request on an upstream.
    Run(Box<RunRequest>),
    /// The final outcome of a request, whatever its verdict.
    Answer {
        /// The entry host's number of the attempt.
        id: RequestId,
        /// The answer for the caller.
        answer: Answer,
        /// The connection that an open transaction keeps; `None` outside of transactions.
        pin: Option<ConnId>,
    },
    /// Returns a request without an answer, so that it may be sent elsewhere.
    Bounce {
        /// The entry host's number of the attempt.
        id: RequestId,
        /// Why there is no answer.
        why: Bounce,
    },
    /// Drops a request if it has not started yet.
    Cancel {
        /// The entry host's number of the attempt.
        id: RequestId,
    },
    /// A question or an answer between owners about a primary's log position.
    Position(PositionMsg),
    /// Ends a pinned transaction by a rollback, since its caller has disconnected or moved on.
    Unpin {
        /// The upstream that runs the transaction.
        upstream: UpstreamId,
        /// The connection that the transaction keeps.
        pin: ConnId,
    },
    /// Asks an owner of a sibling instance to run a read in place of the sender.
    Forward(Box<ForwardedRead>),
    /// Tells an entry host to which owner its read was forwarded, from which the answer comes.
    Forwarded {
        /// The entry host's number of the attempt.
        id: RequestId,
        /// The instance that runs it.
        upstream: UpstreamId,
        /// The owner's part that the read was sent to.
        owner: PartAddr,
    },
    /// Reports to the other owners of a service what the sender has running and queued.
    Load {
        /// The instance that the sender owns.
        upstream: UpstreamId,
        /// The sender's own work for it.
        report: LoadReport,
    },
    /// The answer of a read that may run on another instance: an error of the upstream, which is
    /// the caller's answer if no other instance gives one.
    Failed {
        /// The entry host's number of the attempt.
        id: RequestId,
        /// The answer with the error.
        answer: Answer,
    },
}

/// A read that an owner forwards; it is not forwarded again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRead {
    /// The entry host's part that sent it and gets the answer.
    pub origin: PartAddr,
    /// The read, with the sibling as its upstream and the time that is left.
    pub run: RunRequest,
}

/// An attempt to run a caller's request, sent to an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The entry host's number of the attempt, which no other of its attempts has.
    pub id: RequestId,
    /// The entry host's number of the caller's session.
    pub session: SessionId,
    /// The upstream to run it on.
    pub upstream: UpstreamId,
    /// The connection of the open transaction that the request continues, if any.
    pub pin: Option<ConnId>,
    /// What to run, and under which bounds of time and staleness.
    pub req: Request,
}

/// Why an owner has no answer for a request that may be sent elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bounce {
    /// The receiver does not own the upstream.
    NotOwner,
    /// The upstream is not the primary, and perhaps another one is.
    NotPrimary {
        /// The highest term known to the owner, with its primary.
        primary: Option<(Term, UpstreamId)>,
    },
    /// The upstream has not reached the floor (the log position that the session's reads must see),
    /// or its data is too old; where claims are granted, a read may have run.
    Behind,
    /// The upstream can't be reached, or writes on it can't be confirmed.
    Unavailable,
    /// The request may have run, but it only reads, and its answer can't be confirmed as current.
    Unproved,
    /// The request can't be run here for this reason.
    Refused(Refusal),
}
