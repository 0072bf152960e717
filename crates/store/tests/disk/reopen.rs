//! Written state is restored after a restart, and only one process can open a folder.

use crate::sample::{entry, founding_snapshot, hard_state, make_append, make_persist};
use decide::raft::PersistentState;
use store::{Store, StoreError};

#[test]
fn a_new_folder_is_empty_and_keeps_its_store_id() {
    let dir = tempfile::tempdir().unwrap();
    let (store, recovered) = Store::open(dir.path(), 7).unwrap();
    assert_eq!(recovered, PersistentState::empty(7));
    drop(store);
    let (_store, recovered) = Store::open(dir.path(), 8).unwrap();
    assert_eq!(recovered, PersistentState::empty(7));
}

#[test]
fn written_state_is_restored() {
    let dir = tempfile::tempdir().unwrap();
    let (mut store, mut expected) = Store::open(dir.path(), 7).unwrap();
    let writes = [
        make_persist(1, hard_state(1, Some("a")), None, vec![]),
        make_persist(
            2,
            hard_state(1, Some("a")),
            Some(founding_snapshot()),
            vec![],
        ),
        make_append(3, 2, vec![entry(2, 2), entry(2, 3), entry(2, 4)]),
        make_append(4, 3, vec![entry(3, 3)]),
    ];
    for persist in writes {
        expected.apply_write(persist.clone()).unwrap();
        let id = persist.id;
        assert_eq!(store.write(&persist).unwrap().id, id);
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
