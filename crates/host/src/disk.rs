//! The thread that writes control state to disk and syncs it.

use std::path::Path;
use std::sync::mpsc;
use std::thread::JoinHandle;

use decide::Event;
use decide::raft::{Persist, Persisted, PersistentState};
use eyre::WrapErr;
use model::CONTROL_PART;
use store::Store;

use crate::input::Inboxes;

/// The way to the storage thread.
#[derive(Debug)]
pub(crate) struct Disk {
    tx: Option<mpsc::Sender<Persist>>,
    thread: Option<JoinHandle<()>>,
}

impl Disk {
    /// Returns a disk for a host that keeps no control state.
    pub(crate) fn none() -> Self {
        Self {
            tx: None,
            thread: None,
        }
    }

    /// Opens a data folder and starts the thread that writes to it.
    pub(crate) fn open(dir: &Path, inboxes: Inboxes) -> eyre::Result<(Self, PersistentState)> {
        let (store, recovered) = Store::open(dir, rand::random())?;
        let (tx, rx) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write_all(store, &rx, &inboxes))
            .wrap_err("the storage thread can't be started")?;
        let disk = Self {
            tx: Some(tx),
            thread: Some(thread),
        };
        Ok((disk, recovered))
    }

    /// Queues something to write.
    pub(crate) fn put(&self, persist: Persist) {
        if let Some(tx) = &self.tx {
            // A thread that has failed acknowledges nothing more, which is all that is asked.
            let _ = tx.send(persist);
        }
    }

    /// Waits until everything that was queued is written.
    pub(crate) fn join(&mut self) {
        self.tx = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Writes until the queue ends or a write fails.
fn write_all(mut store: Store, rx: &mpsc::Receiver<Persist>, inboxes: &Inboxes) {
    for persist in rx {
        match store.write(persist) {
            Ok(stored) => acknowledge(inboxes, stored),
            Err(error) => {
                log::error!("event=430 disk-failed error={error}");
                return;
            }
        }
    }
}

fn acknowledge(inboxes: &Inboxes, stored: Persisted) {
    inboxes.event(CONTROL_PART, Event::Persisted(stored));
}
