//! The verdict of a request: whether it may have run, and why it was refused if it has not.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request may have run, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// No part of the request ran; sending it again can't run it twice.
    NotRun(Refusal),
    /// The request may have run, wholly or in part; its outcome is unknown.
    MayHaveRun,
    /// The request ran, and the answer is the upstream's, whether a result or an error.
    Ran,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The key is unknown or withdrawn.
    BadKey,
    /// The service isn't among those of the workspace.
    NotAllowed,
    /// No route has the name that the caller asked for.
    NoRoute,
    /// The workspace has used up its rate and burst.
    OverRate,
    /// The queue is so long that the request would miss its deadline.
    Overloaded,
    /// No reachable primary can confirm writes.
    NoPrimary,
    /// No reachable upstream meets the request's bounds on age and position.
    NoUpstream,
    /// The host is leaving, or has no usable configuration yet.
    NotReady,
    /// The request is malformed or unsupported.
    Unsupported,
    /// The transaction that the request belongs to was lost in an earlier failure.
    TransactionLost,
}

impl Refusal {
    /// Returns how long a caller should wait before it sends the request again; `None` if that
    /// can't help.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate | Self::Overloaded => Some(Duration::from_millis(500)),
            Self::NoPrimary | Self::NoUpstream | Self::NotReady => Some(Duration::from_secs(1)),
            Self::TransactionLost => Some(Duration::ZERO),
            Self::BadKey | Self::NotAllowed | Self::NoRoute | Self::Unsupported => None,
        }
    }

    /// Returns the reason as a message for callers.
    pub fn reason(self) -> &'static str {
        match self {
            Self::BadKey => "the key is unknown or withdrawn",
            Self::NotAllowed => "the workspace may not reach this service",
            Self::NoRoute => "no route has this name",
            Self::OverRate => "the workspace is over its rate",
            Self::Overloaded => "the queue is too long for the deadline",
            Self::NoPrimary => "no primary can confirm writes now",
            Self::NoUpstream => "no upstream can answer now",
            Self::NotReady => "the host is starting or leaving",
            Self::Unsupported => "the request is not supported",
            Self::TransactionLost => "the transaction was lost and rolled back",
        }
    }
}
