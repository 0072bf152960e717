//! Elections: who stands, who votes, who wins.

use std::collections::BTreeSet;

use rand::Rng;

use crate::Cx;
use crate::raft::entry::{EntryData, HardState, Place, RaftTerm, WriteId};
use crate::raft::leader::Leader;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::Member;
use crate::raft::msg::MemberMsg;
use crate::raft::{Raft, Role};

/// The votes that a candidate has.
#[derive(Debug)]
pub(crate) struct Votes {
    from: BTreeSet<Member>,
    /// Whether it only asks if it would be elected.
    pre: bool,
    /// The write after which its own vote counts.
    own_after: Option<WriteId>,
}

impl Raft {
    /// Asks whether this member would be elected, before it disturbs anyone with a new term.
    pub(crate) fn ask_for_votes(&mut self, cx: &mut Cx<'_>) {
        self.reset_election(cx);
        self.greet_members(cx);
        if !self.may_stand() {
            return;
        }
        let votes = Votes {
            from: BTreeSet::from([self.me.clone()]),
            pre: true,
            own_after: None,
        };
        self.role = Role::Candidate(votes);
        self.request_votes(cx, self.hard.term + 1, true);
        self.count_votes(cx);
    }

    /// Returns whether this member is a voter, or is so as long as its removal is not committed.
    ///
    /// Only it may have the entry that removes it; it does not count itself then.
    fn may_stand(&self) -> bool {
        let removal_is_open = self.membership_at > self.commit;
        let before = || self.membership_as_of(self.membership_at - 1).0;
        self.membership.is_voter(&self.me) || (removal_is_open && before().is_voter(&self.me))
    }

    /// Stands for election in a new term.
    fn stand(&mut self, cx: &mut Cx<'_>) {
        self.reset_election(cx);
        let term = self.hard.term + 1;
        self.set_hard(term, Some(self.me.clone()));
        cx.log(RaftLogEvent::Candidate { term });
        self.role = Role::Candidate(Votes {
            from: BTreeSet::new(),
            pre: false,
            own_after: Some(self.writer.needed()),
        });
        self.request_votes(cx, term, false);
    }

    fn request_votes(&mut self, cx: &mut Cx<'_>, term: RaftTerm, pre: bool) {
        let last = self.log.last();
        for voter in self.membership.voters.clone() {
            if voter == self.me {
                continue;
            }
            let msg = MemberMsg::Vote { term, last, pre };
            if pre {
                self.send_now(cx, &voter, msg);
            } else {
                self.send_after_write(&voter, msg);
            }
        }
    }

    /// Counts this member's own vote once it is on disk.
    pub(crate) fn count_own_vote(&mut self, cx: &mut Cx<'_>) {
        let synced = self.writer.synced();
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        if votes.own_after.is_some_and(|write| write <= synced) {
            votes.own_after = None;
            votes.from.insert(self.me.clone());
            self.count_votes(cx);
        }
    }

    /// Answers a candidate.
    pub(crate) fn on_vote(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        term: RaftTerm,
        last: Place,
        pre: bool,
    ) {
        let granted = !self.has_leader(cx) && last >= self.log.last() && {
            let free = self.hard.vote.is_none() || self.hard.vote.as_ref() == Some(&from);
            term > self.hard.term || (!pre && term == self.hard.term && free)
        };
        if pre {
            let term = if granted { term } else { self.hard.term };
            self.send_now(cx, &from, MemberMsg::Voted { term, granted, pre });
            return;
        }
        if term > self.hard.term && !self.has_leader(cx) {
            self.follow(cx, term, None);
        }
        if granted {
            self.set_hard(term, Some(from.clone()));
            self.reset_election(cx);
        }
        let term = self.hard.term;
        self.send_after_write(&from, MemberMsg::Voted { term, granted, pre });
    }

    /// Returns whether a leader is known to be there, so that no other is wanted.
    fn has_leader(&self, cx: &Cx<'_>) -> bool {
        let heard = self.heard_at;
        let heard = heard.is_some_and(|at| cx.now < at + cx.settings.raft.election_min);
        self.is_leader() || heard
    }

    /// Takes a voter's answer.
    pub(crate) fn on_voted(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        term: RaftTerm,
        granted: bool,
        pre: bool,
    ) {
        if !granted && term > self.hard.term {
            return self.follow(cx, term, None);
        }
        let asked = if pre {
            self.hard.term + 1
        } else {
            self.hard.term
        };
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        if granted && votes.pre == pre && term == asked {
            votes.from.insert(from);
            self.count_votes(cx);
        }
    }

    fn count_votes(&mut self, cx: &mut Cx<'_>) {
        let Role::Candidate(votes) = &self.role else {
            return;
        };
        if !self.membership.quorum(|voter| votes.from.contains(voter)) {
            return;
        }
        if votes.pre {
            self.stand(cx);
        } else {
            self.take_lead(cx);
        }
    }

    fn take_lead(&mut self, cx: &mut Cx<'_>) {
        let last = self.log.last();
        let term = self.hard.term;
        let members = self.membership.members();
        let members = members.filter(|member| **member != self.me).cloned();
        let leader = Leader::new(members, last.index, cx.now);
        self.role = Role::Leader(Box::new(leader));
        cx.log(RaftLogEvent::Leading {
            term,
            last: last.index,
        });
        self.append_own(EntryData::Noop);
        self.broadcast(cx);
    }

    /// Follows a leader, or waits for one, in a term that is not lower.
    pub(crate) fn follow(&mut self, cx: &mut Cx<'_>, term: RaftTerm, leader: Option<&Member>) {
        if term > self.hard.term {
            if self.is_leader() {
                self.step_down(cx, "higher term");
            }
            self.set_hard(term, None);
        }
        let leader = leader.map(|leader| leader.host.clone());
        if let Some(leader) = &leader
            && self.leader().as_ref() != Some(leader)
        {
            let leader = leader.clone();
            cx.log(RaftLogEvent::Following { term, leader });
        }
        self.role = Role::Follower(leader);
    }

    /// Stops to lead, and lets go of all that waits for this leader.
    pub(crate) fn step_down(&mut self, cx: &mut Cx<'_>, reason: &'static str) {
        let role = std::mem::replace(&mut self.role, Role::Follower(None));
        let Role::Leader(leader) = role else {
            return;
        };
        let term = self.hard.term;
        cx.log(RaftLogEvent::SteppedDown { term, reason });
        leader.dismiss(cx);
        self.reset_election(cx);
    }

    /// Changes the term and the vote, which are written before anything that relies on them is sent.
    fn set_hard(&mut self, term: RaftTerm, vote: Option<Member>) {
        self.hard = HardState { term, vote };
        self.writer.hard(&self.hard);
    }

    /// Draws the moment at which this member stands for election if it hears no leader.
    pub(crate) fn reset_election(&mut self, cx: &mut Cx<'_>) {
        let settings = &cx.settings.raft;
        let spread = settings.election_max.saturating_sub(settings.election_min);
        let share = cx.rng.random::<f64>();
        self.election_at = cx.now + settings.election_min + spread.mul_f64(share);
    }
}
