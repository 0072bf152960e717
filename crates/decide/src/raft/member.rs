//! The members of a Raft group, and quorums among its voters.

use std::collections::BTreeSet;

use model::HostId;
use serde::{Deserialize, Serialize};

use crate::raft::entry::StoreId;

/// A member of a Raft group: a host with one certain store.
///
/// A host whose disk was lost comes back with another store, and so as another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Host that runs the member.
    pub host: HostId,
    /// Id of the store that holds the member's log.
    pub store: StoreId,
}

/// The members of a Raft group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Identifies the cluster by the store that bootstrapped it; zero for none.
    pub cluster: StoreId,
    /// Members that vote and count for quorums.
    pub voters: BTreeSet<Member>,
    /// Members that only receive the log.
    pub learners: BTreeSet<Member>,
}

impl Membership {
    /// Returns whether a member is a voter.
    pub fn is_voter(&self, member: &Member) -> bool {
        self.voters.contains(member)
    }

    /// Returns whether a member is a voter or a learner.
    pub fn contains(&self, member: &Member) -> bool {
        self.is_voter(member) || self.learners.contains(member)
    }

    /// Returns the voters and the learners.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns whether more than half of the voters satisfy a condition.
    pub fn has_quorum(&self, holds: impl Fn(&Member) -> bool) -> bool {
        let count = self.voters.iter().filter(|member| holds(member)).count();
        count > self.voters.len() / 2
    }

    /// Returns the highest value that more than half of the voters have reached; `None` without
    /// voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&Member) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.voters.len() / 2).copied()
    }
}
