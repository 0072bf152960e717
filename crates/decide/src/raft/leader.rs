//! What a leader knows of the other members, how it replicates to them, and how it confirms that it
//! still leads.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::raft::entry::{Entry, EntryData, EntryId, LogIndex};
use crate::raft::leader_call::PendingCall;
use crate::raft::member::Member;
use crate::raft::msg::{
    AppendEntries, AppendEntriesReply, ConfirmationRound, LocalTimestamp, MemberMsg,
};
use crate::raft::{Raft, RaftRole};
use crate::replicated_state::Committed;
use crate::{Cx, Event};

/// Number of heartbeat intervals without an answer after which a snapshot is sent again; also the
/// longest interval between sending the same entries again.
const RESEND_HEARTBEATS_MAX: u32 = 20;

/// About how many bytes of entries one message holds at most, unless its only entry is larger: a
/// longer message would hold up the heartbeats behind it.
const APPEND_BYTES_MAX: usize = 1 << 20;

/// Volatile state of a leader, lost when it steps down.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Replication progress of each other member.
    pub(crate) peers: BTreeMap<Member, PeerProgress>,
    /// When the next regular confirmation round starts, which is also a heartbeat.
    ///
    /// The rounds of reads and commits don't put it off: it also ends a leader without a quorum.
    pub(crate) next_heartbeat_at: Instant,
    /// When this member became leader.
    pub(crate) elected_at: Instant,
    /// Index of the no-op entry of this term; once it is committed, the leader knows all that was
    /// committed before.
    pub(crate) noop_index: LogIndex,
    /// The newest round that was started.
    pub(crate) newest_round: ConfirmationRound,
    /// Rounds that no quorum has answered yet, and when each was started.
    unconfirmed_rounds: VecDeque<(ConfirmationRound, Instant)>,
    /// The newest round that a quorum has answered, and when it was started.
    pub(crate) confirmed_round: (ConfirmationRound, Instant),
    /// Operators' calls that are not answered yet.
    pub(crate) pending_calls: Vec<PendingCall>,
}

/// Replication progress of another member, as the leader knows it.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    /// Highest index up to which the member's log agrees and is synced.
    pub(crate) match_index: LogIndex,
    /// Index of the next entry to send.
    next_index: LogIndex,
    /// Until when no further entries are sent unless the last ones are answered.
    append_in_flight_until: Option<Instant>,
    /// How often entries were sent since the last answer that counts in `last_heard_at`; the
    /// interval doubles with each time.
    unanswered_appends: u32,
    /// Until when no snapshot is sent again unless the last one is answered.
    snapshot_in_flight_until: Option<Instant>,
    /// The newest round that the member has answered.
    answered_round: ConfirmationRound,
    /// The commit index when the current catch-up round started, and when that was.
    catch_up_round: Option<(LogIndex, Instant)>,
    /// When the member last ended a catch-up round within the shortest election timeout.
    caught_up_at: Option<Instant>,
    /// When its last answer came, except for answers to rounds while it has not confirmed the last
    /// entries or snapshot.
    pub(crate) last_heard_at: Option<Instant>,
    /// A timestamp of the member after whose arrival no new round is confirmed yet, and when it
    /// came.
    unconfirmed_timestamp: Option<(LocalTimestamp, Instant)>,
    /// The newest timestamp of the member after whose arrival a quorum answered a new round.
    confirmed_timestamp: Option<LocalTimestamp>,
}

impl PeerProgress {
    fn new(last_index: LogIndex) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            append_in_flight_until: None,
            unanswered_appends: 0,
            snapshot_in_flight_until: None,
            answered_round: 0,
            catch_up_round: None,
            caught_up_at: None,
            last_heard_at: None,
            unconfirmed_timestamp: None,
            confirmed_timestamp: None,
        }
    }

    fn has_snapshot_in_flight(&self, now: Instant) -> bool {
        self.snapshot_in_flight_until
            .is_some_and(|until| now < until)
    }

    /// Returns whether the member has not confirmed the last entries or snapshot that it was sent.
    fn has_unconfirmed(&self) -> bool {
        self.append_in_flight_until.is_some() || self.snapshot_in_flight_until.is_some()
    }

    /// Ends the catch-up round once the member has all that was committed when it started, and
    /// starts the next one.
    ///
    /// A round shorter than `limit` shows that the member keeps up, also while entries are committed
    /// all the time.
    fn update_catch_up(&mut self, commit_index: LogIndex, now: Instant, limit: Duration) {
        let (target, since) = *self.catch_up_round.get_or_insert((commit_index, now));
        if self.match_index < target {
            return;
        }
        if now < since + limit {
            self.caught_up_at = Some(now);
        }
        self.catch_up_round = Some((commit_index, now));
    }

    /// Returns whether the member has all that is committed, or did within the last `limit`.
    pub(crate) fn has_caught_up(
        &self,
        commit_index: LogIndex,
        now: Instant,
        limit: Duration,
    ) -> bool {
        let recently = self.caught_up_at.is_some_and(|at| now < at + limit);
        self.match_index >= commit_index || recently
    }

    /// Keeps the timestamp of an answer until a round that was started after its arrival is
    /// confirmed; later timestamps are dropped until then. `confirmed_at` is the start of the
    /// newest confirmed round.
    fn record_timestamp(&mut self, timestamp: LocalTimestamp, now: Instant, confirmed_at: Instant) {
        if let Some((earlier, _)) = self
            .unconfirmed_timestamp
            .take_if(|(_, at)| *at <= confirmed_at)
        {
            self.confirmed_timestamp = Some(earlier);
        }
        self.unconfirmed_timestamp.get_or_insert((timestamp, now));
    }
}

impl LeaderState {
    /// Returns the state of a leader that was just elected; `last_index` is the end of its log.
    pub(crate) fn new(
        members: impl Iterator<Item = Member>,
        last_index: LogIndex,
        now: Instant,
        heartbeat: Duration,
    ) -> Self {
        Self {
            peers: members
                .map(|member| (member, PeerProgress::new(last_index)))
                .collect(),
            next_heartbeat_at: now + heartbeat,
            elected_at: now,
            noop_index: last_index + 1,
            newest_round: 0,
            unconfirmed_rounds: VecDeque::new(),
            confirmed_round: (0, now),
            pending_calls: Vec::new(),
        }
    }

    /// Starts a confirmation round.
    fn start_round(&mut self, now: Instant) {
        self.newest_round += 1;
        self.unconfirmed_rounds.push_back((self.newest_round, now));
    }

    /// Marks the rounds up to `round` as answered by a quorum; returns whether any was not marked
    /// before.
    fn confirm_rounds(&mut self, round: ConfirmationRound) -> bool {
        let mut any_confirmed = false;
        while let Some(confirmed) = self
            .unconfirmed_rounds
            .pop_front_if(|(oldest, _)| *oldest <= round)
        {
            self.confirmed_round = confirmed;
            any_confirmed = true;
        }
        any_confirmed
    }
}

impl Raft {
    /// Sends heartbeats and does what is due on the leader; steps down if no quorum has answered
    /// within the longest election timeout.
    pub(crate) fn heartbeat_or_step_down(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        if cx.now > leader.confirmed_round.1 + cx.settings.raft.election_max {
            return self.step_down(cx, "no quorum");
        }
        leader.next_heartbeat_at = cx.now + cx.settings.raft.heartbeat;
        self.drop_expired_calls(cx);
        self.propose_membership_change(cx);
        self.broadcast_new_round(cx);
    }

    /// Starts a confirmation round with all members, which is also a heartbeat.
    pub(crate) fn broadcast_new_round(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.start_round(cx.now);
        self.replicate(cx);
        self.confirm_answered_rounds(cx);
    }

    /// Sends each member the entries that it lacks, the commit index and the newest round.
    pub(crate) fn replicate(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &self.role else {
            return;
        };
        let members: Vec<Member> = leader.peers.keys().cloned().collect();
        for member in members {
            self.send_append_entries(cx, &member);
        }
    }

    /// Sends a member the entries from its `next_index` on, or the snapshot where these are
    /// compacted.
    fn send_append_entries(&mut self, cx: &mut Cx<'_>, to: &Member) {
        let settings = &cx.settings.raft;
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(to) else {
            return;
        };
        let (term, round) = (self.hard_state.term, leader.newest_round);
        let prev_entry = self.log.term_at(peer.next_index - 1).map(|term| EntryId {
            term,
            index: peer.next_index - 1,
        });
        if prev_entry.is_none() && !peer.has_snapshot_in_flight(cx.now) {
            let Some(snapshot) = self.snapshot.clone() else {
                return;
            };
            peer.snapshot_in_flight_until =
                Some(cx.now + settings.heartbeat * RESEND_HEARTBEATS_MAX);
            let msg = MemberMsg::InstallSnapshot {
                term,
                round,
                snapshot,
            };
            return self.send_now(cx, to, msg);
        }
        let append_in_flight = peer
            .append_in_flight_until
            .is_some_and(|until| cx.now < until);
        let entries = match prev_entry {
            Some(prev_entry) if !append_in_flight => {
                let max_bytes = APPEND_BYTES_MAX;
                self.log
                    .batch_after(prev_entry.index, settings.batch, max_bytes)
            }
            _ => Vec::new(),
        };
        if !entries.is_empty() {
            let doubled = 1u32.checked_shl(peer.unanswered_appends);
            let heartbeats = doubled.unwrap_or(u32::MAX).min(RESEND_HEARTBEATS_MAX);
            peer.unanswered_appends += 1;
            peer.append_in_flight_until = Some(cx.now + settings.heartbeat * heartbeats);
        }
        let append = AppendEntries {
            term,
            round,
            prev_entry: prev_entry.unwrap_or(self.log.last_id()),
            entries,
            leader_commit: self.commit_index,
            confirmed_since: peer
                .confirmed_timestamp
                .filter(|_| self.commit_index >= leader.noop_index),
        };
        self.send_now(cx, to, MemberMsg::AppendEntries(append));
    }

    /// Updates a member's progress by its answer to entries or a snapshot.
    pub(crate) fn on_append_entries_reply(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        reply: AppendEntriesReply,
    ) {
        if reply.term > self.hard_state.term {
            return self.become_follower(cx, reply.term, None);
        }
        let last_index = self.log.last_id().index;
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard_state.term {
            return;
        }
        peer.answered_round = peer.answered_round.max(reply.round);
        peer.record_timestamp(reply.sent_at, cx.now, leader.confirmed_round.1);
        let match_index = reply.match_hint.min(last_index);
        // A member whose write lasts answers rounds before it has synced what it was sent. That
        // must neither have it sent again nor count as a sign that the member keeps up.
        if reply.log_matches && match_index <= peer.match_index && peer.has_unconfirmed() {
            return self.confirm_answered_rounds(cx);
        }
        peer.last_heard_at = Some(cx.now);
        peer.unanswered_appends = 0;
        if reply.log_matches {
            peer.match_index = peer.match_index.max(match_index);
            peer.next_index = peer.match_index + 1;
            peer.append_in_flight_until = None;
            peer.snapshot_in_flight_until = None;
        } else if !peer.has_snapshot_in_flight(cx.now) {
            peer.next_index = (reply.match_hint + 1).clamp(peer.match_index + 1, last_index + 1);
            peer.append_in_flight_until = None;
        }
        let limit = cx.settings.raft.election_min;
        peer.update_catch_up(self.commit_index, cx.now, limit);
        let behind = peer.next_index <= last_index && !peer.has_snapshot_in_flight(cx.now);
        self.confirm_answered_rounds(cx);
        self.advance_commit_index(cx);
        self.propose_membership_change(cx);
        if behind {
            self.send_append_entries(cx, &from);
        }
    }

    /// Confirms the rounds that a quorum has answered, and answers the reads that wait for them.
    fn confirm_answered_rounds(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        let quorum_round = self.membership.quorum_value(|voter| {
            let own = *voter == self.me;
            let theirs = || {
                leader
                    .peers
                    .get(voter)
                    .map_or(0, |peer| peer.answered_round)
            };
            if own { leader.newest_round } else { theirs() }
        });
        if !leader.confirm_rounds(quorum_round.unwrap_or(0)) {
            return;
        }
        if self.commit_index >= leader.noop_index {
            let version = self.replicated_state.config().version;
            let at = leader.confirmed_round.1;
            cx.raise(Event::Committed(Committed::ConfigConfirmed { version, at }));
        }
        self.answer_confirmed_reads(cx);
    }

    /// Appends an entry to the leader's own log, and returns its index; `None` if this member does
    /// not lead.
    pub(crate) fn append_as_leader(&mut self, data: EntryData) -> Option<LogIndex> {
        if !self.is_leader() {
            return None;
        }
        let id = EntryId {
            term: self.hard_state.term,
            index: self.log.last_id().index + 1,
        };
        let changes_members = matches!(data, EntryData::Membership(_));
        let entry = Entry { id, data };
        self.write_batcher.append_entry(entry.clone());
        self.log.truncate_and_append(entry);
        if changes_members {
            self.refresh_membership();
        }
        Some(id.index)
    }

    /// Adds and drops peers so that they are the other members of the newest membership.
    pub(crate) fn refresh_peers(&mut self) {
        let last_index = self.log.last_id().index;
        let RaftRole::Leader(leader) = &mut self.role else {
            return;
        };
        let membership = &self.membership;
        leader.peers.retain(|member, _| membership.contains(member));
        for member in membership.members().filter(|member| **member != self.me) {
            leader
                .peers
                .entry(member.clone())
                .or_insert_with(|| PeerProgress::new(last_index));
        }
    }

    /// Commits what a quorum has synced, if the last such entry is of the own term; earlier terms
    /// are committed only along with it.
    pub(crate) fn advance_commit_index(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &self.role else {
            return;
        };
        let synced_index = self.write_batcher.synced_index();
        let quorum_index = self.membership.quorum_value(|voter| {
            let own = *voter == self.me;
            let theirs = || leader.peers.get(voter).map_or(0, |peer| peer.match_index);
            if own { synced_index } else { theirs() }
        });
        let quorum_index = quorum_index.unwrap_or(0);
        if quorum_index > self.commit_index
            && self.log.term_at(quorum_index) == Some(self.hard_state.term)
        {
            self.commit_up_to(cx, quorum_index);
            self.broadcast_new_round(cx);
        }
    }
}
