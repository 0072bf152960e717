//! Read policies, which choose the upstream for a read, and the choice of an owner to send it to.
//!
//! Both leave out upstreams and owners that failed recently.

use model::{HashMap, HostId, HostInfo, PartAddr, UpstreamId, WorkspaceId};
use rand::Rng;
use std::time::{Duration, Instant};

use crate::entry::owner_check::OwnerChecks;
use crate::placement::{preferred_owner, traffic_part};
use crate::view::{ServiceView, UpstreamView};
use crate::{Cx, View};

/// How long an upstream that was behind a read's floor gets no reads.
const AVOID_BEHIND_FOR: Duration = Duration::from_millis(20);
/// How long an owner gets no requests for an upstream that it could not run one on.
const AVOID_UNAVAILABLE_FOR: Duration = Duration::from_millis(250);
/// How long an owner that left a read unanswered is chosen only if there is no other.
const AVOID_UNANSWERED_FOR: Duration = Duration::from_millis(500);
/// How long an upstream from which a read was forwarded gets reads only if all are loaded. 0.25 s
/// and 1 s left more reads to a slow upstream, of which its owners may forward only a share.
const AVOID_LOADED_FOR: Duration = Duration::from_secs(3);

/// The reasons for which an attempt is sent to an upstream, as in event 100.
pub const ROUTE_REASONS: [&str; 10] = [
    "pinned",
    "write",
    "no-floor",
    "replicas-behind",
    "near-replica",
    "replica",
    "no-replica",
    "primary-only",
    "others-loaded",
    "after-failure",
];

/// Chooses the upstream for a read.
pub trait ReadPolicy: Clone + Default {
    /// Returns one of the usable upstreams, with the reason for the log.
    fn pick(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        service: &ServiceView,
        usable: &[&UpstreamId],
    ) -> Option<(UpstreamId, &'static str)>;
}

/// Sends reads to replicas, those of this host's data centre first, or else to the primary.
#[derive(Clone, Debug, Default)]
pub struct PreferReplicas;

impl ReadPolicy for PreferReplicas {
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

/// Sends every read to the primary.
#[derive(Clone, Debug, Default)]
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

/// Returns whether an upstream is in this host's data centre.
fn is_near(me: &HostInfo, view: &View, upstream: &UpstreamId) -> bool {
    view.upstreams
        .get(upstream)
        .is_some_and(|up| up.announcement.data_centre == me.data_centre)
}

/// Why an upstream gets no reads, or an owner no requests for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Obstacle {
    /// The reason in a word, for operators.
    pub(crate) reason: &'static str,
    /// When it ends by itself; `None` if that isn't known.
    pub(crate) until: Option<Instant>,
}

impl Obstacle {
    /// Returns an obstacle of which it isn't known when it ends.
    fn lasting(reason: &'static str) -> Option<Self> {
        let until = None;
        Some(Self { reason, until })
    }

    /// Returns an obstacle if its end is recorded and has not come.
    fn recorded(reason: &'static str, now: Instant, until: Option<&Instant>) -> Option<Self> {
        let until = until.copied().filter(|until| now < *until);
        until.is_some().then_some(Self { reason, until })
    }
}

/// Upstreams and owners that failed recently, each avoided until a given time.
#[derive(Clone, Debug, Default)]
pub struct RecentFailures {
    behind_until: HashMap<UpstreamId, Instant>,
    unavailable_until: HashMap<(UpstreamId, HostId), Instant>,
    unanswered_until: HashMap<(UpstreamId, HostId), Instant>,
    loaded_until: HashMap<UpstreamId, Instant>,
}

impl RecentFailures {
    /// Records that an upstream had not reached a read's floor, or that its data was too old.
    pub fn record_behind(&mut self, now: Instant, upstream: &UpstreamId) {
        self.behind_until
            .insert(upstream.clone(), now + AVOID_BEHIND_FOR);
    }

    /// Records that an owner could not run a request on an upstream.
    pub fn record_unavailable(&mut self, now: Instant, upstream: &UpstreamId, owner: &HostId) {
        let pair = (upstream.clone(), owner.clone());
        self.unavailable_until
            .insert(pair, now + AVOID_UNAVAILABLE_FOR);
    }

    /// Records that an owner has left a read on an upstream unanswered.
    pub fn record_unanswered(&mut self, now: Instant, upstream: &UpstreamId, owner: &HostId) {
        let pair = (upstream.clone(), owner.clone());
        self.unanswered_until
            .insert(pair, now + AVOID_UNANSWERED_FOR);
    }

    /// Records that an owner of an upstream has forwarded a read, since the upstream is loaded.
    pub fn record_loaded(&mut self, now: Instant, upstream: &UpstreamId) {
        self.loaded_until
            .insert(upstream.clone(), now + AVOID_LOADED_FOR);
    }

    fn is_loaded(&self, now: Instant, upstream: &UpstreamId) -> bool {
        self.load_obstacle(now, upstream).is_some()
    }

    /// Returns until when an upstream gets reads only if all are loaded, if it is loaded.
    pub(crate) fn load_obstacle(&self, now: Instant, upstream: &UpstreamId) -> Option<Obstacle> {
        Obstacle::recorded("loaded", now, self.loaded_until.get(upstream))
    }

    /// Returns another upstream in place of a loaded one that a policy has chosen for a read: a
    /// random one that is not known to be loaded, or any one if all are.
    pub(crate) fn replace_loaded(
        &self,
        cx: &mut Cx<'_>,
        picked: (UpstreamId, &'static str),
        usable: &[&UpstreamId],
    ) -> (UpstreamId, &'static str) {
        if !self.is_loaded(cx.now, &picked.0) {
            return picked;
        }
        let free = usable.iter().filter(|id| !self.is_loaded(cx.now, id));
        let free: Vec<_> = free.copied().collect();
        let among = if free.is_empty() { usable } else { &free };
        let nth = cx.rng.random_range(0..among.len());
        (among[nth].clone(), "others-loaded")
    }

    /// Returns whether an owner has recently left a read on an upstream unanswered.
    fn left_unanswered(&self, now: Instant, upstream: &UpstreamId, owner: &HostId) -> bool {
        self.unanswered_obstacle(now, upstream, owner).is_some()
    }

    /// Returns until when an owner is chosen only if there is no other, if it has recently left a
    /// read on an upstream unanswered.
    pub(crate) fn unanswered_obstacle(
        &self,
        now: Instant,
        upstream: &UpstreamId,
        owner: &HostId,
    ) -> Option<Obstacle> {
        // Few pairs are recorded at a time: a scan needs no owned key, which a lookup would.
        let mut pairs = self.unanswered_until.iter();
        let pair = pairs.find(|((id, host), _)| id == upstream && host == owner);
        Obstacle::recorded("unanswered", now, pair.map(|(_, until)| until))
    }

    /// Removes the records whose time has passed.
    pub fn expire(&mut self, now: Instant) {
        self.behind_until.retain(|_, until| *until > now);
        self.unavailable_until.retain(|_, until| *until > now);
        self.unanswered_until.retain(|_, until| *until > now);
        self.loaded_until.retain(|_, until| *until > now);
    }

    /// Returns the upstreams of a service that may get a read now.
    ///
    /// It leaves out draining replicas, those that were behind a floor, those of evacuated data
    /// centres, a primary there once it is closed, and upstreams that no owner can reach. Upstreams
    /// whose owners have all left reads unanswered are the last resort.
    pub(crate) fn usable_upstreams<'a>(
        &self,
        now: Instant,
        view: &View,
        checks: &OwnerChecks,
        service: &'a ServiceView,
        ignore_behind: bool,
    ) -> Vec<&'a UpstreamId> {
        let usable = service.upstreams.iter().filter(|id| {
            self.read_obstacle(now, view, checks, service, id, ignore_behind)
                .is_none()
        });
        let mut usable: Vec<&UpstreamId> = usable.collect();
        let responsive = |id: &&UpstreamId| {
            let owners = view.upstreams.get(*id).map(|up| &up.owners);
            let mut owners = owners.into_iter().flatten();
            owners.any(|owner| !self.left_unanswered(now, id, owner))
        };
        if !self.unanswered_until.is_empty() && usable.iter().any(responsive) {
            usable.retain(responsive);
        }
        usable
    }

    /// Returns why an upstream of a service may get no read now; `None` if it may.
    pub(crate) fn read_obstacle(
        &self,
        now: Instant,
        view: &View,
        checks: &OwnerChecks,
        service: &ServiceView,
        id: &UpstreamId,
        ignore_behind: bool,
    ) -> Option<Obstacle> {
        let primary = service.primary.as_ref();
        let is_primary = primary.is_some_and(|(_, primary)| primary == id);
        if view.is_closed(id, now) || (!is_primary && view.is_evacuated(id)) {
            return Obstacle::lasting("evacuated");
        }
        let up = view.upstreams.get(id);
        if !is_primary && up.is_some_and(|up| up.announcement.draining) {
            return Obstacle::lasting("draining");
        }
        if !ignore_behind
            && let Some(behind) = Obstacle::recorded("behind", now, self.behind_until.get(id))
        {
            return Some(behind);
        }
        if up.is_some_and(|up| self.has_usable_owner(now, view, checks, up)) {
            return None;
        }
        Obstacle::lasting("no-usable-owner")
    }

    /// Returns whether an upstream has an owner that requests may be sent to.
    fn has_usable_owner(
        &self,
        now: Instant,
        view: &View,
        checks: &OwnerChecks,
        up: &UpstreamView,
    ) -> bool {
        let id = &up.announcement.upstream;
        up.owners
            .iter()
            .any(|host| self.is_usable_owner(now, view, checks, id, host))
    }

    /// Returns whether an owner is live, not silent and has not recently failed to reach an
    /// upstream.
    fn is_usable_owner(
        &self,
        now: Instant,
        view: &View,
        checks: &OwnerChecks,
        upstream: &UpstreamId,
        host: &HostId,
    ) -> bool {
        self.owner_obstacle(now, view, checks, upstream, host)
            .is_none()
    }

    /// Returns why an owner may get no requests for an upstream now; `None` if it may.
    pub(crate) fn owner_obstacle(
        &self,
        now: Instant,
        view: &View,
        checks: &OwnerChecks,
        upstream: &UpstreamId,
        host: &HostId,
    ) -> Option<Obstacle> {
        if !view.hosts.contains_key(host) {
            return Obstacle::lasting("cut-off");
        }
        if checks.is_silent(host) {
            return Obstacle::lasting("silent");
        }
        let pair = (upstream.clone(), host.clone());
        Obstacle::recorded("unavailable", now, self.unavailable_until.get(&pair))
    }

    /// Returns the traffic part (state of one thread of a host) to send an upstream's request to.
    ///
    /// It is that of a usable owner: the one that the workspace prefers if the settings say so, else
    /// a random one. An owner that left a read unanswered is the last resort.
    pub(crate) fn pick_owner(
        &self,
        cx: &mut Cx<'_>,
        view: &View,
        checks: &OwnerChecks,
        upstream: &UpstreamId,
        workspace: &WorkspaceId,
    ) -> Option<PartAddr> {
        let up = view.upstreams.get(upstream)?;
        let now = cx.now;
        let usable = |host: &&HostId| self.is_usable_owner(now, view, checks, upstream, host);
        let mut owners: Vec<&HostId> = up.owners.iter().filter(usable).collect();
        if owners.is_empty() {
            return None;
        }
        let responsive = |host: &&HostId| !self.left_unanswered(now, upstream, host);
        if !self.unanswered_until.is_empty() && owners.iter().any(responsive) {
            owners.retain(responsive);
        }
        let owner = if cx.settings.balance.preferred_owner {
            preferred_owner(upstream, workspace, owners)?
        } else {
            owners[cx.rng.random_range(0..owners.len())]
        };
        let host = view.hosts.get(owner)?;
        Some(PartAddr {
            host: host.host.clone(),
            part: traffic_part(upstream, host),
        })
    }
}
