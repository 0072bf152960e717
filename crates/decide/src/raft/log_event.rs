//! Log lines of consensus.

use std::fmt;

use log::Level;
use model::{CallId, ConfigVersion, HostId};

use crate::log_event::NumberedEvent;
use crate::raft::entry::{LogIndex, RaftTerm, StoreId};

/// Log lines of this area.
#[derive(Clone, Debug, PartialEq)]
pub enum RaftLogEvent {
    /// This host founded the cluster.
    Founded {
        /// The cluster.
        cluster: StoreId,
        /// How many voters it has.
        voters: usize,
    },
    /// This host stands for election.
    Candidate {
        /// The term that it wants to lead.
        term: RaftTerm,
    },
    /// This host leads.
    Leading {
        /// The term.
        term: RaftTerm,
        /// The end of its log when it was elected.
        last: LogIndex,
    },
    /// This host no longer leads.
    SteppedDown {
        /// The term that it led.
        term: RaftTerm,
        /// Why it steps down.
        reason: &'static str,
    },
    /// This host follows a leader.
    Following {
        /// The term.
        term: RaftTerm,
        /// The leader.
        leader: HostId,
    },
    /// A configuration is committed.
    ConfigCommitted {
        /// Its number.
        version: ConfigVersion,
        /// The log entry that made it.
        index: LogIndex,
    },
    /// A change of the membership is offered.
    MembershipChange {
        /// What changes.
        change: &'static str,
        /// The host.
        host: HostId,
        /// Its store.
        store: StoreId,
    },
    /// The state was replaced by the leader's.
    Installed {
        /// The last entry that it stands for.
        index: LogIndex,
    },
    /// The log was compacted.
    Compacted {
        /// The last entry that the snapshot stands for.
        index: LogIndex,
    },
    /// A call found no quorum in time, and its outcome is unknown.
    CallUnconfirmed {
        /// The call.
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
