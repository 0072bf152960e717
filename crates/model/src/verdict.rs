//! Whether a request may have run, and why it was refused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Says whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// No part of the request ran; it is safe to send again.
    NotRun(Refusal),
    /// The request may have run; its outcome is unknown.
    MayHaveRun,
    /// The request ran, and the answer is the upstream's own.
    Ran,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The key is unknown or withdrawn.
    BadKey,
    /// The workspace may not reach the service.
    NotAllowed,
    /// No route has the name that the caller asked for.
    NoRoute,
    /// The workspace is over its rate and burst.
    OverRate,
    /// The queue could not reach the request before its deadline.
    Overloaded,
    /// No primary that can confirm writes can be reached.
    NoPrimary,
    /// No upstream that satisfies the request can be reached.
    NoUpstream,
    /// The host is leaving or has not started yet.
    NotReady,
    /// The request is malformed or unsupported.
    Unsupported,
    /// An earlier failure ended the transaction that the request belongs to.
    TransactionLost,
}

impl Refusal {
    /// Returns how long a caller should wait before it sends the request again.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate | Self::Overloaded => Some(Duration::from_millis(500)),
            Self::NoPrimary | Self::NoUpstream | Self::NotReady => Some(Duration::from_secs(1)),
            Self::TransactionLost => Some(Duration::ZERO),
            Self::BadKey | Self::NotAllowed | Self::NoRoute | Self::Unsupported => None,
        }
    }

    /// Returns the reason in words.
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
