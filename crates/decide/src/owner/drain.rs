//! Ends the work on an upstream that has announced that it drains.
//!
//! A draining replica gets no reads while another one can run them. A draining primary keeps its
//! work until it is replaced, but no longer than `drain_timeout`, after which it may be gone.

use std::time::{Duration, Instant};

use crate::Cx;
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::upstream::Upstream;
use crate::queue::{QueueDiscipline, RequestQueue};
use crate::view::UpstreamView;

/// New requests end this much before `drain_timeout`, for their way to the upstream.
const REQUEST_MARGIN: Duration = Duration::from_millis(500);
/// They end this much earlier still: for up to this time, a link that has fallen silent may hold up
/// an announcement before it counts as broken.
const ANNOUNCEMENT_MARGIN: Duration = Duration::from_secs(2);

/// Whether an upstream drains, and until when it gets new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DrainState {
    /// It has not announced that it drains.
    #[default]
    Ready,
    /// It drains, and gets new requests until then.
    Draining(Instant),
    /// It drains and gets no new requests.
    Ended,
}

impl DrainState {
    /// Returns whether the upstream has announced that it drains.
    pub(crate) fn is_announced(self) -> bool {
        self != Self::Ready
    }

    /// Returns whether the upstream drains and gets no new requests.
    pub(crate) fn has_ended(self, now: Instant) -> bool {
        match self {
            Self::Ready => false,
            Self::Draining(ends_at) => ends_at <= now,
            Self::Ended => true,
        }
    }

    /// Returns when new requests are to end.
    pub(crate) fn wake_at(self) -> Option<Instant> {
        match self {
            Self::Draining(ends_at) => Some(ends_at),
            Self::Ready | Self::Ended => None,
        }
    }
}

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Updates from a view whether the upstream drains.
    ///
    /// The time counts from the last announcement by which it did not drain. An owner that knows
    /// of none can't tell how long ago the drain began, and ends the work at once.
    pub(crate) fn update_drain(&mut self, cx: &Cx<'_>, seen: Option<&UpstreamView>) {
        let Some(seen) = seen.filter(|seen| seen.announcement.draining) else {
            self.drain = DrainState::Ready;
            return;
        };
        if self.drain == DrainState::Ready {
            let margin = REQUEST_MARGIN + ANNOUNCEMENT_MARGIN;
            let limit = cx.settings.owner.drain_timeout.saturating_sub(margin);
            let ends_at = seen.last_ready_at.map_or(cx.now, |at| at + limit);
            self.drain = DrainState::Draining(ends_at);
        }
    }

    /// Ends new requests once the drain time has passed.
    pub(crate) fn end_drain_if_due(&mut self, cx: &mut Cx<'_>) {
        if self.drain == DrainState::Ended || !self.drain.has_ended(cx.now) {
            return;
        }
        self.drain = DrainState::Ended;
        if self.owned {
            cx.log(OwnerLogEvent::DrainEnded {
                upstream: self.id.clone(),
                is_primary: self.primary.as_ref().is_some_and(|(_, id)| *id == self.id),
                queued: self.queue.items().count(),
            });
        }
    }
}
