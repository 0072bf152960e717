//! Writes to disk, one at a time, and the messages that wait for them.

use std::collections::VecDeque;
use std::sync::Arc;

use model::HostId;

use crate::raft::entry::{Entry, GroupId, HardState, LogIndex, Persist, Snapshot, WriteId};
use crate::raft::msg::Envelope;

/// Gathers what is to be written while a write is on its way.
#[derive(Debug)]
pub(crate) struct Writer {
    group: GroupId,
    hard: HardState,
    dirty: bool,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
    last_id: WriteId,
    in_flight: Option<(WriteId, LogIndex)>,
    stored: LogIndex,
    outbox: VecDeque<(WriteId, HostId, Envelope)>,
}

impl Writer {
    /// Returns a writer whose store holds a log up to an index.
    pub(crate) fn new(group: GroupId, hard: HardState, stored: LogIndex) -> Self {
        Self {
            group,
            hard,
            dirty: false,
            snapshot: None,
            entries: Vec::new(),
            last_id: 0,
            in_flight: None,
            stored,
            outbox: VecDeque::new(),
        }
    }

    /// Returns the end of the part of the log that is synced.
    pub(crate) fn stored(&self) -> LogIndex {
        self.stored
    }

    /// Wants the term and the vote written.
    pub(crate) fn hard(&mut self, hard: &HardState) {
        self.hard = hard.clone();
        self.dirty = true;
    }

    /// Wants an entry written.
    pub(crate) fn entry(&mut self, entry: Entry) {
        let index = entry.place.index;
        self.entries.retain(|earlier| earlier.place.index < index);
        self.entries.push(entry);
        self.stored = self.stored.min(index - 1);
        self.dirty = true;
    }

    /// Wants everything replaced by a snapshot and the whole log after it.
    pub(crate) fn replace(&mut self, snapshot: Arc<Snapshot>, entries: Vec<Entry>) {
        let last = entries.last().map_or(snapshot.place, |entry| entry.place);
        self.stored = self.stored.min(last.index);
        self.snapshot = Some(snapshot);
        self.entries = entries;
        self.dirty = true;
    }

    /// Returns the write after which all that is wanted now is on disk.
    pub(crate) fn needed(&self) -> WriteId {
        match (self.dirty, &self.in_flight) {
            (true, _) => self.last_id + 1,
            (false, Some((id, _))) => *id,
            (false, None) => 0,
        }
    }

    /// Returns the last write that is synced.
    pub(crate) fn synced(&self) -> WriteId {
        match &self.in_flight {
            Some((id, _)) => id - 1,
            None => self.last_id,
        }
    }

    /// Keeps a message until all that is wanted now is on disk.
    pub(crate) fn send_after(&mut self, to: HostId, envelope: Envelope) {
        self.outbox.push_back((self.needed(), to, envelope));
    }

    /// Returns the next write, unless one is on its way or there is none.
    pub(crate) fn next(&mut self) -> Option<Persist> {
        if !self.dirty || self.in_flight.is_some() {
            return None;
        }
        self.dirty = false;
        self.last_id += 1;
        let snapshot = self.snapshot.take();
        let entries = std::mem::take(&mut self.entries);
        let last = match (entries.last(), &snapshot) {
            (Some(entry), _) => entry.place.index,
            (None, Some(snapshot)) => snapshot.place.index,
            (None, None) => self.stored,
        };
        self.in_flight = Some((self.last_id, last));
        Some(Persist {
            group: self.group,
            id: self.last_id,
            hard: self.hard.clone(),
            snapshot,
            entries,
        })
    }

    /// Takes note that a write is synced, and returns whether it was the one on its way.
    pub(crate) fn stored_write(&mut self, id: WriteId) -> bool {
        let Some((_, last)) = self.in_flight.take_if(|(in_flight, _)| *in_flight == id) else {
            return false;
        };
        let rewritten = self.entries.first().map(|entry| entry.place.index - 1);
        self.stored = last.min(rewritten.unwrap_or(last));
        true
    }

    /// Returns the next message whose write is synced.
    pub(crate) fn ready(&mut self) -> Option<(HostId, Envelope)> {
        let synced = self.synced();
        let due = self.outbox.front().is_some_and(|(id, ..)| *id <= synced);
        if !due {
            return None;
        }
        self.outbox.pop_front().map(|(_, to, env)| (to, env))
    }
}
