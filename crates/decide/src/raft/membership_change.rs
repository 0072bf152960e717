//! Membership changes: the leader proposes them one member at a time, each once the previous one is
//! committed.

use std::time::Instant;

use model::HostId;

use crate::Cx;
use crate::raft::entry::EntryData;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::{Member, Membership};
use crate::raft::{Raft, RaftRole};

/// For how many heartbeat intervals after it was last seen a store may be added as a learner.
const SEEN_STORE_VALID_HEARTBEATS: u32 = 20;

/// Number of live voters below which the leader removes no lost member by itself.
const MIN_LIVE_VOTERS_TO_REMOVE_LOST: usize = 3;

/// A change of one member.
struct ProposedChange {
    /// The membership after the change.
    membership: Membership,
    /// What happens to the member, for the log event: `add-learner`, `promote` or `remove`.
    change: &'static str,
    member: Member,
}

impl Raft {
    /// Proposes the next change that is due, once the previous one is committed and this leader has
    /// committed an entry of its term.
    pub(crate) fn propose_membership_change(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Leader(leader) = &self.role else {
            return;
        };
        if self.commit_index < leader.noop_index || self.membership_index > self.commit_index {
            return;
        }
        let change = self
            .learner_promotion(cx)
            .or_else(|| self.replaced_store_removal(cx))
            .or_else(|| self.requested_removal())
            .or_else(|| self.lost_member_removal(cx))
            .or_else(|| self.learner_addition(cx));
        // The group would be stuck after a change that leaves no quorum of live voters.
        if let Some(change) = change
            && change
                .membership
                .has_quorum(|voter| self.is_live(cx, voter))
        {
            self.propose_change(cx, change);
        }
    }

    fn propose_change(&mut self, cx: &mut Cx<'_>, proposed: ProposedChange) {
        let ProposedChange {
            membership,
            change,
            member,
        } = proposed;
        let Member { host, store } = member;
        cx.log(RaftLogEvent::MembershipChange {
            change,
            host,
            store,
        });
        self.append_as_leader(EntryData::Membership(membership));
        self.replicate(cx);
        self.advance_commit_index(cx);
    }

    /// Returns the promotion of a live learner that has caught up, if one is due.
    ///
    /// With `auto_members` the number of voters stays odd, so that one side of a fleet that is
    /// split in two keeps a quorum; a lost voter is replaced before it is removed.
    fn learner_promotion(&self, cx: &Cx<'_>) -> Option<ProposedChange> {
        let settings = &cx.settings.raft;
        let wanted_voters = self.membership.members().count().min(settings.voters_max);
        let odd_voters = wanted_voters - usize::from(wanted_voters.is_multiple_of(2));
        let at_target = self.membership.voters.len() >= odd_voters;
        let enough_voters = settings.auto_members && at_target && self.lost_member(cx).is_none();
        // A new store of a voter's host replaces the voter at once: until then the group could not
        // bear the loss of another disk.
        let replaces = |learner: &Member| {
            let mut voters = self.membership.voters.iter();
            voters.any(|voter| voter.host == learner.host)
        };
        let learners = self.membership.learners.iter();
        let member = learners
            .filter(|learner| !enough_voters || replaces(learner))
            .find(|learner| self.is_live(cx, learner) && self.has_caught_up(cx, learner))?
            .clone();
        let mut membership = self.membership.clone();
        membership.learners.remove(&member);
        membership.voters.insert(member.clone());
        Some(ProposedChange {
            membership,
            change: "promote",
            member,
        })
    }

    /// Returns the removal of a lost store whose host has a live voter with another store.
    fn replaced_store_removal(&self, cx: &Cx<'_>) -> Option<ProposedChange> {
        let has_live_replacement = |old: &Member| {
            let mut voters = self.membership.voters.iter();
            voters.any(|new| new.host == old.host && new != old && self.is_live(cx, new))
        };
        let mut members = self.membership.members();
        let member = members.find(|old| !self.is_live(cx, old) && has_live_replacement(old))?;
        Some(self.removal_of(member.clone()))
    }

    /// Returns the removal of a member that has not answered for `lost_after`, as long as enough
    /// voters are live; only with `auto_members`.
    fn lost_member_removal(&self, cx: &Cx<'_>) -> Option<ProposedChange> {
        if !cx.settings.raft.auto_members
            || self.live_voter_count(cx) < MIN_LIVE_VOTERS_TO_REMOVE_LOST
        {
            return None;
        }
        let member = self.lost_member(cx)?;
        Some(self.removal_of(member.clone()))
    }

    /// Returns a member that has not answered for `lost_after`.
    fn lost_member(&self, cx: &Cx<'_>) -> Option<&Member> {
        let settings = &cx.settings.raft;
        let is_lost = |member: &Member| {
            let last_heard = self.last_heard_at(member).unwrap_or(self.elected_at()?);
            Some(cx.now >= last_heard + settings.lost_after)
        };
        let mut members = self
            .membership
            .members()
            .filter(|member| **member != self.me);
        members.find(|member| is_lost(member) == Some(true))
    }

    /// Returns when this member became leader; `None` if it does not lead.
    fn elected_at(&self) -> Option<Instant> {
        match &self.role {
            RaftRole::Leader(leader) => Some(leader.elected_at),
            _ => None,
        }
    }

    fn live_voter_count(&self, cx: &Cx<'_>) -> usize {
        let voters = self.membership.voters.iter();
        voters.filter(|voter| self.is_live(cx, voter)).count()
    }

    /// Returns the removal of a member that an operator's call wants removed.
    fn requested_removal(&self) -> Option<ProposedChange> {
        let RaftRole::Leader(leader) = &self.role else {
            return None;
        };
        let mut hosts = leader
            .pending_calls
            .iter()
            .filter_map(|call| call.host_to_remove());
        let member = hosts.find_map(|host| {
            let mut members = self.membership.members();
            members.find(|member| member.host == *host)
        })?;
        let member = member.clone();
        Some(self.removal_of(member))
    }

    /// Returns the change that removes a member.
    fn removal_of(&self, member: Member) -> ProposedChange {
        let mut membership = self.membership.clone();
        membership.voters.remove(&member);
        membership.learners.remove(&member);
        ProposedChange {
            membership,
            change: "remove",
            member,
        }
    }

    /// Returns the addition of a recently seen store as a learner, if its host is a member, an
    /// operator's call wants it, or `auto_members` is on.
    fn learner_addition(&self, cx: &Cx<'_>) -> Option<ProposedChange> {
        let RaftRole::Leader(leader) = &self.role else {
            return None;
        };
        let wanted = |host: &HostId| {
            let mut members = self.membership.members();
            let mut calls = leader
                .pending_calls
                .iter()
                .filter_map(|call| call.host_to_add());
            cx.settings.raft.auto_members
                || members.any(|member| member.host == *host)
                || calls.any(|added| added == host)
        };
        let valid_for = cx.settings.raft.heartbeat * SEEN_STORE_VALID_HEARTBEATS;
        let candidates = self
            .seen_stores
            .iter()
            .filter(|(_, (_, seen_at))| cx.now < *seen_at + valid_for);
        let mut candidates = candidates.map(|(host, (store, _))| Member {
            host: host.clone(),
            store: *store,
        });
        let member =
            candidates.find(|member| !self.membership.contains(member) && wanted(&member.host))?;
        let mut membership = self.membership.clone();
        membership
            .learners
            .retain(|learner| learner.host != member.host);
        membership.learners.insert(member.clone());
        Some(ProposedChange {
            membership,
            change: "add-learner",
            member,
        })
    }

    /// Returns whether a member answered within the shortest election timeout, and its host has
    /// shown no other store since.
    fn is_live(&self, cx: &Cx<'_>, member: &Member) -> bool {
        if *member == self.me {
            return true;
        }
        let Some(heard_at) = self.last_heard_at(member) else {
            return false;
        };
        let mut others = self.membership.members();
        let newer_member = others.any(|newer_member| {
            newer_member.host == member.host
                && newer_member != member
                && self.last_heard_at(newer_member) > Some(heard_at)
        });
        let seen = self.seen_stores.get(&member.host);
        let newer_store = seen.is_some_and(|(store, at)| *store != member.store && *at > heard_at);
        !newer_member && !newer_store && cx.now < heard_at + cx.settings.raft.election_min
    }

    /// Returns when a member last answered this leader.
    fn last_heard_at(&self, member: &Member) -> Option<Instant> {
        let RaftRole::Leader(leader) = &self.role else {
            return None;
        };
        leader.peers.get(member)?.last_heard_at
    }

    /// Returns whether a member's log keeps up with what is committed.
    fn has_caught_up(&self, cx: &Cx<'_>, member: &Member) -> bool {
        let RaftRole::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(member);
        let limit = cx.settings.raft.election_min;
        peer.is_some_and(|peer| peer.has_caught_up(self.commit_index, cx.now, limit))
    }

    /// Answers the calls that waited for a membership, and steps down if this member is no longer a
    /// voter in it.
    pub(crate) fn on_membership_committed(&mut self, cx: &mut Cx<'_>) {
        self.answer_membership_calls(cx);
        let newest_applied = self.membership_index <= self.last_applied;
        if newest_applied && self.is_leader() && !self.membership.is_voter(&self.me) {
            self.step_down(cx, "removed");
        }
    }
}
