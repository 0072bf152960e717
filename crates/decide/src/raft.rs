//! Consensus over the control state: one Raft member as a reducer over ticks, messages and synced
//! writes.
//!
//! Each control host is a member, identified by its name and its store: the data folder, whose
//! random id changes when the disk is lost. The cluster is bootstrapped once, by the control hosts
//! of the settings (the founders), and has the id of the store that did it. Voters elect a leader,
//! and learners only receive the log. The leader proposes entries, and answers calls that any host
//! forwards. It numbers its heartbeats as confirmation rounds: a round that a quorum has answered
//! shows that it still led when the round was started, so that what it had committed was current.

pub(crate) mod append;
pub(crate) mod bootstrap;
pub(crate) mod election;
pub(crate) mod entry;
pub(crate) mod leader;
pub(crate) mod leader_call;
pub(crate) mod log;
pub(crate) mod log_event;
pub(crate) mod member;
pub(crate) mod membership_change;
pub(crate) mod msg;
pub(crate) mod settings;
pub(crate) mod write_batcher;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use model::{Config, HostId};

use crate::raft::election::CandidateState;
pub use crate::raft::entry::{
    CONFIG_RAFT_GROUP, Entry, EntryData, EntryId, HardState, LogIndex, OutOfOrderWrite, Persist,
    Persisted, PersistentState, PromotionTicket, RaftGroupId, RaftTerm, Snapshot, StoreId, WriteId,
};
use crate::raft::leader::LeaderState;
use crate::raft::log::RaftLog;
pub use crate::raft::log_event::RaftLogEvent;
pub use crate::raft::member::{Member, Membership};
pub use crate::raft::msg::{
    AppendEntries, AppendEntriesReply, ConfirmationRound, Envelope, ForwardId, ForwardReply,
    LocalTimestamp, MemberMsg, RaftMsg,
};
pub use crate::raft::settings::{BadRaftSetting, RaftSettings};
use crate::raft::write_batcher::WriteBatcher;
use crate::replicated_state::ReplicatedState;
use crate::view::RaftStatus;
use crate::{Cx, Effect};

/// One member of the Raft group that replicates the control state.
#[derive(Debug)]
pub struct Raft {
    /// This member: its host and its store.
    pub(crate) me: Member,
    pub(crate) raft_group: RaftGroupId,
    /// Hosts that bootstrap the cluster when all their stores are new.
    pub(crate) founders: Vec<HostId>,
    /// Start of this run; a [`LocalTimestamp`] counts from it.
    pub(crate) created_at: Instant,
    /// False until the first tick, which draws the first election timeout and raises the recovered
    /// configuration and share indexes as committed.
    pub(crate) first_tick_done: bool,
    /// Term and vote, possibly not synced yet.
    pub(crate) hard_state: HardState,
    pub(crate) log: RaftLog,
    /// `None` as long as the store belongs to no cluster.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Newest membership in the log, which counts before it is committed.
    pub(crate) membership: Membership,
    /// Index of the entry that made `membership`.
    pub(crate) membership_index: LogIndex,
    /// State after the entry at `last_applied`.
    pub(crate) replicated_state: ReplicatedState,
    pub(crate) commit_index: LogIndex,
    pub(crate) last_applied: LogIndex,
    pub(crate) role: RaftRole,
    /// When a follower or candidate starts the next pre-vote, unless it hears a leader before.
    pub(crate) election_timeout_at: Instant,
    /// When the last message of the current leader came.
    pub(crate) leader_heard_at: Option<Instant>,
    pub(crate) write_batcher: WriteBatcher,
    /// The store that each host last showed in a `Discover` or its reply, and when; only stores of
    /// this cluster or of none. The leader adds learners from these.
    pub(crate) seen_stores: BTreeMap<HostId, (StoreId, Instant)>,
    /// Founders' stores that answered this store's `Discover` as belonging to no cluster.
    pub(crate) stores_without_cluster: BTreeMap<HostId, StoreId>,
    /// When a store without a cluster sends `Discover` again.
    pub(crate) next_discover_at: Instant,
}

/// Role of a member in its term.
#[derive(Debug)]
pub(crate) enum RaftRole {
    /// Follows the leader, or waits for one where it is `None`.
    Follower(Option<HostId>),
    /// Collects pre-votes or votes.
    Candidate(CandidateState),
    /// Replicates entries to the other members and answers forwarded calls.
    Leader(Box<LeaderState>),
}

impl Raft {
    /// Returns a member that has just started from what its store holds.
    ///
    /// `founders` are the hosts that bootstrap the cluster if all their stores are new.
    pub fn new(
        me: &HostId,
        founders: Vec<HostId>,
        recovered: PersistentState,
        now: Instant,
    ) -> Self {
        let PersistentState {
            store,
            hard_state,
            snapshot,
            entries,
        } = recovered;
        let snapshot = snapshot.map(Arc::new);
        let base_id = snapshot.as_ref().map(|snapshot| snapshot.last_included);
        let base_id = base_id.unwrap_or_default();
        let log = RaftLog::new(base_id, entries);
        let write_batcher =
            WriteBatcher::new(CONFIG_RAFT_GROUP, hard_state.clone(), log.last_id().index);
        let replicated_state = snapshot
            .as_ref()
            .map(|snapshot| snapshot.replicated_state.clone());
        let mut raft = Self {
            me: Member {
                host: me.clone(),
                store,
            },
            raft_group: CONFIG_RAFT_GROUP,
            founders,
            created_at: now,
            first_tick_done: false,
            hard_state,
            log,
            snapshot,
            membership: Membership::default(),
            membership_index: 0,
            replicated_state: replicated_state.unwrap_or_default(),
            commit_index: base_id.index,
            last_applied: base_id.index,
            role: RaftRole::Follower(None),
            election_timeout_at: now,
            leader_heard_at: None,
            write_batcher,
            seen_stores: BTreeMap::new(),
            stores_without_cluster: BTreeMap::new(),
            next_discover_at: now,
        };
        raft.refresh_membership();
        raft
    }

    /// Returns the moment at which the member needs an [`Event::Tick`].
    pub fn wake_at(&self) -> Option<Instant> {
        if !self.first_tick_done {
            return Some(self.created_at);
        }
        match &self.role {
            RaftRole::Leader(leader) => Some(leader.next_heartbeat_at),
            _ if self.has_no_cluster() => Some(self.next_discover_at),
            _ => Some(self.election_timeout_at),
        }
    }

    /// Sends due heartbeats as a leader, looks for a cluster without one, and otherwise starts a
    /// pre-vote after the election timeout.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if !self.first_tick_done {
            self.on_first_tick(cx);
        }
        match &self.role {
            RaftRole::Leader(leader) if cx.now >= leader.next_heartbeat_at => {
                self.heartbeat_or_step_down(cx)
            }
            RaftRole::Leader(_) => {}
            _ if self.has_no_cluster() => self.discover_founders(cx),
            _ if cx.now >= self.election_timeout_at => self.start_pre_vote(cx),
            _ => {}
        }
        self.flush(cx);
    }

    fn on_first_tick(&mut self, cx: &mut Cx<'_>) {
        self.first_tick_done = true;
        self.reset_election_timeout(cx);
        if !self.has_no_cluster() {
            self.raise_state(cx);
        }
    }

    /// Handles a message from a member, or a call that a host forwards.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: HostId, msg: RaftMsg) {
        match msg {
            RaftMsg::Member(envelope) => self.on_member_msg(cx, from, envelope),
            RaftMsg::ForwardCall { id, call } => self.on_forward_call(cx, from, id, call),
            RaftMsg::ForwardReply { .. } => {}
        }
        self.flush(cx);
    }

    /// Handles a message from another store, unless it is meant for another group, store or
    /// cluster.
    fn on_member_msg(&mut self, cx: &mut Cx<'_>, host: HostId, envelope: Envelope) {
        if envelope.raft_group != self.raft_group {
            return;
        }
        match envelope.msg {
            MemberMsg::Discover => {
                return self.on_discover(cx, host, envelope.cluster, envelope.from_store);
            }
            MemberMsg::DiscoverReply { leader } if envelope.to_store == self.me.store => {
                return self.on_discover_reply(
                    cx,
                    host,
                    envelope.cluster,
                    envelope.from_store,
                    leader,
                );
            }
            _ => {}
        }
        let cluster = self.membership.cluster;
        let foreign = cluster != 0 && envelope.cluster != 0 && cluster != envelope.cluster;
        if envelope.to_store != self.me.store || foreign {
            return;
        }
        let store = envelope.from_store;
        let from = Member { host, store };
        match envelope.msg {
            MemberMsg::RequestVote {
                term,
                last_entry,
                pre_vote,
            } => self.on_request_vote(cx, from, term, last_entry, pre_vote),
            MemberMsg::RequestVoteReply {
                term,
                granted,
                pre_vote,
            } => self.on_request_vote_reply(cx, from, term, granted, pre_vote),
            MemberMsg::AppendEntries(append) => self.on_append_entries(cx, from, append),
            MemberMsg::InstallSnapshot {
                term,
                round,
                snapshot,
            } => self.on_install_snapshot(cx, from, term, round, snapshot),
            MemberMsg::AppendEntriesReply(reply) => self.on_append_entries_reply(cx, from, reply),
            MemberMsg::Discover | MemberMsg::DiscoverReply { .. } => {}
        }
    }

    /// Handles a synced write: this member's vote and entries in it now count for quorums.
    pub fn on_persisted(&mut self, cx: &mut Cx<'_>, persisted: Persisted) {
        if persisted.raft_group == self.raft_group
            && self.write_batcher.on_write_synced(persisted.id)
        {
            self.count_own_vote(cx);
            self.advance_commit_index(cx);
        }
        self.flush(cx);
    }

    /// Appends and replicates an entry, and returns its index; `None` if this member does not lead.
    pub fn propose(&mut self, cx: &mut Cx<'_>, data: EntryData) -> Option<LogIndex> {
        let index = self.append_as_leader(data)?;
        self.replicate(cx);
        self.advance_commit_index(cx);
        self.flush(cx);
        Some(index)
    }

    /// Returns whether this member leads; it may have been replaced without knowing it yet.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader(_))
    }

    /// Returns whether this member leads and has applied an entry of its own term, so that it knows
    /// all that was committed in earlier terms.
    pub fn is_caught_up_leader(&self) -> bool {
        matches!(&self.role, RaftRole::Leader(leader) if self.last_applied >= leader.noop_index)
    }

    /// Returns the index of the last entry that this member has applied.
    pub fn last_applied(&self) -> LogIndex {
        self.last_applied
    }

    /// Returns the highest consensus term that this member knows.
    pub fn term(&self) -> RaftTerm {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<HostId> {
        match &self.role {
            RaftRole::Leader(_) => Some(self.me.host.clone()),
            RaftRole::Follower(leader) => leader.clone(),
            RaftRole::Candidate(_) => None,
        }
    }

    /// Returns the newest configuration that this member knows to be committed.
    pub fn config(&self) -> &Arc<Config> {
        self.replicated_state.config()
    }

    /// Returns the newest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the Raft part of the status that operators see.
    pub fn status(&self) -> RaftStatus {
        let ids = |members: &std::collections::BTreeSet<Member>| {
            // The store id distinguishes a repaired member from the one whose disk was lost.
            let ids = members
                .iter()
                .map(|member| format!("{}/{:016x}", member.host, member.store));
            ids.collect::<Vec<_>>()
        };
        RaftStatus {
            term: self.hard_state.term,
            leader: self.leader().map(|host| host.to_string()),
            voters: ids(&self.membership.voters),
            learners: ids(&self.membership.learners),
            commit: self.commit_index,
            last: self.log.last_id().index,
        }
    }

    /// Returns whether the store belongs to no cluster yet.
    pub(crate) fn has_no_cluster(&self) -> bool {
        self.snapshot.is_none()
    }

    /// Emits the next write to disk, and sends the messages whose writes have been synced.
    pub(crate) fn flush(&mut self, cx: &mut Cx<'_>) {
        if let Some(write) = self.write_batcher.next_write() {
            cx.emit(Effect::Persist(write));
        }
        while let Some((to, envelope)) = self.write_batcher.pop_sendable() {
            cx.send_control(&to, RaftMsg::Member(envelope));
        }
    }

    /// Sends a message that relies on nothing that is yet to be written.
    pub(crate) fn send_now(&self, cx: &mut Cx<'_>, to: &Member, msg: MemberMsg) {
        let envelope = self.envelope(to.store, msg);
        cx.send_control(&to.host, RaftMsg::Member(envelope));
    }

    /// Sends a message once all that it may rely on has been synced.
    pub(crate) fn send_after_write(&mut self, to: &Member, msg: MemberMsg) {
        let envelope = self.envelope(to.store, msg);
        self.write_batcher
            .hold_until_synced(to.host.clone(), envelope);
    }

    pub(crate) fn envelope(&self, to_store: StoreId, msg: MemberMsg) -> Envelope {
        Envelope {
            raft_group: self.raft_group,
            cluster: self.membership.cluster,
            from_store: self.me.store,
            to_store,
            msg,
        }
    }
}
