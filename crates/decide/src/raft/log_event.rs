//! Log events of consensus.

use std::fmt;

use log::Level;
use model::{CallId, ConfigVersion, HostId};

use crate::log_event::NumberedEvent;
use crate::raft::entry::{LogIndex, RaftTerm, StoreId};

/// Log events of consensus.
#[derive(Clone, Debug, PartialEq)]
pub enum RaftLogEvent {
    /// This host bootstrapped a cluster.
    Founded {
        /// Id of the cluster.
        cluster: StoreId,
        /// Number of its voters.
        voters: usize,
    },
    /// This host starts an election after a quorum of pre-votes.
    Candidate {
        /// The term that it wants to lead.
        term: RaftTerm,
    },
    /// This host became leader.
    Leading {
        /// The term that it leads.
        term: RaftTerm,
        /// Last index of its log when it was elected.
        last: LogIndex,
    },
    /// This host no longer leads.
    SteppedDown {
        /// The term that it led.
        term: RaftTerm,
        /// Why it stepped down.
        reason: &'static str,
    },
    /// This host follows a leader.
    Following {
        /// The leader's term.
        term: RaftTerm,
        /// Host of the leader.
        leader: HostId,
    },
    /// A configuration is committed.
    ConfigCommitted {
        /// Version of the configuration.
        version: ConfigVersion,
        /// Index of the log entry that made it.
        index: LogIndex,
    },
    /// The leader proposes a change of the membership.
    MembershipChange {
        /// `add-learner`, `promote` or `remove`.
        change: &'static str,
        /// Host of the member.
        host: HostId,
        /// Store of the member.
        store: StoreId,
    },
    /// The state was replaced by the leader's snapshot.
    Installed {
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
    },
    /// The applied part of the log was replaced by a snapshot.
    Compacted {
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
    },
    /// A call had no answer from a leader in time, and its outcome is unknown.
    CallUnconfirmed {
        /// Number of the call on this host.
        call: CallId,
    },
}

impl NumberedEvent for RaftLogEvent {
    fn number(&self) -> u16 {
        match self {
            Self::Founded { .. } => 400,
            Self::Candidate { .. } => 401,
            Self::Leading { .. } => 402,
            Self::SteppedDown { .. } => 403,
            Self::Following { .. } => 404,
            Self::ConfigCommitted { .. } => 405,
            Self::MembershipChange { .. } => 406,
            Self::Installed { .. } => 407,
            Self::Compacted { .. } => 408,
            Self::CallUnconfirmed { .. } => 409,
        }
    }

    fn level(&self) -> Level {
        match self {
            Self::SteppedDown { .. } | Self::CallUnconfirmed { .. } => Level::Warn,
            Self::Compacted { .. } => Level::Debug,
            _ => Level::Info,
        }
    }
}

impl fmt::Display for RaftLogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Founded { cluster, voters } => {
                write!(f, "founded cluster={cluster:016x} voters={voters}")
            }
            Self::Candidate { term } => write!(f, "candidate term={term}"),
            Self::Leading { term, last } => write!(f, "leading term={term} last={last}"),
            Self::SteppedDown { term, reason } => {
                write!(f, "stepped-down term={term} reason={reason}")
            }
            Self::Following { term, leader } => write!(f, "following term={term} leader={leader}"),
            Self::ConfigCommitted { version, index } => {
                write!(f, "config-committed version={version} index={index}")
            }
            Self::MembershipChange {
                change,
                host,
                store,
            } => write!(
                f,
                "membership-change change={change} host={host} store={store:016x}"
            ),
            Self::Installed { index } => write!(f, "installed index={index}"),
            Self::Compacted { index } => write!(f, "compacted index={index}"),
            Self::CallUnconfirmed { call } => write!(f, "call-unconfirmed call={call}"),
        }
    }
}
