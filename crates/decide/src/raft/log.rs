//! The part of the Raft log that is held in memory.

use std::collections::VecDeque;

use crate::raft::entry::{Entry, EntryId, LogIndex, RaftTerm};

/// The entries after a compaction base; the base and all before it are dropped.
#[derive(Debug, Default)]
pub(crate) struct RaftLog {
    /// The last entry that was dropped, or the default if none was.
    base_id: EntryId,
    entries: VecDeque<Entry>,
}

impl RaftLog {
    /// Returns a log of the entries that follow `base_id`.
    pub(crate) fn new(base_id: EntryId, entries: Vec<Entry>) -> Self {
        let entries = entries.into();
        Self { base_id, entries }
    }

    /// Returns the id of the last entry that compaction dropped.
    pub(crate) fn base_id(&self) -> EntryId {
        self.base_id
    }

    /// Returns the id of the last entry, or the base if there is none.
    pub(crate) fn last_id(&self) -> EntryId {
        self.entries.back().map_or(self.base_id, |entry| entry.id)
    }

    /// Returns the term of the entry at `index`; `None` if it was dropped or is not there yet.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<RaftTerm> {
        if index == self.base_id.index {
            return Some(self.base_id.term);
        }
        self.entry_at(index).map(|entry| entry.id.term)
    }

    /// Returns the entry at `index`; `None` if it was dropped or is not there yet.
    pub(crate) fn entry_at(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_id.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `max` entries after an index.
    pub(crate) fn entries_after(&self, index: LogIndex, max: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base_id.index);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip).take(max).cloned().collect()
    }

    /// Returns up to `max_entries` entries after an index, of about `max_bytes` at most; the first one
    /// whatever its size.
    pub(crate) fn batch_after(
        &self,
        index: LogIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base_id.index);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let entries = self.entries.iter().skip(skip).take(max_entries);
        let fitting = entries.enumerate().take_while(|(nth, entry)| {
            bytes += entry.data.approximate_bytes();
            *nth == 0 || bytes <= max_bytes
        });
        fitting.map(|(_, entry)| entry.clone()).collect()
    }

    /// Appends an entry after cutting off those with the same or higher indexes.
    pub(crate) fn truncate_and_append(&mut self, entry: Entry) {
        let keep = entry.id.index.saturating_sub(self.base_id.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.entries.push_back(entry);
    }

    /// Drops the entries up to an index, which becomes the base.
    pub(crate) fn discard_up_to(&mut self, to: LogIndex) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.id.index <= to)
        {
            if let Some(entry) = self.entries.pop_front() {
                self.base_id = entry.id;
            }
        }
    }

    /// Returns the entries from the newest to the oldest.
    pub(crate) fn newest_first(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev()
    }
}
