//! Logins, connections with their transactions, and the slots that statements wait for.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Role, TxStatus};

use super::Engine;
use super::activity::Login;
use super::event::{ConnId, Effect, Reply, Timer, is_replica_login};
use super::exec::{Changes, execute, log_ops};
use crate::sql::{Datum, Output, SqlError, Stmt, TableId, sqlstate};

/// The state of one connection after its login was accepted.
#[derive(Debug, Default)]
pub(crate) struct Session {
    /// The state of the connection's transaction.
    tx: Tx,
    /// Whether statements are ignored and replies dropped, by a fault, until it closes.
    pub(crate) silent: bool,
    /// Whether a replica pulls the log over it; not counted against the limit.
    is_replica: bool,
}

/// The transaction of a connection.
#[derive(Debug, Default)]
enum Tx {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open, with its uncommitted changes.
    Open(Changes),
    /// A statement has failed; only the end of the transaction is accepted.
    Failed,
}

impl Tx {
    fn status(&self) -> TxStatus {
        match self {
            Self::Idle => TxStatus::Idle,
            Self::Open(_) => TxStatus::Open,
            Self::Failed => TxStatus::Failed,
        }
    }
}

/// The statements that hold a slot or wait for one.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// How many statements hold a slot; their timers own them.
    pub(crate) running: u32,
    /// Statements that wait for a slot, in order of arrival.
    pub(crate) queue: VecDeque<PendingStmt>,
}

/// A statement of a connection that is not yet answered.
#[derive(Debug)]
pub(crate) struct PendingStmt {
    conn: ConnId,
    stmt: Stmt,
    /// Whether the connection had a transaction open, or failed, when it sent the
    /// statement; if it closes meanwhile, the statement does not run.
    sent_in_tx: bool,
}

impl Engine {
    /// Returns how many connections are open, not counting those of replicas.
    pub(crate) fn connections(&self) -> usize {
        self.sessions.values().filter(|s| !s.is_replica).count()
    }

    /// Checks the credentials and the connection limit, and answers after the connect time.
    pub(crate) fn on_login(
        &mut self,
        now: Instant,
        conn: ConnId,
        login: Login,
        out: &mut Vec<Effect>,
    ) {
        let is_replica = is_replica_login(&login.params);
        let credentials_match = login.user == self.cfg.credentials.user
            && login.password == self.cfg.credentials.password;
        self.activity.logins.push(login);
        let refusal = if !credentials_match {
            Some(SqlError::new(
                sqlstate::BAD_LOGIN,
                "password authentication failed",
            ))
        } else if !is_replica && self.connections() >= self.cfg.connections as usize {
            Some(SqlError::new(
                sqlstate::TOO_MANY_CONNECTIONS,
                "sorry, too many clients already",
            ))
        } else {
            None
        };
        if let Some(error) = refusal {
            return self.reply(now, conn, Reply::LoginRefused(error), out);
        }
        let session = Session {
            is_replica,
            ..Session::default()
        };
        self.sessions.insert(conn, session);
        self.timers
            .push(now + self.cfg.connect_time, Timer::LoginAccepted(conn));
    }

    pub(crate) fn on_conn_closed(&mut self, conn: ConnId) {
        self.sessions.remove(&conn);
        self.slots.queue.retain(|pending| pending.conn != conn);
        self.waiting_calls.remove_conn(conn);
    }

    /// Queues a statement for a slot, or runs it at once if it needs none.
    pub(crate) fn run_stmt(
        &mut self,
        now: Instant,
        conn: ConnId,
        stmt: Stmt,
        out: &mut Vec<Effect>,
    ) {
        let Some(session) = self.sessions.get(&conn).filter(|s| !s.silent) else {
            return;
        };
        let sent_in_tx = !matches!(session.tx, Tx::Idle);
        let pending = PendingStmt {
            conn,
            stmt,
            sent_in_tx,
        };
        match pending.stmt {
            Stmt::Call(call) => self.on_call(now, conn, call, out),
            ref stmt if stmt.needs_slot() => match self.check_writable(stmt) {
                Ok(()) => {
                    self.slots.queue.push_back(pending);
                    self.start_queued(now);
                }
                Err(error) => {
                    self.fail_tx(conn);
                    self.answer(now, conn, Err(error), out);
                }
            },
            _ => self.execute_and_answer(now, pending, out),
        }
    }

    /// Runs a statement that has held its slot for its time, and frees the slot.
    pub(crate) fn finish_stmt(
        &mut self,
        now: Instant,
        pending: PendingStmt,
        out: &mut Vec<Effect>,
    ) {
        self.slots.running -= 1;
        self.execute_and_answer(now, pending, out);
        self.start_queued(now);
    }

    /// Replies to a statement with its result and the state of the transaction.
    pub(crate) fn answer(
        &mut self,
        now: Instant,
        conn: ConnId,
        result: Result<Output, SqlError>,
        out: &mut Vec<Effect>,
    ) {
        let Some(session) = self.sessions.get(&conn) else {
            return;
        };
        let tx = session.tx.status();
        self.reply(now, conn, Reply::StmtDone { result, tx }, out);
    }

    /// Gives free slots to waiting statements.
    fn start_queued(&mut self, now: Instant) {
        while self.slots.running < self.cfg.slots
            && let Some(pending) = self.slots.queue.pop_front()
        {
            self.slots.running += 1;
            let end = now + self.cfg.statement_time + sleep_time(&pending.stmt);
            self.timers.push(end, Timer::FinishStmt(pending));
        }
    }

    /// Refuses a statement that writes unless the instance is primary.
    fn check_writable(&self, stmt: &Stmt) -> Result<(), SqlError> {
        match stmt.writes() && self.role() != Role::Primary {
            true => Err(SqlError::new(
                sqlstate::READ_ONLY,
                "cannot write: this instance is not primary in its promised term",
            )),
            false => Ok(()),
        }
    }

    /// Marks an open transaction as failed.
    fn fail_tx(&mut self, conn: ConnId) {
        if let Some(session) = self.sessions.get_mut(&conn)
            && matches!(session.tx, Tx::Open(_))
        {
            session.tx = Tx::Failed;
        }
    }

    /// Runs a statement in its connection's transaction and replies.
    fn execute_and_answer(&mut self, now: Instant, pending: PendingStmt, out: &mut Vec<Effect>) {
        let conn = pending.conn;
        let tx = match self.sessions.get_mut(&conn) {
            Some(session) => std::mem::take(&mut session.tx),
            None if pending.sent_in_tx => return,
            None => Tx::Idle,
        };
        let (tx, result) = self.step_tx(now, tx, &pending.stmt, out);
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.tx = tx;
        }
        self.answer(now, conn, result, out);
    }

    /// Runs a statement and returns the next state of the transaction with the result.
    fn step_tx(
        &mut self,
        now: Instant,
        tx: Tx,
        stmt: &Stmt,
        out: &mut Vec<Effect>,
    ) -> (Tx, Result<Output, SqlError>) {
        match (tx, stmt) {
            (Tx::Idle, Stmt::Begin) => (Tx::Open(Changes::default()), Ok(Output::tag("BEGIN"))),
            (tx, Stmt::Begin) => (tx, Ok(Output::tag("BEGIN"))),
            (Tx::Failed, Stmt::Commit) => (Tx::Idle, Ok(Output::tag("ROLLBACK"))),
            (_, Stmt::Rollback) => (Tx::Idle, Ok(Output::tag("ROLLBACK"))),
            (Tx::Open(changes), Stmt::Commit) => {
                let committed = self.commit(now, changes, out);
                (Tx::Idle, committed.map(|()| Output::tag("COMMIT")))
            }
            (tx, Stmt::Commit) => (tx, Ok(Output::tag("COMMIT"))),
            (Tx::Failed, _) => (
                Tx::Failed,
                Err(SqlError::new(
                    sqlstate::FAILED_TRANSACTION,
                    "current transaction is aborted, commands ignored until end of transaction block",
                )),
            ),
            (Tx::Open(mut changes), stmt) => match self.execute(stmt, &mut changes) {
                Ok(output) => (Tx::Open(changes), Ok(output)),
                Err(error) => (Tx::Failed, Err(error)),
            },
            (Tx::Idle, stmt) => {
                let mut changes = Changes::default();
                let result = self.execute(stmt, &mut changes);
                let result =
                    result.and_then(|output| self.commit(now, changes, out).map(|()| output));
                (Tx::Idle, result)
            }
        }
    }

    fn execute(&mut self, stmt: &Stmt, changes: &mut Changes) -> Result<Output, SqlError> {
        self.check_writable(stmt)?;
        self.count_statement(stmt);
        execute(&self.log, changes, stmt)
    }

    /// Counts a read or write, and the ledger ids that an insert writes, for tests.
    fn count_statement(&mut self, stmt: &Stmt) {
        self.activity.writes += u64::from(stmt.writes());
        self.activity.reads += u64::from(matches!(stmt, Stmt::Select { .. }));
        let Stmt::Insert {
            table: TableId::Ledger,
            rows,
            ..
        } = stmt
        else {
            return;
        };
        for row in rows {
            if let Some(Ok(Datum::Text(id))) = row.first().map(|key| key.value()) {
                *self.activity.ledger_insert_runs.entry(id).or_default() += 1;
            }
        }
    }

    /// Appends a transaction's changes to the log.
    fn commit(
        &mut self,
        now: Instant,
        changes: Changes,
        out: &mut Vec<Effect>,
    ) -> Result<(), SqlError> {
        if changes.is_empty() {
            return Ok(());
        }
        if self.role() != Role::Primary {
            return Err(SqlError::new(
                sqlstate::READ_ONLY,
                "cannot commit: this instance is not primary in its promised term",
            ));
        }
        let ops = log_ops(&self.log, changes)?;
        self.append_entry(now, ops, out);
        Ok(())
    }
}

fn sleep_time(stmt: &Stmt) -> Duration {
    let Stmt::Sleep(seconds) = stmt else {
        return Duration::ZERO;
    };
    seconds
        .value()
        .ok()
        .and_then(|datum| datum.to_text())
        .and_then(|text| text.parse().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .unwrap_or_default()
}
