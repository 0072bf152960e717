//! Limits the requests to an instance that announces that it is cold, as after a start.

use evac::Ramp;

use crate::owner::replica_wait::WaitPolicy;
use crate::owner::upstream::Upstream;
use crate::queue::QueueDiscipline;
use crate::view::UpstreamView;
use crate::{Cx, View};

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Starts, updates or ends the ramp by a view; an upstream that the view doesn't list keeps it.
    pub(crate) fn update_ramp(&mut self, cx: &Cx<'_>, view: &View, seen: Option<&UpstreamView>) {
        let Some(seen) = seen else { return };
        let service = view.config.services.get(&self.service);
        let per_s = service.map_or(0, |service| service.warmup_per_s);
        if !seen.announcement.warming || per_s == 0 {
            self.ramp = None;
            return;
        }
        let owners = seen.owners.len();
        match &mut self.ramp {
            Some(ramp) => ramp.set_rate(cx.now, per_s, owners),
            None => self.ramp = Some(Ramp::new(cx.now, per_s, owners)),
        }
    }

    /// Returns whether the instance is cold and gets no request now that could run elsewhere.
    pub(crate) fn lacks_token(&mut self, cx: &Cx<'_>) -> bool {
        let ramp = self.ramp.as_mut();
        ramp.is_some_and(|ramp| !ramp.has_token(cx.now))
    }
}
