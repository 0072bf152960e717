//! The events that an instance's reducer handles, and the effects that it returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Announcement, Position, Term, TxStatus};

use super::activity::Login;
use super::fault::FaultCommand;
use super::log::Entry;
use super::log_event::LogEvent;
use super::session::PendingStmt;
use crate::sql::{Output, SqlError, Stmt};

/// Number of a connection, unique within one run of its instance.
pub type ConnId = u64;
/// Number of a pull of log entries, by which answers to earlier pulls are recognised and ignored.
pub type PullId = u64;

/// An input of the reducer.
#[derive(Debug)]
pub enum Event {
    /// A client has sent its user and password.
    Login(ConnId, Login),
    /// A client runs a statement, whose parameters are bound.
    RunStmt(ConnId, Stmt),
    /// A connection is closed; its transaction rolls back.
    ConnClosed(ConnId),
    /// A pull was answered, or failed (`None`).
    PullEnded(PullId, Option<LogBatch>),
    /// A test or trial starts, changes or ends a fault.
    InjectFault(FaultCommand),
    /// From now on, announcements say that the instance is leaving.
    AnnounceLeaving,
    /// The time that `Engine::wake_at` returned has come.
    Tick,
}

/// An output of the reducer, for the shell to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Sends a reply to a connection.
    Reply(ConnId, Reply),
    /// Closes a connection without an error message.
    CloseConn(ConnId),
    /// Requests log entries from a primary; replaces a pull under way.
    Pull(Pull),
    /// Announces the instance to a host.
    Announce(Announcement),
    /// Writes a line to the process's log.
    Log(LogEvent),
    /// Accepts new connections (`true`) or refuses them (`false`).
    SetListening(bool),
}

/// A reply of the engine to one connection.
#[derive(Debug)]
pub enum Reply {
    /// The login is accepted, and the client may run statements.
    LoginAccepted,
    /// The login is refused, and the connection is closed.
    LoginRefused(SqlError),
    /// A statement has succeeded or failed.
    StmtDone {
        /// The rows and the command tag, or the error.
        result: Result<Output, SqlError>,
        /// The state of the transaction after the statement.
        tx: TxStatus,
    },
}

/// A request for the log entries after a position.
#[derive(Clone, Debug)]
pub struct Pull {
    /// The number by which its answer is recognised.
    pub pull_id: PullId,
    /// The address on which the primary listens.
    pub addr: SocketAddr,
    /// The position after which entries are requested.
    pub after: Position,
    /// The most entries in the answer.
    pub limit: usize,
    /// How long to wait for the answer before the pull has failed.
    pub timeout: Duration,
}

/// The primary's answer to a pull.
#[derive(Clone, Debug)]
pub struct LogBatch {
    /// When the replica sent the request.
    pub requested_at: Instant,
    /// The term in which the primary leads.
    pub term: Term,
    /// The entries after the requested position; or, if the primary's log does
    /// not have that position, the last one before it that it has.
    pub entries: Result<Vec<Entry>, Position>,
    /// The position of the primary's last entry when it answered.
    pub primary_end: Position,
}

/// What to do when a timer is due.
#[derive(Debug)]
pub(crate) enum Timer {
    /// Answer an accepted login, whose connect time has passed.
    LoginAccepted(ConnId),
    /// Run a statement that has held its slot for its time, and free the slot.
    FinishStmt(PendingStmt),
    /// Answer a waiting call with this id, although its condition is not met.
    WaitTimedOut(u64),
    /// Send a reply that `FaultCommand::SetReplyDelay` has delayed.
    Reply(ConnId, Reply),
    /// Apply pulled entries that are older than the replication lag.
    ApplyPending,
    /// Start a new pull after the one with this number has failed.
    RetryPull(PullId),
    /// Announce the instance.
    Announce,
}

/// The `application_name` by which a primary recognises a replica's connection.
pub const REPLICA_APPLICATION: &str = "caraway-replica";

/// Returns whether the startup parameters are those of a replica that pulls the log.
pub(crate) fn is_replica_login(params: &[(Arc<str>, Arc<str>)]) -> bool {
    params
        .iter()
        .any(|(name, value)| &**name == "application_name" && &**value == REPLICA_APPLICATION)
}
