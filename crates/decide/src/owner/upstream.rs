//! One upstream as its owner sees it: what is known of it, who waits for it and what it runs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::{
    Claim, ConnId, HashMap, InstanceStatus, Kind, Position, Request, Role, ServiceId, Term,
    UpstreamId,
};

use crate::breaker::Breaker;
use crate::event::ProbeResult;
use crate::owner::job::{Job, Pin, Running};
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::settings::Capacity;
use crate::owner::wait::{Progress, WaitPolicy};
use crate::pool::Pool;
use crate::queue::{Discipline, Queue};
use crate::relay::Bounce;
use crate::view::UpstreamView;
use crate::{Cx, View};

/// An upstream that this part holds connections to.
#[derive(Debug)]
pub(crate) struct Upstream<Q: Discipline, W> {
    pub(crate) id: UpstreamId,
    pub(crate) service: ServiceId,
    pub(crate) addr: SocketAddr,
    /// Whether the view lets it have new work.
    pub(crate) live: bool,
    /// Whether the view names this host as an owner.
    pub(crate) owned: bool,
    /// Whether this host is leaving.
    pub(crate) leaving: bool,
    /// Whether open transactions are not waited for any more.
    pub(crate) cut: bool,
    /// Whether it answers neither on open connections nor on new ones.
    pub(crate) down: bool,
    /// The last known term of the service and its primary.
    pub(crate) primary: Option<(Term, UpstreamId)>,
    pub(crate) known: Option<Progress>,
    /// This host's share and when it ends.
    pub(crate) claim: Option<(Claim, Instant)>,
    pub(crate) queue: Q::Queue<Job>,
    /// No deadline in the queue is earlier than this.
    pub(crate) expires_at: Option<Instant>,
    pub(crate) pool: Pool,
    pub(crate) running: HashMap<ConnId, Running>,
    pub(crate) pins: HashMap<ConnId, Pin>,
    pub(crate) breaker: Breaker,
    /// The moment before which no connection is opened.
    pub(crate) open_after: Option<Instant>,
    /// When a request was last answered.
    pub(crate) heard_at: Option<Instant>,
    /// A position that the primary had, and a moment at which everything up to it was all.
    pub(crate) reached: Option<(Position, Instant)>,
    pub(crate) wait: W,
}

impl<Q: Discipline, W: WaitPolicy> Upstream<Q, W> {
    /// Returns an upstream without connections.
    pub(crate) fn new(view: &UpstreamView) -> Self {
        let announcement = &view.announcement;
        Self {
            id: announcement.upstream.clone(),
            service: announcement.service.clone(),
            addr: announcement.addr,
            live: true,
            owned: true,
            leaving: false,
            cut: false,
            down: false,
            primary: None,
            known: None,
            claim: None,
            queue: Default::default(),
            expires_at: None,
            pool: Pool::default(),
            running: HashMap::default(),
            pins: HashMap::default(),
            breaker: Breaker::default(),
            open_after: None,
            heard_at: None,
            reached: None,
            wait: W::default(),
        }
    }

    /// Returns the claim, unless it has ended.
    pub(crate) fn held(&self, now: Instant) -> Option<&Claim> {
        let (claim, until) = self.claim.as_ref()?;
        (now < *until && claim.slots > 0).then_some(claim)
    }

    /// Returns whether new work may start on it.
    pub(crate) fn open_for_work(&self, now: Instant) -> bool {
        self.live && self.owned && !self.leaving && self.held(now).is_some()
    }

    /// Takes in a status that was asked for at a moment.
    pub(crate) fn learn(&mut self, status: InstanceStatus, asked_at: Instant) {
        let mut pace = None;
        if let Some(last) = &self.known {
            if asked_at < last.asked_at {
                return;
            }
            pace = pace_between(last, &status, asked_at).or(last.pace);
        }
        self.known = Some(Progress {
            status,
            asked_at,
            pace,
        });
    }

    /// Returns how a request may start: at once, or after a wait for a position.
    pub(crate) fn fit(
        &self,
        cx: &Cx<'_>,
        req: &Request,
    ) -> Result<Option<(Position, Duration)>, Bounce> {
        let known = self.known.as_ref().ok_or(Bounce::Unavailable)?;
        if cx.settings.owner.capacity == Capacity::Announced {
            return self.fit_by_position(cx, &known.status, req);
        }
        if req.kind == Kind::Write {
            return self.fit_write(&known.status).map(|()| None);
        }
        let floor = req.floor.unwrap_or_default();
        let age = cx.now.duration_since(known.asked_at) + age_bound(&known.status);
        let old = req.max_age.is_some_and(|max| age > max);
        let behind = !reaches(&known.status, floor);
        if !old && !behind {
            return Ok(None);
        }
        if behind {
            let wait = self.wait.wait(known, floor, &cx.settings.owner);
            return wait.map(|wait| Some((floor, wait))).ok_or(Bounce::Behind);
        }
        let worth = req.max_age.is_some_and(|max| known.status.lag <= max);
        let fresh = (known.status.position, Duration::ZERO);
        worth.then_some(Some(fresh)).ok_or(Bounce::Behind)
    }

    /// Returns whether the upstream takes writes, as far as is known.
    pub(crate) fn fit_write(&self, status: &InstanceStatus) -> Result<(), Bounce> {
        let deposed = self.primary.as_ref().is_some_and(|(term, id)| {
            *term > status.term || (*term == status.term && *id != self.id)
        });
        if status.role == Role::Primary && !deposed {
            return Ok(());
        }
        Err(self.not_primary())
    }

    /// Returns the answer that points to the primary.
    pub(crate) fn not_primary(&self) -> Bounce {
        let primary = self.primary.clone();
        Bounce::NotPrimary { primary }
    }

    /// Follows what the view says of the service's primary.
    pub(crate) fn follow(&mut self, view: &View) {
        if let Some(service) = view.services.get(&self.service) {
            self.primary.clone_from(&service.primary);
        }
    }

    /// Returns whether another instance is known to be primary.
    pub(crate) fn is_replaced(&self) -> bool {
        self.primary.as_ref().is_some_and(|(_, id)| *id != self.id)
    }

    /// Takes in the status and this host's share.
    pub(crate) fn on_probed(&mut self, cx: &mut Cx<'_>, probed: ProbeResult) {
        self.down = probed.status.is_none();
        match probed.status {
            Some(status) => self.learn(status, probed.asked_at),
            None => self.count_failure(cx),
        }
        let share = |claim: &Option<(Claim, Instant)>| {
            let claim = claim.as_ref().map(|(claim, _)| claim);
            claim.map_or((0, 0), |claim| (claim.slots, claim.connections))
        };
        let (slots, connections) = share(&probed.claim);
        if share(&self.claim) != (slots, connections) {
            let upstream = self.id.clone();
            cx.log(OwnerLogEvent::Claimed {
                upstream,
                slots,
                connections,
            });
        }
        self.claim = probed.claim;
    }

    /// Returns whether nothing is held or waits.
    pub(crate) fn is_drained(&self) -> bool {
        self.pool.len() == 0 && self.queue.is_empty()
    }

    /// Returns the moment at which something is due.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let claim = self.claim.as_ref().map(|(_, until)| *until);
        let all = [
            self.expires_at,
            claim,
            self.pool.wake_at(),
            self.pins_wake_at(),
            self.open_after,
        ];
        all.into_iter().flatten().min()
    }
}

/// Returns whether an upstream of this status has everything up to a floor.
pub(crate) fn reaches(status: &InstanceStatus, floor: Position) -> bool {
    let written_here = status.role == Role::Primary && status.term >= floor.term;
    written_here || status.position >= floor
}

/// Returns how old the data may have been at the moment of the status.
pub(crate) fn age_bound(status: &InstanceStatus) -> Duration {
    let margin = status.lag * model::clock::CLOCK_RATE_MARGIN_PER_MILLE / 1000;
    status.lag + margin
}

/// Returns how many bytes of log were taken in a second between two statuses.
fn pace_between(last: &Progress, status: &InstanceStatus, asked_at: Instant) -> Option<f64> {
    let past = last.status.position;
    let time = asked_at.duration_since(last.asked_at).as_secs_f64();
    let same = past.term == status.position.term && time > 0.0;
    same.then(|| status.position.offset.saturating_sub(past.offset) as f64 / time)
}
