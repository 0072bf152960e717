//! What happens to an instance, and what it has done in return.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Announcement, Position, Term, TxStatus};

use super::chaos::Knob;
use super::log::Entry;
use super::log_event::LogEvent;
use super::record::Login;
use super::session::Job;
use crate::sql::{Output, SqlError, Stmt};

/// Numbers a connection within its instance.
pub type ConnId = u64;
/// Numbers a pull of log entries, so that the answers of older ones are ignored.
pub type PullId = u64;

/// Everything that can happen.
#[derive(Debug)]
pub enum Event {
    /// A connection shows who it is.
    Login(ConnId, Login),
    /// A connection runs a statement with its parameters bound.
    Run(ConnId, Stmt),
    /// A connection has closed.
    Closed(ConnId),
    /// A pull was answered, or failed.
    Pulled(PullId, Option<Batch>),
    /// A test turns a knob.
    Turn(Knob),
    /// The instance announces from now on that it leaves.
    Leave,
    /// The moment that `wake_at` named has come.
    Tick,
}

/// Everything that an instance has done.
#[derive(Debug)]
pub enum Effect {
    /// Answers a connection.
    Reply(ConnId, Reply),
    /// Closes a connection without a word.
    Drop(ConnId),
    /// Pulls log entries from a primary.
    Pull(Pull),
    /// Announces the instance.
    Announce(Announcement),
    /// Writes a line to the log.
    Log(LogEvent),
    /// Stops or starts to take new connections.
    Listen(bool),
}

/// An answer to a connection.
#[derive(Debug)]
pub enum Reply {
    /// The login is accepted.
    Welcome,
    /// The login is refused, and the connection ends.
    Refused(SqlError),
    /// A statement has ended.
    Ran {
        /// Its outcome.
        result: Result<Output, SqlError>,
        /// The state of the transaction after it.
        tx: TxStatus,
    },
}

/// A request for log entries.
#[derive(Clone, Debug)]
pub struct Pull {
    /// Its number.
    pub pull: PullId,
    /// Where the primary listens.
    pub addr: SocketAddr,
    /// The position after which entries are wanted.
    pub from: Position,
    /// How many entries at most.
    pub limit: usize,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// The answer to a pull.
#[derive(Clone, Debug)]
pub struct Batch {
    /// When it was asked for.
    pub asked: Instant,
    /// The term that the primary leads.
    pub term: Term,
    /// The entries after the position, or the last position before it that the
    /// primary has, if it doesn't have that one.
    pub entries: Result<Vec<Entry>, Position>,
    /// Where the primary's log ended.
    pub end: Position,
}

/// A timer's purpose.
#[derive(Debug)]
pub(crate) enum Timer {
    /// A login is answered.
    Welcome(ConnId),
    /// A statement has held its slot long enough.
    Finish(Job),
    /// A question has waited long enough.
    WaitOver(u64),
    /// A delayed answer goes out.
    Reply(ConnId, Reply),
    /// A pulled entry has reached its lag.
    Apply,
    /// A failed pull is tried again.
    PullAgain(PullId),
    /// The instance announces itself.
    Announce,
}

/// The application name that marks a replica's connection.
pub const REPLICA_APPLICATION: &str = "caraway-replica";

/// Returns whether a login is that of a replica that pulls.
pub(crate) fn is_replica(params: &[(Arc<str>, Arc<str>)]) -> bool {
    params
        .iter()
        .any(|(name, value)| &**name == "application_name" && &**value == REPLICA_APPLICATION)
}
