//! The control part's side of rates: asks for tokens, and grants them where this host leads.

use std::collections::BTreeMap;
use std::time::Instant;

use model::clock::holder_lease;
use model::{HostId, PartAddr};

use crate::Cx;
use crate::grant::leader::LeaderFinder;
use crate::grant::{Allocator, GrantMsg, Holder, ShareIndex};
use crate::raft::{EntryData, Raft};

/// The rates of one host's control part.
#[derive(Debug)]
pub(crate) struct Tokens {
    /// What this host holds.
    pub(crate) holder: Holder,
    /// What it grants while it leads.
    pub(crate) allocator: Allocator,
    finder: LeaderFinder,
}

impl Tokens {
    /// Returns the state of a host that has just started.
    pub(crate) fn new(voters: Vec<HostId>) -> Self {
        Self {
            holder: Holder::default(),
            allocator: Allocator::default(),
            finder: LeaderFinder::new(voters),
        }
    }

    /// Replaces the hosts that may know who leads.
    pub(crate) fn set_voters(&mut self, voters: Vec<HostId>) {
        self.finder.set_voters(voters);
    }

    /// Returns the moment at which something is due.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let holder = self.holder.wake_at();
        holder.into_iter().chain(self.finder.wake_at()).min()
    }

    /// Does what is due.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, raft: Option<&Raft>) {
        if raft.is_some_and(|raft| !raft.is_leader()) {
            self.allocator.on_deposed();
        }
        if cx.me.entry {
            self.finder.on_tick(cx, &self.holder);
        }
        self.holder.on_tick(cx);
    }

    /// Takes the committed share indexes.
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

    /// Takes a quorum's confirmation, by which a leader knows how long it leads at least.
    pub(crate) fn on_confirmed(&mut self, cx: &mut Cx<'_>, raft: Option<&Raft>, at: Instant) {
        let Some(raft) = raft.filter(|raft| raft.is_leader()) else {
            return;
        };
        let until = at + holder_lease(cx.settings.raft.election_min);
        self.allocator.on_leader(cx, raft.term(), until);
    }

    /// Takes a message.
    pub(crate) fn on_msg(
        &mut self,
        cx: &mut Cx<'_>,
        raft: Option<&mut Raft>,
        from: PartAddr,
        msg: GrantMsg,
    ) {
        match msg {
            GrantMsg::Grant(grant) => self.holder.on_grant(cx, &grant),
            GrantMsg::Borrow(lot) => self.holder.on_borrow(cx, &from, lot),
            GrantMsg::Lent(lot) => self.holder.on_lent(cx, &lot),
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
