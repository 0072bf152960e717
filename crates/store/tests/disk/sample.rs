//! Sample writes.

use std::sync::Arc;

use decide::call::Patch;
use decide::raft::{
    CONFIG_RAFT_GROUP, Entry, EntryData, EntryId, HardState, Member, Membership, Persist, Snapshot,
};
use decide::replicated_state::ReplicatedState;
use model::config::{Change, CommitRule};
use store::store::LOG_NAME;

pub(crate) fn hard(term: u64, vote: Option<&str>) -> HardState {
    let vote = vote.map(|host| Member {
        host: host.into(),
        store: 7,
    });
    HardState {
        term,
        voted_for: vote,
    }
}

pub(crate) fn entry(term: u64, index: u64) -> Entry {
    let place = EntryId { term, index };
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
    Entry { id: place, data }
}

pub(crate) fn founded() -> Snapshot {
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

pub(crate) fn write(
    id: u64,
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
) -> Persist {
    Persist {
        raft_group: CONFIG_RAFT_GROUP,
        id,
        hard_state: hard,
        snapshot: snapshot.map(Arc::new),
        entries,
    }
}

pub(crate) fn append(id: u64, term: u64, entries: Vec<Entry>) -> Persist {
    write(id, hard(term, None), None, entries)
}

/// Writes a store with a snapshot, three appends and a changed vote, and returns each length.
pub(crate) fn fill(dir: &std::path::Path) -> Vec<usize> {
    let (mut store, _) = store::Store::open(dir, 7).expect("a new folder opens");
    let writes = [
        write(1, hard(1, Some("a")), Some(founded()), vec![]),
        append(2, 2, vec![entry(2, 2), entry(2, 3), entry(2, 4)]),
        append(3, 3, vec![entry(3, 3)]),
        write(4, hard(4, Some("b")), None, vec![]),
        append(5, 4, (4..20).map(|index| entry(4, index)).collect()),
    ];
    let len = || {
        std::fs::read(dir.join(LOG_NAME))
            .expect("the log is there")
            .len()
    };
    let mut lens = Vec::new();
    for persist in writes {
        store.write(persist).expect("a write succeeds");
        lens.push(len());
    }
    lens
}
