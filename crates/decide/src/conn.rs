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
    /// The connection is of no more use.
    Lost {
        /// The connection's number.
        conn: ConnId,
        /// Whether any byte of the running request was sent.
        request_sent: bool,
        /// Why it is of no more use.
        reason: LossReason,
    },
}

/// Why a pooled connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// It broke, or the upstream has closed it.
    Broken,
    /// Its request was not answered in time.
    TimedOut,
    /// The upstream's answers can't be matched to requests any more.
    OutOfStep,
    /// The upstream has refused what prepares the connection for a session's request.
    SetupRefused,
    /// An answer is too large to be passed on, so the rest of it is still to come.
    AnswerTooLarge,
}

impl LossReason {
    /// Returns every reason.
    pub const fn all() -> [Self; 5] {
        [
            Self::Broken,
            Self::TimedOut,
            Self::OutOfStep,
            Self::SetupRefused,
            Self::AnswerTooLarge,
        ]
    }

    /// Returns the reason as log lines and metrics write it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "lost",
            Self::TimedOut => "timed-out",
            Self::OutOfStep => "out-of-step",
            Self::SetupRefused => "setup-refused",
            Self::AnswerTooLarge => "answer-too-large",
        }
    }

    /// Returns whether the loss suggests that the upstream has failed: if it has answered, then
    /// only this connection is unusable.
    pub const fn suggests_upstream_failure(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut)
    }
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
    /// Whether the answer is an error that the request has not caused, as far as its code shows: if
    /// requests of several workspaces get such, the upstream is faulty.
    pub failed: bool,
    /// The upstream's log position after the request, with upstreams whose answers carry it.
    pub position: Option<Position>,
    /// The upstream's status before the request, if the request waited for a position.
    pub status_before: Option<InstanceStatus>,
    /// The upstream's status after the request, if it was asked for.
    pub status_after: Option<InstanceStatus>,
}
