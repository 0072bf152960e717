//! Damage to synced records is reported at start, and never cut off as a torn record.

use std::fs;

use store::store::LOG_NAME;
use store::{Store, StoreError};

use crate::sample::write_sample_log;

#[test]
fn a_changed_byte_anywhere_refuses_to_start() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(LOG_NAME);
    // The length of the log file after each record that was written.
    let lens = write_sample_log(dir.path());
    let whole = fs::read(&path).unwrap();
    for index in 0..whole.len() {
        for flip in [0x01, 0x80, 0xff] {
            let mut bytes = whole.clone();
            bytes[index] ^= flip;
            fs::write(&path, &bytes).unwrap();
            // 9 is the id for a new store, which is not used as the log file exists.
            let err = Store::open(dir.path(), 9)
                .expect_err(&format!("the log opens although byte {index} was changed"));
            let StoreError::Damaged {
                path: reported_path,
                offset,
                ..
            } = &err
            else {
                panic!("byte {index}: {err}");
            };
            assert_eq!(*reported_path, path);
            let start = lens.iter().rfind(|len| **len <= index);
            let start = start.map_or(0, |len| *len as u64);
            assert!(
                *offset <= index as u64 && *offset >= start,
                "byte {index} is reported at the wrong offset: {err}"
            );
            assert_eq!(fs::read(&path).unwrap(), bytes, "the file was changed");
        }
    }
}

#[test]
fn a_zeroed_range_in_the_middle_refuses_to_start() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(LOG_NAME);
    let lens = write_sample_log(dir.path());
    let whole = fs::read(&path).unwrap();
    let last_start = lens[lens.len() - 2];
    for from in 0..last_start {
        let mut bytes = whole.clone();
        bytes[from..last_start].fill(0);
        if bytes == whole {
            continue;
        }
        fs::write(&path, &bytes).unwrap();
        let result = Store::open(dir.path(), 9);
        assert!(
            matches!(result, Err(StoreError::Damaged { .. })),
            "zeros from byte {from} on are not reported as damage"
        );
    }
}

#[test]
fn the_error_names_file_offset_and_remedy() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(LOG_NAME);
    let lens = write_sample_log(dir.path());
    let mut bytes = fs::read(&path).unwrap();
    bytes[lens[1] + 20] ^= 1;
    fs::write(&path, &bytes).unwrap();
    let err = Store::open(dir.path(), 9).unwrap_err().to_string();
    assert!(err.contains(&path.display().to_string()), "{err}");
    assert!(err.contains(&format!("byte {}", lens[1])), "{err}");
    assert!(err.contains("move the data folder away"), "{err}");
}
