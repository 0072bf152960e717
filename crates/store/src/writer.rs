//! Writes a queue of records in order, and repeats a write that fails until it succeeds.
//!
//! A disk can be full or refuse writes for a while. The host then goes on without a
//! confirmation of the write, as with a slow disk, and takes full part again once it is done.

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use decide::raft::{Persist, Persisted};

use crate::{Disk, Store, StoreError};

/// Pause before a failed write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Writes until the senders of the queue are gone, and reports each write that is synced.
///
/// Ends early only if the log file is damaged. A write that keeps failing when the senders are
/// gone is given up.
pub fn write_queue<D: Disk>(
    store: &mut Store<D>,
    queue: &Receiver<Persist>,
    mut report: impl FnMut(Persisted),
) {
    // Writes that were queued while another one failed.
    let mut waiting = VecDeque::new();
    while let Some(persist) = waiting.pop_front().or_else(|| queue.recv().ok()) {
        match write_until_synced(store, &persist, queue, &mut waiting) {
            Some(persisted) => report(persisted),
            None => return,
        }
    }
}

/// Repeats a write until it succeeds; returns `None` if it is given up.
fn write_until_synced<D: Disk>(
    store: &mut Store<D>,
    persist: &Persist,
    queue: &Receiver<Persist>,
    waiting: &mut VecDeque<Persist>,
) -> Option<Persisted> {
    let mut first_failure = None;
    let mut attempts: u64 = 1;
    loop {
        match store.write(persist) {
            Ok(persisted) => {
                if let Some(at) = first_failure {
                    let after_ms = Instant::now().duration_since(at).as_millis();
                    log::warn!("event=431 disk-recovered attempts={attempts} after_ms={after_ms}");
                }
                return Some(persisted);
            }
            Err(error @ StoreError::Io { .. }) => {
                if first_failure.is_none() {
                    first_failure = Some(Instant::now());
                    log::error!("event=430 disk-failed error={error}");
                }
            }
            Err(error) => {
                log::error!("event=432 disk-unusable error={error}");
                return None;
            }
        }
        attempts += 1;
        match queue.recv_timeout(RETRY_PAUSE) {
            Ok(next) => waiting.push_back(next),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
    }
}
