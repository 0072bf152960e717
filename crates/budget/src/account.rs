//! The share of one connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::pool::{Exhausted, Pool};

/// The bytes that are counted for one connection.
#[derive(Debug)]
pub struct Account {
    pool: Arc<Pool>,
    held: AtomicUsize,
    /// When the peer made progress last, if it is the peer that is waited for, else 0.
    awaited_since: AtomicU64,
}

impl Account {
    /// Returns the account of a new connection.
    pub fn new(pool: Arc<Pool>) -> Self {
        Self {
            pool,
            held: AtomicUsize::new(0),
            awaited_since: AtomicU64::new(0),
        }
    }

    /// Returns the pool that the account belongs to.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Returns the bytes that are counted for the connection.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Notes that the peer has to go on, in the middle of a message or of an answer, and when it
    /// made progress last; `None` if nothing is expected of it.
    pub fn set_awaited_since(&self, since: Option<Instant>) {
        let millis = since.map_or(0, |since| self.pool.millis(since));
        self.awaited_since.store(millis, Ordering::Relaxed);
    }

    /// Returns how long the peer has made no progress, or `None` if nothing is expected of it.
    pub fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let since = self.awaited_since.load(Ordering::Relaxed);
        (since != 0).then(|| self.pool.elapsed(since, now))
    }

    pub(crate) fn take(&self, bytes: usize) -> Result<(), Exhausted> {
        let held = self.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.pool.take(bytes, held).inspect_err(|_| {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
        })
    }

    pub(crate) fn force(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        self.pool.force(bytes);
    }

    pub(crate) fn give_back(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        self.pool.give_back(bytes);
    }
}
