//! Picks the upstream and the owner for a request.

use model::{HashMap, Kind, ServiceId, Term, UpstreamId};

use crate::entry::flight::{Flight, Place};
use crate::route::{ReadPolicy, Skips};
use crate::view::ServiceView;
use crate::{Cx, View};

/// What decides where requests go.
#[derive(Debug, Default)]
pub(crate) struct Router<R> {
    policy: R,
    /// What is better left alone for a moment.
    pub(crate) skips: Skips,
    /// Primaries that owners have named and the view does not show yet.
    hinted: HashMap<ServiceId, (Term, UpstreamId)>,
}

impl<R: ReadPolicy> Router<R> {
    /// Returns where a request goes, with the reason for the log.
    pub(crate) fn pick(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        flight: &Flight,
    ) -> Option<(Place, &'static str)> {
        let service = view.services.get(&flight.req.service)?;
        let (upstream, reason) = self.pick_upstream(cx, view, service, flight)?;
        let owner = self.skips.pick_owner(cx, view, &upstream)?;
        let pin = None;
        let place = Place {
            upstream,
            owner,
            pin,
        };
        Some((place, reason))
    }

    fn pick_upstream(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        service: &ServiceView,
        flight: &Flight,
    ) -> Option<(UpstreamId, &'static str)> {
        let req = &flight.req;
        let primary = || self.primary(view, &req.service).map(|(_, id)| id.clone());
        if req.kind == Kind::Write || (req.in_transaction && !req.read_only_transaction) {
            return primary().map(|id| (id, "write"));
        }
        let fresh = req.floor.is_none() && req.max_age.is_none();
        if flight.behind || fresh {
            let reason = if fresh { "no-floor" } else { "replicas-behind" };
            let usable = self.skips.usable(cx.now, view, service, true);
            if let Some(id) = primary().filter(|id| usable.contains(&id)) {
                return Some((id, reason));
            }
            if fresh {
                return None;
            }
        }
        let usable = self.skips.usable(cx.now, view, service, flight.behind);
        self.policy.pick(cx, view, service, &usable)
    }

    /// Returns the newest known primary of a service.
    fn primary<'a>(
        &'a self,
        view: &'a View,
        service: &ServiceId,
    ) -> Option<&'a (Term, UpstreamId)> {
        let viewed = view.services.get(service).and_then(|s| s.primary.as_ref());
        let both = viewed.into_iter().chain(self.hinted.get(service));
        both.max_by_key(|(term, _)| *term)
    }

    /// Takes an owner's hint where the primary is; returns whether it is news.
    pub(crate) fn learn(
        &mut self,
        view: &View,
        service: &ServiceId,
        hint: Option<(Term, UpstreamId)>,
    ) -> bool {
        let Some(hint) = hint else {
            return false;
        };
        let known = self.primary(view, service);
        if known.is_some_and(|(term, _)| *term >= hint.0) {
            return false;
        }
        self.hinted.insert(service.clone(), hint);
        true
    }

    /// Forgets the hints that a new view has caught up with.
    pub(crate) fn sync(&mut self, view: &View) {
        self.hinted.retain(|service, (term, _)| {
            let viewed = view.services.get(service).and_then(|s| s.primary.as_ref());
            viewed.is_none_or(|(known, _)| known < term)
        });
    }
}
