//! Reads that are sent a second time, since their first attempt has no answer.

use model::RequestId;

use crate::admit::Admission;
use crate::entry::Entry;
use crate::entry::flight::Flight;
use crate::route::ReadPolicy;
use crate::session::{SessionLogEvent, Sessions};
use crate::{Cx, View};

impl<R: ReadPolicy, A: Admission> Entry<R, A> {
    /// Sends a read that has no answer yet to another owner too, if the budget allows.
    ///
    /// It answers to owners and upstreams that have gone silent: what cuts them off is known only
    /// after their heartbeats are missed, and until then reads would wait for their deadlines.
    pub(super) fn hedge(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: RequestId,
        mut flight: Flight,
    ) {
        flight.timer = flight.deadline + cx.settings.session.answer_grace;
        if flight.earlier.is_some() || !self.budget.take() {
            return self.flights.insert(id, flight);
        }
        let Some(place) = flight.at.take() else {
            return self.flights.insert(id, flight);
        };
        let (upstream, owner) = (&place.upstream, &place.owner.host);
        self.router.skips.slow(cx.now, upstream, owner);
        cx.log(SessionLogEvent::Hedged {
            session: flight.session,
            request: flight.request,
            label: flight.req.label.clone(),
            upstream: upstream.clone(),
            owner: owner.clone(),
            waited: cx.now.saturating_duration_since(flight.since),
        });
        flight.may_have_run = true;
        flight.earlier = Some((id, place));
        self.send(cx, view, sessions, flight);
    }
}
