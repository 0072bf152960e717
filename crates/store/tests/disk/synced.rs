//! No write is acknowledged, and no file renamed, before it is synced.

use std::cell::Cell;
use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;

use store::{Disk, LogFile, OsDisk, Store};

use crate::sample::{entry, founding_snapshot, hard_state, make_append, make_persist};

/// A disk that counts the bytes that were written since the last sync.
#[derive(Clone, Default)]
struct CountingDisk(Rc<Cell<usize>>);

/// A file of a [`CountingDisk`].
struct CountingFile(File, Rc<Cell<usize>>);

impl Disk for CountingDisk {
    type File = CountingFile;

    fn open(&self, path: &Path) -> io::Result<CountingFile> {
        Ok(CountingFile(OsDisk.open(path)?, self.0.clone()))
    }

    fn create(&self, path: &Path) -> io::Result<CountingFile> {
        Ok(CountingFile(OsDisk.create(path)?, self.0.clone()))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        assert_eq!(
            self.0.get(),
            0,
            "a file was renamed before its bytes were synced"
        );
        OsDisk.rename(from, to)
    }
}

impl LogFile for CountingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.1.set(self.1.get() + bytes.len());
        self.0.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync()?;
        self.1.set(0);
        Ok(())
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.0.truncate(len)
    }
}

#[test]
fn nothing_is_acknowledged_before_it_is_synced() {
    let dir = tempfile::tempdir().unwrap();
    let disk = CountingDisk::default();
    let (mut store, _) = Store::open_on(disk.clone(), dir.path(), 7).unwrap();
    for persist in [
        make_persist(1, hard_state(1, Some("a")), None, vec![]),
        make_persist(
            2,
            hard_state(1, Some("a")),
            Some(founding_snapshot()),
            vec![],
        ),
        make_append(3, 2, vec![entry(2, 2)]),
    ] {
        store.write(&persist).unwrap();
        assert_eq!(
            disk.0.get(),
            0,
            "a write was acknowledged before its bytes were synced"
        );
    }
}
