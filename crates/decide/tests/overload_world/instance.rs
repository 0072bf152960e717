//! A database instance: slots, a bounded queue, and connections that take a slot while they open.

use std::collections::VecDeque;
use std::time::Duration;

use model::ConnId;

/// Number of statements that an instance runs at a time.
pub(crate) const SLOTS: u32 = 4;
/// Number of requests that wait for a slot before the instance answers busy.
const QUEUE_LIMIT: usize = 32;
/// Time for which a new connection occupies a slot.
pub(crate) const OPEN_TIME: Duration = Duration::from_millis(12);

/// Something that occupies a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    /// A new connection.
    Open(ConnId),
    /// A statement on a connection, with the number of the run.
    Run(ConnId, u64),
    /// A status query of a host, with its number.
    Status(usize, u64),
}

/// One instance.
#[derive(Debug, Default)]
pub(crate) struct Instance {
    /// Number of connections, open or being opened.
    pub(crate) conns: u32,
    running: u32,
    queue: VecDeque<(Work, Duration)>,
}

impl Instance {
    /// Takes work that occupies a slot for a time.
    ///
    /// Returns `Ok(true)` if it starts at once, `Ok(false)` if it waits.
    ///
    /// # Errors
    ///
    /// Fails if the instance is too busy to queue it.
    pub(crate) fn accept(&mut self, work: Work, time: Duration) -> Result<bool, ()> {
        if self.running < SLOTS {
            self.running += 1;
            return Ok(true);
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Err(());
        }
        self.queue.push_back((work, time));
        Ok(false)
    }

    /// Frees the slot of work that has ended, and returns the work that starts on it.
    pub(crate) fn finish(&mut self) -> Option<(Work, Duration)> {
        let next = self.queue.pop_front();
        self.running -= u32::from(next.is_none());
        next
    }
}
