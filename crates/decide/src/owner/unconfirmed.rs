//! Answers that are held back until a majority of the service's instances confirms them.

use std::time::Instant;

use model::{Answer, HashMap, HostId, Position, ServiceId};

use crate::event::AwaitCommit;
use crate::owner::job::Job;
use crate::{Cx, Event};

/// The answers that are held back, each under a ticket: a number that [`AwaitCommit`] passes on
/// and that the commit outcome returns.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedAnswers {
    last_ticket: u64,
    answers: HashMap<u64, HeldAnswer>,
}

/// An answer that is held back, and the job that it belongs to.
#[derive(Debug)]
struct HeldAnswer {
    job: Job,
    answer: Answer,
}

impl UnconfirmedAnswers {
    /// Holds an answer back and asks for confirmation of its position.
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
        self.answers.insert(ticket, HeldAnswer { job, answer });
    }

    /// Sends the held answer if it is confirmed, and else that the outcome is unknown.
    pub(crate) fn resolve(&mut self, cx: &mut Cx<'_>, ticket: u64, confirmed: bool) {
        let Some(HeldAnswer { job, answer }) = self.answers.remove(&ticket) else {
            return;
        };
        if confirmed {
            job.send_answer(cx, answer, None);
        } else {
            job.answer_unproved(cx);
        }
    }

    /// Answers the jobs whose deadline has passed as unconfirmed.
    pub(crate) fn give_up_expired(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        for (_, held) in self.answers.extract_if(|_, held| held.job.deadline <= now) {
            held.job.answer_unproved(cx);
        }
    }

    /// Drops the answers for a host whose link is down.
    pub(crate) fn drop_for_host(&mut self, host: &HostId) {
        self.answers.retain(|_, held| held.job.from.host != *host);
    }

    /// Returns the earliest deadline of a held answer.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.answers.values().map(|held| held.job.deadline).min()
    }

    /// Returns whether no answer is held back.
    pub(crate) fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }
}
