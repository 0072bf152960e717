//! The few file operations that a store needs, so that tests can make them fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A file that grows by appending.
pub trait LogFile {
    /// Writes bytes at the end.
    ///
    /// # Errors
    ///
    /// Any error leaves an unknown part of the bytes in the file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns once all that was written is on the disk.
    ///
    /// # Errors
    ///
    /// After an error nothing that was written since the last sync can be relied on.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file to a length.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
}

/// Where files are kept.
pub trait Disk {
    /// A file of this disk.
    type File: LogFile;

    /// Opens a file that is there, to append to it.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Creates a file, or empties it if it is there.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file over another, and returns once that is on the disk.
    ///
    /// # Errors
    ///
    /// After an error either of the two files may be there.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The file system.
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

/// Returns once the names in a folder are on the disk.
///
/// # Errors
///
/// Returns what the system says.
pub fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}
