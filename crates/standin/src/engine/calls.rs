//! Answers the `caraway.*` functions that hosts and replicas call.
//!
//! `status` may wait until the log has reached a position, and `log` until there are
//! new entries; these calls are kept here until they are answered.

use std::time::{Duration, Instant};

use model::{Position, Role};

use super::Engine;
use super::claims::Share;
use super::event::{ConnId, Effect, Timer};
use crate::config::Primary;
use crate::sql::{Call, Datum, Output, Row, SqlError, sqlstate};

/// How long a primary waits for new entries before it answers a replica without any.
pub(crate) const LOG_LONG_POLL: Duration = Duration::from_millis(50);
/// The `lag_ms` of a replica that is not known ever to have caught up with its primary.
const LAG_UNKNOWN_MS: u128 = u32::MAX as u128;

/// The calls that wait for the log to reach a position or to change.
#[derive(Debug, Default)]
pub(crate) struct WaitingCalls {
    /// The id given to the latest call; ids tell a `Timer::WaitTimedOut` its call.
    last_id: u64,
    waiting: Vec<WaitingCall>,
}

/// A call of one connection and the condition under which it is answered early.
#[derive(Debug)]
struct WaitingCall {
    id: u64,
    conn: ConnId,
    condition: WaitCondition,
}

/// The condition that ends a call's wait before its timeout.
#[derive(Clone, Copy, Debug)]
enum WaitCondition {
    /// The log has reached this position (`caraway.status`).
    LogReached(Position),
    /// The log's last position differs from this one, or the instance is no longer
    /// primary; the second field is the most entries to answer (`caraway.log`).
    LogDiffersFrom(Position, usize),
}

impl WaitingCalls {
    /// Drops the waiting calls of a connection that has closed.
    pub(crate) fn remove_conn(&mut self, conn: ConnId) {
        self.waiting.retain(|call| call.conn != conn);
    }
}

impl Engine {
    /// Carries out a call, and answers it with one row unless it has to wait.
    pub(crate) fn on_call(
        &mut self,
        now: Instant,
        conn: ConnId,
        call: Call,
        out: &mut Vec<Effect>,
    ) {
        let (granted, share) = match call {
            Call::Status { position, wait } => {
                let condition = WaitCondition::LogReached(position);
                return self.answer_or_wait(now, conn, condition, wait, out);
            }
            Call::Log { from, limit } => {
                let condition = WaitCondition::LogDiffersFrom(from, limit);
                return self.answer_or_wait(now, conn, condition, LOG_LONG_POLL, out);
            }
            Call::Claim { host, lease } => match self.claims.claim(now, &host, lease) {
                Some(share) => (true, share),
                None => (false, Share::default()),
            },
            Call::Unclaim { host } => {
                self.claims.unclaim(now, &host);
                (true, Share::default())
            }
            Call::Promise { term, candidate } => {
                (self.promise(term, candidate, out), Share::default())
            }
            Call::Promote { term, candidate } => {
                (self.promote(now, term, candidate, out), Share::default())
            }
            Call::Follow {
                term,
                primary: upstream,
                addr,
            } => {
                let primary = Primary { upstream, addr };
                (self.follow(term, primary, out), Share::default())
            }
        };
        let row = self.status_row(now, granted, share);
        self.answer(now, conn, Ok(Output::rows(vec![row])), out);
    }

    /// Answers the waiting calls whose condition is met after a change of the log.
    pub(crate) fn answer_ready_calls(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.waiting_calls.waiting);
        let (done, waiting) = waiting
            .into_iter()
            .partition(|call| self.is_met(call.condition));
        self.waiting_calls.waiting = waiting;
        for call in done {
            self.answer_waiting(now, call, out);
        }
    }

    pub(crate) fn on_wait_timeout(&mut self, now: Instant, id: u64, out: &mut Vec<Effect>) {
        let waiting = &mut self.waiting_calls.waiting;
        if let Some(at) = waiting.iter().position(|call| call.id == id) {
            let call = waiting.swap_remove(at);
            self.answer_waiting(now, call, out);
        }
    }

    /// Answers a call at once if its condition is met or `wait` is zero, else when the
    /// condition is met or `wait` has passed.
    fn answer_or_wait(
        &mut self,
        now: Instant,
        conn: ConnId,
        condition: WaitCondition,
        wait: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.waiting_calls.last_id += 1;
        let id = self.waiting_calls.last_id;
        let call = WaitingCall {
            id,
            conn,
            condition,
        };
        if wait.is_zero() || self.is_met(condition) {
            return self.answer_waiting(now, call, out);
        }
        self.waiting_calls.waiting.push(call);
        self.timers.push(now + wait, Timer::WaitTimedOut(id));
    }

    fn is_met(&self, condition: WaitCondition) -> bool {
        match condition {
            WaitCondition::LogReached(position) => self.log.position() >= position,
            WaitCondition::LogDiffersFrom(position, _) => {
                self.role() != Role::Primary || self.log.position() != position
            }
        }
    }

    fn answer_waiting(&mut self, now: Instant, call: WaitingCall, out: &mut Vec<Effect>) {
        let result = match call.condition {
            WaitCondition::LogReached(_) => {
                let granted = self.is_met(call.condition);
                let row = self.status_row(now, granted, Share::default());
                Ok(Output::rows(vec![row]))
            }
            WaitCondition::LogDiffersFrom(from, limit) => {
                self.log_rows(now, from, limit).map(Output::rows)
            }
        };
        self.answer(now, call.conn, result, out);
    }

    /// Returns the row of `STATUS_COLUMNS`.
    fn status_row(&self, now: Instant, granted: bool, share: Share) -> Row {
        let role = match self.role() {
            Role::Primary => "primary",
            Role::Replica => "replica",
        };
        let position = self.log.position();
        let lag = self.lag(now).map_or(LAG_UNKNOWN_MS, |lag| lag.as_millis());
        vec![
            Datum::text(role),
            Datum::text(self.terms.promised.to_string()),
            Datum::text(position.term.to_string()),
            Datum::text(position.offset.to_string()),
            Datum::text(lag.to_string()),
            Datum::text(if granted { "t" } else { "f" }),
            Datum::text(share.slots.to_string()),
            Datum::text(share.connections.to_string()),
        ]
    }

    /// Returns the rows of `LOG_COLUMNS` for the entries after a position, on a primary.
    fn log_rows(&self, now: Instant, from: Position, limit: usize) -> Result<Vec<Row>, SqlError> {
        if self.role() != Role::Primary {
            return Err(SqlError::new(
                sqlstate::READ_ONLY,
                "this instance is not primary in its promised term",
            ));
        }
        let row = |kind: &str, position: Position, age: Duration, data: &str| {
            vec![
                Datum::text(kind),
                Datum::text(self.terms.promised.to_string()),
                Datum::text(position.term.to_string()),
                Datum::text(position.offset.to_string()),
                Datum::text(age.as_micros().to_string()),
                Datum::text(data),
            ]
        };
        let entries = match self.log.entries_after(from) {
            Ok(entries) => &entries[..entries.len().min(limit)],
            Err(last_common) => return Ok(vec![row("cut", last_common, Duration::ZERO, "")]),
        };
        let mut rows: Vec<Row> = entries
            .iter()
            .map(|entry| {
                let age = now.saturating_duration_since(entry.written_at);
                row("entry", entry.position, age, entry.data())
            })
            .collect();
        rows.push(row("end", self.log.position(), Duration::ZERO, ""));
        Ok(rows)
    }
}
