//! Concurrency limit for one instance, by additive increase and multiplicative decrease.

use std::time::{Duration, Instant};

/// Factor by which a busy response lowers the limit.
const DECREASE: f64 = 0.5;
/// How much a round of successes, one for each statement that the limit allows, raises the limit.
/// With a whole statement, an instance that accepts two answers every fourth one busy.
const INCREASE: f64 = 0.25;
/// Shortest time without new work after a busy response: about that of a short statement, so that a
/// slot may have become free.
const PAUSE_MIN: Duration = Duration::from_millis(4);
/// Longest time without new work: about a quarter of the shortest latency objective in use, so that
/// an instance which recovers gets work again before its callers notice.
const PAUSE_MAX: Duration = Duration::from_millis(40);
/// How long an instance must have answered nothing but busy before it counts as refusing.
const REFUSING_AFTER: Duration = Duration::from_millis(50);
/// How long a busy response counts for that: without newer ones, the instance is not being tried.
const REFUSAL_VALID: Duration = Duration::from_millis(500);

/// How many statements an owner may run on an instance at a time.
///
/// The ceiling is the number of slots that the instance announces, and the floor is one statement.
/// Each busy response halves the limit, once for all work that was under way together; a round of
/// successes raises it by [`INCREASE`]. At the floor, the pause before the next attempt
/// doubles with each busy response.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    /// The limit while it is below the ceiling.
    lowered: Option<f64>,
    /// When the limit was last lowered; responses to earlier work don't lower it again.
    lowered_at: Option<Instant>,
    /// Since when there were only busy responses; `None` after a success.
    busy_since: Option<Instant>,
    /// Length of the last pause.
    pause: Duration,
    /// Until when no work may start.
    paused_until: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Returns how many statements may run at a time now; 0 during a pause.
    pub fn allowed(&self, now: Instant, ceiling: u32) -> u32 {
        match self.paused_until {
            Some(until) if now < until => 0,
            _ => self.limit(ceiling),
        }
    }

    /// Returns the limit, pauses aside.
    pub fn limit(&self, ceiling: u32) -> u32 {
        let lowered = self.lowered.map_or(ceiling, |limit| limit as u32);
        lowered.clamp(1, ceiling.max(1))
    }

    /// Returns how many connections may be opened at a time now: half of the limit, since an open
    /// connection is of no use without a slot to run a statement in.
    pub fn allowed_opens(&self, now: Instant, ceiling: u32) -> u32 {
        match self.allowed(now, ceiling) {
            0 => 0,
            limit => (limit / 2).max(1),
        }
    }

    /// Returns whether the instance has answered nothing but busy for some time.
    pub fn is_refusing(&self, now: Instant) -> bool {
        self.refusing_for(now).is_some()
    }

    /// Returns for how long the instance has answered nothing but busy, if that is some time.
    pub fn refusing_for(&self, now: Instant) -> Option<Duration> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_recent = self.lowered_at.is_some_and(|at| age(at) < REFUSAL_VALID);
        let refusing = self.busy_since.map(age).filter(|_| is_recent);
        refusing.filter(|time| *time >= REFUSING_AFTER)
    }

    /// Returns when the current pause ends, if there is one.
    pub fn wake_at(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Ends the pause once it is over.
    pub fn on_tick(&mut self, now: Instant) {
        self.paused_until.take_if(|until| *until <= now);
    }

    /// Records that work which started at `started_at` was answered busy.
    pub fn on_busy(&mut self, now: Instant, started_at: Instant, ceiling: u32) {
        let is_refused = |at: Instant| now.saturating_duration_since(at) < REFUSAL_VALID;
        if !self.lowered_at.is_some_and(is_refused) {
            // The responses before a gap say nothing about the time since.
            self.busy_since = None;
        }
        self.busy_since.get_or_insert(now);
        let is_news = self.lowered_at.is_none_or(|at| started_at >= at);
        if is_news {
            let at_floor = self.limit(ceiling) == 1;
            let limit = self.lowered.unwrap_or(f64::from(ceiling)) * DECREASE;
            self.lowered = Some(limit.max(1.0));
            self.lowered_at = Some(now);
            self.pause = match at_floor {
                true => (self.pause * 2).clamp(PAUSE_MIN, PAUSE_MAX),
                false => PAUSE_MIN,
            };
        }
        self.paused_until = Some(now + self.pause);
    }

    /// Records that work was accepted and has run.
    pub fn on_success(&mut self, ceiling: u32) {
        self.busy_since = None;
        self.pause = Duration::ZERO;
        let raised = self.lowered.map(|limit| limit + INCREASE / limit);
        self.lowered = raised.filter(|limit| *limit < f64::from(ceiling));
    }
}
