//! Batches a Raft member's writes to disk, one in flight at a time.
//!
//! It holds back the messages that rely on them: a vote or an answer must not be sent before what
//! it promises is synced.

use std::collections::VecDeque;
use std::sync::Arc;

use model::HostId;

use crate::raft::entry::{Entry, HardState, LogIndex, Persist, RaftGroupId, Snapshot, WriteId};
use crate::raft::msg::Envelope;

/// Largest number of messages that are held back at a time; the sender of a dropped one tries again.
const HELD_MESSAGES_MAX: usize = 64;

/// Gathers what is to be written while another write is in flight.
#[derive(Debug)]
pub(crate) struct WriteBatcher {
    raft_group: RaftGroupId,
    /// Term and vote, which each write contains.
    hard_state: HardState,
    /// Whether anything has changed since the last write was emitted.
    has_pending: bool,
    pending_snapshot: Option<Arc<Snapshot>>,
    pending_entries: Vec<Entry>,
    last_write_id: WriteId,
    /// The write that is not synced yet, and the last log index after it.
    in_flight: Option<(WriteId, LogIndex)>,
    /// Last index of the part of the log that is synced.
    synced_index: LogIndex,
    /// Messages in order of sending, with the write that must be synced before each.
    held_messages: VecDeque<(WriteId, HostId, Envelope)>,
}

impl WriteBatcher {
    /// Returns a batcher for a store whose log is synced up to `synced_index`.
    pub(crate) fn new(
        raft_group: RaftGroupId,
        hard_state: HardState,
        synced_index: LogIndex,
    ) -> Self {
        Self {
            raft_group,
            hard_state,
            has_pending: false,
            pending_snapshot: None,
            pending_entries: Vec::new(),
            last_write_id: 0,
            in_flight: None,
            synced_index,
            held_messages: VecDeque::new(),
        }
    }

    /// Returns the last index of the part of the log that is synced.
    pub(crate) fn synced_index(&self) -> LogIndex {
        self.synced_index
    }

    /// Adds the term and the vote to the next write.
    pub(crate) fn set_hard_state(&mut self, hard_state: &HardState) {
        self.hard_state = hard_state.clone();
        self.has_pending = true;
    }

    /// Adds an entry to the next write; it cuts off those with the same or higher indexes.
    pub(crate) fn append_entry(&mut self, entry: Entry) {
        let index = entry.id.index;
        self.pending_entries
            .retain(|earlier| earlier.id.index < index);
        self.pending_entries.push(entry);
        self.synced_index = self.synced_index.min(index - 1);
        self.has_pending = true;
    }

    /// Adds a snapshot and the whole log after it to the next write, which replace all before.
    pub(crate) fn replace_log(&mut self, snapshot: Arc<Snapshot>, entries: Vec<Entry>) {
        let last = entries
            .last()
            .map_or(snapshot.last_included, |entry| entry.id);
        self.synced_index = self.synced_index.min(last.index);
        self.pending_snapshot = Some(snapshot);
        self.pending_entries = entries;
        self.has_pending = true;
    }

    /// Returns the write after which all that is pending or in flight now is synced.
    pub(crate) fn covering_write(&self) -> WriteId {
        match (self.has_pending, &self.in_flight) {
            (true, _) => self.last_write_id + 1,
            (false, Some((id, _))) => *id,
            (false, None) => 0,
        }
    }

    /// Returns whether nothing is pending or in flight.
    pub(crate) fn is_synced(&self) -> bool {
        !self.has_pending && self.in_flight.is_none()
    }

    /// Returns the last write that is synced.
    pub(crate) fn last_synced_write(&self) -> WriteId {
        match &self.in_flight {
            Some((id, _)) => id - 1,
            None => self.last_write_id,
        }
    }

    /// Holds a message until all that is pending or in flight now is synced.
    ///
    /// Drops the oldest one if there are too many, as while the disk is full.
    pub(crate) fn hold_until_synced(&mut self, to: HostId, envelope: Envelope) {
        if self.held_messages.len() >= HELD_MESSAGES_MAX {
            self.held_messages.pop_front();
        }
        self.held_messages
            .push_back((self.covering_write(), to, envelope));
    }

    /// Returns the next write, unless one is in flight or nothing is pending.
    pub(crate) fn next_write(&mut self) -> Option<Persist> {
        if !self.has_pending || self.in_flight.is_some() {
            return None;
        }
        self.has_pending = false;
        self.last_write_id += 1;
        let snapshot = self.pending_snapshot.take();
        let entries = std::mem::take(&mut self.pending_entries);
        let last = match (entries.last(), &snapshot) {
            (Some(entry), _) => entry.id.index,
            (None, Some(snapshot)) => snapshot.last_included.index,
            (None, None) => self.synced_index,
        };
        self.in_flight = Some((self.last_write_id, last));
        Some(Persist {
            raft_group: self.raft_group,
            id: self.last_write_id,
            hard_state: self.hard_state.clone(),
            snapshot,
            entries,
        })
    }

    /// Marks a write as synced; returns whether it was the one in flight.
    pub(crate) fn on_write_synced(&mut self, id: WriteId) -> bool {
        let Some((_, last)) = self.in_flight.take_if(|(in_flight, _)| *in_flight == id) else {
            return false;
        };
        let rewritten = self.pending_entries.first().map(|entry| entry.id.index - 1);
        self.synced_index = last.min(rewritten.unwrap_or(last));
        true
    }

    /// Removes and returns the next message whose write is synced.
    pub(crate) fn pop_sendable(&mut self) -> Option<(HostId, Envelope)> {
        let synced = self.last_synced_write();
        let is_synced = self
            .held_messages
            .front()
            .is_some_and(|(id, ..)| *id <= synced);
        if !is_synced {
            return None;
        }
        self.held_messages
            .pop_front()
            .map(|(_, to, envelope)| (to, envelope))
    }
}
