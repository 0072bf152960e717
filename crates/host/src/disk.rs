//! The thread that writes consensus state to disk and syncs it, so that no other thread blocks.

use std::path::Path;
use std::sync::mpsc;
use std::thread::JoinHandle;

use decide::Event;
use decide::raft::{Persist, PersistentState};
use eyre::WrapErr;
use model::CONTROL_PART;
use store::{Store, write_queue};

use crate::inbox::Inboxes;

/// The storage thread and the queue of its writes; both `None` on a host without a disk.
#[derive(Debug)]
pub(crate) struct DiskThread {
    tx: Option<mpsc::Sender<Persist>>,
    thread: Option<JoinHandle<()>>,
}

impl DiskThread {
    /// Returns the value for a host that stores no consensus state; writes are dropped.
    pub(crate) fn disabled() -> Self {
        Self {
            tx: None,
            thread: None,
        }
    }

    /// Recovers the state in a data folder and starts the thread that writes to it.
    pub(crate) fn open(dir: &Path, inboxes: Inboxes) -> eyre::Result<(Self, PersistentState)> {
        let (mut store, recovered) = Store::open(dir, rand::random())?;
        let (tx, rx) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || {
                write_queue(&mut store, &rx, |persisted| {
                    inboxes.send_event(CONTROL_PART, Event::Persisted(persisted));
                });
            })
            .wrap_err("the storage thread can't be started")?;
        let disk = Self {
            tx: Some(tx),
            thread: Some(thread),
        };
        Ok((disk, recovered))
    }

    /// Queues a write; the control part gets `Event::Persisted` once it is synced.
    pub(crate) fn persist(&self, persist: Persist) {
        if let Some(tx) = &self.tx {
            // Sending fails if a damaged log file has ended the thread. The write is then never
            // acknowledged, as the control part expects of a failed disk.
            let _ = tx.send(persist);
        }
    }

    /// Waits until all queued writes are done and the thread has ended.
    pub(crate) fn join(&mut self) {
        self.tx = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
