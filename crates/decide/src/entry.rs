//! The entry side: requests of callers on their way to owners, until each has its answer.

pub mod budget;
pub(crate) mod flight;
mod hedge;
pub(crate) mod pick;

use std::time::Instant;

use model::{
    Answer, ConnId, HostId, Kind, Refusal, Request, RequestId, SessionId, TxStatus, Verdict,
};

use crate::admit::{Admission, Admit};
use crate::entry::budget::{Budget, BudgetSettings};
use crate::entry::flight::{Flight, Flights, backoff, deliver, finish, release, unpin};
use crate::entry::pick::Router;
use crate::grant::PartTokenGrant;
use crate::relay::{Bounce, RelayMsg, Run};
use crate::route::ReadPolicy;
use crate::session::{Pin, SessionLogEvent, Sessions, is_graceful};
use crate::{Cx, View};

/// The longest that any request may take, whatever its route or caller says.
const LONGEST: std::time::Duration = std::time::Duration::from_secs(3600);

/// Requests of callers that have no answer yet.
#[derive(Debug)]
pub struct Entry<R, A> {
    router: Router<R>,
    admission: A,
    flights: Flights,
    budget: Budget,
}

impl<R: ReadPolicy, A: Admission> Entry<R, A> {
    /// Returns an entry side without requests.
    pub fn new(admission: A, hedge: BudgetSettings) -> Self {
        Self {
            router: Router::default(),
            admission,
            flights: Flights::default(),
            budget: Budget::new(hedge),
        }
    }

    /// Returns the moment of the next timer.
    pub fn wake_at(&self) -> Option<Instant> {
        let timer = self.flights.wake_at();
        timer.into_iter().chain(self.admission.wake_at()).min()
    }

    /// Tells the control part of used and needed tokens, when that is due.
    pub fn flush(&mut self, cx: &mut Cx<'_>) {
        self.admission.flush(cx);
    }

    /// Takes tokens from the control part, and lets go on what waited for them.
    pub fn on_token_grant(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        feed: &PartTokenGrant,
    ) {
        self.admission.on_token_grant(feed);
        if !feed.allocations.is_empty() {
            self.resend(cx, view, sessions, |flight| !flight.admitted);
        }
    }

    /// Returns whether no request waits for an answer.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Takes a caller's request.
    pub fn request(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: (SessionId, RequestId),
        mut req: Request,
    ) {
        let (session_id, request) = id;
        let Some(session) = sessions.get_mut(session_id) else {
            return;
        };
        session.running = Some(request);
        // What the caller no longer knows of must not take in its next statement.
        if session.route.is_some() && !req.continues_transaction {
            release(cx, session.pin.take());
        }
        let dressed = session.dress(view, cx.settings.session.default_max_age, &mut req);
        let paid = session.is_paid();
        let refusal = if session.lost_transaction {
            session.lost_transaction = false;
            Some(Refusal::TransactionLost)
        } else if !view.usable {
            Some(Refusal::NotReady)
        } else {
            let ending = session.ending.filter(|why| !is_graceful(*why));
            ending.or(dressed.err())
        };
        // Without rules of a route, the front end may state no bound of its own.
        let timeout = req
            .timeout
            .min(cx.settings.session.request_timeout.max(LONGEST));
        let deadline = cx.now + timeout;
        let flight = Flight {
            session: session_id,
            request,
            req,
            deadline,
            attempts: 0,
            at: None,
            timer: deadline,
            since: cx.now,
            admitted: paid,
            why: Refusal::NoUpstream,
            behind: false,
            earlier: None,
            may_have_run: false,
        };
        if refusal.is_some() && flight.req.rolls_back {
            let pin = sessions.get_mut(session_id).and_then(|s| s.pin.take());
            release(cx, pin);
        }
        match refusal {
            Some(refusal) => finish(cx, sessions, flight, Verdict::NotRun(refusal)),
            None => self.send(cx, view, sessions, flight),
        }
    }

    /// Sends a request to an owner, or parks it if nothing can run it yet.
    fn send(&mut self, cx: &mut Cx<'_>, view: &View, sessions: &mut Sessions, flight: Flight) {
        if sessions.get(flight.session).is_none() {
            return self.abandon(&flight);
        }
        let Some(mut flight) = self.admit(cx, sessions, flight) else {
            return;
        };
        if cx.now >= flight.deadline {
            let why = flight.why;
            return finish(cx, sessions, flight, Verdict::NotRun(why));
        }
        let pin = sessions.get(flight.session).and_then(|s| s.pin.clone());
        let picked = match pin {
            Some(pin) => Some((pin.into(), "pinned")),
            None => self.router.pick(cx, view, &flight),
        };
        let Some((place, reason)) = picked else {
            return self.park(cx, flight);
        };
        let id = self.flights.next_id(cx);
        cx.log(SessionLogEvent::Routed {
            session: flight.session,
            request: flight.request,
            label: flight.req.label.clone(),
            upstream: place.upstream.clone(),
            owner: place.owner.host.clone(),
            reason,
        });
        let mut req = flight.req.clone();
        req.timeout = flight.deadline - cx.now;
        let run = Run {
            id,
            session: flight.session,
            upstream: place.upstream.clone(),
            pin: place.pin,
            req,
        };
        cx.send(place.owner.clone(), RelayMsg::Run(Box::new(run)));
        flight.attempts += 1;
        flight.timer = flight.deadline + cx.settings.session.answer_grace;
        if place.pin.is_none() && flight.may_be_hedged() {
            self.budget.on_request();
            let hedge_after = cx.settings.session.hedge_after;
            let hedge_at = hedge_after.map(|after| cx.now + after);
            let hedge_at = hedge_at.filter(|at| *at < flight.deadline);
            flight.timer = hedge_at.unwrap_or(flight.timer);
        }
        flight.at = Some(place);
        self.flights.insert(id, flight);
    }

    /// Returns a request that is within its workspace's rate; another one waits or is refused.
    fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        sessions: &mut Sessions,
        mut flight: Flight,
    ) -> Option<Flight> {
        if flight.admitted {
            return Some(flight);
        }
        let waited = cx.now.duration_since(flight.since);
        let workspace = &flight.req.workspace;
        match self.admission.try_admit(cx.now, workspace, waited) {
            Admit::Now => {
                flight.admitted = true;
                Some(flight)
            }
            Admit::Wait(wait) if cx.now + wait < flight.deadline => {
                flight.timer = cx.now + wait;
                let id = self.flights.next_id(cx);
                self.flights.insert(id, flight);
                None
            }
            Admit::Wait(_) => {
                self.abandon(&flight);
                finish(cx, sessions, flight, Verdict::NotRun(Refusal::OverRate));
                None
            }
            Admit::Refuse => {
                finish(cx, sessions, flight, Verdict::NotRun(Refusal::OverRate));
                None
            }
        }
    }

    /// Forgets that a request waits for a token.
    fn abandon(&mut self, flight: &Flight) {
        if !flight.admitted {
            self.admission.abandon(&flight.req.workspace);
        }
    }

    fn park(&mut self, cx: &mut Cx<'_>, mut flight: Flight) {
        let id = self.flights.next_id(cx);
        if flight.req.kind == Kind::Write {
            flight.why = Refusal::NoPrimary;
        }
        cx.log(SessionLogEvent::Parked {
            session: flight.session,
            request: flight.request,
            label: flight.req.label.clone(),
            refusal: flight.why,
        });
        flight.at = None;
        flight.attempts += 1;
        flight.timer = (cx.now + backoff(cx, flight.attempts)).min(flight.deadline);
        self.flights.insert(id, flight);
    }

    /// Takes an owner's final answer.
    pub fn answer(
        &mut self,
        cx: &mut Cx<'_>,
        sessions: &mut Sessions,
        id: RequestId,
        answer: Answer,
        pin: Option<ConnId>,
    ) {
        let Some((flight, other)) = self.flights.take_answered(id) else {
            return;
        };
        if let Some((id, place)) = other {
            cx.send(place.owner, RelayMsg::Cancel { id });
        }
        if sessions.get(flight.session).is_none() {
            return unpin(cx, flight.at, pin);
        }
        if let Some(session) = sessions.get_mut(flight.session) {
            let open = answer.tx_status != TxStatus::Idle;
            let place = flight.at.as_ref().filter(|_| open);
            session.pin = place.zip(pin).map(|(place, conn)| Pin {
                upstream: place.upstream.clone(),
                owner: place.owner.clone(),
                conn,
            });
            session.floor = session.floor.max(answer.position);
        }
        deliver(cx, sessions, &flight, answer);
    }

    /// Takes an owner's word that a request did not run there.
    pub fn bounced(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        id: RequestId,
        why: Bounce,
    ) {
        if self.flights.forget_earlier(id) {
            return;
        }
        let Some(mut flight) = self.flights.take(id) else {
            return;
        };
        let Some(place) = flight.at.take() else {
            return;
        };
        if place.pin.is_some() {
            if let Some(session) = sessions.get_mut(flight.session) {
                session.pin = None;
            }
            let verdict = Verdict::NotRun(Refusal::TransactionLost);
            return finish(cx, sessions, flight, verdict);
        }
        match why {
            Bounce::Refused(refusal) => {
                return finish(cx, sessions, flight, Verdict::NotRun(refusal));
            }
            Bounce::Behind => {
                self.router.skips.behind(cx.now, &place.upstream);
                flight.why = Refusal::NoUpstream;
                flight.behind = true;
                flight.may_have_run = true;
                return self.send(cx, view, sessions, flight);
            }
            Bounce::NotPrimary { primary } => {
                flight.why = Refusal::NoPrimary;
                if self.router.learn(view, &flight.req.service, primary) {
                    return self.send(cx, view, sessions, flight);
                }
            }
            Bounce::NotOwner | Bounce::Unavailable | Bounce::Unproved => {
                flight.may_have_run |= why == Bounce::Unproved;
                let owner = &place.owner.host;
                self.router
                    .skips
                    .unavailable(cx.now, &place.upstream, owner);
                flight.why = Refusal::NoUpstream;
                if flight.attempts <= 1 {
                    return self.send(cx, view, sessions, flight);
                }
            }
        }
        self.park(cx, flight);
    }

    /// Takes the news that the link to a host broke.
    pub fn link_down(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        host: &HostId,
    ) {
        sessions.lose_pins(host);
        let at_host = |flight: &Flight| {
            let place = flight.at.as_ref();
            place.is_some_and(|place| place.owner.host == *host)
        };
        let lost: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, flight)| at_host(flight))
            .map(|(id, _)| id)
            .collect();
        for id in lost {
            let Some(mut flight) = self.flights.take(id) else {
                continue;
            };
            let Some(place) = flight.at.take() else {
                continue;
            };
            self.router.skips.unavailable(cx.now, &place.upstream, host);
            let again = flight.req.repeatable && place.pin.is_none();
            if again {
                flight.why = Refusal::NoUpstream;
                flight.may_have_run = true;
                self.send(cx, view, sessions, flight);
            } else {
                finish(cx, sessions, flight, Verdict::MayHaveRun);
            }
        }
    }

    /// Tells owners to forget the request of a caller that is gone.
    ///
    /// The request stays known until its answer, which may bring a transaction to roll back.
    pub fn cancel(&mut self, cx: &mut Cx<'_>, session: SessionId) {
        for (id, flight) in self.flights.iter() {
            let place = flight.at.as_ref().filter(|_| flight.session == session);
            if let Some(place) = place {
                cx.send(place.owner.clone(), RelayMsg::Cancel { id });
            }
        }
    }

    /// Sends parked requests again, and gives up those that are out of time.
    pub fn tick(&mut self, cx: &mut Cx<'_>, view: &View, sessions: &mut Sessions) {
        self.router.skips.expire(cx.now);
        while let Some((id, flight)) = self.flights.take_due(cx.now) {
            match &flight.at {
                None => self.send(cx, view, sessions, flight),
                Some(_) if cx.now < flight.deadline => self.hedge(cx, view, sessions, id, flight),
                Some(place) => {
                    cx.send(place.owner.clone(), RelayMsg::Cancel { id });
                    finish(cx, sessions, flight, Verdict::MayHaveRun);
                }
            }
        }
    }

    /// Sends requests that waited for a new view at once.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View, sessions: &mut Sessions) {
        self.router.sync(view);
        self.admission.on_config(&view.config);
        self.resend(cx, view, sessions, |flight| flight.admitted);
    }

    /// Sends the parked requests of a kind at once.
    fn resend(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        sessions: &mut Sessions,
        wanted: impl Fn(&Flight) -> bool,
    ) {
        let parked = self.flights.iter();
        let parked = parked.filter(|(_, flight)| flight.at.is_none() && wanted(flight));
        // The oldest goes first.
        let mut parked: Vec<_> = parked.map(|(id, flight)| (flight.since, id)).collect();
        parked.sort_unstable();
        for (_, id) in parked {
            if let Some(flight) = self.flights.take(id) {
                self.send(cx, view, sessions, flight);
            }
        }
    }
}
