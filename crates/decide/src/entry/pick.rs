//! Routes requests: to the primary, or to an upstream of the read policy's choice.

use model::{HashMap, Kind, Request, ServiceId, Term, UpstreamId};
use rand::Rng;

use crate::entry::owner_check::OwnerChecks;
use crate::entry::pending::{PendingRequest, Target};
use crate::route::{ReadPolicy, RecentFailures};
use crate::view::ServiceView;
use crate::{Cx, View};

/// Chooses the upstream and the owner for each request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Router<R> {
    policy: R,
    /// The upstreams and owners that failed recently and get no requests for a short time.
    pub(crate) failures: RecentFailures,
    /// The owners that are being checked, and those that have gone silent.
    pub(crate) checks: OwnerChecks,
    /// Primaries that owners have named, while the view shows none of that term or a newer one.
    primary_hints: HashMap<ServiceId, (Term, UpstreamId)>,
}

impl<R: ReadPolicy> Router<R> {
    /// Returns where to send a request, with the reason for the log.
    ///
    /// It is `None` if nothing can run the request now.
    pub(crate) fn pick(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        pending: &PendingRequest,
    ) -> Option<(Target, &'static str)> {
        let service = view.services.get(&pending.req.service)?;
        let (upstream, reason) = self.pick_upstream(cx, view, service, pending)?;
        let workspace = &pending.req.workspace;
        let owner = self
            .failures
            .pick_owner(cx, view, &self.checks, &upstream, workspace)?;
        let target = Target {
            upstream,
            owner,
            pin: None,
            forwarded_by: None,
        };
        Some((target, reason))
    }

    /// Returns the upstream for a request, with the reason for the log.
    ///
    /// Writes and read-write transactions go to the primary, as do reads with neither floor nor
    /// maximum age, which need the newest data. A read that a replica was behind for goes there too
    /// if the primary is usable. The policy decides on all other reads.
    fn pick_upstream(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        service: &ServiceView,
        pending: &PendingRequest,
    ) -> Option<(UpstreamId, &'static str)> {
        let req = &pending.req;
        let primary = || {
            self.newest_primary(view, &req.service)
                .map(|(_, id)| id.clone())
        };
        if may_write(req) {
            let open = primary().filter(|id| !view.is_closed(id, cx.now));
            return open.map(|id| (id, "write"));
        }
        let needs_newest = needs_newest(req);
        if pending.replica_behind || needs_newest {
            let reason = if needs_newest {
                "no-floor"
            } else {
                "replicas-behind"
            };
            let usable = self.usable_upstreams(cx, view, service, true);
            let is_usable = |id: &UpstreamId| match needs_newest {
                // No other upstream can serve it, however its owners have left reads unanswered.
                true => self.has_no_obstacle(cx, view, service, id),
                false => usable.contains(&id),
            };
            if let Some(id) = primary().filter(is_usable) {
                return Some((id, reason));
            }
            if needs_newest {
                return None;
            }
        }
        let usable = self.usable_upstreams(cx, view, service, pending.replica_behind);
        if let Some(failed_at) = &pending.failed_at {
            let others = usable.iter().filter(|id| **id != failed_at);
            let others: Vec<&UpstreamId> = others.copied().collect();
            // At random, so that a faulty upstream's reads are not all sent to one other upstream.
            let nth = cx.rng.random_range(0..others.len().max(1));
            if let Some(other) = others.get(nth) {
                return Some(((*other).clone(), "after-failure"));
            }
            if pending.error_answer.is_some() {
                return None;
            }
        }
        let picked = self.policy.pick(cx, view, service, &usable)?;
        Some(self.failures.replace_loaded(cx, picked, &usable))
    }

    /// Returns whether a request can't run as long as data centres are evacuated: all instances that
    /// could run it, or could become the primary that it needs, are in such.
    ///
    /// It is false until the primary is closed, which may have work under way.
    pub(crate) fn is_evacuated(&self, cx: &Cx<'_>, view: &View, req: &Request) -> bool {
        let Some(service) = view.services.get(&req.service) else {
            return false;
        };
        let mut instances = service.upstreams.iter();
        let primary = self.newest_primary(view, &req.service);
        let primary_open = primary.is_some_and(|(_, id)| !view.is_closed(id, cx.now));
        !service.upstreams.is_empty() && !primary_open && instances.all(|id| view.is_evacuated(id))
    }

    /// Returns the upstreams of a service that may get a read now.
    pub(super) fn usable_upstreams<'a>(
        &self,
        cx: &Cx<'_>,
        view: &View,
        service: &'a ServiceView,
        ignore_behind: bool,
    ) -> Vec<&'a UpstreamId> {
        self.failures
            .usable_upstreams(cx.now, view, &self.checks, service, ignore_behind)
    }

    /// Returns whether a read may be sent to an upstream, also as a last resort.
    fn has_no_obstacle(
        &self,
        cx: &Cx<'_>,
        view: &View,
        service: &ServiceView,
        id: &UpstreamId,
    ) -> bool {
        let (failures, checks) = (&self.failures, &self.checks);
        let obstacle = failures.read_obstacle(cx.now, view, checks, service, id, true);
        obstacle.is_none()
    }

    /// Returns the primary with the highest term out of the view and the owners' hints.
    pub(super) fn newest_primary<'a>(
        &'a self,
        view: &'a View,
        service: &ServiceId,
    ) -> Option<&'a (Term, UpstreamId)> {
        let viewed = view.services.get(service).and_then(|s| s.primary.as_ref());
        let both = viewed.into_iter().chain(self.primary_hints.get(service));
        both.max_by_key(|(term, _)| *term)
    }

    /// Records which primary an owner has named; returns whether its term is newer than known.
    pub(crate) fn on_primary_hint(
        &mut self,
        view: &View,
        service: &ServiceId,
        hint: Option<(Term, UpstreamId)>,
    ) -> bool {
        let Some(hint) = hint else {
            return false;
        };
        let known = self.newest_primary(view, service);
        if known.is_some_and(|(term, _)| *term >= hint.0) {
            return false;
        }
        self.primary_hints.insert(service.clone(), hint);
        true
    }

    /// Drops the hints whose term the view has reached.
    pub(crate) fn drop_known_hints(&mut self, view: &View) {
        self.primary_hints.retain(|service, (term, _)| {
            let viewed = view.services.get(service).and_then(|s| s.primary.as_ref());
            viewed.is_none_or(|(known, _)| known < term)
        });
    }
}

/// Returns whether a request goes to the primary because it, or its transaction, may write.
pub(super) fn may_write(req: &Request) -> bool {
    req.kind == Kind::Write || (req.in_transaction && !req.read_only_transaction)
}

/// Returns whether a read goes to the primary because it must see all acknowledged writes.
pub(super) fn needs_newest(req: &Request) -> bool {
    req.floor.is_none() && req.max_age.is_none()
}
