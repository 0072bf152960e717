//! A data folder with one log file.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use decide::raft::{Persist, Persisted, PersistentState, StoreId};

use crate::disk::{Disk, LogFile, OsDisk, sync_dir};
use crate::recover::{self, FileHeader, MAGIC};
use crate::{StoreError, record};

/// The log file's name in the data folder.
pub const LOG_NAME: &str = "raft.log";
/// The name under which a new log file is written before it replaces the old one.
pub const NEW_LOG_NAME: &str = "raft.log.new";
/// The lock file's name in the data folder.
pub const LOCK_NAME: &str = "raft.lock";

/// A data folder that this process has for itself.
#[derive(Debug)]
pub struct Store<D: Disk = OsDisk> {
    disk: D,
    dir: PathBuf,
    store: StoreId,
    /// None after a failed write.
    file: Option<D::File>,
    len: u64,
    _lock: Arc<File>,
}

impl Store {
    /// Opens a data folder and creates it if it is not there.
    ///
    /// `new_id` identifies the store if it is created now, and should be random.
    ///
    /// # Errors
    ///
    /// Returns why the folder can't be used; a damaged one is left as it is.
    pub fn open(dir: &Path, new_id: StoreId) -> Result<(Self, PersistentState), StoreError> {
        Self::open_on(OsDisk, dir, new_id)
    }
}

impl<D: Disk> Store<D> {
    /// Opens a data folder on a disk.
    ///
    /// # Errors
    ///
    /// Returns why the folder can't be used; a damaged one is left as it is.
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
        let lock = lock(dir)?;
        let path = dir.join(LOG_NAME);
        let mut store = Self {
            disk,
            dir: dir.to_owned(),
            store: new_id,
            file: None,
            len: 0,
            _lock: Arc::new(lock),
        };
        match fs::read(&path) {
            Ok(bytes) => {
                let recovered = store.load(&path, &bytes)?;
                Ok((store, recovered))
            }
            Err(err) if err.kind() == io::ErrorKind::NotFound => {
                store.replace(&[])?;
                Ok((store, PersistentState::empty(new_id)))
            }
            Err(source) => Err(io_error(&path, source)),
        }
    }

    fn load(&mut self, path: &Path, bytes: &[u8]) -> Result<PersistentState, StoreError> {
        let contents = recover::read(path, bytes)?;
        let at_path = |source| io_error(path, source);
        let mut file = self.disk.open(path).map_err(at_path)?;
        self.len = contents.len as u64;
        if contents.torn {
            log::warn!(
                "torn-tail path={} kept={} cut={}",
                path.display(),
                contents.len,
                bytes.len() - contents.len
            );
            file.truncate(self.len).map_err(at_path)?;
            file.sync().map_err(at_path)?;
        }
        self.store = contents.recovered.store;
        self.file = Some(file);
        Ok(contents.recovered)
    }

    /// Writes and syncs.
    ///
    /// # Errors
    ///
    /// After an error nothing more is written, and the part that may have been written is cut off.
    pub fn write(&mut self, persist: Persist) -> Result<Persisted, StoreError> {
        let stored = Persisted {
            raft_group: persist.raft_group,
            id: persist.id,
        };
        let record = record::encode(&persist);
        if persist.snapshot.is_some() {
            self.replace(&record)?;
        } else {
            self.append(&record)?;
        }
        Ok(stored)
    }

    fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let path = self.dir.join(LOG_NAME);
        let Some(mut file) = self.file.take() else {
            return Err(StoreError::Closed { path });
        };
        let written = file.append(record).and_then(|()| file.sync());
        if let Err(source) = written {
            let cut = file.truncate(self.len).and_then(|()| file.sync());
            if let Err(err) = cut {
                log::error!("cut-failed path={} error={err}", path.display());
            }
            return Err(io_error(&path, source));
        }
        self.len += record.len() as u64;
        self.file = Some(file);
        Ok(())
    }

    /// Replaces the log file by one with a header and the given records.
    fn replace(&mut self, records: &[u8]) -> Result<(), StoreError> {
        let path = self.dir.join(LOG_NAME);
        if self.file.is_none() && self.len > 0 {
            return Err(StoreError::Closed { path });
        }
        self.file = None;
        let new_path = self.dir.join(NEW_LOG_NAME);
        let header = FileHeader {
            magic: MAGIC,
            store: self.store,
        };
        let mut bytes = record::encode(&header);
        bytes.extend(records);
        let len = bytes.len() as u64;
        let file = self.write_new(&new_path, &path, &bytes);
        // A length above zero without a file marks a failed write.
        self.len = len;
        self.file = Some(file.map_err(|source| io_error(&path, source))?);
        Ok(())
    }

    fn write_new(&self, new_path: &Path, path: &Path, bytes: &[u8]) -> io::Result<D::File> {
        let mut file = self.disk.create(new_path)?;
        file.append(bytes)?;
        file.sync()?;
        self.disk.rename(new_path, path)?;
        Ok(file)
    }
}

fn lock(dir: &Path) -> Result<File, StoreError> {
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
