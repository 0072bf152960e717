//! Reads a log file back into what the store held.

use std::path::Path;

use decide::raft::{OutOfOrderWrite, PersistentState, StoreId};
use serde::{Deserialize, Serialize};

use crate::record::{self, Found};
use crate::{DamageKind, StoreError};

/// The first record of a file.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FileHeader {
    pub(crate) magic: [u8; 8],
    pub(crate) store: StoreId,
}

/// Tells a log file of this version from anything else.
pub(crate) const MAGIC: [u8; 8] = *b"caraway1";

/// What a log file holds, and where its last whole record ends.
pub(crate) struct Contents {
    pub(crate) recovered: PersistentState,
    pub(crate) len: usize,
    pub(crate) torn: bool,
}

/// Reads a log file.
pub(crate) fn read(path: &Path, file: &[u8]) -> Result<Contents, StoreError> {
    let damaged = |offset: usize, kind: DamageKind| StoreError::Damaged {
        path: path.to_owned(),
        offset: offset as u64,
        kind,
    };
    let (header, mut offset) = read_header(file).map_err(|kind| damaged(0, kind))?;
    let mut recovered = PersistentState::empty(header.store);
    let mut torn = false;
    loop {
        match record::find(file, offset).map_err(|kind| damaged(offset, kind))? {
            Found::Record(content, len) => {
                let persist = record::decode(content).map_err(|kind| damaged(offset, kind))?;
                let followed = recovered.apply_write(persist);
                followed.map_err(|OutOfOrderWrite| damaged(offset, DamageKind::Order))?;
                offset += len;
            }
            Found::Torn => {
                torn = true;
                break;
            }
            Found::End => break,
        }
    }
    Ok(Contents {
        recovered,
        len: offset,
        torn,
    })
}

/// Reads the file header, which is never torn since files are renamed only when whole.
fn read_header(file: &[u8]) -> Result<(FileHeader, usize), DamageKind> {
    let Ok(Found::Record(content, len)) = record::find(file, 0) else {
        return Err(DamageKind::FileHeader);
    };
    let header: FileHeader = record::decode(content).map_err(|_| DamageKind::FileHeader)?;
    if header.magic != MAGIC {
        return Err(DamageKind::FileHeader);
    }
    Ok((header, len))
}
