//! Errors of opening and writing a data folder.

use std::io;
use std::path::PathBuf;

use decide::raft::WriteId;

/// Error of opening or writing a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The system failed an operation on the folder or a file in it.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("{path}: another process uses this data folder", path = path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// Bytes of the log file changed after they were synced, so nothing in the file can be trusted.
    #[error(
        "{path}: damaged at byte {offset}: {kind}; \
         move the data folder away and let this host join again",
        path = path.display()
    )]
    Damaged {
        /// The log file.
        path: PathBuf,
        /// Offset of the damaged record's first byte.
        offset: u64,
        /// The kind of damage.
        kind: DamageKind,
    },
    /// An earlier write failed and has not succeeded since, so the store refuses others.
    #[error("{path}: write {failed} failed and must be tried again first", path = path.display())]
    EarlierWriteFailed {
        /// The log file.
        path: PathBuf,
        /// The write that failed.
        failed: WriteId,
    },
}

/// The kind of damage to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DamageKind {
    /// The file doesn't start with the file header of this version.
    #[error("not a log file of this version")]
    FileHeader,
    /// The record's header does not match its checksum.
    #[error("the record's header does not match its checksum")]
    RecordHeader,
    /// The record's content does not match its checksum.
    #[error("the record's content does not match its checksum")]
    Checksum,
    /// The record can't be decoded.
    #[error("the record can't be decoded")]
    Encoding,
    /// Records that were synced are missing.
    #[error("records that were synced are missing")]
    Missing,
    /// The record's write can't follow the ones before: a lower term, or a gap in the log.
    #[error("the record does not follow the one before")]
    Order,
}
