//! Logins and statement counts of an instance, which tests check.

use std::sync::Arc;

use model::{HashMap, Position, Role, Term, UpstreamId};

use crate::sql::Row;

/// The credentials and startup parameters that a client has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// The name of the database user.
    pub user: Arc<str>,
    /// The password, in clear text.
    pub password: Arc<str>,
    /// The startup parameters other than the user, as names and values.
    pub params: Vec<(Arc<str>, Arc<str>)>,
}

/// Logins and statement counts since the instance started.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    /// All logins in order, accepted or not.
    pub(crate) logins: Vec<Login>,
    /// How often an insert of each ledger id has run, committed or not; kept over restarts.
    pub(crate) ledger_insert_runs: HashMap<Arc<str>, u32>,
    /// How many statements that read tables have run.
    pub(crate) reads: u64,
    /// How many statements that write have run.
    pub(crate) writes: u64,
}

/// The state of an instance at one moment.
#[derive(Clone, Debug)]
pub struct Report {
    /// The role in the promised term.
    pub role: Role,
    /// The highest promised term.
    pub term: Term,
    /// The position of the last log entry.
    pub position: Position,
    /// The primaries that the log names, each with its term, oldest first.
    pub primaries: Vec<(Term, UpstreamId)>,
    /// The committed rows of the `ledger` table.
    pub ledger: Vec<Row>,
    /// The committed rows of the `kv` table.
    pub kv: Vec<Row>,
    /// How often an insert of each ledger id has run, committed or not; kept over restarts.
    pub ledger_insert_runs: HashMap<Arc<str>, u32>,
    /// How many statements that read tables have run since the start.
    pub reads: u64,
    /// How many statements that write have run since the start.
    pub writes: u64,
    /// All logins in order, accepted or not.
    pub logins: Vec<Login>,
    /// How many connections are open, those of replicas not counted.
    pub connections: usize,
    /// How many statements hold a slot.
    pub running: u32,
    /// How many statements wait for a slot.
    pub queued: usize,
}
