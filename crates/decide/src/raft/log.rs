//! The log in memory.

use std::collections::VecDeque;

use crate::raft::entry::{Entry, LogIndex, Place, RaftTerm};

/// The entries after a base; the base and all before it are gone.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Place,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Returns a log.
    pub(crate) fn new(base: Place, entries: Vec<Entry>) -> Self {
        let entries = entries.into();
        Self { base, entries }
    }

    /// Returns the place before the first entry.
    pub(crate) fn base(&self) -> Place {
        self.base
    }

    /// Returns the place of the last entry.
    pub(crate) fn last(&self) -> Place {
        self.entries.back().map_or(self.base, |entry| entry.place)
    }

    /// Returns the term of an entry, if it is known.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<RaftTerm> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.place.term)
    }

    /// Returns an entry.
    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `most` entries after an index.
    pub(crate) fn after(&self, index: LogIndex, most: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base.index);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip).take(most).cloned().collect()
    }

    /// Appends an entry, and cuts off those with the same or higher indexes first.
    pub(crate) fn put(&mut self, entry: Entry) {
        let keep = entry.place.index.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.entries.push_back(entry);
    }

    /// Forgets the entries up to an index.
    pub(crate) fn compact(&mut self, to: LogIndex) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.place.index <= to)
        {
            if let Some(entry) = self.entries.pop_front() {
                self.base = entry.place;
            }
        }
    }

    /// Returns the entries from the newest to the oldest.
    pub(crate) fn newest_first(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev()
    }
}
