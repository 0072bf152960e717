//! The format of records in the log file.
//!
//! | bytes | content |
//! |---|---|
//! | 4 | length of the content |
//! | 4 | CRC-32 of the content |
//! | 4 | CRC-32 of the eight bytes before |
//! | length | content |
//! | 4 | end mark, which is never zero |
//!
//! All numbers are little-endian. Each record is synced before the next one is written, so a crash
//! can leave only the last record torn, that is written in part.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::DamageKind;

/// Length of a record's header (length and two checksums), in bytes.
pub const HEADER_LEN: usize = 12;
/// The last bytes of every record.
pub const END_MARK: [u8; 4] = *b"\xCA\x2A\xEC\x0D";
/// Smallest unit that a disk writes, in bytes; a sector that was never written reads as zeros.
const SECTOR_LEN: usize = 512;

/// What was read at an offset of the file.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome<'a> {
    /// A valid record: its content, and the length of the whole record in bytes.
    Record(&'a [u8], usize),
    /// A torn last record, of which a crash left only a part written.
    Torn,
    /// The end of the file.
    End,
}

/// Encodes a value as a record.
///
/// # Panics
///
/// Panics if the value can't be encoded or takes more than 4 GiB, which no value of a store does.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let content = postcard::to_stdvec(value).expect("plain data encodes");
    let len = u32::try_from(content.len()).expect("records stay below 4 GB");
    let mut bytes = Vec::with_capacity(HEADER_LEN + content.len() + END_MARK.len());
    bytes.extend(len.to_le_bytes());
    bytes.extend(crc32fast::hash(&content).to_le_bytes());
    let header_crc = crc32fast::hash(&bytes);
    bytes.extend(header_crc.to_le_bytes());
    bytes.extend(content);
    bytes.extend(END_MARK);
    bytes
}

/// Decodes a record's content.
///
/// # Errors
///
/// Returns [`DamageKind::Encoding`] if the content isn't an encoded value of the type.
pub fn decode<T: DeserializeOwned>(content: &[u8]) -> Result<T, DamageKind> {
    postcard::from_bytes(content).map_err(|_| DamageKind::Encoding)
}

/// Reads the record that starts at an offset.
///
/// A record that isn't valid counts as torn only if that is what a crash leaves: the file ends
/// within the record, or a sector of the last record was never written.
///
/// # Errors
///
/// Returns the kind of damage to a record that was synced and changed afterwards.
pub fn read_at(file: &[u8], offset: usize) -> Result<ReadOutcome<'_>, DamageKind> {
    let rest = file.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return Ok(ReadOutcome::End);
    }
    if rest.iter().all(|byte| *byte == 0) {
        return Ok(ReadOutcome::Torn);
    }
    let Some((header, body)) = rest.split_first_chunk::<HEADER_LEN>() else {
        return Ok(ReadOutcome::Torn);
    };
    let [len, content_crc, header_crc] = header_fields(header);
    if crc32fast::hash(&header[..8]) != header_crc {
        let torn = has_unwritten_sector(offset, header) && !contains_record(body);
        return if torn {
            Ok(ReadOutcome::Torn)
        } else {
            Err(DamageKind::RecordHeader)
        };
    }
    let len = len as usize;
    let record_len = HEADER_LEN + len + END_MARK.len();
    if rest.len() < record_len {
        return Ok(ReadOutcome::Torn);
    }
    let (content, after) = body.split_at(len);
    if crc32fast::hash(content) == content_crc && after.starts_with(&END_MARK) {
        return Ok(ReadOutcome::Record(content, record_len));
    }
    let is_last = rest.len() == record_len;
    if is_last && has_unwritten_sector(offset, &rest[..record_len]) {
        return Ok(ReadOutcome::Torn);
    }
    Err(DamageKind::Checksum)
}

/// Returns the content's length and checksum, and the header's checksum.
fn header_fields(header: &[u8; HEADER_LEN]) -> [u32; 3] {
    let field = |at: usize| {
        let bytes = [header[at], header[at + 1], header[at + 2], header[at + 3]];
        u32::from_le_bytes(bytes)
    };
    [field(0), field(4), field(8)]
}

/// Returns whether a record with matching checksums starts at any offset of some bytes.
fn contains_record(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| starts_with_record(&bytes[at..]))
}

/// Returns whether bytes start with a header and a content that match their checksums.
fn starts_with_record(bytes: &[u8]) -> bool {
    let Some((header, body)) = bytes.split_first_chunk::<HEADER_LEN>() else {
        return false;
    };
    let [len, content_crc, header_crc] = header_fields(header);
    crc32fast::hash(&header[..8]) == header_crc
        && body
            .get(..len as usize)
            .is_some_and(|content| crc32fast::hash(content) == content_crc)
}

/// Returns whether the part of a record in any one sector is all zeros, as if never written.
fn has_unwritten_sector(offset: usize, record: &[u8]) -> bool {
    let first_len = SECTOR_LEN - offset % SECTOR_LEN;
    let (first, rest) = record.split_at(first_len.min(record.len()));
    let all_zeros = |part: &[u8]| part.iter().all(|byte| *byte == 0);
    all_zeros(first) || rest.chunks(SECTOR_LEN).any(all_zeros)
}
