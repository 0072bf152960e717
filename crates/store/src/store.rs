//! A data folder with one log file, locked by one process.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use decide::raft::{Persist, Persisted, PersistentState, StoreId, WriteId};

use crate::disk::{Disk, LogFile, OsDisk, sync_dir};
use crate::recover::{self, FileHeader, MAGIC};
use crate::{DamageKind, StoreError, record};

/// File name of the log in the data folder.
pub const LOG_NAME: &str = "raft.log";
/// File name under which a new log is written before it is renamed over the old one.
pub const NEW_LOG_NAME: &str = "raft.log.new";
/// File name of the lock in the data folder.
pub const LOCK_NAME: &str = "raft.lock";

/// An open data folder, locked against other processes.
#[derive(Debug)]
pub struct Store<D: Disk = OsDisk> {
    disk: D,
    dir: PathBuf,
    store_id: StoreId,
    /// The log file; `None` after a failed write, until a new file replaces it.
    file: Option<D::File>,
    /// Length of the synced part of the log file, in bytes.
    synced_len: u64,
    /// The write that failed last, if it has not succeeded since.
    failed_write: Option<WriteId>,
    /// Holds the lock until the store is dropped.
    _lock: Arc<File>,
}

impl Store {
    /// Opens a data folder, creating it if it doesn't exist, and returns the stored state.
    ///
    /// `new_id` becomes the id of a store that is created now, and should be random.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be used; a damaged log file is left unchanged.
    pub fn open(dir: &Path, new_id: StoreId) -> Result<(Self, PersistentState), StoreError> {
        Self::open_on(OsDisk, dir, new_id)
    }
}

impl<D: Disk> Store<D> {
    /// Opens a data folder as [`Store::open`] does, with given file operations.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be used; a damaged log file is left unchanged.
    pub fn open_on(
        disk: D,
        dir: &Path,
        new_id: StoreId,
    ) -> Result<(Self, PersistentState), StoreError> {
        let at_dir = |source| io_error(dir, source);
        fs::create_dir_all(dir).map_err(at_dir)?;
        if let Some(parent) = dir.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            sync_dir(parent).map_err(at_dir)?;
        }
        let lock = lock_dir(dir)?;
        let path = dir.join(LOG_NAME);
        let mut store = Self {
            disk,
            dir: dir.to_owned(),
            store_id: new_id,
            file: None,
            synced_len: 0,
            failed_write: None,
            _lock: Arc::new(lock),
        };
        match fs::read(&path) {
            Ok(bytes) => {
                let recovered = store.open_log(&path, &bytes)?;
                Ok((store, recovered))
            }
            Err(err) if err.kind() == io::ErrorKind::NotFound => {
                store.replace_log(&[])?;
                Ok((store, PersistentState::empty(new_id)))
            }
            Err(source) => Err(io_error(&path, source)),
        }
    }

    /// Rebuilds the state from the log file's bytes, cuts off a torn record and opens the file.
    fn open_log(&mut self, path: &Path, bytes: &[u8]) -> Result<PersistentState, StoreError> {
        let contents = recover::read_log(path, bytes)?;
        let at_path = |source| io_error(path, source);
        let mut file = self.disk.open(path).map_err(at_path)?;
        self.synced_len = contents.valid_len as u64;
        if contents.has_torn_tail {
            log::warn!(
                "torn-tail path={} kept={} cut={}",
                path.display(),
                contents.valid_len,
                bytes.len() - contents.valid_len
            );
            file.truncate(self.synced_len).map_err(at_path)?;
            file.sync().map_err(at_path)?;
        }
        self.store_id = contents.recovered.store;
        self.file = Some(file);
        Ok(contents.recovered)
    }

    /// Writes a record and syncs it; one with a snapshot replaces the log.
    ///
    /// # Errors
    ///
    /// After an error, what was written of the record is cut off, and the same write must be tried
    /// again until it succeeds; any other is refused until then.
    pub fn write(&mut self, persist: &Persist) -> Result<Persisted, StoreError> {
        let id = persist.id;
        if let Some(failed) = self.failed_write.filter(|failed| *failed != id) {
            let path = self.dir.join(LOG_NAME);
            return Err(StoreError::EarlierWriteFailed { path, failed });
        }
        self.failed_write = Some(id);
        let record = record::encode(persist);
        if persist.snapshot.is_some() {
            self.replace_log(&record)?;
        } else {
            match self.file.take() {
                Some(file) => self.append(file, &record)?,
                None => self.copy_log(&record)?,
            }
        }
        self.failed_write = None;
        Ok(Persisted {
            raft_group: persist.raft_group,
            id,
        })
    }

    /// Appends a record and syncs it; a file that fails is not used again.
    fn append(&mut self, mut file: D::File, record: &[u8]) -> Result<(), StoreError> {
        let written = file.append(record).and_then(|()| file.sync());
        if let Err(source) = written {
            let path = self.dir.join(LOG_NAME);
            let truncated = file.truncate(self.synced_len).and_then(|()| file.sync());
            if let Err(err) = truncated {
                log::error!("cut-failed path={} error={err}", path.display());
            }
            return Err(io_error(&path, source));
        }
        self.synced_len += record.len() as u64;
        self.file = Some(file);
        Ok(())
    }

    /// Replaces the log file by a copy of its synced part and a record.
    ///
    /// After a failed sync, a later one can succeed although data is missing, so the old file is
    /// not appended to.
    fn copy_log(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let path = self.dir.join(LOG_NAME);
        let mut bytes = fs::read(&path).map_err(|source| io_error(&path, source))?;
        bytes.truncate(usize::try_from(self.synced_len).unwrap_or(usize::MAX));
        let contents = recover::read_log(&path, &bytes)?;
        if contents.valid_len as u64 != self.synced_len {
            return Err(StoreError::Damaged {
                path,
                offset: contents.valid_len as u64,
                kind: DamageKind::Missing,
            });
        }
        bytes.extend(record);
        self.install_log(&bytes)
    }

    /// Replaces the log file by a new one with a file header and the given records.
    fn replace_log(&mut self, records: &[u8]) -> Result<(), StoreError> {
        let header = FileHeader {
            magic: MAGIC,
            store_id: self.store_id,
        };
        let mut bytes = record::encode(&header);
        bytes.extend(records);
        self.install_log(&bytes)
    }

    /// Replaces the log file by a new one with the given content.
    fn install_log(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let path = self.dir.join(LOG_NAME);
        let new_path = self.dir.join(NEW_LOG_NAME);
        self.file = None;
        let file = self.write_new_log(&new_path, &path, bytes);
        self.file = Some(file.map_err(|source| io_error(&path, source))?);
        self.synced_len = bytes.len() as u64;
        Ok(())
    }

    /// Writes and syncs a new log file, then renames it over the old one.
    fn write_new_log(&self, new_path: &Path, path: &Path, bytes: &[u8]) -> io::Result<D::File> {
        let mut file = self.disk.create(new_path)?;
        file.append(bytes)?;
        file.sync()?;
        self.disk.rename(new_path, path)?;
        Ok(file)
    }
}

/// Locks a data folder for this process.
fn lock_dir(dir: &Path) -> Result<File, StoreError> {
    let path = dir.join(LOCK_NAME);
    let at_path = |source| io_error(&path, source);
    let file = File::create(&path).map_err(at_path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path }),
        Err(TryLockError::Error(source)) => Err(at_path(source)),
    }
}

fn io_error(path: &Path, source: io::Error) -> StoreError {
    StoreError::Io {
        path: path.to_owned(),
        source,
    }
}
