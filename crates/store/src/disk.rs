//! The file operations that a store needs, as traits, so that tests can make them fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A file that is written by appending and truncating.
pub trait LogFile {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// After an error, any part of the bytes may be in the file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the file's data to the disk.
    ///
    /// # Errors
    ///
    /// After an error, any part of what was written since the last sync may be missing from the
    /// disk, even if a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
}

/// A file system, as far as a store uses it.
pub trait Disk {
    /// An open file of this file system.
    type File: LogFile;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Creates an empty file for appending, in place of any existing one.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file over another, and syncs the rename to the disk.
    ///
    /// # Errors
    ///
    /// After an error, either file may be found under the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsDisk;

impl Disk for OsDisk {
    type File = File;

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().append(true).open(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        match fs::remove_file(path) {
            Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
            _ => {}
        }
        OpenOptions::new().append(true).create_new(true).open(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)?;
        match to.parent() {
            Some(dir) => sync_dir(dir),
            None => Ok(()),
        }
    }
}

impl LogFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.set_len(len)
    }
}

/// Syncs the names in a folder to the disk, after files in it were created or renamed.
///
/// # Errors
///
/// Returns the system's error.
pub fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}
