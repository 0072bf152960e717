//! Messages between Raft members, and calls forwarded to the leader.

use std::sync::Arc;
use std::time::Duration;

use model::{CallId, HostId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::call::{Call, Reply};
use crate::raft::entry::{Entry, EntryId, LogIndex, RaftGroupId, RaftTerm, Snapshot, StoreId};

/// Number of a round in which a leader confirms with a quorum that it still leads; starts at 1 in
/// each term.
pub type ConfirmationRound = u64;

/// A message of the Raft group or to its leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RaftMsg {
    /// From one member of a group to another.
    Member(Envelope),
    /// A call that a host forwards to the leader.
    ForwardCall {
        /// Identifies the call in the reply.
        id: ForwardId,
        /// The call to carry out.
        call: Call,
    },
    /// The reply to a forwarded call.
    ForwardReply {
        /// Identifies the call that is answered.
        id: ForwardId,
        /// The outcome, or where to send the call instead.
        reply: ForwardReply,
    },
}

/// Identifies a forwarded call, also across restarts of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ForwardId {
    /// Incarnation of the host that forwarded the call.
    pub incarnation: Incarnation,
    /// Number of the call on that host.
    pub call: CallId,
}

/// The reply to a forwarded call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The leader's reply.
    Reply(Box<Reply>),
    /// The receiver does not lead, or no longer; names the leader if it knows one.
    NotLeader(Option<HostId>),
}

/// A message between members, with the fields by which strays are recognised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The Raft group that the message belongs to.
    pub raft_group: RaftGroupId,
    /// The sender's cluster, or zero if it belongs to none yet.
    pub cluster: StoreId,
    /// The sender's store.
    pub from_store: StoreId,
    /// The store that the message is for, or zero where the sender can't know it.
    pub to_store: StoreId,
    /// The message itself.
    pub msg: MemberMsg,
}

/// A message between members of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMsg {
    /// Requests a vote or a pre-vote.
    RequestVote {
        /// The term that the candidate wants to lead.
        term: RaftTerm,
        /// The last entry of the candidate's log.
        last_entry: EntryId,
        /// Whether it only asks if the vote would be granted, which changes no state of the voter.
        pre_vote: bool,
    },
    /// Answers a request for a vote or pre-vote.
    RequestVoteReply {
        /// The requested term if granted, else the voter's own.
        term: RaftTerm,
        /// Whether the vote or pre-vote is granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre_vote: bool,
    },
    /// Replicates entries; a heartbeat where it has none.
    AppendEntries(AppendEntries),
    /// Replaces the state of a member that is too far behind for entries.
    InstallSnapshot {
        /// The leader's term.
        term: RaftTerm,
        /// The newest confirmation round of the leader.
        round: ConfirmationRound,
        /// The leader's newest snapshot.
        snapshot: Arc<Snapshot>,
    },
    /// Answers `AppendEntries` or `InstallSnapshot`.
    AppendEntriesReply(AppendEntriesReply),
    /// Asks for the receiver's store and cluster, and shows the sender's; sent by a member, or by a
    /// store that belongs to no cluster.
    Discover,
    /// Answers `Discover`; the envelope holds the store and the cluster.
    DiscoverReply {
        /// The leader, if one is known.
        leader: Option<HostId>,
    },
}

/// Entries for a member's log, with the leader's commit index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: RaftTerm,
    /// The newest confirmation round of the leader.
    pub round: ConfirmationRound,
    /// The entry before the first one sent, on which the logs must agree.
    pub prev_entry: EntryId,
    /// Consecutive entries after `prev_entry`; empty in a heartbeat.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub leader_commit: LogIndex,
    /// The newest timestamp of the receiver after which a quorum confirmed the leader, so that the
    /// state at `leader_commit` was current then. `None` until the leader has committed an entry of
    /// its term.
    pub confirmed_since: Option<LocalTimestamp>,
}

/// The answer to `AppendEntries` or `InstallSnapshot`, sent after the entries are synced.
///
/// A heartbeat that comes during a write is also answered at once, with a `match_hint` that leaves
/// out what is not synced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendEntriesReply {
    /// The member's term.
    pub term: RaftTerm,
    /// The round that is answered; zero if the leader's term is stale.
    pub round: ConfirmationRound,
    /// Whether the log agrees with the leader's up to `match_hint`.
    pub log_matches: bool,
    /// Match index if `log_matches`, else the index after which the leader tries next.
    pub match_hint: LogIndex,
    /// When the answer was made, by the member's clock.
    pub sent_at: LocalTimestamp,
}

/// A moment on the clock of one run of one host, which only that run can interpret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalTimestamp {
    /// Incarnation of the host whose clock it is.
    pub incarnation: Incarnation,
    /// Time since the Raft member of that run was created.
    pub since_start: Duration,
}
