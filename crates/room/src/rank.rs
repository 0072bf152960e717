//! Order of the requests that wait for an instance, and which of them are given up.
//!
//! Fairness between workspaces comes first: the queue's discipline decides whose turn it is. The
//! rank decides among the requests that may run in a turn.

use std::time::Duration;

/// What decides on a queued request.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Rank of its route under load, 0 first.
    pub priority: u8,
    /// Whether it continues an open transaction, which holds a connection until it ends.
    pub continues_transaction: bool,
    /// Time until its latency objective; zero if that has passed.
    pub until_objective: Duration,
    /// Time for which it is expected to run.
    pub cost: Duration,
}

/// Added to the rank of a request that can't meet its objective any more: all others go first.
const LATE: u32 = 1 << 8;

impl Waiting {
    /// Returns whether it misses its objective even if it starts now.
    ///
    /// A response after the objective is worth a fraction of one in time, so that a slot given to a
    /// late request costs more than it yields while others can still be in time.
    pub fn is_late(&self) -> bool {
        !self.continues_transaction && self.until_objective < self.cost
    }

    /// Returns its place among the requests that may run in a turn; the lowest goes first.
    pub fn rank(&self) -> u32 {
        match self.continues_transaction {
            true => 0,
            false => u32::from(self.priority) + if self.is_late() { LATE } else { 0 },
        }
    }
}
