//! Forwards reads to owners of sibling instances, and exchanges loads with them.
//!
//! The decision is that of the crate `balance`. An entry host hears of an instance's load only with
//! the few answers that it gets; the owners of a service's instances see all of their work at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use balance::{Forwarder, LoadReport, Sibling};
use model::{HostId, HostInfo, Kind, PartAddr, RequestId, UpstreamId};

use crate::owner::OwnedUpstreams;
use crate::owner::forward_log_event::ForwardLogEvent;
use crate::owner::log_event::LoggedRequest;
use crate::owner::replica_wait::WaitPolicy;
use crate::owner::upstream::Upstream;
use crate::placement::{preferred_owner, traffic_part};
use crate::queue::{QueueDiscipline, RequestQueue};
use crate::relay::{Bounce, ForwardedRead, RelayMsg, RunRequest};
use crate::view::UpstreamView;
use crate::{Cx, View};

/// How long an instance counts as behind after it was so for a read, unless it runs one: three
/// intervals of reports.
const BEHIND_VALID: Duration = Duration::from_millis(300);

/// The loads of sibling instances, and the reads that were forwarded to them.
#[derive(Debug, Default)]
pub(crate) struct Forwards {
    forwarder: Forwarder,
    /// Forwarded reads whose callers may still wait, to send them back if the link breaks.
    sent: VecDeque<SentRead>,
}

#[derive(Debug)]
struct SentRead {
    origin: PartAddr,
    id: RequestId,
    to: HostId,
    deadline: Instant,
}

impl Forwards {
    /// Forgets the loads of instances that are gone.
    pub(crate) fn on_view(&mut self, view: &View) {
        self.forwarder
            .retain_upstreams(|id| view.upstreams.contains_key(id));
    }

    /// Sends back the reads that were forwarded to a host whose link is down.
    ///
    /// The entry host ignores this for reads that have been answered.
    pub(crate) fn on_link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        self.forwarder.forget_host(host);
        let now = cx.now;
        let all = std::mem::take(&mut self.sent).into_iter();
        let (lost, kept): (VecDeque<_>, VecDeque<_>) = all
            .filter(|read| now < read.deadline && read.origin.host != *host)
            .partition(|read| read.to == *host);
        self.sent = kept;
        if !lost.is_empty() {
            let (host, reads) = (host.clone(), lost.len());
            cx.log(ForwardLogEvent::ForwardsLost { host, reads });
        }
        for SentRead { origin, id, .. } in lost {
            let why = Bounce::Unproved;
            cx.send(origin, RelayMsg::Bounce { id, why });
        }
    }
}

impl<Q: QueueDiscipline, W: WaitPolicy> OwnedUpstreams<Q, W> {
    /// Forwards a read that an entry host has sent to an owner of a sibling instance, if it is
    /// expected to start sooner there or if its own instance is faulty; returns whether it was
    /// forwarded.
    pub(crate) fn forward_read(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        from: &PartAddr,
        run: &RunRequest,
    ) -> bool {
        let cfg = &cx.settings.balance;
        if !(cfg.forward_reads || cfg.eject_faulty) || !may_be_forwarded(run) {
            return false;
        }
        let Some(own) = self.upstreams.get_mut(&run.upstream) else {
            return false;
        };
        if !own.owned {
            return false;
        }
        let is_faulty = cfg.eject_faulty && own.health.turns_away(cx.now);
        let live = live_siblings(view, own);
        let siblings: Vec<Sibling<'_>> = live
            .iter()
            .map(|(up, owners)| Sibling {
                upstream: &up.announcement.upstream,
                owners,
                near: up.announcement.data_centre == cx.me.data_centre,
            })
            .collect();
        let load = own.load(cx.now);
        let forwarder = &mut self.forwards.forwarder;
        let choice = match is_faulty {
            true => forwarder.choose_for_faulty(cx.now, cfg, &own.id, load, &siblings),
            false if cfg.forward_reads => forwarder.choose(cx.now, cfg, &own.id, load, &siblings),
            false => None,
        };
        let Some(choice) = choice else {
            return false;
        };
        let chosen = siblings.iter().find(|to| *to.upstream == choice.upstream);
        let owners = chosen.into_iter().flat_map(|to| to.owners).copied();
        let owner = preferred_owner(&choice.upstream, &run.req.workspace, owners);
        let Some(host) = owner.and_then(|owner| view.hosts.get(owner)) else {
            return false;
        };
        cx.log(ForwardLogEvent::Forwarded {
            request: LoggedRequest {
                upstream: run.upstream.clone(),
                workspace: run.req.workspace.clone(),
                from: from.host.clone(),
                request: run.id,
                label: run.req.label.clone(),
            },
            to: choice.upstream.clone(),
            owner: host.host.clone(),
            own_wait: choice.own_wait,
            wait: choice.wait,
            age: choice.age,
        });
        self.forwards.send(cx, from, run, choice.upstream, host);
        true
    }

    /// Handles a report of another owner; while that is loaded, this owner reports its own loads.
    pub(crate) fn on_load_report(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        from: &PartAddr,
        upstream: &UpstreamId,
        report: LoadReport,
    ) {
        let seen = view.upstreams.get(upstream);
        let Some(seen) = seen.filter(|up| up.owners.contains(&from.host)) else {
            return;
        };
        let forwarder = &mut self.forwards.forwarder;
        forwarder.record(cx.now, upstream, &from.host, report);
        if !report.is_loaded() {
            return;
        }
        let service = &seen.announcement.service;
        let owned = self.upstreams.values();
        let owned = owned.filter(|up| up.owned && up.service == *service);
        let mut owned: Vec<UpstreamId> = owned.map(|up| up.id.clone()).collect();
        owned.sort_unstable();
        for id in owned {
            self.send_report(cx, view, &id, true);
        }
    }

    /// Reports this owner's work for an instance, if it is loaded and a report is due.
    pub(crate) fn report_load(&mut self, cx: &mut Cx<'_>, view: &View, upstream: &UpstreamId) {
        self.send_report(cx, view, upstream, false);
    }

    /// Reports this owner's work for an instance to the other owners of the service.
    fn send_report(&mut self, cx: &mut Cx<'_>, view: &View, id: &UpstreamId, asked: bool) {
        let cfg = &cx.settings.balance;
        let own = self.upstreams.get(id).filter(|own| own.takes_reads(cx.now));
        let Some(own) = own.filter(|_| cfg.forward_reads) else {
            return;
        };
        let report = own.load(cx.now);
        let any_loaded = asked || report.is_loaded();
        let forwarder = &mut self.forwards.forwarder;
        if !forwarder.take_due_report(cx.now, cfg, id, any_loaded) {
            return;
        }
        for to in other_owners(cx.me, view, own) {
            let upstream = id.clone();
            cx.send(to, RelayMsg::Load { upstream, report });
        }
    }

    /// Sends a read back that could not be forwarded.
    pub(crate) fn on_forward_undelivered(
        &mut self,
        cx: &mut Cx<'_>,
        to: &PartAddr,
        read: ForwardedRead,
    ) {
        let ForwardedRead { origin, run } = read;
        let forwards = &mut self.forwards;
        forwards.forwarder.forget_host(&to.host);
        forwards
            .sent
            .retain(|sent| sent.id != run.id || sent.origin != origin);
        let (id, why) = (run.id, Bounce::Unavailable);
        cx.send(origin, RelayMsg::Bounce { id, why });
    }
}

impl Forwards {
    /// Sends a read to an owner of a sibling, and tells the entry host.
    fn send(
        &mut self,
        cx: &mut Cx<'_>,
        from: &PartAddr,
        run: &RunRequest,
        upstream: UpstreamId,
        host: &HostInfo,
    ) {
        let owner = PartAddr {
            host: host.host.clone(),
            part: traffic_part(&upstream, host),
        };
        let now = cx.now;
        self.sent.retain(|read| now < read.deadline);
        self.sent.push_back(SentRead {
            origin: from.clone(),
            id: run.id,
            to: owner.host.clone(),
            deadline: now + run.req.timeout,
        });
        let read = ForwardedRead {
            origin: from.clone(),
            run: RunRequest {
                upstream: upstream.clone(),
                ..run.clone()
            },
        };
        cx.send(owner.clone(), RelayMsg::Forward(Box::new(read)));
        let id = run.id;
        cx.send(
            from.clone(),
            RelayMsg::Forwarded {
                id,
                upstream,
                owner,
            },
        );
    }
}

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Returns this owner's work for the instance.
    fn load(&self, now: Instant) -> LoadReport {
        let cost = |workspace| self.queue.expected_cost(workspace);
        let queued = self.queue.items().map(|job| cost(&job.run.req.workspace));
        let running = self.running.values();
        let running = running.map(|running| cost(&running.job.run.req.workspace));
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: self.active_claim(now).map_or(0, |claim| claim.slots),
            work: queued.chain(running).sum::<Duration>(),
            behind: self.behind_at.is_some_and(|at| now < at + BEHIND_VALID),
        }
    }

    /// Returns whether reads may be forwarded here.
    fn takes_reads(&self, now: Instant) -> bool {
        let is_faulty = self.health.share() < 1.0;
        self.accepts_work(now) && !self.unreachable && !self.breaker.is_open() && !is_faulty
    }
}

/// Returns whether a read may run on any instance that meets its floor and maximum age.
///
/// A read without either needs the primary. A transaction may stay open, and its next statement
/// must find the owner; a read that must not run twice could not be sent elsewhere after a failure.
pub(crate) fn may_be_forwarded(run: &RunRequest) -> bool {
    let req = &run.req;
    let any_instance = req.floor.is_some() || req.max_age.is_some();
    req.kind == Kind::Read
        && any_instance
        && run.pin.is_none()
        && !req.in_transaction
        && req.repeatable
}

/// Returns the other instances of a service that take reads, each with its live owners.
///
/// A draining replica gets no reads; a draining primary keeps its work until it is replaced.
fn live_siblings<'a, Q: QueueDiscipline, W: WaitPolicy>(
    view: &'a View,
    own: &Upstream<Q, W>,
) -> Vec<(&'a UpstreamView, Vec<&'a HostId>)> {
    let Some(service) = view.services.get(&own.service) else {
        return Vec::new();
    };
    let primary = service.primary.as_ref().map(|(_, primary)| primary);
    let others = service.upstreams.iter().filter(|id| **id != own.id);
    let takes_reads = |up: &&UpstreamView| {
        !up.announcement.draining || primary == Some(&up.announcement.upstream)
    };
    let others = others.filter_map(|id| view.upstreams.get(id));
    let with_owners = others.filter(takes_reads).map(|up| {
        let live = up.owners.iter();
        let live = live.filter(|host| view.hosts.contains_key(*host));
        (up, live.collect())
    });
    with_owners.collect()
}

/// Returns the parts of the other owners of an instance's service.
fn other_owners<Q: QueueDiscipline, W: WaitPolicy>(
    me: &HostInfo,
    view: &View,
    own: &Upstream<Q, W>,
) -> Vec<PartAddr> {
    let service = view.services.get(&own.service);
    let upstreams = service.into_iter().flat_map(|service| &service.upstreams);
    let seen = upstreams.filter_map(|id| view.upstreams.get(id));
    let parts = seen.flat_map(|up| {
        let hosts = up.owners.iter().filter_map(|host| view.hosts.get(host));
        hosts.map(|host| PartAddr {
            host: host.host.clone(),
            part: traffic_part(&up.announcement.upstream, host),
        })
    });
    let mut parts: Vec<PartAddr> = parts.filter(|part| part.host != me.host).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}
