//! Finds the leader of consensus, which grants tokens, from any host.

use std::time::{Duration, Instant};

use model::HostId;

use crate::Cx;
use crate::grant::GrantMsg;
use crate::grant::holder::TokenHolder;

/// How long the leader may leave a demand unanswered before voters are asked for the leader.
const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two questions to voters while no leader answers.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Asks voters in turn for the leader while none is known or none answers.
#[derive(Debug)]
pub(crate) struct LeaderFinder {
    voters: Vec<HostId>,
    next_voter: usize,
    next_query_at: Option<Instant>,
}

impl LeaderFinder {
    /// Returns the state of a host that has just started.
    pub(crate) fn new(voters: Vec<HostId>) -> Self {
        Self {
            voters,
            next_voter: 0,
            next_query_at: None,
        }
    }

    /// Replaces the voters to ask.
    pub(crate) fn set_voters(&mut self, voters: Vec<HostId>) {
        self.voters = voters;
    }

    /// Asks the next voter for the leader, if no leader answers and a question is due.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, holder: &TokenHolder) {
        if self.next_query_at.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_query_at = Some(cx.now + QUERY_INTERVAL);
        if holder.has_answering_leader(cx.now, LEADER_ANSWER_TIMEOUT) || self.voters.is_empty() {
            return;
        }
        let voter = &self.voters[self.next_voter % self.voters.len()];
        cx.send_control(voter, GrantMsg::WhoLeads);
        self.next_voter = self.next_voter.wrapping_add(1);
    }

    /// Returns when the next question is due, `None` before the first tick.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.next_query_at
    }
}
