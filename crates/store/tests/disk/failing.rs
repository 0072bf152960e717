//! A failed write isn't acknowledged, leaves the log as it was, and blocks others until it succeeds.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::Cell;
use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc;

use decide::raft::{Persist, PersistentState};
use store::{Disk, LogFile, OsDisk, Store, StoreError, write_queue};

use crate::sample::{entry, founding_snapshot, hard_state, make_append, make_persist};

/// The operation that fails next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// An append fails after this many bytes were written.
    FullAfter(usize),
    /// This many appends fail.
    FullTimes(u32),
    Sync,
    Rename,
    Create,
}

/// A disk on which operations fail as the fault in the cell says.
#[derive(Clone)]
struct FaultyDisk(Rc<Cell<Fault>>);

/// A file of a [`FaultyDisk`], and whether a sync of it has failed.
struct FaultyFile(File, Rc<Cell<Fault>>, bool);

impl Disk for FaultyDisk {
    type File = FaultyFile;

    fn open(&self, path: &Path) -> io::Result<FaultyFile> {
        Ok(FaultyFile(OsDisk.open(path)?, self.0.clone(), false))
    }

    fn create(&self, path: &Path) -> io::Result<FaultyFile> {
        if self.0.get() == Fault::Create {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok(FaultyFile(OsDisk.create(path)?, self.0.clone(), false))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        if self.0.get() == Fault::Rename {
            return Err(io::ErrorKind::Other.into());
        }
        OsDisk.rename(from, to)
    }
}

impl LogFile for FaultyFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        assert!(!self.2, "a file is appended to after a sync of it failed");
        if let Fault::FullTimes(times) = self.1.get()
            && times > 0
        {
            self.1.set(Fault::FullTimes(times - 1));
            return Err(io::ErrorKind::StorageFull.into());
        }
        if let Fault::FullAfter(fits) = self.1.get() {
            self.0.append(&bytes[..fits.min(bytes.len())])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.0.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.1.get() == Fault::Sync {
            // A second sync succeeds although data is lost, as on real systems.
            self.1.set(Fault::None);
            self.2 = true;
            return Err(io::ErrorKind::Other.into());
        }
        self.0.sync()
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.0.truncate(len)
    }
}

/// A store that has made two writes on a disk without faults.
struct Sample {
    dir: tempfile::TempDir,
    disk: FaultyDisk,
    store: Store<FaultyDisk>,
    expected: PersistentState,
}

impl Sample {
    fn new() -> Self {
        let dir = tempfile::tempdir().unwrap();
        let disk = FaultyDisk(Rc::new(Cell::new(Fault::None)));
        let (mut store, mut expected) = Store::open_on(disk.clone(), dir.path(), 7).unwrap();
        for persist in [
            make_persist(
                1,
                hard_state(1, Some("a")),
                Some(founding_snapshot()),
                vec![],
            ),
            make_append(2, 2, vec![entry(2, 2)]),
        ] {
            expected.apply_write(persist.clone()).unwrap();
            store.write(&persist).unwrap();
        }
        Self {
            dir,
            disk,
            store,
            expected,
        }
    }

    /// Makes a write fail by a fault that then ends, and checks that other writes are refused.
    fn fail(&mut self, fault: Fault, persist: &Persist) {
        self.disk.0.set(fault);
        let err = self.store.write(persist).unwrap_err();
        assert!(matches!(err, StoreError::Io { .. }), "{fault:?}: {err}");
        self.disk.0.set(Fault::None);
        let err = self
            .store
            .write(&make_append(9, 2, vec![entry(2, 3)]))
            .unwrap_err();
        let blocked =
            matches!(err, StoreError::EarlierWriteFailed { failed, .. } if failed == persist.id);
        assert!(blocked, "{fault:?}: {err}");
    }

    /// Opens the folder again, and returns what it holds and what it should.
    fn reopen(self) -> (PersistentState, PersistentState) {
        drop(self.store);
        let (_store, recovered) = Store::open(self.dir.path(), 8).unwrap();
        (recovered, self.expected)
    }
}

/// Checks that a failed write and those refused after it leave nothing in the log, and that the
/// write can be tried again, after which others succeed too.
fn check_failed_write(fault: Fault, persist: Persist) {
    let mut sample = Sample::new();
    sample.fail(fault, &persist);
    let (recovered, expected) = sample.reopen();
    assert_eq!(recovered, expected, "{fault:?}");

    let mut sample = Sample::new();
    for _ in 0..3 {
        sample.fail(fault, &persist);
    }
    let last = make_append(4, 2, vec![entry(2, 3), entry(2, 4)]);
    for persist in [persist, last] {
        let persisted = sample.store.write(&persist).unwrap();
        assert_eq!(persisted.id, persist.id, "{fault:?}");
        sample.expected.apply_write(persist).unwrap();
    }
    let (recovered, expected) = sample.reopen();
    assert_eq!(
        recovered, expected,
        "{fault:?}: after the write was tried again"
    );
}

#[test]
fn a_full_disk_cuts_the_partial_append_at_every_byte() {
    let persist = make_append(3, 2, vec![entry(2, 3)]);
    for fits in 0..=200 {
        check_failed_write(Fault::FullAfter(fits), persist.clone());
    }
}

#[test]
fn a_failed_sync_is_tried_again_on_another_file_only() {
    check_failed_write(Fault::Sync, make_append(3, 2, vec![entry(2, 3)]));
}

#[test]
fn a_failed_snapshot_leaves_the_old_file() {
    let persist = make_persist(
        3,
        hard_state(2, None),
        Some(founding_snapshot()),
        vec![entry(2, 2)],
    );
    for fault in [
        Fault::FullAfter(40),
        Fault::Sync,
        Fault::Rename,
        Fault::Create,
    ] {
        check_failed_write(fault, persist.clone());
    }
}

#[test]
fn a_store_writes_again_once_a_full_disk_has_room() {
    let dir = tempfile::tempdir().unwrap();
    let disk = FaultyDisk(Rc::new(Cell::new(Fault::None)));
    let (mut store, mut expected) = Store::open_on(disk.clone(), dir.path(), 7).unwrap();
    let writes = [
        make_persist(
            1,
            hard_state(1, Some("a")),
            Some(founding_snapshot()),
            vec![],
        ),
        make_append(2, 2, vec![entry(2, 2)]),
        make_append(3, 2, vec![entry(2, 3)]),
    ];
    for persist in writes {
        disk.0.set(Fault::FullAfter(40));
        for _ in 0..3 {
            store.write(&persist).unwrap_err();
        }
        disk.0.set(Fault::None);
        store.write(&persist).unwrap();
        expected.apply_write(persist).unwrap();
    }
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 8).unwrap();
    assert_eq!(recovered, expected);
}

#[test]
fn a_queue_of_writes_goes_on_in_order_once_a_full_disk_has_room() {
    let mut sample = Sample::new();
    sample.disk.0.set(Fault::FullTimes(3));
    let (tx, rx) = mpsc::channel();
    let writes = [
        make_append(3, 2, vec![entry(2, 3)]),
        make_append(4, 2, vec![entry(2, 4)]),
    ];
    for persist in &writes {
        tx.send(persist.clone()).unwrap();
        sample.expected.apply_write(persist.clone()).unwrap();
    }
    let mut tx = Some(tx);
    let mut synced = Vec::new();
    write_queue(&mut sample.store, &rx, |persisted| {
        synced.push(persisted.id);
        if synced.len() == writes.len() {
            tx = None;
        }
    });
    assert_eq!(synced, [3, 4]);
    let (recovered, expected) = sample.reopen();
    assert_eq!(recovered, expected);
}

#[test]
fn a_write_that_keeps_failing_does_not_keep_a_host_from_stopping() {
    let mut sample = Sample::new();
    sample.disk.0.set(Fault::FullAfter(0));
    let (tx, rx) = mpsc::channel();
    tx.send(make_append(3, 2, vec![entry(2, 3)])).unwrap();
    drop(tx);
    write_queue(&mut sample.store, &rx, |_| {
        panic!("the write can't succeed")
    });
    let (recovered, expected) = sample.reopen();
    assert_eq!(recovered, expected);
}
