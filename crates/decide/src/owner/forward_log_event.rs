//! Log events of reads that owners forward to sibling instances.

use std::fmt;
use std::time::Duration;

use balance::ShareChange;
use model::{HostId, UpstreamId};

use crate::log_event::NumberedEvent;
use crate::owner::LoggedRequest;

/// A log event about a forwarded read.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardLogEvent {
    /// A read was forwarded to an owner of a sibling instance.
    Forwarded {
        /// The read as it was sent to this owner.
        request: LoggedRequest,
        /// The sibling instance.
        to: UpstreamId,
        /// The owner of it that has the read now.
        owner: HostId,
        /// The wait that was expected here.
        own_wait: Duration,
        /// The wait that is expected there.
        wait: Duration,
        /// The age of the load report that this rests on.
        age: Duration,
    },
    /// The share of an instance's reads that its owner runs there has changed.
    ShareChanged {
        /// The instance.
        upstream: UpstreamId,
        /// The new share, and the outcomes that it rests on.
        change: ShareChange,
    },
    /// Reads were forwarded to a host whose link broke, and were sent back.
    ForwardsLost {
        /// The host.
        host: HostId,
        /// How many reads.
        reads: usize,
    },
}

impl NumberedEvent for ForwardLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Forwarded { .. } => 280,
            Self::ForwardsLost { .. } => 281,
            Self::ShareChanged { .. } => 282,
        }
    }

    fn level(&self) -> log::Level {
        match self {
            Self::Forwarded { .. } => log::Level::Info,
            Self::ForwardsLost { .. } | Self::ShareChanged { .. } => log::Level::Warn,
        }
    }
}

impl fmt::Display for ForwardLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Forwarded {
                request,
                to,
                owner,
                own_wait,
                wait,
                age,
            } => write!(
                f,
                "forwarded {request} to={to} owner={owner} own_wait_us={} wait_us={} age_ms={}",
                own_wait.as_micros(),
                wait.as_micros(),
                age.as_millis()
            ),
            Self::ShareChanged { upstream, change } => write!(
                f,
                "share-changed upstream={upstream} share_percent={:.0} faults={} outcomes={}",
                change.share * 100.0,
                change.faults,
                change.outcomes
            ),
            Self::ForwardsLost { host, reads } => {
                write!(f, "forwards-lost host={host} reads={reads}")
            }
        }
    }
}
