//! A torn last record, which a crash left incomplete, is cut off at the next start, and nothing else
//! is.

use std::fs;
use std::path::Path;

use decide::raft::PersistentState;
use store::store::LOG_NAME;
use store::{Store, StoreError};

use crate::sample::{entry, make_append, write_sample_log};

/// Length in bytes of the units that a disk writes as a whole.
const SECTOR_LEN: usize = 512;

/// Writes a log file with the given bytes and opens its folder.
fn open(dir: &Path, bytes: &[u8]) -> Result<PersistentState, StoreError> {
    fs::write(dir.join(LOG_NAME), bytes).expect("the folder can be written");
    Store::open(dir, 9).map(|(_, recovered)| recovered)
}

#[test]
fn a_file_cut_at_any_byte_opens_with_the_writes_before() {
    let dir = tempfile::tempdir().unwrap();
    let lens = write_sample_log(dir.path());
    let whole = fs::read(dir.path().join(LOG_NAME)).unwrap();
    let expected: Vec<PersistentState> = lens
        .iter()
        .map(|len| open(dir.path(), &whole[..*len]).unwrap())
        .collect();
    for cut in lens[0]..whole.len() {
        let recovered = open(dir.path(), &whole[..cut]).unwrap();
        let complete = lens.iter().rposition(|len| *len <= cut).unwrap();
        assert_eq!(recovered, expected[complete], "cut at {cut}");
        let kept_len = fs::metadata(dir.path().join(LOG_NAME)).unwrap().len();
        assert_eq!(kept_len, lens[complete] as u64, "cut at {cut}");
    }
}

#[test]
fn writes_continue_after_a_torn_record() {
    let dir = tempfile::tempdir().unwrap();
    let lens = write_sample_log(dir.path());
    let whole = fs::read(dir.path().join(LOG_NAME)).unwrap();
    fs::write(dir.path().join(LOG_NAME), &whole[..whole.len() - 1]).unwrap();
    let (mut store, mut expected) = Store::open(dir.path(), 9).unwrap();
    let next = make_append(1, 5, vec![entry(5, 4)]);
    expected.apply_write(next.clone()).unwrap();
    store.write(&next).unwrap();
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 9).unwrap();
    assert_eq!(recovered, expected);
    assert!(lens.len() > 1);
}

/// After a crash the file's new length can be on the disk without all of the content; a sector that
/// was not written reads as zeros.
#[test]
fn a_last_record_with_an_unwritten_sector_is_torn() {
    let dir = tempfile::tempdir().unwrap();
    let lens = write_sample_log(dir.path());
    let whole = fs::read(dir.path().join(LOG_NAME)).unwrap();
    let start = lens[lens.len() - 2];
    let expected = open(dir.path(), &whole[..start]).unwrap();
    let sectors = start / SECTOR_LEN..=(whole.len() - 1) / SECTOR_LEN;
    for sector in sectors {
        let from = start.max(sector * SECTOR_LEN);
        let to = whole.len().min((sector + 1) * SECTOR_LEN);
        let mut bytes = whole.clone();
        bytes[from..to].fill(0);
        let recovered = open(dir.path(), &bytes).unwrap();
        assert_eq!(recovered, expected, "sector {sector}");
    }
}
