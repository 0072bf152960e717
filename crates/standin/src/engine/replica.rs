//! A replica's side of replication: pulling entries and taking them after a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Position, Role};

use super::Engine;
use super::event::{Batch, Effect, Pull, PullId, Timer};
use super::log::Entry;
use super::log_event::LogEvent;
use super::status::LOG_WAIT;

/// How many entries one pull asks for.
const PULL_LIMIT: usize = 1000;
/// How long an answer may take beyond the time that the primary waits.
const PULL_GRACE: Duration = Duration::from_millis(500);
/// How long after a failed pull the next one starts.
const PULL_RETRY: Duration = Duration::from_millis(50);

/// What a replica has received and not yet taken.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    /// The number of the pull under way.
    pull: PullId,
    /// Entries that have not reached their lag.
    pending: VecDeque<Entry>,
    /// Where the primary's log ended, and since when that was known.
    ends: VecDeque<(Instant, Position)>,
    /// When the replica last knew itself equal to its primary.
    equal_at: Option<Instant>,
    /// When the timer for the next pending entry is due.
    armed: Option<Instant>,
}

impl Engine {
    /// Returns how long ago the instance knew itself equal to its primary.
    pub(crate) fn lag(&self, now: Instant) -> Option<Duration> {
        match self.role() {
            Role::Primary => Some(Duration::ZERO),
            Role::Replica => self
                .replica
                .equal_at
                .map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Starts a pull, if there is a primary of the promised term to follow.
    pub(crate) fn pull(&mut self, out: &mut Vec<Effect>) {
        let Some((term, primary)) = &self.terms.follows else {
            return;
        };
        if *term != self.terms.promised {
            return;
        }
        self.replica.pull += 1;
        let last = self.replica.pending.back();
        out.push(Effect::Pull(Pull {
            pull: self.replica.pull,
            addr: primary.addr,
            from: last.map_or_else(|| self.log.position(), |entry| entry.position),
            limit: PULL_LIMIT,
            timeout: LOG_WAIT + PULL_GRACE,
        }));
    }

    /// Ignores the pull under way and forgets what has not been taken.
    pub(crate) fn stop_pull(&mut self) {
        self.replica.pull += 1;
        self.replica.pending.clear();
        self.replica.ends.clear();
    }

    pub(crate) fn pull_again(&mut self, pull: PullId, out: &mut Vec<Effect>) {
        if pull == self.replica.pull {
            self.pull(out);
        }
    }

    pub(crate) fn pulled(
        &mut self,
        now: Instant,
        pull: PullId,
        batch: Option<Batch>,
        out: &mut Vec<Effect>,
    ) {
        if pull != self.replica.pull {
            return;
        }
        let follows = self.terms.follows.as_ref().map(|(term, _)| *term);
        let Some(batch) = batch.filter(|batch| Some(batch.term) == follows) else {
            self.timers.push(now + PULL_RETRY, Timer::PullAgain(pull));
            return;
        };
        match batch.entries {
            Ok(entries) => {
                self.replica.pending.extend(entries);
                self.replica.ends.push_back((batch.asked, batch.end));
                self.apply_due(now, out);
            }
            Err(last_common) => {
                self.stop_pull();
                self.cut(last_common, out);
            }
        }
        self.pull(out);
    }

    /// Takes the pending entries that have reached their lag.
    pub(crate) fn apply_due(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let lag = self.chaos.lag;
        while let Some(entry) = self
            .replica
            .pending
            .pop_front_if(|e| e.written + lag <= now)
        {
            self.log.push(entry);
        }
        let reached = self.log.position();
        while let Some((asked, _)) = self.replica.ends.pop_front_if(|(_, end)| *end <= reached) {
            self.replica.equal_at = Some(asked);
        }
        self.wake_waits(now, out);
        self.replica.armed = self.replica.armed.filter(|at| *at > now);
        if let Some(due) = self.replica.pending.front().map(|e| e.written + lag)
            && self.replica.armed.is_none_or(|at| due < at)
        {
            self.replica.armed = Some(due);
            self.timers.push(due, Timer::Apply);
        }
    }

    fn cut(&mut self, position: Position, out: &mut Vec<Effect>) {
        let entries = self.log.cut(position);
        if entries > 0 {
            self.replica.equal_at = None;
            out.push(Effect::Log(LogEvent::Cut {
                upstream: self.cfg.upstream.clone(),
                position,
                entries,
            }));
        }
    }
}
