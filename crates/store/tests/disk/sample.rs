//! Sample writes for the tests.

use std::sync::Arc;

use decide::call::Patch;
use decide::raft::{
    CONFIG_RAFT_GROUP, Entry, EntryData, EntryId, HardState, Member, Membership, Persist, Snapshot,
};
use decide::replicated_state::ReplicatedState;
use model::config::{Change, CommitRule};
use store::store::LOG_NAME;

/// Returns a term and the vote in it, if there is one.
pub(crate) fn hard_state(term: u64, vote: Option<&str>) -> HardState {
    let voted_for = vote.map(|host| Member {
        host: host.into(),
        store: 7,
    });
    HardState { term, voted_for }
}

/// Returns an entry with a patch of three equal changes, named after its term and index.
pub(crate) fn entry(term: u64, index: u64) -> Entry {
    let id = EntryId { term, index };
    let change = Change::SetService {
        name: format!("service-{index}").into(),
        commit: CommitRule::Replicated,
    };
    let patch = Patch {
        id: format!("patch-{term}-{index}").into(),
        base: index,
        changes: vec![change; 3],
    };
    let data = EntryData::Patch(Arc::new(patch));
    Entry { id, data }
}

/// Returns the snapshot of a cluster that was founded with one voter.
pub(crate) fn founding_snapshot() -> Snapshot {
    let voter = Member {
        host: "a".into(),
        store: 7,
    };
    let membership = Membership {
        cluster: 7,
        voters: [voter].into(),
        learners: [].into(),
    };
    Snapshot {
        last_included: EntryId { term: 1, index: 1 },
        membership,
        replicated_state: ReplicatedState::default(),
    }
}

/// Returns a write with the given id.
pub(crate) fn make_persist(
    id: u64,
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
) -> Persist {
    Persist {
        raft_group: CONFIG_RAFT_GROUP,
        id,
        hard_state,
        snapshot: snapshot.map(Arc::new),
        entries,
    }
}

/// Returns a write of entries alone, in a term without a vote.
pub(crate) fn make_append(id: u64, term: u64, entries: Vec<Entry>) -> Persist {
    make_persist(id, hard_state(term, None), None, entries)
}

/// Writes a snapshot, three appends and a changed vote to a new store, and returns the log's length
/// in bytes after each.
pub(crate) fn write_sample_log(dir: &std::path::Path) -> Vec<usize> {
    let (mut store, _) = store::Store::open(dir, 7).expect("a new folder opens");
    let writes = [
        make_persist(
            1,
            hard_state(1, Some("a")),
            Some(founding_snapshot()),
            vec![],
        ),
        make_append(2, 2, vec![entry(2, 2), entry(2, 3), entry(2, 4)]),
        make_append(3, 3, vec![entry(3, 3)]),
        make_persist(4, hard_state(4, Some("b")), None, vec![]),
        make_append(5, 4, (4..20).map(|index| entry(4, index)).collect()),
    ];
    let len = || {
        std::fs::read(dir.join(LOG_NAME))
            .expect("the log can be read")
            .len()
    };
    let mut lens = Vec::new();
    for persist in writes {
        store.write(&persist).expect("a write succeeds");
        lens.push(len());
    }
    lens
}
