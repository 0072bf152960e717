//! A failed write isn't acknowledged, leaves the log as it was, and ends all writing.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::Cell;
use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;

use decide::raft::Persist;
use store::{Disk, LogFile, OsDisk, Store, StoreError};

use crate::sample::{entry, founding_snapshot, hard_state, make_append, make_persist};

/// The operation that fails next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// An append fails after this many bytes were written.
    FullAfter(usize),
    Sync,
    Rename,
    Create,
}

/// A disk on which operations fail as the fault in the cell says.
#[derive(Clone)]
struct FaultyDisk(Rc<Cell<Fault>>);

/// A file of a [`FaultyDisk`].
struct FaultyFile(File, Rc<Cell<Fault>>);

impl Disk for FaultyDisk {
    type File = FaultyFile;

    fn open(&self, path: &Path) -> io::Result<FaultyFile> {
        Ok(FaultyFile(OsDisk.open(path)?, self.0.clone()))
    }

    fn create(&self, path: &Path) -> io::Result<FaultyFile> {
        if self.0.get() == Fault::Create {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok(FaultyFile(OsDisk.create(path)?, self.0.clone()))
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
            return Err(io::ErrorKind::Other.into());
        }
        self.0.sync()
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.0.truncate(len)
    }
}

/// Fails one write, and checks that it and all later ones return errors and leave nothing in the
/// log.
fn check_failed_write(fault: Fault, persist: Persist) {
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
        store.write(persist).unwrap();
    }
    disk.0.set(fault);
    let err = store.write(persist.clone()).unwrap_err();
    assert!(matches!(err, StoreError::Io { .. }), "{fault:?}: {err}");
    disk.0.set(Fault::None);
    for later in [persist, make_append(9, 2, vec![entry(2, 3)])] {
        let err = store.write(later).unwrap_err();
        assert!(matches!(err, StoreError::Closed { .. }), "{fault:?}: {err}");
    }
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 8).unwrap();
    assert_eq!(recovered, expected, "{fault:?}");
}

#[test]
fn a_full_disk_cuts_the_partial_append_at_every_byte() {
    let persist = make_append(3, 2, vec![entry(2, 3)]);
    for fits in 0..=200 {
        check_failed_write(Fault::FullAfter(fits), persist.clone());
    }
}

#[test]
fn a_failed_sync_is_not_tried_again() {
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
            store.write(persist.clone()).unwrap_err();
        }
        disk.0.set(Fault::None);
        store.write(persist.clone()).unwrap();
        expected.apply_write(persist).unwrap();
    }
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 8).unwrap();
    assert_eq!(recovered, expected);
}
