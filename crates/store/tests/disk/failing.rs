//! A disk that fails: nothing is acknowledged then, and the file stays whole.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::Cell;
use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;

use decide::raft::Persist;
use store::{Disk, LogFile, OsDisk, Store, StoreError};

use crate::sample::{append, entry, founded, hard, write};

/// What fails next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Only some bytes of a write fit.
    Full(usize),
    Sync,
    Rename,
    Create,
}

#[derive(Clone)]
struct FaultyDisk(Rc<Cell<Fault>>);

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
        if let Fault::Full(fits) = self.1.get() {
            self.0.append(&bytes[..fits.min(bytes.len())])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.0.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.1.get() == Fault::Sync {
            // The fault passes; a second sync would lie, as it does on real systems.
            self.1.set(Fault::None);
            return Err(io::ErrorKind::Other.into());
        }
        self.0.sync()
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.0.truncate(len)
    }
}

/// Fails one write, and checks that it and all later ones are refused and leave no trace.
fn check(fault: Fault, persist: Persist) {
    let dir = tempfile::tempdir().unwrap();
    let disk = FaultyDisk(Rc::new(Cell::new(Fault::None)));
    let (mut store, mut expected) = Store::open_on(disk.clone(), dir.path(), 7).unwrap();
    for good in [
        write(1, hard(1, Some("a")), Some(founded()), vec![]),
        append(2, 2, vec![entry(2, 2)]),
    ] {
        expected.apply_write(good.clone()).unwrap();
        store.write(good).unwrap();
    }
    disk.0.set(fault);
    let err = store.write(persist.clone()).unwrap_err();
    assert!(matches!(err, StoreError::Io { .. }), "{fault:?}: {err}");
    disk.0.set(Fault::None);
    for later in [persist, append(9, 2, vec![entry(2, 3)])] {
        let err = store.write(later).unwrap_err();
        assert!(matches!(err, StoreError::Closed { .. }), "{fault:?}: {err}");
    }
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 8).unwrap();
    assert_eq!(recovered, expected, "{fault:?}");
}

#[test]
fn a_full_disk_cuts_the_partial_append_at_every_byte() {
    let persist = append(3, 2, vec![entry(2, 3)]);
    for fits in 0..=200 {
        check(Fault::Full(fits), persist.clone());
    }
}

#[test]
fn a_failed_sync_is_not_tried_again() {
    check(Fault::Sync, append(3, 2, vec![entry(2, 3)]));
}

#[test]
fn a_failed_snapshot_leaves_the_old_file() {
    let persist = write(3, hard(2, None), Some(founded()), vec![entry(2, 2)]);
    for fault in [Fault::Full(40), Fault::Sync, Fault::Rename, Fault::Create] {
        check(fault, persist.clone());
    }
}
