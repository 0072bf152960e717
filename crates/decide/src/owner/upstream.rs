//! One upstream as its owner sees it: status, claim, queue, pool and running requests.
//!
//! - Part: the state of one thread of a host.
//! - Slot: room for one statement that runs on an upstream at a time.
//! - Claim: the slots and connections of an upstream that this host may use until a lease ends,
//!   granted by the upstream.
//! - Bounce: return a request that has not run to its entry host, which tries another upstream; a
//!   refusal is the caller's answer.
//! - Floor: the lowest log position that a read must see.
//! - `CapacitySource::Claimed`: instances grant claims and are asked for statuses; `Announced`:
//!   owners work out their shares from announcements, the upstream refuses by itself, and each
//!   answer carries its position.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use balance::Health;
use evac::Ramp;
use model::{
    Claim, ConnId, HashMap, InstanceStatus, Kind, Position, Request, Role, ServiceId, Term,
    UpstreamId,
};
use room::{ConcurrencyLimit, Pace};

use crate::breaker::Breaker;
use crate::event::ProbeResult;
use crate::owner::drain::DrainState;
use crate::owner::evacuation::EvacuationState;
use crate::owner::job::{Job, Pin, RunningJob};
use crate::owner::log_event::OwnerLogEvent;
use crate::owner::replica_wait::{InstanceProgress, WaitPolicy};
use crate::owner::settings::CapacitySource;
use crate::pool::Pool;
use crate::queue::{QueueDiscipline, RequestQueue};
use crate::relay::Bounce;
use crate::view::UpstreamView;
use crate::{Cx, View};

/// An upstream that this part queues requests for and holds connections to.
#[derive(Debug)]
pub(crate) struct Upstream<Q: QueueDiscipline, W> {
    pub(crate) id: UpstreamId,
    pub(crate) service: ServiceId,
    pub(crate) addr: SocketAddr,
    /// Whether the current view lists it.
    pub(crate) live: bool,
    /// Whether the view names this host as an owner.
    pub(crate) owned: bool,
    /// Whether it drains, and until when it gets new requests then.
    pub(crate) drain: DrainState,
    /// Whether its data centre is evacuated.
    pub(crate) evacuation: EvacuationState,
    /// This owner's share of the requests that the instance gets while it is cold.
    pub(crate) ramp: Option<Ramp>,
    /// Whether this host is shutting down and accepts no new work.
    pub(crate) leaving: bool,
    /// Whether open transactions are rolled back as soon as no statement of them runs; set at the
    /// leave deadline.
    pub(crate) end_transactions: bool,
    /// Whether the last probe got no status.
    pub(crate) unreachable: bool,
    /// The service's primary and its term, as last known.
    pub(crate) primary: Option<(Term, UpstreamId)>,
    /// The instance's last status and its rate of replication.
    pub(crate) progress: Option<InstanceProgress>,
    /// What this host may use: slots (statements that run at the same time) and connections; and
    /// when the claim ends.
    pub(crate) claim: Option<(Claim, Instant)>,
    /// The requests that wait for a slot or a connection.
    pub(crate) queue: Q::RequestQueue<Job>,
    /// Lower bound of the deadlines in the queue; `None` if it is empty.
    pub(crate) queue_expires_at: Option<Instant>,
    pub(crate) pool: Pool,
    /// The running requests; each takes a slot.
    pub(crate) running: HashMap<ConnId, RunningJob>,
    /// The open transactions.
    pub(crate) pins: HashMap<ConnId, Pin>,
    pub(crate) breaker: Breaker,
    /// When the instance was last behind for a read, unless it has run one since.
    pub(crate) behind_at: Option<Instant>,
    /// How many statements may run at a time, by the instance's busy responses.
    pub(crate) limit: ConcurrencyLimit,
    /// The outcomes of the last reads, and the share of them that is run here.
    pub(crate) health: Health,
    /// How fast the queue moves.
    pub(crate) pace: Pace,
    /// When connections may be opened again after a failure.
    pub(crate) next_open_at: Option<Instant>,
    /// When the upstream last answered a request.
    pub(crate) last_answer_at: Option<Instant>,
    /// A log position of the service's primary, and the moment such that everything acknowledged
    /// before it is covered.
    pub(crate) primary_position: Option<(Position, Instant)>,
    /// Decides whether a read waits for this replica when that is behind.
    pub(crate) wait_policy: W,
}

impl<Q: QueueDiscipline, W: WaitPolicy> Upstream<Q, W> {
    /// Returns the state of an upstream without connections.
    pub(crate) fn new(view: &UpstreamView) -> Self {
        let announcement = &view.announcement;
        Self {
            id: announcement.upstream.clone(),
            service: announcement.service.clone(),
            addr: announcement.addr,
            live: true,
            owned: true,
            drain: DrainState::default(),
            evacuation: EvacuationState::default(),
            ramp: None,
            leaving: false,
            end_transactions: false,
            unreachable: false,
            primary: None,
            progress: None,
            claim: None,
            queue: Default::default(),
            queue_expires_at: None,
            pool: Pool::default(),
            running: HashMap::default(),
            pins: HashMap::default(),
            breaker: Breaker::default(),
            behind_at: None,
            limit: ConcurrencyLimit::default(),
            health: Health::default(),
            pace: Pace::default(),
            next_open_at: None,
            last_answer_at: None,
            primary_position: None,
            wait_policy: W::default(),
        }
    }

    /// Returns the claim, unless it has ended or grants no slots.
    pub(crate) fn active_claim(&self, now: Instant) -> Option<&Claim> {
        let (claim, until) = self.claim.as_ref()?;
        (now < *until && claim.slots > 0).then_some(claim)
    }

    /// Returns how many slots the claim grants; 0 without an active claim.
    pub(crate) fn claimed_slots(&self, now: Instant) -> u32 {
        self.active_claim(now).map_or(0, |claim| claim.slots)
    }

    /// Returns how many statements may run at a time now: the slots of the claim, but no more than
    /// the instance has been shown to accept where the setting `room.limit_concurrency` is on.
    pub(crate) fn usable_slots(&self, cx: &Cx<'_>) -> usize {
        let slots = self.claimed_slots(cx.now);
        match cx.settings.room.limit_concurrency && slots > 0 {
            true => self.limit.allowed(cx.now, slots) as usize,
            false => slots as usize,
        }
    }

    /// Returns whether it accepts requests outside of open transactions.
    pub(crate) fn accepts_work(&self, now: Instant) -> bool {
        let is_drained = self.drain.has_ended(now) || self.is_evacuated(now);
        self.live && self.owned && !self.leaving && !is_drained && self.active_claim(now).is_some()
    }

    /// Stores a status unless it was asked for before the last one, and measures the replication
    /// rate between the two.
    pub(crate) fn record_status(&mut self, status: InstanceStatus, asked_at: Instant) {
        let mut log_rate = None;
        if let Some(last) = &self.progress {
            if asked_at < last.asked_at {
                return;
            }
            log_rate = log_rate_between(last, &status, asked_at).or(last.log_bytes_per_s);
        }
        self.progress = Some(InstanceProgress {
            status,
            asked_at,
            log_bytes_per_s: log_rate,
        });
    }

    /// Returns how a request may start here: at once (`None`), or after the instance has reached the
    /// given position, for which it waits at most the given time.
    pub(crate) fn start_condition(
        &self,
        cx: &Cx<'_>,
        req: &Request,
    ) -> Result<Option<(Position, Duration)>, Bounce> {
        let known = self.progress.as_ref().ok_or(Bounce::Unavailable)?;
        if cx.settings.owner.capacity == CapacitySource::Announced {
            return self.start_condition_by_position(cx, &known.status, req);
        }
        if req.kind == Kind::Write {
            return self.check_takes_writes(&known.status).map(|()| None);
        }
        let floor = req.floor.unwrap_or_default();
        let age = cx.now.duration_since(known.asked_at) + max_data_age(&known.status);
        let too_old = req.max_age.is_some_and(|max| age > max);
        let behind = !has_reached(&known.status, floor);
        if !too_old && !behind {
            return Ok(None);
        }
        if behind {
            let wait = self.wait_policy.wait_time(known, floor, &cx.settings.owner);
            return wait.map(|wait| Some((floor, wait))).ok_or(Bounce::Behind);
        }
        // The known status has aged since it was asked for, but the instance's data may be recent
        // enough by now: the read starts without a wait, and a status that is asked for just before
        // the read runs is checked.
        let worth_trying = req.max_age.is_some_and(|max| known.status.lag <= max);
        let without_wait = (known.status.position, Duration::ZERO);
        worth_trying
            .then_some(Some(without_wait))
            .ok_or(Bounce::Behind)
    }

    /// Returns an error unless the upstream is the primary, as far as is known.
    pub(crate) fn check_takes_writes(&self, status: &InstanceStatus) -> Result<(), Bounce> {
        let deposed = self.primary.as_ref().is_some_and(|(term, id)| {
            *term > status.term || (*term == status.term && *id != self.id)
        });
        if status.role == Role::Primary && !deposed {
            return Ok(());
        }
        Err(self.not_primary_bounce())
    }

    /// Returns the bounce that names the known primary.
    pub(crate) fn not_primary_bounce(&self) -> Bounce {
        let primary = self.primary.clone();
        Bounce::NotPrimary { primary }
    }

    /// Copies the service's primary from the view.
    pub(crate) fn update_primary(&mut self, view: &View) {
        if let Some(service) = view.services.get(&self.service) {
            self.primary.clone_from(&service.primary);
        }
    }

    /// Returns whether another instance is known to be primary.
    pub(crate) fn is_replaced(&self) -> bool {
        self.primary.as_ref().is_some_and(|(_, id)| *id != self.id)
    }

    /// Applies a probe result: the status, or that there was none, and this host's claim.
    pub(crate) fn on_probed(&mut self, cx: &mut Cx<'_>, probed: ProbeResult) {
        self.unreachable = probed.status.is_none();
        match probed.status {
            Some(status) => self.record_status(status, probed.asked_at),
            None => self.record_failure(cx),
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

    /// Returns whether it has no connections and no queued requests.
    pub(crate) fn is_drained(&self) -> bool {
        self.pool.len() == 0 && self.queue.is_empty()
    }

    /// Returns when the next deadline, claim end, idle timeout or retry is due.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let claim = self.claim.as_ref().map(|(_, until)| *until);
        let all = [
            self.queue_expires_at,
            claim,
            self.pool.wake_at(),
            self.pins_wake_at(),
            self.next_open_at,
            self.drain.wake_at(),
            self.evacuation.wake_at(),
            self.limit.wake_at(),
        ];
        all.into_iter().flatten().min()
    }
}

/// Returns whether an instance with this status has everything up to a floor.
///
/// A primary has every position of its term and of earlier ones.
pub(crate) fn has_reached(status: &InstanceStatus, floor: Position) -> bool {
    let has_its_term = status.role == Role::Primary && status.term >= floor.term;
    has_its_term || status.position >= floor
}

/// Returns the greatest age of the data at the time of the status: the lag, widened for clock
/// rates that differ.
pub(crate) fn max_data_age(status: &InstanceStatus) -> Duration {
    let margin = status.lag * model::clock::CLOCK_RATE_MARGIN_PER_MILLE / 1000;
    status.lag + margin
}

/// Returns the log bytes per second between two statuses, if they are of the same log term.
fn log_rate_between(
    last: &InstanceProgress,
    status: &InstanceStatus,
    asked_at: Instant,
) -> Option<f64> {
    let last_position = last.status.position;
    let time = asked_at.duration_since(last.asked_at).as_secs_f64();
    let comparable = last_position.term == status.position.term && time > 0.0;
    comparable.then(|| status.position.offset.saturating_sub(last_position.offset) as f64 / time)
}
