//! Faults that a test or trial injects into an instance.

use std::collections::VecDeque;
use std::time::Duration;

use super::event::Event;

/// A command that starts, changes or ends a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultCommand {
    /// Sets the replication lag, in place of the configured one.
    SetLag(Duration),
    /// Stops handling events and timers, or handles those held back and goes on.
    SetFrozen(bool),
    /// Ignores and no longer answers the connections that are open now, until they close.
    SilenceOpenConns,
    /// Closes the connections that are open now.
    CloseOpenConns,
    /// Stops listening, so that new connections are refused, or listens again.
    RefuseNewConns(bool),
    /// Delays each reply by this much; zero ends the fault.
    SetReplyDelay(Duration),
}

/// The faults in effect and the events held back by them.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults {
    /// Whether the instance is frozen: it handles no timers and no events but
    /// `InjectFault` and `AnnounceLeaving`.
    pub(crate) frozen: bool,
    /// Events that arrived while frozen, in order; handled when the freeze ends.
    pub(crate) events_while_frozen: VecDeque<Event>,
    /// How much later than usual each reply is sent.
    pub(crate) reply_delay: Duration,
    /// How long after the primary wrote an entry it is applied here.
    pub(crate) replication_lag: Duration,
}
