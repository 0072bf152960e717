//! How a member takes entries and snapshots, and applies what is committed.

use std::sync::Arc;

use crate::raft::Raft;
use crate::raft::entry::{EntryData, LogIndex, Place, RaftTerm, Snapshot};
use crate::raft::log::Log;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::{Member, Membership};
use crate::raft::msg::{Append, Appended, MemberMsg, Round, Stamp};
use crate::replicated_state::Committed;
use crate::{Cx, Event};

impl Raft {
    /// Takes entries from a leader.
    pub(crate) fn on_append(&mut self, cx: &mut Cx<'_>, from: Member, append: Append) {
        let round = append.round;
        if append.term < self.hard.term {
            return self.refuse_older(cx, &from);
        }
        self.hear_leader(cx, append.term, &from);
        let (matches, last) = self.merge(&append);
        if matches {
            self.commit_to(cx, append.commit.min(last));
            self.take_confirmation(cx, &append);
        }
        self.answer(cx, &from, round, matches, last);
    }

    /// Takes a snapshot from a leader.
    pub(crate) fn on_install(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        term: RaftTerm,
        round: Round,
        snapshot: Arc<Snapshot>,
    ) {
        if term < self.hard.term {
            return self.refuse_older(cx, &from);
        }
        self.hear_leader(cx, term, &from);
        if self.is_blank() || snapshot.place.index > self.commit {
            self.install(cx, snapshot);
        }
        self.answer(cx, &from, round, true, self.commit);
    }

    /// Answers a leader of an earlier term.
    ///
    /// The sender may lead the present term too, where the round of the earlier one counts nothing.
    fn refuse_older(&mut self, cx: &Cx<'_>, from: &Member) {
        self.answer(cx, from, 0, false, self.log.last().index);
    }

    fn hear_leader(&mut self, cx: &mut Cx<'_>, term: RaftTerm, leader: &Member) {
        self.follow(cx, term, Some(leader));
        self.heard_at = Some(cx.now);
        self.reset_election(cx);
    }

    fn answer(&mut self, cx: &Cx<'_>, to: &Member, round: Round, matches: bool, last: LogIndex) {
        let stamp = Stamp {
            incarnation: cx.me.incarnation,
            since: cx.now.saturating_duration_since(self.born),
        };
        let appended = Appended {
            term: self.hard.term,
            round,
            matches,
            last,
            stamp,
        };
        self.send_after_write(to, MemberMsg::Appended(appended));
    }

    /// Merges entries into the log, and returns whether it agrees and up to where.
    fn merge(&mut self, append: &Append) -> (bool, LogIndex) {
        let prev = append.prev;
        if prev.index < self.log.base().index {
            // All up to the base is committed, so the leader has it too.
            return (!self.is_blank(), self.commit);
        }
        match self.log.term_at(prev.index) {
            Some(term) if term == prev.term => {}
            Some(term) => return (false, self.before_term(term, prev.index)),
            None => return (false, self.log.last().index),
        }
        let mut changes_members = false;
        for entry in &append.entries {
            if self.log.term_at(entry.place.index) == Some(entry.place.term) {
                continue;
            }
            debug_assert!(entry.place.index > self.commit, "a committed entry stays");
            let cuts = entry.place.index <= self.log.last().index;
            let changes = matches!(entry.data, EntryData::Membership(_));
            changes_members |= cuts || changes;
            self.writer.entry(entry.clone());
            self.log.put(entry.clone());
        }
        if changes_members {
            self.refresh_membership();
        }
        let last = append.entries.last().map_or(prev, |entry| entry.place);
        (true, last.index)
    }

    /// Returns the last entry before those of a term, from an index down to what is committed.
    fn before_term(&self, term: RaftTerm, from: LogIndex) -> LogIndex {
        let mut index = from - 1;
        while index > self.commit && self.log.term_at(index) == Some(term) {
            index -= 1;
        }
        index
    }

    /// Raises that a quorum has confirmed the applied version after a stamp of this run.
    fn take_confirmation(&mut self, cx: &mut Cx<'_>, append: &Append) {
        let Some(stamp) = append.confirmed else {
            return;
        };
        if stamp.incarnation == cx.me.incarnation && self.applied >= append.commit {
            let version = self.replicated_state.config().version;
            let at = self.born + stamp.since;
            cx.raise(Event::Committed(Committed::Confirmed { version, at }));
        }
    }

    fn install(&mut self, cx: &mut Cx<'_>, snapshot: Arc<Snapshot>) {
        let Place { term, index } = snapshot.place;
        cx.log(RaftLogEvent::Installed { index });
        let agrees = self.log.term_at(index) == Some(term);
        let rest = if agrees {
            self.log.after(index, usize::MAX)
        } else {
            Vec::new()
        };
        self.log = Log::new(snapshot.place, rest.clone());
        self.writer.replace(snapshot.clone(), rest);
        self.replicated_state = snapshot.replicated_state.clone();
        self.commit = index;
        self.applied = index;
        self.snapshot = Some(snapshot);
        self.refresh_membership();
        let config = self.replicated_state.config().clone();
        cx.raise(Event::Committed(Committed::Config(config)));
        self.raise_share_indexes(cx);
    }

    /// Raises the share indexes of hosts.
    pub(crate) fn raise_share_indexes(&self, cx: &mut Cx<'_>) {
        let share_indexes = Arc::new(self.replicated_state.share_indexes().clone());
        cx.raise(Event::Committed(Committed::ShareIndexes(share_indexes)));
    }

    /// Applies what is committed up to an index.
    pub(crate) fn commit_to(&mut self, cx: &mut Cx<'_>, index: LogIndex) {
        self.commit = self.commit.max(index);
        let before = self.replicated_state.config().version;
        while self.applied < self.commit {
            self.apply_next(cx);
        }
        if self.replicated_state.config().version != before {
            let config = self.replicated_state.config().clone();
            cx.raise(Event::Committed(Committed::Config(config)));
        }
        self.serve_reads(cx);
        self.compact(cx);
    }

    fn apply_next(&mut self, cx: &mut Cx<'_>) {
        self.applied += 1;
        let index = self.applied;
        let Some(entry) = self.log.get(index) else {
            return;
        };
        match &entry.data {
            EntryData::Noop => {}
            EntryData::Patch(patch) => {
                let patch = patch.clone();
                let before = self.replicated_state.config().version;
                let outcome = self.replicated_state.apply(&patch);
                let version = self.replicated_state.config().version;
                if version != before {
                    cx.log(RaftLogEvent::ConfigCommitted { version, index });
                }
                self.answer_patch(cx, index, outcome);
            }
            EntryData::Replace(replacement) => {
                let replacement = replacement.clone();
                let before = self.replicated_state.config().version;
                self.replicated_state.replace(&replacement);
                let version = self.replicated_state.config().version;
                if version != before {
                    cx.log(RaftLogEvent::ConfigCommitted { version, index });
                }
                self.answer_replaced(cx, index);
            }
            EntryData::PromotionOrder(ticket) => {
                let ticket = ticket.clone();
                cx.raise(Event::Committed(Committed::PromotionOrder {
                    index,
                    ticket,
                }));
            }
            EntryData::AssignShareIndex(host) => {
                self.replicated_state.assign_share_index(&host.clone());
                self.raise_share_indexes(cx);
            }
            EntryData::Membership(_) => self.membership_committed(cx),
        }
    }

    /// Replaces the applied part of a long log by a snapshot.
    fn compact(&mut self, cx: &mut Cx<'_>) {
        let settings = &cx.settings.raft;
        let Some(old) = &self.snapshot else {
            return;
        };
        let index = self.applied;
        if index - old.place.index < settings.snapshot_after.max(1) {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            place: Place { term, index },
            membership: self.membership_as_of(index).0,
            replicated_state: self.replicated_state.clone(),
        });
        cx.log(RaftLogEvent::Compacted { index });
        let rest = self.log.after(index, usize::MAX);
        self.writer.replace(snapshot.clone(), rest);
        self.snapshot = Some(snapshot);
        self.log.compact(index.saturating_sub(settings.trailing));
    }

    /// Returns the membership after an entry, and the entry that made it.
    pub(crate) fn membership_as_of(&self, index: LogIndex) -> (Membership, LogIndex) {
        let in_log = self
            .log
            .newest_first()
            .filter(|entry| entry.place.index <= index)
            .find_map(|entry| match &entry.data {
                EntryData::Membership(membership) => Some((membership, entry.place.index)),
                _ => None,
            });
        let in_snapshot = || {
            let snapshot = self.snapshot.as_ref();
            snapshot.map(|snapshot| (&snapshot.membership, snapshot.place.index))
        };
        in_log
            .or_else(in_snapshot)
            .map(|(membership, index)| (membership.clone(), index))
            .unwrap_or_default()
    }

    /// Takes the newest membership of the log, which counts from the moment it is there.
    pub(crate) fn refresh_membership(&mut self) {
        let (membership, index) = self.membership_as_of(LogIndex::MAX);
        self.membership = membership;
        self.membership_at = index;
        self.refresh_peers();
    }
}
