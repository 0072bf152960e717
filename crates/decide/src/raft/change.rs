//! Changes of the membership, one member at a time.

use std::time::Instant;

use model::HostId;

use crate::Cx;
use crate::raft::entry::EntryData;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::{Member, Membership};
use crate::raft::{Raft, Role};

/// How many heartbeats a hello counts for.
const HELLO_LASTS_HEARTBEATS: u32 = 20;

/// How many live voters must be there for a lost one to be dropped.
const LEAST_VOTERS: usize = 3;

/// One step of the membership.
struct Step {
    membership: Membership,
    change: &'static str,
    member: Member,
}

impl Raft {
    /// Makes the next change that is due, once the one before is committed.
    pub(crate) fn change_membership(&mut self, cx: &mut Cx<'_>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if self.commit < leader.first || self.membership_at > self.commit {
            return;
        }
        let step = self
            .promotion(cx)
            .or_else(|| self.replacement(cx))
            .or_else(|| self.removal())
            .or_else(|| self.loss(cx))
            .or_else(|| self.addition(cx));
        // A step after which no quorum answers would leave the group stuck.
        if let Some(step) = step
            && step.membership.quorum(|voter| self.is_live(cx, voter))
        {
            self.take_step(cx, step);
        }
    }

    fn take_step(&mut self, cx: &mut Cx<'_>, step: Step) {
        let Step {
            membership,
            change,
            member,
        } = step;
        let Member { host, store } = member;
        cx.log(RaftLogEvent::MembershipChange {
            change,
            host,
            store,
        });
        self.append_own(EntryData::Membership(membership));
        self.replicate(cx);
        self.advance_commit(cx);
    }

    /// Counts a learner that has caught up.
    ///
    /// Where the leader makes voters by itself, their number stays odd, so that one half of a
    /// fleet that is cut in two goes on; a lost voter is replaced before it is dropped.
    fn promotion(&self, cx: &Cx<'_>) -> Option<Step> {
        let settings = &cx.settings.raft;
        let wanted = self.membership.members().count().min(settings.voters_max);
        let odd = wanted - usize::from(wanted.is_multiple_of(2));
        let full = self.membership.voters.len() >= odd;
        let waits = settings.auto_members && full && self.lost_member(cx).is_none();
        // A new store of a voter's host replaces the one that is gone, and at once: until then
        // the loss of another disk could not be borne.
        let replaces = |learner: &Member| {
            let mut voters = self.membership.voters.iter();
            voters.any(|voter| voter.host == learner.host)
        };
        let learners = self.membership.learners.iter();
        let member = learners
            .filter(|learner| !waits || replaces(learner))
            .find(|learner| self.is_live(cx, learner) && self.has_caught_up(learner))?
            .clone();
        let mut membership = self.membership.clone();
        membership.learners.remove(&member);
        membership.voters.insert(member.clone());
        Some(Step {
            membership,
            change: "promote",
            member,
        })
    }

    /// Drops a lost store of a host of which another store counts.
    fn replacement(&self, cx: &Cx<'_>) -> Option<Step> {
        let counts = |old: &Member| {
            let mut voters = self.membership.voters.iter();
            voters.any(|new| new.host == old.host && new != old && self.is_live(cx, new))
        };
        let mut members = self.membership.members();
        let member = members.find(|old| !self.is_live(cx, old) && counts(old))?;
        Some(self.drop_step(member.clone()))
    }

    /// Drops a voter that was silent for long, as long as enough others are there.
    fn loss(&self, cx: &Cx<'_>) -> Option<Step> {
        if !cx.settings.raft.auto_members || self.live_voters(cx) < LEAST_VOTERS {
            return None;
        }
        let member = self.lost_member(cx)?;
        Some(self.drop_step(member.clone()))
    }

    /// Returns a member that has been silent for long.
    fn lost_member(&self, cx: &Cx<'_>) -> Option<&Member> {
        let settings = &cx.settings.raft;
        let silent = |member: &Member| {
            let heard = self.heard_at(member).unwrap_or(self.led_since()?);
            Some(cx.now >= heard + settings.lost_after)
        };
        let mut members = self
            .membership
            .members()
            .filter(|member| **member != self.me);
        members.find(|member| silent(member) == Some(true))
    }

    fn led_since(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leader) => Some(leader.since),
            _ => None,
        }
    }

    fn live_voters(&self, cx: &Cx<'_>) -> usize {
        let voters = self.membership.voters.iter();
        voters.filter(|voter| self.is_live(cx, voter)).count()
    }

    /// Drops a member that an operator wants removed.
    fn removal(&self) -> Option<Step> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let mut hosts = leader.waiting.iter().filter_map(|call| call.removes());
        let member = hosts.find_map(|host| {
            let mut members = self.membership.members();
            members.find(|member| member.host == *host)
        })?;
        let member = member.clone();
        Some(self.drop_step(member))
    }

    fn drop_step(&self, member: Member) -> Step {
        let mut membership = self.membership.clone();
        membership.voters.remove(&member);
        membership.learners.remove(&member);
        Step {
            membership,
            change: "remove",
            member,
        }
    }

    /// Adds a new store as a learner, where its host is a member or an operator wants it.
    fn addition(&self, cx: &Cx<'_>) -> Option<Step> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let wanted = |host: &HostId| {
            let mut members = self.membership.members();
            let mut calls = leader.waiting.iter().filter_map(|call| call.adds());
            cx.settings.raft.auto_members
                || members.any(|member| member.host == *host)
                || calls.any(|added| added == host)
        };
        let lasts = cx.settings.raft.heartbeat * HELLO_LASTS_HEARTBEATS;
        let strangers = self
            .strangers
            .iter()
            .filter(|(_, (_, at))| cx.now < *at + lasts);
        let mut strangers = strangers.map(|(host, (store, _))| Member {
            host: host.clone(),
            store: *store,
        });
        let member =
            strangers.find(|member| !self.membership.contains(member) && wanted(&member.host))?;
        let mut membership = self.membership.clone();
        membership
            .learners
            .retain(|learner| learner.host != member.host);
        membership.learners.insert(member.clone());
        Some(Step {
            membership,
            change: "add-learner",
            member,
        })
    }

    /// Returns whether a member has answered lately, and its host has shown no other store since.
    fn is_live(&self, cx: &Cx<'_>, member: &Member) -> bool {
        if *member == self.me {
            return true;
        }
        let Some(heard_at) = self.heard_at(member) else {
            return false;
        };
        let mut others = self.membership.members();
        let other = others.any(|other| {
            other.host == member.host && other != member && self.heard_at(other) > Some(heard_at)
        });
        let stranger = self.strangers.get(&member.host);
        let lost = stranger.is_some_and(|(store, at)| *store != member.store && *at > heard_at);
        !other && !lost && cx.now < heard_at + cx.settings.raft.election_min
    }

    /// Returns when a member has last answered this leader.
    fn heard_at(&self, member: &Member) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        leader.peers.get(member)?.heard_at
    }

    fn has_caught_up(&self, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(member);
        peer.is_some_and(|peer| peer.matched >= self.commit)
    }

    /// Ends what waited for a membership, and steps down if this member is no longer in it.
    pub(crate) fn membership_committed(&mut self, cx: &mut Cx<'_>) {
        self.answer_changes(cx);
        let settled = self.membership_at <= self.applied;
        if settled && self.is_leader() && !self.membership.is_voter(&self.me) {
            self.step_down(cx, "removed");
        }
    }
}
