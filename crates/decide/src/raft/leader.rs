//! What a leader knows of its members, and how it confirms that it still leads.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::raft::call::Waiting;
use crate::raft::entry::{Entry, EntryData, LogIndex, Place};
use crate::raft::member::Member;
use crate::raft::msg::{Append, Appended, MemberMsg, Round, Stamp};
use crate::raft::{Raft, Role};
use crate::replicated_state::Committed;
use crate::{Cx, Event};

/// How many heartbeats pass before a snapshot is sent again.
const INSTALL_HEARTBEATS: u32 = 20;

/// The state of a leader.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) peers: BTreeMap<Member, Peer>,
    pub(crate) heartbeat_at: Instant,
    /// When it was elected.
    pub(crate) since: Instant,
    /// Its first entry; once that is committed it knows all that was committed before.
    pub(crate) first: LogIndex,
    /// The newest round, and when those that aren't confirmed yet were started.
    pub(crate) round: Round,
    started: VecDeque<(Round, Instant)>,
    /// The newest round that a quorum has answered, and when it was started.
    pub(crate) confirmed: (Round, Instant),
    pub(crate) waiting: Vec<Waiting>,
}

/// What a leader knows of another member.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The end of the part of its log that agrees and is synced.
    pub(crate) matched: LogIndex,
    next: LogIndex,
    /// Until when an answer to entries is awaited.
    busy_until: Option<Instant>,
    /// Until when an answer to a snapshot is awaited.
    installing_until: Option<Instant>,
    /// The newest round that it has answered.
    round: Round,
    /// When its last answer came.
    pub(crate) heard_at: Option<Instant>,
    /// A stamp of it that no round has confirmed yet, and when it came.
    unconfirmed: Option<(Stamp, Instant)>,
    /// The newest stamp of it after which a quorum has confirmed a round.
    confirmed: Option<Stamp>,
}

impl Peer {
    fn new(last: LogIndex) -> Self {
        Self {
            matched: 0,
            next: last + 1,
            busy_until: None,
            installing_until: None,
            round: 0,
            heard_at: None,
            unconfirmed: None,
            confirmed: None,
        }
    }

    fn is_installing(&self, now: Instant) -> bool {
        self.installing_until.is_some_and(|until| now < until)
    }

    /// Takes the stamp of an answer, once the one before has been confirmed.
    fn take_stamp(&mut self, stamp: Stamp, now: Instant, confirmed_at: Instant) {
        if let Some((earlier, _)) = self.unconfirmed.take_if(|(_, at)| *at <= confirmed_at) {
            self.confirmed = Some(earlier);
        }
        self.unconfirmed.get_or_insert((stamp, now));
    }
}

impl Leader {
    /// Returns the state of a leader that was just elected.
    pub(crate) fn new(members: impl Iterator<Item = Member>, last: LogIndex, now: Instant) -> Self {
        Self {
            peers: members.map(|member| (member, Peer::new(last))).collect(),
            heartbeat_at: now,
            since: now,
            first: last + 1,
            round: 0,
            started: VecDeque::new(),
            confirmed: (0, now),
            waiting: Vec::new(),
        }
    }

    fn start_round(&mut self, now: Instant) {
        self.round += 1;
        self.started.push_back((self.round, now));
    }

    /// Takes note that a quorum has answered a round, and returns whether that is news.
    fn confirm(&mut self, round: Round) -> bool {
        let mut news = false;
        while let Some(started) = self.started.pop_front_if(|(first, _)| *first <= round) {
            self.confirmed = started;
            news = true;
        }
        news
    }
}

impl Raft {
    /// Shows the members that the leader is there, and steps down if no quorum answers.
    pub(crate) fn lead(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if cx.now > leader.confirmed.1 + cx.settings.raft.election_max {
            return self.step_down(cx, "no quorum");
        }
        self.expire_calls(cx);
        self.change_membership(cx);
        self.broadcast(cx);
    }

    /// Starts a round with every member.
    pub(crate) fn broadcast(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.heartbeat_at = cx.now + cx.settings.raft.heartbeat;
        leader.start_round(cx.now);
        self.replicate(cx);
        self.check_rounds(cx);
    }

    /// Sends each member what it lacks, and the number of the newest round.
    pub(crate) fn replicate(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members: Vec<Member> = leader.peers.keys().cloned().collect();
        for member in members {
            self.send_entries(cx, &member);
        }
    }

    fn send_entries(&mut self, cx: &mut Cx<'_>, to: &Member) {
        let settings = &cx.settings.raft;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(to) else {
            return;
        };
        let (term, round) = (self.hard.term, leader.round);
        let prev = self.log.term_at(peer.next - 1).map(|term| Place {
            term,
            index: peer.next - 1,
        });
        if prev.is_none() && !peer.is_installing(cx.now) {
            let Some(snapshot) = self.snapshot.clone() else {
                return;
            };
            peer.installing_until = Some(cx.now + settings.heartbeat * INSTALL_HEARTBEATS);
            let msg = MemberMsg::Install {
                term,
                round,
                snapshot,
            };
            return self.send_now(cx, to, msg);
        }
        let busy = peer.busy_until.is_some_and(|until| cx.now < until);
        let entries = match prev {
            Some(prev) if !busy => self.log.after(prev.index, settings.batch),
            _ => Vec::new(),
        };
        if !entries.is_empty() {
            peer.busy_until = Some(cx.now + settings.heartbeat);
        }
        let append = Append {
            term,
            round,
            prev: prev.unwrap_or(self.log.last()),
            entries,
            commit: self.commit,
            confirmed: peer.confirmed.filter(|_| self.commit >= leader.first),
        };
        self.send_now(cx, to, MemberMsg::Append(append));
    }

    /// Takes a member's answer to entries or a snapshot.
    pub(crate) fn on_appended(&mut self, cx: &mut Cx<'_>, from: Member, appended: Appended) {
        if appended.term > self.hard.term {
            return self.follow(cx, appended.term, None);
        }
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if appended.term < self.hard.term {
            return;
        }
        peer.round = peer.round.max(appended.round);
        peer.heard_at = Some(cx.now);
        peer.take_stamp(appended.stamp, cx.now, leader.confirmed.1);
        if appended.matches {
            peer.matched = peer.matched.max(appended.last.min(last));
            peer.next = peer.matched + 1;
            peer.busy_until = None;
            peer.installing_until = None;
        } else if !peer.is_installing(cx.now) {
            peer.next = (appended.last + 1).clamp(peer.matched + 1, last + 1);
            peer.busy_until = None;
        }
        let behind = peer.next <= last && !peer.is_installing(cx.now);
        self.check_rounds(cx);
        self.advance_commit(cx);
        self.change_membership(cx);
        if behind {
            self.send_entries(cx, &from);
        }
    }

    /// Finds the newest round that a quorum has answered, and serves what waits for it.
    fn check_rounds(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let answered = self.membership.reached(|voter| {
            let own = *voter == self.me;
            let theirs = || leader.peers.get(voter).map_or(0, |peer| peer.round);
            if own { leader.round } else { theirs() }
        });
        if !leader.confirm(answered.unwrap_or(0)) {
            return;
        }
        if self.commit >= leader.first {
            let version = self.replicated_state.config().version;
            let at = leader.confirmed.1;
            cx.raise(Event::Committed(Committed::Confirmed { version, at }));
        }
        self.serve_reads(cx);
    }

    /// Appends an entry to the leader's own log, and returns its index.
    pub(crate) fn append_own(&mut self, data: EntryData) -> Option<LogIndex> {
        if !self.is_leader() {
            return None;
        }
        let place = Place {
            term: self.hard.term,
            index: self.log.last().index + 1,
        };
        let changes_members = matches!(data, EntryData::Membership(_));
        let entry = Entry { place, data };
        self.writer.entry(entry.clone());
        self.log.put(entry);
        if changes_members {
            self.refresh_membership();
        }
        Some(place.index)
    }

    /// Makes the leader's peers the members of the newest membership.
    pub(crate) fn refresh_peers(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let membership = &self.membership;
        leader.peers.retain(|member, _| membership.contains(member));
        for member in membership.members().filter(|member| **member != self.me) {
            leader
                .peers
                .entry(member.clone())
                .or_insert_with(|| Peer::new(last));
        }
    }

    /// Commits what a quorum has synced.
    pub(crate) fn advance_commit(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let stored = self.writer.stored();
        let reached = self.membership.reached(|voter| {
            let own = *voter == self.me;
            let theirs = || leader.peers.get(voter).map_or(0, |peer| peer.matched);
            if own { stored } else { theirs() }
        });
        let reached = reached.unwrap_or(0);
        if reached > self.commit && self.log.term_at(reached) == Some(self.hard.term) {
            self.commit_to(cx, reached);
            self.broadcast(cx);
        }
    }
}
