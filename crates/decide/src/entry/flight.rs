//! Requests that have no answer yet, with their timers, and how each is answered.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{
    Answer, ConnId, HashMap, Kind, PartAddr, Refusal, Request, RequestId, SessionId, TxStatus,
    UpstreamId, Verdict,
};
use rand::Rng;

use crate::relay::RelayMsg;
use crate::session::{Pin, SessionLogEvent, Sessions};
use crate::{Cx, Effect};

/// The shortest wait before a request is sent again.
const RETRY_MIN: Duration = Duration::from_millis(5);
/// Bits of a request's number that count the attempts of one start of the host.
const START_BITS: u32 = 22;
/// The longest wait before a request is sent again.
const RETRY_MAX: Duration = Duration::from_millis(80);

/// A request that has no answer yet.
#[derive(Debug)]
pub(crate) struct Flight {
    /// The session.
    pub(crate) session: SessionId,
    /// The caller's number of the request.
    pub(crate) request: RequestId,
    /// The request.
    pub(crate) req: Request,
    /// When its caller stops waiting.
    pub(crate) deadline: Instant,
    /// How often it was sent or parked.
    pub(crate) attempts: u32,
    /// Where it runs, or none while it is parked.
    pub(crate) at: Option<Place>,
    /// The moment of its timer.
    pub(crate) timer: Instant,
    /// When it came.
    pub(crate) since: Instant,
    /// Whether it is within its workspace's rate.
    pub(crate) admitted: bool,
    /// Why it was not run at the last attempt.
    pub(crate) why: Refusal,
    /// Whether a replica was behind, so that the primary is next.
    pub(crate) behind: bool,
    /// The attempt before this one, which may still be answered.
    pub(crate) earlier: Option<(RequestId, Place)>,
    /// Whether an attempt may have run, so that "not run" would be no longer true.
    pub(crate) may_have_run: bool,
}

impl Flight {
    /// Returns whether a second attempt can do no harm.
    pub(crate) fn may_be_hedged(&self) -> bool {
        self.req.repeatable && self.req.kind == Kind::Read && !self.req.in_transaction
    }
}

/// Where a request was sent.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// The upstream.
    pub(crate) upstream: UpstreamId,
    /// The part that holds connections to it.
    pub(crate) owner: PartAddr,
    /// The connection of the open transaction.
    pub(crate) pin: Option<ConnId>,
}

/// The requests that have no answer yet, by the number of their last attempt.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    all: HashMap<RequestId, Flight>,
    /// The last attempts of the requests whose earlier ones may still be answered.
    later: HashMap<RequestId, RequestId>,
    timers: BTreeSet<(Instant, RequestId)>,
    last_id: RequestId,
}

impl Flights {
    /// Returns a number for the next attempt.
    ///
    /// No earlier start of the host has used it, whose answers may still be under way.
    pub(crate) fn next_id(&mut self, cx: &Cx<'_>) -> RequestId {
        let first = cx.me.incarnation << START_BITS;
        self.last_id = self.last_id.max(first) + 1;
        self.last_id
    }

    /// Returns the moment of the next timer.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Returns whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, id: RequestId, flight: Flight) {
        self.timers.insert((flight.timer, id));
        if let Some((earlier, _)) = &flight.earlier {
            self.later.insert(*earlier, id);
        }
        self.all.insert(id, flight);
    }

    /// Takes out the request that an answer belongs to, as if only that attempt had been made.
    ///
    /// Returns the other attempt besides, if there is one.
    pub(crate) fn take_answered(
        &mut self,
        id: RequestId,
    ) -> Option<(Flight, Option<(RequestId, Place)>)> {
        if let Some(later) = self.later.remove(&id) {
            let mut flight = self.take(later)?;
            let at = flight.at.take().map(|place| (later, place));
            flight.at = flight.earlier.take().map(|(_, place)| place);
            return Some((flight, at));
        }
        let mut flight = self.take(id)?;
        let earlier = flight.earlier.take();
        Some((flight, earlier))
    }

    /// Forgets an earlier attempt that did not run; returns whether it was one.
    pub(crate) fn forget_earlier(&mut self, id: RequestId) -> bool {
        let Some(later) = self.later.remove(&id) else {
            return false;
        };
        if let Some(flight) = self.all.get_mut(&later) {
            flight.earlier = None;
        }
        true
    }

    /// Takes a request out.
    pub(crate) fn take(&mut self, id: RequestId) -> Option<Flight> {
        let flight = self.all.remove(&id)?;
        self.timers.remove(&(flight.timer, id));
        if let Some((earlier, _)) = &flight.earlier {
            self.later.remove(earlier);
        }
        Some(flight)
    }

    /// Takes out a request whose timer is due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<(RequestId, Flight)> {
        let (_, id) = self.timers.first().copied().filter(|(at, _)| *at <= now)?;
        self.take(id).map(|flight| (id, flight))
    }

    /// Returns all of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &Flight)> {
        self.all.iter().map(|(id, flight)| (*id, flight))
    }
}

impl From<Pin> for Place {
    fn from(pin: Pin) -> Self {
        Self {
            upstream: pin.upstream,
            owner: pin.owner,
            pin: Some(pin.conn),
        }
    }
}

/// Rolls back a transaction that was opened for a caller that is gone.
pub(crate) fn unpin(cx: &mut Cx<'_>, place: Option<Place>, pin: Option<ConnId>) {
    if let Some((place, pin)) = place.zip(pin) {
        let upstream = place.upstream;
        cx.send(place.owner, RelayMsg::Unpin { upstream, pin });
    }
}

/// Gives up the connection of a transaction, which rolls it back.
pub(crate) fn release(cx: &mut Cx<'_>, pin: Option<Pin>) {
    if let Some(pin) = pin {
        let msg = RelayMsg::Unpin {
            upstream: pin.upstream,
            pin: pin.conn,
        };
        cx.send(pin.owner, msg);
    }
}

/// Returns a jittered wait that grows with the attempts.
pub(crate) fn backoff(cx: &mut Cx<'_>, attempts: u32) -> Duration {
    let most = RETRY_MIN * 2u32.saturating_pow(attempts.min(4));
    let most = most.min(RETRY_MAX);
    cx.rng.random_range(RETRY_MIN..=most)
}

/// Answers a caller without an upstream's answer.
pub(crate) fn finish(cx: &mut Cx<'_>, sessions: &mut Sessions, flight: Flight, verdict: Verdict) {
    let verdict = match verdict {
        Verdict::NotRun(_) if flight.may_have_run => Verdict::MayHaveRun,
        verdict => verdict,
    };
    let pinned = sessions
        .get(flight.session)
        .is_some_and(|s| s.pin.is_some());
    let mut answer = Answer::without_result(verdict);
    if pinned {
        answer.tx_status = TxStatus::Open;
    }
    deliver(cx, sessions, &flight, answer);
}

pub(crate) fn deliver(cx: &mut Cx<'_>, sessions: &mut Sessions, flight: &Flight, answer: Answer) {
    if answer.verdict != Verdict::Ran {
        cx.log(SessionLogEvent::Answered {
            session: flight.session,
            request: flight.request,
            label: flight.req.label.clone(),
            workspace: flight.req.workspace.clone(),
            waited: cx.now.saturating_duration_since(flight.since),
            verdict: answer.verdict,
        });
    }
    cx.emit(Effect::Answer {
        session: flight.session,
        request: flight.request,
        answer,
    });
    sessions.finished(cx, flight.session);
}
