//! Elections: pre-votes, votes, and changes between follower, candidate and leader.

use std::collections::BTreeSet;

use rand::Rng;

use crate::Cx;
use crate::raft::entry::{EntryData, EntryId, HardState, RaftTerm, WriteId};
use crate::raft::leader::LeaderState;
use crate::raft::log_event::RaftLogEvent;
use crate::raft::member::Member;
use crate::raft::msg::MemberMsg;
use crate::raft::{Raft, RaftRole};

/// The votes or pre-votes that a candidate has collected.
#[derive(Debug)]
pub(crate) struct CandidateState {
    /// Members that granted their vote in the current term, the candidate itself included; `None`
    /// unless this run has started an election in this term and has not led in it since. A member
    /// that has led in a term must not lead in it again: its log may have lost entries of the term.
    votes: Option<BTreeSet<Member>>,
    /// Members that granted their pre-vote for the next term, the candidate itself included.
    pre_votes: BTreeSet<Member>,
    /// The write that must be synced before the candidate's own vote counts; `None` once it counts,
    /// and where there is none.
    own_vote_counts_after: Option<WriteId>,
}

impl Raft {
    /// Starts a pre-vote, so that a member that can't win disturbs no leader with a new term.
    ///
    /// A member with an unsynced write waits: it could not vote for itself in time, and may be about
    /// to win the election whose vote it is writing, or to let another member win it. Votes of the
    /// current term go on counting during the pre-vote, since disks may take longer than a timeout.
    pub(crate) fn start_pre_vote(&mut self, cx: &mut Cx<'_>) {
        self.reset_election_timeout(cx);
        self.discover_members(cx);
        if !self.may_campaign() || !self.write_batcher.is_synced() {
            return;
        }
        let votes = match &mut self.role {
            RaftRole::Candidate(candidate) => candidate.votes.take(),
            RaftRole::Follower(_) | RaftRole::Leader(_) => None,
        };
        let candidate = CandidateState {
            votes,
            pre_votes: BTreeSet::from([self.me.clone()]),
            own_vote_counts_after: None,
        };
        self.role = RaftRole::Candidate(candidate);
        self.request_votes(cx, self.hard_state.term + 1, true);
        self.check_vote_quorum(cx);
    }

    /// Returns whether this member is a voter, or its removal is not committed yet.
    ///
    /// It may be the only member that has the entry that removes it; it does not count its own vote
    /// then.
    fn may_campaign(&self) -> bool {
        let change_uncommitted = self.membership_index > self.commit_index;
        let before = || self.membership_as_of(self.membership_index - 1).0;
        self.membership.is_voter(&self.me) || (change_uncommitted && before().is_voter(&self.me))
    }

    /// Starts an election in a new term, after a quorum of pre-votes.
    fn start_election(&mut self, cx: &mut Cx<'_>) {
        self.reset_election_timeout(cx);
        let term = self.hard_state.term + 1;
        self.set_hard_state(term, Some(self.me.clone()));
        cx.log(RaftLogEvent::Candidate { term });
        self.role = RaftRole::Candidate(CandidateState {
            votes: Some(BTreeSet::new()),
            pre_votes: BTreeSet::new(),
            own_vote_counts_after: Some(self.write_batcher.covering_write()),
        });
        self.request_votes(cx, term, false);
    }

    /// Sends `RequestVote` to all other voters; a real one only after the own vote is synced.
    fn request_votes(&mut self, cx: &mut Cx<'_>, term: RaftTerm, pre_vote: bool) {
        let last_entry = self.log.last_id();
        for voter in self.membership.voters.clone() {
            if voter == self.me {
                continue;
            }
            let msg = MemberMsg::RequestVote {
                term,
                last_entry,
                pre_vote,
            };
            if pre_vote {
                self.send_now(cx, &voter, msg);
            } else {
                self.send_after_write(&voter, msg);
            }
        }
    }

    /// Counts this member's own vote once it is on disk.
    pub(crate) fn count_own_vote(&mut self, cx: &mut Cx<'_>) {
        let synced = self.write_batcher.last_synced_write();
        let RaftRole::Candidate(candidate) = &mut self.role else {
            return;
        };
        if candidate
            .own_vote_counts_after
            .is_some_and(|write| write <= synced)
        {
            candidate.own_vote_counts_after = None;
            if let Some(votes) = &mut candidate.votes {
                votes.insert(self.me.clone());
            }
            self.check_vote_quorum(cx);
        }
    }

    /// Grants or denies a vote or pre-vote; denies both while a leader is live.
    ///
    /// A pre-vote is also denied while a write is unsynced: the vote could not follow before that,
    /// and the election to which the write belongs must not be ended by one in a higher term.
    pub(crate) fn on_request_vote(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        term: RaftTerm,
        last_entry: EntryId,
        pre_vote: bool,
    ) {
        let granted = !self.has_live_leader(cx)
            && last_entry >= self.log.last_id()
            && {
                let can_vote = self.hard_state.voted_for.is_none()
                    || self.hard_state.voted_for.as_ref() == Some(&from);
                term > self.hard_state.term
                    || (!pre_vote && term == self.hard_state.term && can_vote)
            }
            && (!pre_vote || self.write_batcher.is_synced());
        if pre_vote {
            let term = if granted { term } else { self.hard_state.term };
            self.send_now(
                cx,
                &from,
                MemberMsg::RequestVoteReply {
                    term,
                    granted,
                    pre_vote,
                },
            );
            return;
        }
        if term > self.hard_state.term && !self.has_live_leader(cx) {
            self.become_follower(cx, term, None);
        }
        if granted {
            self.set_hard_state(term, Some(from.clone()));
            self.reset_election_timeout(cx);
        }
        let term = self.hard_state.term;
        self.send_after_write(
            &from,
            MemberMsg::RequestVoteReply {
                term,
                granted,
                pre_vote,
            },
        );
    }

    /// Returns whether this member leads, or heard the leader within the shortest election timeout.
    fn has_live_leader(&self, cx: &Cx<'_>) -> bool {
        let heard_lately = self.leader_heard_at;
        let heard_lately =
            heard_lately.is_some_and(|at| cx.now < at + cx.settings.raft.election_min);
        self.is_leader() || heard_lately
    }

    /// Counts a granted vote or pre-vote of the current campaign, and adopts a higher term.
    pub(crate) fn on_request_vote_reply(
        &mut self,
        cx: &mut Cx<'_>,
        from: Member,
        term: RaftTerm,
        granted: bool,
        pre_vote: bool,
    ) {
        if !granted && term > self.hard_state.term {
            return self.become_follower(cx, term, None);
        }
        let requested_term = if pre_vote {
            self.hard_state.term + 1
        } else {
            self.hard_state.term
        };
        let RaftRole::Candidate(candidate) = &mut self.role else {
            return;
        };
        if granted && term == requested_term {
            let granted_by = if pre_vote {
                Some(&mut candidate.pre_votes)
            } else {
                candidate.votes.as_mut()
            };
            if let Some(granted_by) = granted_by {
                granted_by.insert(from);
                self.check_vote_quorum(cx);
            }
        }
    }

    /// Becomes leader after a quorum of votes, or else starts an election after a quorum of pre-votes.
    fn check_vote_quorum(&mut self, cx: &mut Cx<'_>) {
        let RaftRole::Candidate(candidate) = &self.role else {
            return;
        };
        let has_quorum = |granted_by: &BTreeSet<Member>| {
            self.membership
                .has_quorum(|voter| granted_by.contains(voter))
        };
        if candidate.votes.as_ref().is_some_and(has_quorum) {
            self.become_leader(cx);
        } else if has_quorum(&candidate.pre_votes) {
            self.start_election(cx);
        }
    }

    /// Becomes leader of the current term and proposes its no-op entry.
    fn become_leader(&mut self, cx: &mut Cx<'_>) {
        let last_entry = self.log.last_id();
        let term = self.hard_state.term;
        let members = self.membership.members();
        let members = members.filter(|member| **member != self.me).cloned();
        let heartbeat = cx.settings.raft.heartbeat;
        let leader = LeaderState::new(members, last_entry.index, cx.now, heartbeat);
        self.role = RaftRole::Leader(Box::new(leader));
        cx.log(RaftLogEvent::Leading {
            term,
            last: last_entry.index,
        });
        self.append_as_leader(EntryData::Noop);
        self.broadcast_new_round(cx);
    }

    /// Follows `leader`, or waits for one where it is `None`, in the current term or a higher one.
    pub(crate) fn become_follower(
        &mut self,
        cx: &mut Cx<'_>,
        term: RaftTerm,
        leader: Option<&Member>,
    ) {
        if term > self.hard_state.term {
            if self.is_leader() {
                self.step_down(cx, "higher term");
            }
            self.set_hard_state(term, None);
        }
        let leader = leader.map(|leader| leader.host.clone());
        if let Some(leader) = &leader
            && self.leader().as_ref() != Some(leader)
        {
            let leader = leader.clone();
            cx.log(RaftLogEvent::Following { term, leader });
        }
        self.role = RaftRole::Follower(leader);
    }

    /// Stops leading, and tells the hosts of pending calls to look for another leader.
    pub(crate) fn step_down(&mut self, cx: &mut Cx<'_>, reason: &'static str) {
        let role = std::mem::replace(&mut self.role, RaftRole::Follower(None));
        let RaftRole::Leader(leader) = role else {
            return;
        };
        let term = self.hard_state.term;
        cx.log(RaftLogEvent::SteppedDown { term, reason });
        leader.redirect_pending_calls(cx);
        self.reset_election_timeout(cx);
    }

    /// Changes the term and the vote, which are synced before any message that relies on them is
    /// sent.
    fn set_hard_state(&mut self, term: RaftTerm, voted_for: Option<Member>) {
        self.hard_state = HardState { term, voted_for };
        self.write_batcher.set_hard_state(&self.hard_state);
    }

    /// Draws the moment at which this member starts a pre-vote if it hears no leader until then.
    pub(crate) fn reset_election_timeout(&mut self, cx: &mut Cx<'_>) {
        let settings = &cx.settings.raft;
        let spread = settings.election_max.saturating_sub(settings.election_min);
        let share = cx.rng.random::<f64>();
        self.election_timeout_at = cx.now + settings.election_min + spread.mul_f64(share);
    }
}
