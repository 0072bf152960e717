//! Finds the leader of consensus, which grants tokens, from any host.

use std::time::{Duration, Instant};

use model::HostId;

use crate::Cx;
use crate::grant::GrantMsg;
use crate::grant::hold::Holder;

/// How long the leader may leave a demand unanswered before voters are asked who leads.
const PATIENCE: Duration = Duration::from_millis(250);
/// How often a voter is asked while no leader answers.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// Asks voters in turn who leads, while that is not known.
#[derive(Debug)]
pub(crate) struct LeaderFinder {
    voters: Vec<HostId>,
    next: usize,
    ask_at: Option<Instant>,
}

impl LeaderFinder {
    /// Returns what a host knows when it starts.
    pub(crate) fn new(voters: Vec<HostId>) -> Self {
        Self {
            voters,
            next: 0,
            ask_at: None,
        }
    }

    /// Replaces the hosts that may know who leads.
    pub(crate) fn set_voters(&mut self, voters: Vec<HostId>) {
        self.voters = voters;
    }

    /// Asks a voter who leads, if no leader answers and it is time to.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, holder: &Holder) {
        if self.ask_at.is_some_and(|at| cx.now < at) {
            return;
        }
        self.ask_at = Some(cx.now + ASK_EVERY);
        if holder.has_leader(cx.now, PATIENCE) || self.voters.is_empty() {
            return;
        }
        let voter = &self.voters[self.next % self.voters.len()];
        cx.send_control(voter, GrantMsg::WhoLeads);
        self.next = self.next.wrapping_add(1);
    }

    /// Returns the moment of the next question.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.ask_at
    }
}
