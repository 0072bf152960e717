//! Consensus over the control state: what one member knows, and how it takes events.

pub(crate) mod append;
pub(crate) mod call;
pub(crate) mod change;
pub(crate) mod entry;
pub(crate) mod found;
pub(crate) mod leader;
pub(crate) mod log;
pub(crate) mod log_event;
pub(crate) mod member;
pub(crate) mod msg;
pub(crate) mod settings;
pub(crate) mod vote;
pub(crate) mod write;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use model::{Config, HostId};

pub use crate::raft::entry::{
    CONFIG_GROUP, Entry, EntryData, GroupId, HardState, LogIndex, OutOfOrder, Persist, Persisted,
    Place, PromotionTicket, RaftTerm, Recovered, Snapshot, StoreId, WriteId,
};
use crate::raft::leader::Leader;
use crate::raft::log::Log;
pub use crate::raft::log_event::RaftLogEvent;
pub use crate::raft::member::{Member, Membership};
pub use crate::raft::msg::{
    Append, Appended, Envelope, ForwardId, Forwarded, MemberMsg, RaftMsg, Round, Stamp,
};
pub use crate::raft::settings::{BadRaftSetting, RaftSettings};
use crate::raft::vote::Votes;
use crate::raft::write::Writer;
use crate::replicated_state::{Committed, ReplicatedState};
use crate::view::RaftStatus;
use crate::{Cx, Effect, Event};

/// One member of a consensus group.
#[derive(Debug)]
pub struct Raft {
    pub(crate) me: Member,
    pub(crate) group: GroupId,
    pub(crate) founders: Vec<HostId>,
    /// The moment that stamps count from.
    pub(crate) born: Instant,
    pub(crate) started: bool,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    /// None as long as the store belongs to no cluster.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// The newest membership in the log, committed or not.
    pub(crate) membership: Membership,
    /// The entry that made the newest membership.
    pub(crate) membership_at: LogIndex,
    pub(crate) replicated_state: ReplicatedState,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) role: Role,
    pub(crate) election_at: Instant,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) writer: Writer,
    /// Stores that said hello, and when; those of no cluster or of this one.
    pub(crate) strangers: BTreeMap<HostId, (StoreId, Instant)>,
    /// Stores that belong to no cluster, by their answers to this store's hello.
    pub(crate) unfounded: BTreeMap<HostId, StoreId>,
    pub(crate) hello_at: Instant,
}

/// What a member does in its term.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows a leader, if one is known.
    Follower(Option<HostId>),
    /// Asks whether it would be elected, or stands for election.
    Candidate(Votes),
    /// Leads.
    Leader(Box<Leader>),
}

impl Raft {
    /// Returns a member that has just started.
    ///
    /// `founders` are the hosts that found the cluster if all their stores are new.
    pub fn new(me: &HostId, founders: Vec<HostId>, recovered: Recovered, now: Instant) -> Self {
        let Recovered {
            store,
            hard,
            snapshot,
            entries,
        } = recovered;
        let snapshot = snapshot.map(Arc::new);
        let base = snapshot.as_ref().map(|snapshot| snapshot.place);
        let base = base.unwrap_or_default();
        let log = Log::new(base, entries);
        let writer = Writer::new(CONFIG_GROUP, hard.clone(), log.last().index);
        let replicated_state = snapshot
            .as_ref()
            .map(|snapshot| snapshot.replicated_state.clone());
        let mut raft = Self {
            me: Member {
                host: me.clone(),
                store,
            },
            group: CONFIG_GROUP,
            founders,
            born: now,
            started: false,
            hard,
            log,
            snapshot,
            membership: Membership::default(),
            membership_at: 0,
            replicated_state: replicated_state.unwrap_or_default(),
            commit: base.index,
            applied: base.index,
            role: Role::Follower(None),
            election_at: now,
            heard_at: None,
            writer,
            strangers: BTreeMap::new(),
            unfounded: BTreeMap::new(),
            hello_at: now,
        };
        raft.refresh_membership();
        raft
    }

    /// Returns the moment at which it wants a tick.
    pub fn wake_at(&self) -> Option<Instant> {
        if !self.started {
            return Some(self.born);
        }
        match &self.role {
            Role::Leader(leader) => Some(leader.heartbeat_at),
            _ if self.is_blank() => Some(self.hello_at),
            _ => Some(self.election_at),
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if !self.started {
            self.start(cx);
        }
        match &self.role {
            Role::Leader(leader) if cx.now >= leader.heartbeat_at => self.lead(cx),
            Role::Leader(_) => {}
            _ if self.is_blank() => self.greet(cx),
            _ if cx.now >= self.election_at => self.ask_for_votes(cx),
            _ => {}
        }
        self.flush(cx);
    }

    fn start(&mut self, cx: &mut Cx<'_>) {
        self.started = true;
        self.reset_election(cx);
        if !self.is_blank() {
            let config = self.replicated_state.config().clone();
            cx.raise(Event::Committed(Committed::Config(config)));
            self.raise_share_indexes(cx);
        }
    }

    /// Takes a message from a host.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: HostId, msg: RaftMsg) {
        match msg {
            RaftMsg::Member(envelope) => self.on_envelope(cx, from, envelope),
            RaftMsg::Forward { id, call } => self.on_forward(cx, from, id, call),
            RaftMsg::Forwarded { .. } => {}
        }
        self.flush(cx);
    }

    fn on_envelope(&mut self, cx: &mut Cx<'_>, host: HostId, envelope: Envelope) {
        if envelope.group != self.group {
            return;
        }
        match envelope.msg {
            MemberMsg::Hello => return self.on_hello(cx, host, envelope.cluster, envelope.from),
            MemberMsg::Welcome { leader } if envelope.to == self.me.store => {
                return self.on_welcome(cx, host, envelope.cluster, envelope.from, leader);
            }
            _ => {}
        }
        let cluster = self.membership.cluster;
        let foreign = cluster != 0 && envelope.cluster != 0 && cluster != envelope.cluster;
        if envelope.to != self.me.store || foreign {
            return;
        }
        let store = envelope.from;
        let from = Member { host, store };
        match envelope.msg {
            MemberMsg::Vote { term, last, pre } => self.on_vote(cx, from, term, last, pre),
            MemberMsg::Voted { term, granted, pre } => self.on_voted(cx, from, term, granted, pre),
            MemberMsg::Append(append) => self.on_append(cx, from, append),
            MemberMsg::Install {
                term,
                round,
                snapshot,
            } => self.on_install(cx, from, term, round, snapshot),
            MemberMsg::Appended(appended) => self.on_appended(cx, from, appended),
            MemberMsg::Hello | MemberMsg::Welcome { .. } => {}
        }
    }

    /// Handles the report that a write is synced.
    pub fn on_persisted(&mut self, cx: &mut Cx<'_>, stored: Persisted) {
        if stored.group == self.group && self.writer.stored_write(stored.id) {
            self.count_own_vote(cx);
            self.advance_commit(cx);
        }
        self.flush(cx);
    }

    /// Offers an entry, if this member leads, and returns its index.
    pub fn propose(&mut self, cx: &mut Cx<'_>, data: EntryData) -> Option<LogIndex> {
        let index = self.append_own(data)?;
        self.replicate(cx);
        self.advance_commit(cx);
        self.flush(cx);
        Some(index)
    }

    /// Returns whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this member leads and knows all that was committed before.
    pub fn is_settled_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.applied >= leader.first)
    }

    /// Returns the consensus term.
    pub fn term(&self) -> RaftTerm {
        self.hard.term
    }

    /// Returns the leader, if it is known.
    pub fn leader(&self) -> Option<HostId> {
        match &self.role {
            Role::Leader(_) => Some(self.me.host.clone()),
            Role::Follower(leader) => leader.clone(),
            Role::Candidate(_) => None,
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

    /// Returns the state for operators.
    pub fn status(&self) -> RaftStatus {
        let names = |members: &std::collections::BTreeSet<Member>| {
            // The store tells a repaired member from the one whose disk was lost.
            let names = members
                .iter()
                .map(|member| format!("{}/{:016x}", member.host, member.store));
            names.collect::<Vec<_>>()
        };
        RaftStatus {
            term: self.hard.term,
            leader: self.leader().map(|host| host.to_string()),
            voters: names(&self.membership.voters),
            learners: names(&self.membership.learners),
            commit: self.commit,
            last: self.log.last().index,
        }
    }

    /// Returns whether the store belongs to no cluster yet.
    pub(crate) fn is_blank(&self) -> bool {
        self.snapshot.is_none()
    }

    /// Hands the next write and the messages that waited for the last one to the host.
    pub(crate) fn flush(&mut self, cx: &mut Cx<'_>) {
        if let Some(persist) = self.writer.next() {
            cx.emit(Effect::Persist(persist));
        }
        while let Some((to, envelope)) = self.writer.ready() {
            cx.send_control(&to, RaftMsg::Member(envelope));
        }
    }

    /// Sends a message that relies on nothing that is yet to be written.
    pub(crate) fn send_now(&self, cx: &mut Cx<'_>, to: &Member, msg: MemberMsg) {
        let envelope = self.envelope(to.store, msg);
        cx.send_control(&to.host, RaftMsg::Member(envelope));
    }

    /// Sends a message once all that it may rely on is written.
    pub(crate) fn send_after_write(&mut self, to: &Member, msg: MemberMsg) {
        let envelope = self.envelope(to.store, msg);
        self.writer.send_after(to.host.clone(), envelope);
    }

    pub(crate) fn envelope(&self, to: StoreId, msg: MemberMsg) -> Envelope {
        Envelope {
            group: self.group,
            cluster: self.membership.cluster,
            from: self.me.store,
            to,
            msg,
        }
    }
}
