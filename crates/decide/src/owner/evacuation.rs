//! Ends the work on an upstream of an evacuated data centre.
//!
//! A replica there gets no new requests at once. A primary keeps its work until it is replaced, and
//! open transactions go on, but not beyond the moment from which nothing is to be sent there.

use std::time::{Duration, Instant};

use model::Refusal;

use crate::evacuation::EvacLogEvent;
use crate::owner::job::Job;
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::upstream::Upstream;
use crate::owner::{OwnedUpstreams, SharedState};
use crate::queue::{QueueDiscipline, RequestQueue};
use crate::relay::Bounce;
use crate::{Cx, View};

/// A part that did not run for this long may have missed an order that is in force by now: one that
/// runs learns of it within a second, and has [`evac::WORK_LIMIT`] to end the work.
const PAUSE_MIN: Duration = Duration::from_secs(3);
/// How long a part starts nothing after such a pause, until its host has read what it missed.
const HOLD: Duration = Duration::from_millis(300);

/// Whether an upstream's data centre is evacuated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EvacuationState {
    /// It is not.
    #[default]
    None,
    /// It is, and nothing is sent to the upstream from the given moment on.
    ClosesAt(Instant),
    /// It is, and nothing is sent to the upstream.
    Closed,
}

impl EvacuationState {
    /// Returns whether nothing at all may be sent to the upstream.
    pub(crate) fn is_closed(self, now: Instant) -> bool {
        match self {
            Self::None => false,
            Self::ClosesAt(at) => at <= now,
            Self::Closed => true,
        }
    }

    /// Returns when the upstream is closed.
    pub(crate) fn wake_at(self) -> Option<Instant> {
        match self {
            Self::ClosesAt(at) => Some(at),
            Self::None | Self::Closed => None,
        }
    }
}

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Updates the state from a view; an upstream that the view doesn't list keeps its state.
    pub(crate) fn update_evacuation(&mut self, view: &View) {
        if !view.upstreams.contains_key(&self.id) {
            return;
        }
        self.evacuation = match (view.closes_at(&self.id), self.evacuation) {
            (Some(_), EvacuationState::Closed) => EvacuationState::Closed,
            (Some(at), _) => EvacuationState::ClosesAt(at),
            (None, _) => EvacuationState::None,
        };
    }

    /// Returns whether the evacuation keeps new requests from the upstream.
    pub(crate) fn is_evacuated(&self, now: Instant) -> bool {
        match self.evacuation {
            EvacuationState::None => false,
            state => state.is_closed(now) || !self.is_primary(),
        }
    }

    /// Returns whether the upstream is the newest known primary.
    fn is_primary(&self) -> bool {
        self.primary.as_ref().is_some_and(|(_, id)| *id == self.id)
    }

    /// Bounces a request, or refuses it and rolls its transaction back if it belongs to one.
    pub(crate) fn send_back(&mut self, cx: &mut Cx<'_>, shared: &mut SharedState, job: Job) {
        let Some(conn) = job.run.pin else {
            return job.bounce(cx, Bounce::NotOwner);
        };
        let from = job.from.clone();
        job.refuse(cx, Refusal::TransactionLost, "paused");
        self.on_unpin(cx, shared, &from, conn);
    }

    /// Logs that nothing more is sent to the upstream, once that is so.
    pub(crate) fn close_evacuated_if_due(&mut self, cx: &mut Cx<'_>) {
        if self.evacuation == EvacuationState::Closed || !self.evacuation.is_closed(cx.now) {
            return;
        }
        self.evacuation = EvacuationState::Closed;
        if self.owned {
            cx.log(EvacLogEvent::Closed {
                upstream: self.id.clone(),
                is_primary: self.is_primary(),
                queued: self.queue.items().count(),
                transactions: self.pins.len(),
            });
        }
    }
}

impl<Q: QueueDiscipline, W: WaitPolicy> OwnedUpstreams<Q, W> {
    /// Sends back all that waits, and starts nothing for a moment, if this part did not run for so
    /// long that an evacuation may have come into force meanwhile.
    ///
    /// The pause shows by the time for which the regular query of positions is overdue.
    pub(crate) fn hold_after_pause(&mut self, cx: &mut Cx<'_>) {
        let due_at = self.shared.primary_positions.wake_at();
        if due_at.is_none_or(|at| cx.now < at + PAUSE_MIN) {
            return;
        }
        self.held_until = Some(cx.now + HOLD);
        for upstream in self.upstreams.values_mut() {
            for job in upstream.queue.drain_where(|_| true) {
                upstream.send_back(cx, &mut self.shared, job);
            }
        }
    }
}
