//! The messages of consensus.

use std::sync::Arc;
use std::time::Duration;

use model::{CallId, HostId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::call::{Call, Reply};
use crate::raft::entry::{Entry, GroupId, LogIndex, Place, RaftTerm, Snapshot, StoreId};

/// Numbers the rounds in which a leader asks whether it still leads.
pub type Round = u64;

/// A message of this area.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RaftMsg {
    /// From one member of a group to another.
    Member(Envelope),
    /// A call that a host passes on to the leader.
    Forward {
        /// Identifies the answer.
        id: ForwardId,
        /// The call.
        call: Call,
    },
    /// The answer to a call that was passed on.
    Forwarded {
        /// The call.
        id: ForwardId,
        /// The answer.
        answer: Forwarded,
    },
}

/// Identifies a call that was passed on, also across restarts of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ForwardId {
    /// The start of the host that took the call.
    pub incarnation: Incarnation,
    /// The call.
    pub call: CallId,
}

/// The answer to a call that was passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Forwarded {
    /// The leader's reply.
    Reply(Box<Reply>),
    /// The receiver does not lead, or no longer; perhaps another host does.
    NotLeader(Option<HostId>),
}

/// What every message between members carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The consensus group.
    pub group: GroupId,
    /// The sender's cluster, or zero if it belongs to none yet.
    pub cluster: StoreId,
    /// The sender's store.
    pub from: StoreId,
    /// The store that is meant, or zero where the sender can't know it.
    pub to: StoreId,
    /// The message.
    pub msg: MemberMsg,
}

/// A message between members of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMsg {
    /// Asks for a vote.
    Vote {
        /// The term to lead.
        term: RaftTerm,
        /// The end of the candidate's log.
        last: Place,
        /// Only asks whether the vote would be given.
        pre: bool,
    },
    /// Answers whether the vote is given.
    Voted {
        /// The term that was asked for if granted, else the voter's own.
        term: RaftTerm,
        /// Whether the vote is given.
        granted: bool,
        /// Whether it was only a question.
        pre: bool,
    },
    /// Appends entries, or only shows that the leader is there.
    Append(Append),
    /// Replaces the state of a member that is too far behind.
    Install {
        /// The leader's term.
        term: RaftTerm,
        /// The round.
        round: Round,
        /// The state.
        snapshot: Arc<Snapshot>,
    },
    /// Answers an append or install.
    Appended(Appended),
    /// A member of no cluster says that it is there, or a leader looks for it.
    Hello,
    /// Answers a hello.
    Welcome {
        /// The leader, if one is known.
        leader: Option<HostId>,
    },
}

/// Entries for a member's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// The leader's term.
    pub term: RaftTerm,
    /// The round.
    pub round: Round,
    /// The entry before the first one sent.
    pub prev: Place,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The last committed entry.
    pub commit: LogIndex,
    /// The newest stamp of the receiver after which a quorum confirmed `commit`.
    pub confirmed: Option<Stamp>,
}

/// The answer to entries or a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Appended {
    /// The member's term.
    pub term: RaftTerm,
    /// The round that is answered.
    pub round: Round,
    /// Whether the log now agrees with the leader's up to `last`.
    pub matches: bool,
    /// The end of what agrees, else a place to try next.
    pub last: LogIndex,
    /// When this was sent, by the member's clock.
    pub stamp: Stamp,
}

/// A moment on the clock of one run of one host; only that run can read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The run.
    pub incarnation: Incarnation,
    /// The time since a moment that only the run knows.
    pub since: Duration,
}
