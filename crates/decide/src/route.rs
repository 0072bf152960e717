//! Chooses the upstream for a request and the owner to send it to.

use model::{HashMap, HostId, HostInfo, PartAddr, UpstreamId};
use rand::Rng;
use std::time::{Duration, Instant};

use crate::place::traffic_part;
use crate::view::{ServiceView, UpstreamView};
use crate::{Cx, View};

/// How long a replica that was behind gets no reads.
const SKIP_BEHIND: Duration = Duration::from_millis(20);
/// How long an upstream that could not be reached gets no requests.
const SKIP_UNAVAILABLE: Duration = Duration::from_millis(250);

/// How long an owner that left a read unanswered is taken only if there is no other.
const SKIP_SLOW: Duration = Duration::from_millis(500);

/// Picks the upstream for a read.
pub trait ReadPolicy: Default {
    /// Returns an upstream out of the candidates, with the reason for the log.
    fn pick(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        service: &ServiceView,
        usable: &[&UpstreamId],
    ) -> Option<(UpstreamId, &'static str)>;
}

/// Reads go to replicas, first to those of this host's data centre.
#[derive(Debug, Default)]
pub struct Replicas;

impl ReadPolicy for Replicas {
    fn pick(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        service: &ServiceView,
        usable: &[&UpstreamId],
    ) -> Option<(UpstreamId, &'static str)> {
        let primary = service.primary.as_ref().map(|(_, upstream)| upstream);
        let replicas = || usable.iter().filter(|id| Some(**id) != primary);
        let near = || replicas().filter(|id| is_near(cx.me, view, id));
        let count = near().count();
        if count > 0 {
            let nth = cx.rng.random_range(0..count);
            return near().nth(nth).map(|id| ((*id).clone(), "near-replica"));
        }
        let count = replicas().count();
        if count > 0 {
            let nth = cx.rng.random_range(0..count);
            return replicas().nth(nth).map(|id| ((*id).clone(), "replica"));
        }
        primary
            .filter(|id| usable.contains(id))
            .map(|id| (id.clone(), "no-replica"))
    }
}

/// Every read goes to the primary.
#[derive(Debug, Default)]
pub struct PrimaryOnly;

impl ReadPolicy for PrimaryOnly {
    fn pick(
        &self,
        _cx: &mut Cx<'_>,
        _view: &View,
        service: &ServiceView,
        usable: &[&UpstreamId],
    ) -> Option<(UpstreamId, &'static str)> {
        let (_, primary) = service.primary.as_ref()?;
        usable
            .contains(&primary)
            .then(|| (primary.clone(), "primary-only"))
    }
}

fn is_near(me: &HostInfo, view: &View, upstream: &UpstreamId) -> bool {
    view.upstreams
        .get(upstream)
        .is_some_and(|up| up.announcement.data_centre == me.data_centre)
}

/// Remembers which upstreams are better left alone for a moment.
#[derive(Debug, Default)]
pub struct Skips {
    behind: HashMap<UpstreamId, Instant>,
    unavailable: HashMap<(UpstreamId, HostId), Instant>,
    slow: HashMap<(UpstreamId, HostId), Instant>,
}

impl Skips {
    /// Notes that an upstream was behind a floor.
    pub fn behind(&mut self, now: Instant, upstream: &UpstreamId) {
        self.behind.insert(upstream.clone(), now + SKIP_BEHIND);
    }

    /// Notes that an owner could not run a request on an upstream.
    pub fn unavailable(&mut self, now: Instant, upstream: &UpstreamId, owner: &HostId) {
        let pair = (upstream.clone(), owner.clone());
        self.unavailable.insert(pair, now + SKIP_UNAVAILABLE);
    }

    /// Notes that an owner has left a read on an upstream unanswered.
    pub fn slow(&mut self, now: Instant, upstream: &UpstreamId, owner: &HostId) {
        let pair = (upstream.clone(), owner.clone());
        self.slow.insert(pair, now + SKIP_SLOW);
    }

    fn is_slow(&self, now: Instant, upstream: &UpstreamId, owner: &HostId) -> bool {
        // Few pairs are slow at a time, so that no key has to be made to look.
        let mut slow = self.slow.iter();
        slow.any(|((id, host), until)| id == upstream && host == owner && now < *until)
    }

    /// Forgets a moment that has passed.
    pub fn expire(&mut self, now: Instant) {
        self.behind.retain(|_, until| *until > now);
        self.unavailable.retain(|_, until| *until > now);
        self.slow.retain(|_, until| *until > now);
    }

    fn is_behind(&self, now: Instant, upstream: &UpstreamId) -> bool {
        self.behind.get(upstream).is_some_and(|until| *until > now)
    }

    fn is_unavailable(&self, now: Instant, upstream: &UpstreamId, owner: &HostId) -> bool {
        self.unavailable
            .get(&(upstream.clone(), owner.clone()))
            .is_some_and(|until| *until > now)
    }

    /// Returns the upstreams that may get a read now.
    pub fn usable<'a>(
        &self,
        now: Instant,
        view: &View,
        service: &'a ServiceView,
        ignore_behind: bool,
    ) -> Vec<&'a UpstreamId> {
        let primary = service.primary.as_ref().map(|(_, primary)| primary);
        let stays = |id: &&UpstreamId| {
            let up = view.upstreams.get(*id);
            primary == Some(*id) || up.is_some_and(|up| !up.announcement.draining)
        };
        let mut usable: Vec<&UpstreamId> = service
            .upstreams
            .iter()
            .filter(stays)
            .filter(|id| ignore_behind || !self.is_behind(now, id))
            .filter(|id| {
                let up = view.upstreams.get(*id);
                up.is_some_and(|up| self.any_owner(now, view, up))
            })
            .collect();
        let answers = |id: &&UpstreamId| {
            let owners = view.upstreams.get(*id).map(|up| &up.owners);
            let mut owners = owners.into_iter().flatten();
            owners.any(|owner| !self.is_slow(now, id, owner))
        };
        if !self.slow.is_empty() && usable.iter().any(answers) {
            usable.retain(answers);
        }
        usable
    }

    fn any_owner(&self, now: Instant, view: &View, up: &UpstreamView) -> bool {
        let id = &up.announcement.upstream;
        up.owners
            .iter()
            .any(|host| view.hosts.contains_key(host) && !self.is_unavailable(now, id, host))
    }

    /// Returns the part of an owner that may run a request on an upstream.
    pub fn pick_owner(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        upstream: &UpstreamId,
    ) -> Option<PartAddr> {
        let up = view.upstreams.get(upstream)?;
        let now = cx.now;
        let live = |host: &&HostId| {
            view.hosts.contains_key(*host) && !self.is_unavailable(now, upstream, host)
        };
        let mut owners: Vec<&HostId> = up.owners.iter().filter(live).collect();
        if owners.is_empty() {
            return None;
        }
        let answers = |host: &&HostId| !self.is_slow(now, upstream, host);
        if !self.slow.is_empty() && owners.iter().any(answers) {
            owners.retain(answers);
        }
        let nth = cx.rng.random_range(0..owners.len());
        let host = view.hosts.get(owners[nth])?;
        Some(PartAddr {
            host: host.host.clone(),
            part: traffic_part(upstream, host),
        })
    }
}
