//! What is written is there after a restart, and a folder belongs to one process.

use crate::sample::{append, entry, founded, hard, write};
use decide::raft::PersistentState;
use store::{Store, StoreError};

#[test]
fn a_new_folder_is_blank_and_keeps_its_id() {
    let dir = tempfile::tempdir().unwrap();
    let (store, recovered) = Store::open(dir.path(), 7).unwrap();
    assert_eq!(recovered, PersistentState::empty(7));
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 8).unwrap();
    assert_eq!(recovered, PersistentState::empty(7));
}

#[test]
fn what_is_written_is_there_again() {
    let dir = tempfile::tempdir().unwrap();
    let (mut store, mut expected) = Store::open(dir.path(), 7).unwrap();
    let writes = [
        write(1, hard(1, Some("a")), None, vec![]),
        write(2, hard(1, Some("a")), Some(founded()), vec![]),
        append(3, 2, vec![entry(2, 2), entry(2, 3), entry(2, 4)]),
        append(4, 3, vec![entry(3, 3)]),
    ];
    for persist in writes {
        expected.apply_write(persist.clone()).unwrap();
        let id = persist.id;
        assert_eq!(store.write(persist).unwrap().id, id);
    }
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 8).unwrap();
    assert_eq!(recovered, expected);
    assert_eq!(recovered.entries, vec![entry(2, 2), entry(3, 3)]);
}

#[test]
fn a_second_process_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let (_store, _) = Store::open(dir.path(), 7).unwrap();
    let err = Store::open(dir.path(), 8).unwrap_err();
    assert!(matches!(err, StoreError::Locked { .. }), "{err}");
}
