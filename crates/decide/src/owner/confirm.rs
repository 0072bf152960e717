//! Answers that wait until what they say is confirmed by a majority.

use std::time::Instant;

use model::{Answer, HashMap, HostId, Position, ServiceId};

use crate::event::AwaitCommit;
use crate::owner::job::Job;
use crate::{Cx, Event};

/// The answers that are held back until their writes are confirmed.
#[derive(Debug, Default)]
pub(crate) struct Confirms {
    last_ticket: u64,
    held: HashMap<u64, Held>,
}

/// An answer that is held back.
#[derive(Debug)]
struct Held {
    job: Job,
    answer: Answer,
}

impl Confirms {
    /// Holds an answer back until its position is confirmed.
    pub(crate) fn hold(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        position: Position,
        job: Job,
        answer: Answer,
    ) {
        let term_only = !job.may_write();
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        cx.raise(Event::AwaitCommit(AwaitCommit {
            ticket,
            service: service.clone(),
            upstream: job.run.upstream.clone(),
            position,
            confirm_term_only: term_only,
            deadline: job.deadline,
        }));
        self.held.insert(ticket, Held { job, answer });
    }

    /// Sends the answer of a write, or that its outcome is unknown.
    pub(crate) fn resolve(&mut self, cx: &mut Cx<'_>, ticket: u64, confirmed: bool) {
        let Some(Held { job, answer }) = self.held.remove(&ticket) else {
            return;
        };
        if confirmed {
            job.answer(cx, answer, None);
        } else {
            job.unproved(cx);
        }
    }

    /// Gives up on the writes whose callers stop waiting.
    pub(crate) fn expire(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        for (_, held) in self.held.extract_if(|_, held| held.job.deadline <= now) {
            held.job.unproved(cx);
        }
    }

    /// Drops the answers for a host that can't be reached.
    pub(crate) fn forget(&mut self, host: &HostId) {
        self.held.retain(|_, held| held.job.from.host != *host);
    }

    /// Returns the moment at which the next write is given up.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.held.values().map(|held| held.job.deadline).min()
    }

    /// Returns whether no answer is held back.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
