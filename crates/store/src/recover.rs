//! Rebuilds a store's state from its log file.

use std::path::Path;

use decide::raft::{OutOfOrderWrite, PersistentState, StoreId};
use serde::{Deserialize, Serialize};

use crate::record::{self, ReadOutcome};
use crate::{DamageKind, StoreError};

/// Content of the first record of a log file.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FileHeader {
    pub(crate) magic: [u8; 8],
    /// Random id of the store, drawn when the data folder was created.
    pub(crate) store_id: StoreId,
}

/// Marks a log file of this version of the format.
pub(crate) const MAGIC: [u8; 8] = *b"caraway1";

/// The state rebuilt from a log file.
pub(crate) struct LogContents {
    /// The state after all valid records.
    pub(crate) recovered: PersistentState,
    /// Length of the file up to the end of its last valid record, in bytes.
    pub(crate) valid_len: usize,
    /// Whether a torn record follows, to be cut off.
    pub(crate) has_torn_tail: bool,
}

/// Rebuilds the state from the bytes of a log file; `path` is for errors only.
pub(crate) fn read_log(path: &Path, file: &[u8]) -> Result<LogContents, StoreError> {
    let damaged = |offset: usize, kind: DamageKind| StoreError::Damaged {
        path: path.to_owned(),
        offset: offset as u64,
        kind,
    };
    let (header, mut offset) = read_header(file).map_err(|kind| damaged(0, kind))?;
    let mut recovered = PersistentState::empty(header.store_id);
    let mut has_torn_tail = false;
    loop {
        match record::read_at(file, offset).map_err(|kind| damaged(offset, kind))? {
            ReadOutcome::Record(content, len) => {
                // `persist` is one write to the store, which is one record of the file.
                let persist = record::decode(content).map_err(|kind| damaged(offset, kind))?;
                let applied = recovered.apply_write(persist);
                applied.map_err(|OutOfOrderWrite| damaged(offset, DamageKind::Order))?;
                offset += len;
            }
            ReadOutcome::Torn => {
                has_torn_tail = true;
                break;
            }
            ReadOutcome::End => break,
        }
    }
    Ok(LogContents {
        recovered,
        valid_len: offset,
        has_torn_tail,
    })
}

/// Reads the file header, and returns it with the length of its record.
///
/// It is never torn, since a new file is synced before it is renamed to the log's name.
fn read_header(file: &[u8]) -> Result<(FileHeader, usize), DamageKind> {
    let Ok(ReadOutcome::Record(content, len)) = record::read_at(file, 0) else {
        return Err(DamageKind::FileHeader);
    };
    let header: FileHeader = record::decode(content).map_err(|_| DamageKind::FileHeader)?;
    if header.magic != MAGIC {
        return Err(DamageKind::FileHeader);
    }
    Ok((header, len))
}
