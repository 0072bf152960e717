//! The log entries and snapshots of consensus, and the persistent state of a store.
//!
//! A store is the data folder of one control host.

use std::sync::Arc;

use evac::RecordedOrder;
use model::config::Replacement;
use model::{HostId, Incarnation, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::call::Patch;
use crate::raft::member::{Member, Membership};
use crate::replicated_state::ReplicatedState;

/// Identifies a Raft group, so that a host can be a member of more than one.
pub type RaftGroupId = u32;
/// Consensus term of a Raft group.
pub type RaftTerm = u64;
/// Index of an entry in the Raft log, from one.
pub type LogIndex = u64;
/// Random id of a store, which distinguishes it also from a lost one of the same host.
pub type StoreId = u64;
/// Number of a write to disk within one run of a host.
pub type WriteId = u64;

/// The Raft group that replicates the control state.
pub const CONFIG_RAFT_GROUP: RaftGroupId = 0;

/// Term and index of a log entry; ordered by term first, as elections compare logs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EntryId {
    /// Term in which the entry was proposed.
    pub term: RaftTerm,
    /// Index of the entry in the log.
    pub index: LogIndex,
}

/// An entry of the Raft log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub id: EntryId,
    /// The command to apply once the entry is committed.
    pub data: EntryData,
}

/// The command of an entry, applied once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryData {
    /// Does nothing; a new leader commits it to learn what is committed.
    Noop,
    /// Applies a patch to the configuration, or rejects it.
    Patch(Arc<Patch>),
    /// Replaces the whole configuration, if its version is higher.
    Replace(Arc<Replacement>),
    /// Numbers a promotion order to the platform; the number is the index of this entry.
    PromotionOrder(PromotionTicket),
    /// Assigns a share index to a host that has none yet.
    AssignShareIndex(HostId),
    /// Replaces the membership; in force as soon as it is in the log, before it is committed.
    Membership(Membership),
    /// Evacuates a data centre or restores it.
    Evacuation(RecordedOrder),
}

/// Approximate bytes of an entry or a change without its larger parts.
const SMALL_ENTRY_BYTES: usize = 128;

impl EntryData {
    /// Returns about how many bytes the entry takes in a message.
    pub(crate) fn approximate_bytes(&self) -> usize {
        match self {
            // It holds the configuration twice: parsed, and as it was sent.
            Self::Replace(replacement) => SMALL_ENTRY_BYTES + 2 * replacement.document.len(),
            Self::Patch(patch) => SMALL_ENTRY_BYTES * (1 + patch.changes.len()),
            Self::Noop
            | Self::PromotionOrder(_)
            | Self::AssignShareIndex(_)
            | Self::Membership(_)
            | Self::Evacuation(_) => SMALL_ENTRY_BYTES,
        }
    }
}

/// A promotion order to the platform that the leader of consensus wants numbered.
///
/// The index of the entry becomes the number and fencing token of the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionTicket {
    /// The host that orders the promotion: the leader that proposed the entry.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// The service whose primary is replaced.
    pub service: ServiceId,
    /// The instance to promote to primary.
    pub upstream: UpstreamId,
}

/// The state after an entry, which replaces all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub last_included: EntryId,
    /// The membership after that entry.
    pub membership: Membership,
    /// The configuration, recorded patches, share indexes and evacuations after that entry.
    pub replicated_state: ReplicatedState,
}

/// The term and vote that must be synced before a member acts on them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term that the member knows.
    pub term: RaftTerm,
    /// The candidate that got this member's vote in that term.
    pub voted_for: Option<Member>,
}

/// One write to disk, synced as a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Persist {
    /// The Raft group that the write belongs to.
    pub raft_group: RaftGroupId,
    /// Number of the write, which [`Persisted`] returns.
    pub id: WriteId,
    /// The term and the vote.
    pub hard_state: HardState,
    /// Replaces everything before, if present; `entries` is then the whole log after it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries to append, after those with the same or higher indexes have been cut off.
    pub entries: Vec<Entry>,
}

/// Reports that a write has been synced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Persisted {
    /// The Raft group that the write belongs to.
    pub raft_group: RaftGroupId,
    /// Number of the synced write.
    pub id: WriteId,
}

/// What a store holds on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistentState {
    /// Random id of the store, drawn when it was created.
    pub store: StoreId,
    /// The term and the vote.
    pub hard_state: HardState,
    /// The newest snapshot; `None` in a store that belongs to no cluster yet.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns what a new store holds.
    pub fn empty(store: StoreId) -> Self {
        Self {
            store,
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Applies one write, as when it is synced or read back from the log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the term goes back or an entry leaves a gap in the log.
    pub fn apply_write(&mut self, persist: Persist) -> Result<(), OutOfOrderWrite> {
        if persist.hard_state.term < self.hard_state.term {
            return Err(OutOfOrderWrite);
        }
        self.hard_state = persist.hard_state;
        if let Some(snapshot) = persist.snapshot {
            self.entries.clear();
            self.snapshot = Some(snapshot.as_ref().clone());
        }
        for entry in persist.entries {
            self.truncate_and_append(entry)?;
        }
        Ok(())
    }

    /// Appends an entry after cutting off those with the same or higher indexes.
    fn truncate_and_append(&mut self, entry: Entry) -> Result<(), OutOfOrderWrite> {
        let base = self.snapshot.as_ref();
        let base = base.map_or(0, |snapshot| snapshot.last_included.index);
        let after_base = entry.id.index.checked_sub(base + 1);
        let keep = after_base
            .and_then(|keep| usize::try_from(keep).ok())
            .filter(|keep| *keep <= self.entries.len())
            .ok_or(OutOfOrderWrite)?;
        self.entries.truncate(keep);
        self.entries.push(entry);
        Ok(())
    }
}

/// A write that does not follow from the ones before: its term is lower, or its entries leave a gap
/// or fall before the snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a write does not follow from the ones before")]
pub struct OutOfOrderWrite;
