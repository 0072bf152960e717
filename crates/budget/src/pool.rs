//! The bytes that a process may buffer, and those that it does.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::settings::BudgetSettings;

/// The budget does not allow the bytes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// The byte budget of a process.
#[derive(Debug)]
pub struct Pool {
    total: usize,
    /// The part of `total` that an account with more than `small_bytes` can use.
    total_for_large: usize,
    small_bytes: usize,
    used: AtomicUsize,
    /// Number of tasks that wait for bytes.
    waiting: AtomicUsize,
    freed: Notify,
    exhausted: Notify,
    started_at: Instant,
}

impl Pool {
    /// Returns the pool of a process whose machine has `reported` bytes of memory.
    pub fn new(cfg: &BudgetSettings, reported: u64) -> Self {
        let total = cfg.total_bytes(reported);
        let kept = (total as f64 * cfg.small_share) as usize;
        Self {
            total,
            total_for_large: total - kept,
            small_bytes: cfg.small_bytes,
            used: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            freed: Notify::new(),
            exhausted: Notify::new(),
            started_at: Instant::now(),
        }
    }

    /// Returns the budget in bytes.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the largest number of bytes that a single connection can ever hold.
    pub fn largest(&self) -> usize {
        self.total_for_large
    }

    /// Returns the bytes that are counted, which may be over the budget by those that were forced.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether a task waits for bytes.
    pub fn is_awaited(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Returns a time as the time since the pool was made, in milliseconds; never 0.
    pub(crate) fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.started_at);
        u64::try_from(since.as_millis()).map_or(u64::MAX, |millis| millis + 1)
    }

    /// Returns how long ago a time was that [`Self::millis`] returned.
    pub(crate) fn elapsed(&self, millis: u64, now: Instant) -> Duration {
        Duration::from_millis(self.millis(now).saturating_sub(millis))
    }

    /// Counts bytes for an account that then holds `held`, if the budget allows it.
    pub(crate) fn take(&self, bytes: usize, held: usize) -> Result<(), Exhausted> {
        let limit = match held <= self.small_bytes {
            true => self.total,
            false => self.total_for_large,
        };
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let order = Ordering::Relaxed;
        let taken = self.used.fetch_update(order, order, add);
        taken.map(drop).map_err(|_| {
            self.exhausted.notify_one();
            Exhausted
        })
    }

    /// Counts bytes whether or not the budget allows it.
    pub(crate) fn force(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        if self.is_awaited() {
            self.freed.notify_waiters();
        }
    }

    /// Waits until the budget has refused bytes since the last call.
    pub async fn exhausted(&self) {
        self.exhausted.notified().await;
    }

    /// Registers a wait for bytes, which ends when it is dropped.
    pub(crate) fn wait(&self) -> Wait<'_> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Wait { pool: self }
    }
}

/// A task that waits for bytes.
pub(crate) struct Wait<'a> {
    pool: &'a Pool,
}

impl Wait<'_> {
    /// Returns a future that ends when bytes are given back after this call.
    pub(crate) fn freed(&self) -> Notified<'_> {
        self.pool.freed.notified()
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.pool.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
