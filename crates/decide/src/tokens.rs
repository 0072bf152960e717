//! Rate limits in the control part: asks the leader for tokens, and grants them on the leader.

use std::collections::BTreeMap;
use std::time::Instant;

use model::clock::holder_lease;
use model::{HostId, PartAddr};

use crate::Cx;
use crate::grant::leader_finder::LeaderFinder;
use crate::grant::{Allocator, GrantMsg, ShareIndex, TokenHolder};
use crate::raft::{EntryData, Raft};

/// The rate limits of one host's control part.
#[derive(Debug)]
pub(crate) struct TokenControl {
    /// This host's own tokens.
    pub(crate) holder: TokenHolder,
    /// The tokens of all workspaces, which this host grants while it is the leader.
    pub(crate) allocator: Allocator,
    leader_finder: LeaderFinder,
}

impl TokenControl {
    /// Returns the state of a host that has just started.
    pub(crate) fn new(voters: Vec<HostId>) -> Self {
        Self {
            holder: TokenHolder::default(),
            allocator: Allocator::default(),
            leader_finder: LeaderFinder::new(voters),
        }
    }

    /// Replaces the voters that are asked for the leader.
    pub(crate) fn set_voters(&mut self, voters: Vec<HostId>) {
        self.leader_finder.set_voters(voters);
    }

    /// Returns when `on_tick` has something to do next.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let holder = self.holder.wake_at();
        holder.into_iter().chain(self.leader_finder.wake_at()).min()
    }

    /// Stops granting if this host is not the leader any more, and does what is due for its tokens.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, raft: Option<&Raft>) {
        if raft.is_some_and(|raft| !raft.is_leader()) {
            self.allocator.on_deposed();
        }
        if cx.me.is_entry_host {
            self.leader_finder.on_tick(cx, &self.holder);
        }
        self.holder.on_tick(cx);
    }

    /// Applies the committed share indexes.
    pub(crate) fn on_share_indexes(
        &mut self,
        cx: &Cx<'_>,
        share_indexes: &BTreeMap<HostId, ShareIndex>,
    ) {
        let share_indexes = share_indexes
            .iter()
            .map(|(host, share_index)| (host.clone(), *share_index));
        self.allocator
            .on_share_indexes(cx, &share_indexes.collect());
    }

    /// Applies a quorum's confirmation, which extends the time that this leader may grant tokens.
    pub(crate) fn on_confirmed(&mut self, cx: &mut Cx<'_>, raft: Option<&Raft>, at: Instant) {
        let Some(raft) = raft.filter(|raft| raft.is_leader()) else {
            return;
        };
        let until = at + holder_lease(cx.settings.raft.election_min);
        self.allocator.on_leader(cx, raft.term(), until);
    }

    /// Handles a message about rate limits from another host.
    pub(crate) fn on_msg(
        &mut self,
        cx: &mut Cx<'_>,
        raft: Option<&mut Raft>,
        from: PartAddr,
        msg: GrantMsg,
    ) {
        match msg {
            GrantMsg::Grant(grant) => self.holder.on_grant(cx, &grant),
            GrantMsg::BorrowReserve(tokens) => self.holder.on_borrow(cx, &from, tokens),
            GrantMsg::LendReserve(tokens) => self.holder.on_lent(cx, &tokens),
            GrantMsg::Leader(Some((term, leader))) => self.holder.set_leader(cx, term, leader),
            GrantMsg::Leader(None) => {}
            GrantMsg::WhoLeads => {
                let leader = raft.and_then(|raft| Some((raft.term(), raft.leader()?)));
                cx.send(from, GrantMsg::Leader(leader));
            }
            GrantMsg::Demand(demand) => {
                let Some(raft) = raft.filter(|raft| raft.is_leader()) else {
                    return;
                };
                if !self.allocator.has_share_index(&from.host) {
                    raft.propose(cx, EntryData::AssignShareIndex(from.host.clone()));
                }
                self.allocator.on_demand(cx, &from, &demand);
            }
        }
    }
}
