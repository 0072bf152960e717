//! How a follower handles entries and snapshots, and how every member commits, applies and
//! compacts.

use std::sync::Arc;

use evac::OrderOutcome;

use crate::evacuation::EvacLogEvent;
use crate::raft::Raft;
use crate::raft::entry::{EntryData, EntryId, LogIndex, RaftTerm, Snapshot};
use crate::raft::log::RaftLog;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::{Member, Membership};
use crate::raft::msg::{
    AppendEntries, AppendEntriesReply, ConfirmationRound, LocalTimestamp, MemberMsg,
};
use crate::replicated_state::Committed;
use crate::{Cx, Event};

impl Raft {
    /// Handles `AppendEntries`, which is a heartbeat where it has no entries.
    pub(crate) fn on_append_entries(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        append: AppendEntries,
    ) {
        let round = append.round;
        if append.term < self.hard_state.term {
            return self.reject_stale_term(cx, &from);
        }
        self.accept_leader(cx, append.term, &from);
        let (log_matches, match_hint) = self.merge_entries(&append);
        if log_matches {
            self.commit_up_to(cx, append.leader_commit.min(match_hint));
            self.raise_confirmation(cx, &append);
            self.answer_round_before_sync(cx, &from, &append);
        }
        self.send_reply_when_synced(cx, &from, round, log_matches, match_hint);
    }

    /// Handles a snapshot, which is installed only if it goes beyond what is committed here.
    pub(crate) fn on_install_snapshot(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        term: RaftTerm,
        round: ConfirmationRound,
        snapshot: Arc<Snapshot>,
    ) {
        if term < self.hard_state.term {
            return self.reject_stale_term(cx, &from);
        }
        self.accept_leader(cx, term, &from);
        if self.has_no_cluster() || snapshot.last_included.index > self.commit_index {
            self.install_snapshot(cx, snapshot);
        }
        self.send_reply_when_synced(cx, &from, round, true, self.commit_index);
    }

    /// Rejects a message from a leader of an earlier term.
    ///
    /// The reply has round 0: its receiver may lead the current term, and must not count a round of
    /// its earlier term.
    fn reject_stale_term(&mut self, cx: &Cx<'_>, from: &Member) {
        self.send_reply_when_synced(cx, from, 0, false, self.log.last_id().index);
    }

    /// Follows the sender as the leader of its term, and restarts the election timeout.
    fn accept_leader(&mut self, cx: &mut Cx<'_>, term: RaftTerm, leader: &Member) {
        self.become_follower(cx, term, Some(leader));
        self.leader_heard_at = Some(cx.now);
        self.reset_election_timeout(cx);
    }

    /// Sends an `AppendEntriesReply` once everything that it confirms has been synced.
    fn send_reply_when_synced(
        &mut self,
        cx: &Cx<'_>,
        to: &Member,
        round: ConfirmationRound,
        log_matches: bool,
        match_hint: LogIndex,
    ) {
        let reply = self.append_entries_reply(cx, round, log_matches, match_hint);
        self.send_after_write(to, reply);
    }

    /// Answers the round of a heartbeat at once while a write is unsynced, so that the leader does
    /// not lose its quorum to slow disks.
    ///
    /// It confirms no entry beyond the synced ones that are committed. That no leader of a higher
    /// term was known here when the round was started is true whatever is synced.
    fn answer_round_before_sync(&self, cx: &mut Cx<'_>, to: &Member, append: &AppendEntries) {
        if !append.entries.is_empty() || self.write_batcher.is_synced() {
            return;
        }
        let match_hint = self.commit_index.min(self.write_batcher.synced_index());
        let reply = self.append_entries_reply(cx, append.round, true, match_hint);
        self.send_now(cx, to, reply);
    }

    fn append_entries_reply(
        &self,
        cx: &Cx<'_>,
        round: ConfirmationRound,
        log_matches: bool,
        match_hint: LogIndex,
    ) -> MemberMsg {
        let sent_at = LocalTimestamp {
            incarnation: cx.me.incarnation,
            since_start: cx.now.saturating_duration_since(self.created_at),
        };
        MemberMsg::AppendEntriesReply(AppendEntriesReply {
            term: self.hard_state.term,
            round,
            log_matches,
            match_hint,
            sent_at,
        })
    }

    /// Merges entries into the log, and returns whether the logs agree and the hint for the
    /// leader's next try, as in [`AppendEntriesReply`].
    fn merge_entries(&mut self, append: &AppendEntries) -> (bool, LogIndex) {
        let prev_entry = append.prev_entry;
        if prev_entry.index < self.log.base_id().index {
            // The entries up to the compaction base are committed, so the leader has them too.
            return (!self.has_no_cluster(), self.commit_index);
        }
        match self.log.term_at(prev_entry.index) {
            Some(term) if term == prev_entry.term => {}
            Some(term) => return (false, self.last_index_before_term(term, prev_entry.index)),
            None => return (false, self.log.last_id().index),
        }
        let mut changes_members = false;
        for entry in &append.entries {
            if self.log.term_at(entry.id.index) == Some(entry.id.term) {
                continue;
            }
            debug_assert!(
                entry.id.index > self.commit_index,
                "a leader must not replace a committed entry"
            );
            let truncates = entry.id.index <= self.log.last_id().index;
            let is_membership = matches!(entry.data, EntryData::Membership(_));
            changes_members |= truncates || is_membership;
            self.write_batcher.append_entry(entry.clone());
            self.log.truncate_and_append(entry.clone());
        }
        if changes_members {
            self.refresh_membership();
        }
        let last_entry = append.entries.last().map_or(prev_entry, |entry| entry.id);
        (true, last_entry.index)
    }

    /// Returns the index of the last entry before those of `term`, searching down from `from` to
    /// the commit index, so that the leader skips a whole conflicting term at once.
    fn last_index_before_term(&self, term: RaftTerm, from: LogIndex) -> LogIndex {
        let mut index = from - 1;
        while index > self.commit_index && self.log.term_at(index) == Some(term) {
            index -= 1;
        }
        index
    }

    /// Raises that the configuration was current at `confirmed_since`: a quorum has confirmed the
    /// leader since this member sent that timestamp. One of an earlier run of this host is ignored.
    fn raise_confirmation(&mut self, cx: &mut Cx<'_>, append: &AppendEntries) {
        let Some(confirmed_since) = append.confirmed_since else {
            return;
        };
        if confirmed_since.incarnation == cx.me.incarnation
            && self.last_applied >= append.leader_commit
        {
            let version = self.replicated_state.config().version;
            let at = self.created_at + confirmed_since.since_start;
            cx.raise(Event::Committed(Committed::ConfigConfirmed { version, at }));
        }
    }

    /// Replaces the state by a snapshot; keeps the log after it where that agrees.
    fn install_snapshot(&mut self, cx: &mut Cx<'_>, snapshot: Arc<Snapshot>) {
        let EntryId { term, index } = snapshot.last_included;
        cx.log(RaftLogEvent::Installed { index });
        let agrees = self.log.term_at(index) == Some(term);
        let remaining = if agrees {
            self.log.entries_after(index, usize::MAX)
        } else {
            Vec::new()
        };
        self.log = RaftLog::new(snapshot.last_included, remaining.clone());
        self.write_batcher.replace_log(snapshot.clone(), remaining);
        self.replicated_state = snapshot.replicated_state.clone();
        self.commit_index = index;
        self.last_applied = index;
        self.snapshot = Some(snapshot);
        self.refresh_membership();
        self.raise_state(cx);
    }

    /// Raises the configuration, the evacuations and the share indexes as committed, after the
    /// state was read from a snapshot.
    ///
    /// The evacuations go first, so that no configuration comes into force without them.
    pub(crate) fn raise_state(&self, cx: &mut Cx<'_>) {
        self.raise_evacuations(cx);
        let config = self.replicated_state.config().clone();
        cx.raise(Event::Committed(Committed::Config(config)));
        self.raise_share_indexes(cx);
    }

    /// Raises the evacuated data centres.
    fn raise_evacuations(&self, cx: &mut Cx<'_>) {
        let evacuations = self.replicated_state.evacuations().clone();
        if evacuations.version > 0 {
            cx.raise(Event::Committed(Committed::Evacuations(evacuations)));
        }
    }

    /// Raises the share indexes of all hosts.
    pub(crate) fn raise_share_indexes(&self, cx: &mut Cx<'_>) {
        let share_indexes = Arc::new(self.replicated_state.share_indexes().clone());
        cx.raise(Event::Committed(Committed::ShareIndexes(share_indexes)));
    }

    /// Advances the commit index, applies the entries up to it, and answers the reads that waited
    /// for that.
    pub(crate) fn commit_up_to(&mut self, cx: &mut Cx<'_>, index: LogIndex) {
        self.commit_index = self.commit_index.max(index);
        let before = self.replicated_state.config().version;
        let evacuations_before = self.replicated_state.evacuations().version;
        let applied_before = self.last_applied;
        while self.last_applied < self.commit_index {
            self.apply_next_entry(cx);
        }
        if self.replicated_state.evacuations().version != evacuations_before {
            self.raise_evacuations(cx);
        }
        if self.replicated_state.config().version != before {
            let config = self.replicated_state.config().clone();
            cx.raise(Event::Committed(Committed::Config(config)));
        }
        if self.last_applied != applied_before {
            let applied = Committed::EntriesApplied(self.last_applied);
            cx.raise(Event::Committed(applied));
        }
        self.answer_confirmed_reads(cx);
        self.compact_log(cx);
    }

    /// Applies the next committed entry, and answers the call that waits for it.
    fn apply_next_entry(&mut self, cx: &mut Cx<'_>) {
        self.last_applied += 1;
        let index = self.last_applied;
        let Some(entry) = self.log.entry_at(index) else {
            return;
        };
        match &entry.data {
            EntryData::Noop => {}
            EntryData::Patch(patch) => {
                let patch = patch.clone();
                let before = self.replicated_state.config().version;
                let outcome = self.replicated_state.apply_patch(&patch);
                let version = self.replicated_state.config().version;
                if version != before {
                    cx.log(RaftLogEvent::ConfigCommitted { version, index });
                }
                self.answer_patch_call(cx, index, outcome);
            }
            EntryData::Replace(replacement) => {
                let replacement = replacement.clone();
                let before = self.replicated_state.config().version;
                self.replicated_state.apply_replacement(&replacement);
                let version = self.replicated_state.config().version;
                if version != before {
                    cx.log(RaftLogEvent::ConfigCommitted { version, index });
                }
                self.answer_replacement_call(cx, index);
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
            EntryData::Membership(_) => self.on_membership_committed(cx),
            EntryData::Evacuation(recorded) => {
                let recorded = recorded.clone();
                let outcome = self.replicated_state.apply_order(&recorded);
                if outcome == OrderOutcome::Changed {
                    cx.log(EvacLogEvent::Committed {
                        order: recorded.order,
                        version: self.replicated_state.evacuations().version,
                        index,
                    });
                }
                self.answer_evacuation_call(cx, index, outcome);
            }
        }
    }

    /// Replaces the applied part of the log by a snapshot once `snapshot_after` entries were
    /// applied since the last one.
    fn compact_log(&mut self, cx: &mut Cx<'_>) {
        let settings = &cx.settings.raft;
        let Some(previous) = &self.snapshot else {
            return;
        };
        let index = self.last_applied;
        if index - previous.last_included.index < settings.snapshot_after.max(1) {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            last_included: EntryId { term, index },
            membership: self.membership_as_of(index).0,
            replicated_state: self.replicated_state.clone(),
        });
        cx.log(RaftLogEvent::Compacted { index });
        let remaining = self.log.entries_after(index, usize::MAX);
        self.write_batcher.replace_log(snapshot.clone(), remaining);
        self.snapshot = Some(snapshot);
        self.log
            .discard_up_to(index.saturating_sub(settings.trailing));
    }

    /// Returns the membership in force after the entry at `index`, and the index of the entry that
    /// made it.
    pub(crate) fn membership_as_of(&self, index: LogIndex) -> (Membership, LogIndex) {
        let in_log = self
            .log
            .newest_first()
            .filter(|entry| entry.id.index <= index)
            .find_map(|entry| match &entry.data {
                EntryData::Membership(membership) => Some((membership, entry.id.index)),
                _ => None,
            });
        let in_snapshot = || {
            let snapshot = self.snapshot.as_ref();
            snapshot.map(|snapshot| (&snapshot.membership, snapshot.last_included.index))
        };
        in_log
            .or_else(in_snapshot)
            .map(|(membership, index)| (membership.clone(), index))
            .unwrap_or_default()
    }

    /// Adopts the newest membership in the log, which counts before it is committed.
    pub(crate) fn refresh_membership(&mut self) {
        let (membership, index) = self.membership_as_of(LogIndex::MAX);
        self.membership = membership;
        self.membership_index = index;
        self.refresh_peers();
    }
}
