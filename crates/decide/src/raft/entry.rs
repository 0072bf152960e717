//! What consensus keeps: log entries, snapshots and the state of a store.

use std::sync::Arc;

use model::config::Replacement;
use model::{HostId, Incarnation, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::call::Patch;
use crate::raft::member::{Member, Membership};
use crate::replicated_state::ReplicatedState;

/// Names a consensus group, so that a host can sit in more than one.
pub type GroupId = u32;
/// Counts the elections of a consensus group.
pub type RaftTerm = u64;
/// Numbers the entries of the log, from one.
pub type LogIndex = u64;
/// Tells a data folder from any other, also from a lost one of the same host.
pub type StoreId = u64;
/// Numbers the writes to disk of one run.
pub type WriteId = u64;

/// The group that agrees on the configuration.
pub const CONFIG_GROUP: GroupId = 0;

/// A place in the log, which orders first by term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Place {
    /// The term of the entry.
    pub term: RaftTerm,
    /// The entry.
    pub index: LogIndex,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub place: Place,
    /// What it does.
    pub data: EntryData,
}

/// What an entry does once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryData {
    /// Nothing; a new leader commits it to learn what is committed.
    Noop,
    /// Offers a patch to the configuration.
    Patch(Arc<Patch>),
    /// Replaces the whole configuration, if its version is higher.
    Replace(Arc<Replacement>),
    /// Numbers an order to the platform; the number is the index of this entry.
    PromotionOrder(PromotionTicket),
    /// Gives a host a share index, if it has none yet.
    AssignShareIndex(HostId),
    /// Replaces the membership; it counts from the moment it is in the log.
    Membership(Membership),
}

/// A promotion order that a leader wants a number for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionTicket {
    /// The host that leads.
    pub host: HostId,
    /// Which start of that host it is.
    pub incarnation: Incarnation,
    /// The service.
    pub service: ServiceId,
    /// The instance that shall become primary.
    pub upstream: UpstreamId,
}

/// The state after an entry, which stands for all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it stands for.
    pub place: Place,
    /// The membership after that entry.
    pub membership: Membership,
    /// The configuration and the remembered patches after that entry.
    pub replicated_state: ReplicatedState,
}

/// What a voter may never forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: RaftTerm,
    /// Who got this voter's vote in that term.
    pub vote: Option<Member>,
}

/// What to write to disk and sync, as one unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Persist {
    /// The consensus group.
    pub group: GroupId,
    /// Numbers the write.
    pub id: WriteId,
    /// The term and the vote.
    pub hard: HardState,
    /// Replaces everything before; `entries` is then the whole log after it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries to append; those with the same or higher indexes are cut off first.
    pub entries: Vec<Entry>,
}

/// Reports that a write has been synced to disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Persisted {
    /// The consensus group.
    pub group: GroupId,
    /// The write.
    pub id: WriteId,
}

/// What a store held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// Identifies the store, at random from its creation.
    pub store: StoreId,
    /// The term and the vote.
    pub hard: HardState,
    /// The newest snapshot; none in a store that belongs to no cluster yet.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Returns what a new store holds.
    pub fn blank(store: StoreId) -> Self {
        Self {
            store,
            hard: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Makes this what the store holds after one more write.
    ///
    /// # Errors
    ///
    /// Returns an error if the write does not follow from the ones before.
    pub fn replay(&mut self, persist: Persist) -> Result<(), OutOfOrder> {
        if persist.hard.term < self.hard.term {
            return Err(OutOfOrder);
        }
        self.hard = persist.hard;
        if let Some(snapshot) = persist.snapshot {
            self.entries.clear();
            self.snapshot = Some(snapshot.as_ref().clone());
        }
        for entry in persist.entries {
            self.put(entry)?;
        }
        Ok(())
    }

    fn put(&mut self, entry: Entry) -> Result<(), OutOfOrder> {
        let base = self.snapshot.as_ref();
        let base = base.map_or(0, |snapshot| snapshot.place.index);
        let after_base = entry.place.index.checked_sub(base + 1);
        let keep = after_base
            .and_then(|keep| usize::try_from(keep).ok())
            .filter(|keep| *keep <= self.entries.len())
            .ok_or(OutOfOrder)?;
        self.entries.truncate(keep);
        self.entries.push(entry);
        Ok(())
    }
}

/// A write does not follow from the ones before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a write does not follow from the ones before")]
pub struct OutOfOrder;
