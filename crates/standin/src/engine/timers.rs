//! The timers of an instance, ordered by due time.

use std::collections::BTreeMap;
use std::time::Instant;

use super::event::Timer;

/// The timers that are set and not yet due.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// The id given to the latest timer; orders timers of the same due time.
    last_id: u64,
    /// Timers by due time and id.
    by_due_time: BTreeMap<(Instant, u64), Timer>,
}

impl Timers {
    /// Sets a timer.
    pub(crate) fn push(&mut self, at: Instant, timer: Timer) {
        self.last_id += 1;
        self.by_due_time.insert((at, self.last_id), timer);
    }

    /// Returns when the earliest timer is due.
    pub(crate) fn first(&self) -> Option<Instant> {
        self.by_due_time.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let first = self.by_due_time.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}
