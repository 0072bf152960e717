//! The replica's side of replication: pulls entries from the primary and applies them
//! after the configured lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Position, Role};

use super::Engine;
use super::calls::LOG_LONG_POLL;
use super::event::{Effect, LogBatch, Pull, PullId, Timer};
use super::log::Entry;
use super::log_event::LogEvent;

/// The most entries that one pull requests.
const PULL_LIMIT: usize = 1000;
/// Added to the primary's long-poll wait for the timeout of a pull.
const PULL_GRACE: Duration = Duration::from_millis(500);
/// The delay between a failed pull and the next one.
const PULL_RETRY: Duration = Duration::from_millis(50);

/// The state of a replica's pulls and of entries received but not yet applied.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    /// The number of the latest pull; answers to others are ignored.
    pull_id: PullId,
    /// Received entries that are younger than the replication lag, oldest first.
    pending: VecDeque<Entry>,
    /// For each answered pull: when it was requested, and the primary's last position.
    /// Kept until the own log has reached that position.
    primary_ends: VecDeque<(Instant, Position)>,
    /// The latest time for which the log is known to have had all that the primary
    /// had; `None` if it never was.
    caught_up_at: Option<Instant>,
    /// The due time of the earliest `Timer::ApplyPending`, if one is set.
    apply_timer_at: Option<Instant>,
}

impl Engine {
    /// Returns the age of the last moment at which the log is known to have had all that
    /// the primary had: zero on a primary, `None` if that is not known.
    pub(crate) fn lag(&self, now: Instant) -> Option<Duration> {
        match self.role() {
            Role::Primary => Some(Duration::ZERO),
            Role::Replica => self
                .replica
                .caught_up_at
                .map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Starts a pull, if the instance was told the primary of the promised term.
    pub(crate) fn start_pull(&mut self, out: &mut Vec<Effect>) {
        let Some((term, primary)) = &self.terms.followed_primary else {
            return;
        };
        if *term != self.terms.promised {
            return;
        }
        self.replica.pull_id += 1;
        let last = self.replica.pending.back();
        out.push(Effect::Pull(Pull {
            pull_id: self.replica.pull_id,
            addr: primary.addr,
            after: last.map_or_else(|| self.log.position(), |entry| entry.position),
            limit: PULL_LIMIT,
            timeout: LOG_LONG_POLL + PULL_GRACE,
        }));
    }

    /// Invalidates the pull under way and discards entries that are not yet applied.
    pub(crate) fn cancel_pull(&mut self) {
        self.replica.pull_id += 1;
        self.replica.pending.clear();
        self.replica.primary_ends.clear();
    }

    /// Starts a new pull unless one was started or canceled since the failed one.
    pub(crate) fn retry_pull(&mut self, pull: PullId, out: &mut Vec<Effect>) {
        if pull == self.replica.pull_id {
            self.start_pull(out);
        }
    }

    /// Takes over the entries of an answered pull and starts the next one; after a failed
    /// pull, sets a timer to retry.
    pub(crate) fn on_pull_ended(
        &mut self,
        now: Instant,
        pull: PullId,
        batch: Option<LogBatch>,
        out: &mut Vec<Effect>,
    ) {
        if pull != self.replica.pull_id {
            return;
        }
        let followed_term = self.terms.followed_primary.as_ref().map(|(term, _)| *term);
        let Some(batch) = batch.filter(|batch| Some(batch.term) == followed_term) else {
            self.timers.push(now + PULL_RETRY, Timer::RetryPull(pull));
            return;
        };
        match batch.entries {
            Ok(entries) => {
                self.replica.pending.extend(entries);
                self.replica
                    .primary_ends
                    .push_back((batch.requested_at, batch.primary_end));
                self.apply_pending(now, out);
            }
            Err(last_common) => {
                self.cancel_pull();
                self.truncate_after(last_common, out);
            }
        }
        self.start_pull(out);
    }

    /// Applies the pending entries that have reached the replication lag, and sets the
    /// timer for the next one.
    pub(crate) fn apply_pending(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let lag = self.faults.replication_lag;
        while let Some(entry) = self
            .replica
            .pending
            .pop_front_if(|e| e.written_at + lag <= now)
        {
            self.log.push(entry);
        }
        let reached = self.log.position();
        while let Some((requested_at, _)) = self
            .replica
            .primary_ends
            .pop_front_if(|(_, end)| *end <= reached)
        {
            self.replica.caught_up_at = Some(requested_at);
        }
        self.answer_ready_calls(now, out);
        self.replica.apply_timer_at = self.replica.apply_timer_at.filter(|at| *at > now);
        if let Some(due) = self.replica.pending.front().map(|e| e.written_at + lag)
            && self.replica.apply_timer_at.is_none_or(|at| due < at)
        {
            self.replica.apply_timer_at = Some(due);
            self.timers.push(due, Timer::ApplyPending);
        }
    }

    /// Removes the entries after a position, which the primary does not have.
    fn truncate_after(&mut self, position: Position, out: &mut Vec<Effect>) {
        let entries = self.log.truncate_after(position);
        if entries > 0 {
            self.replica.caught_up_at = None;
            out.push(Effect::Log(LogEvent::Cut {
                upstream: self.cfg.upstream.clone(),
                position,
                entries,
            }));
        }
    }
}
