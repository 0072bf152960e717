//! Which acknowledgements of commits a traffic part passes on to callers.
//!
//! While the leader of consensus replaces a primary that it can't demote, the owners of its
//! connections stop passing on acknowledgements of its term, and report the highest log position
//! that they have passed on. Whatever replicas receive after that, no caller is told of it.
//!
//! With the setting `group.ack_lease`, a part passes on acknowledgements only under the leader's
//! lease ([`crate::ack_lease`]), whose list of stops replaces the stops that are older.

use std::time::{Duration, Instant};

use model::{HashMap, HostId, Incarnation, PartAddr, Position, ServiceId, Term};
use serde::{Deserialize, Serialize};

use crate::Cx;
use crate::ack_lease::{self, AckLease, StopNumber};

/// How long a stop lasts unless the leader repeats it; longer than an order to the platform may be
/// delayed, for the case that the leader is lost.
pub const STOP_TIME: Duration = Duration::from_secs(20);

/// A message between the leader of consensus and a traffic part about acknowledgements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AckStopMsg {
    /// Asks the part to pass on no acknowledgement of a term or of earlier ones.
    Stop {
        /// The service.
        service: ServiceId,
        /// The term.
        term: Term,
        /// The leader's number of the request, which rises.
        round: StopNumber,
    },
    /// Answers [`AckStopMsg::Stop`].
    Stopped {
        /// The service.
        service: ServiceId,
        /// The number of the request.
        round: StopNumber,
        /// Which start of its host the part belongs to.
        incarnation: Incarnation,
        /// The highest log position whose commit the part has passed on.
        passed_on: Position,
    },
    /// Ends the stop.
    Allow {
        /// The service.
        service: ServiceId,
        /// The number of the last request to stop.
        round: StopNumber,
    },
    /// Answers [`AckStopMsg::Allow`].
    Allowed {
        /// The service.
        service: ServiceId,
        /// The number of the last request to stop.
        round: StopNumber,
    },
}

/// Whether the acknowledgement of a commit may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckDecision {
    /// It may, and counts as passed on.
    PassOn,
    /// A stop applies to it.
    Stopped,
    /// No stop is known, but the lease has run out.
    NoLease,
}

/// A stop that is in force.
#[derive(Debug)]
struct Stop {
    /// The control host that asked this part for it; `None` if it was listed in a lease.
    from: Option<HostId>,
    term: Term,
    number: StopNumber,
    until: Instant,
}

impl Stop {
    /// Returns whether the end of stop `number` by `host` ends this one, too.
    ///
    /// A leader of a later consensus term ends stops of earlier leaders: it knows their orders from
    /// the log.
    fn is_ended_by(&self, host: &HostId, number: StopNumber) -> bool {
        let is_same_leader = self.from.as_ref().is_none_or(|from| from == host);
        (is_same_leader && self.number <= number)
            || ack_lease::leader_term(self.number) < ack_lease::leader_term(number)
    }
}

/// What the part has passed on for one service, and which stops are in force.
#[derive(Debug, Default)]
struct ServiceAcks {
    passed_on: Position,
    stops: Vec<Stop>,
}

/// Passes on or stops the acknowledgements of a traffic part.
#[derive(Debug, Default)]
pub struct AckGate {
    services: HashMap<ServiceId, ServiceAcks>,
    lease: Option<AckLease>,
}

impl AckGate {
    /// Decides whether the commit at a position may be acknowledged, and records it if so.
    ///
    /// Without a position its term is unknown, so any stop applies to it. `lease_time` is how long a
    /// lease lasts; with `None` none is needed.
    pub fn decide(
        &mut self,
        now: Instant,
        lease_time: Option<Duration>,
        service: &ServiceId,
        position: Option<Position>,
    ) -> AckDecision {
        if self.is_stopped(now, service, position) {
            return AckDecision::Stopped;
        }
        if !self.has_lease(now, lease_time) {
            return AckDecision::NoLease;
        }
        self.record(service, position.unwrap_or_default());
        AckDecision::PassOn
    }

    /// Returns whether a stop applies to the commit at a position.
    pub fn is_stopped(
        &self,
        now: Instant,
        service: &ServiceId,
        position: Option<Position>,
    ) -> bool {
        let applies = |stop: &Stop| position.is_none_or(|at| at.term <= stop.term);
        let acks = self.services.get(service);
        let mut stops = acks.into_iter().flat_map(|acks| &acks.stops);
        stops.any(|stop| now < stop.until && applies(stop))
    }

    /// Returns whether a lease permits acknowledgements, or none is needed.
    pub fn has_lease(&self, now: Instant, lease_time: Option<Duration>) -> bool {
        let lasts = |time| {
            let lease = self.lease.as_ref();
            lease.is_some_and(|lease| lease.lasts(now, time))
        };
        lease_time.is_none_or(lasts)
    }

    /// Records that the commit at a position is passed on.
    pub(crate) fn record(&mut self, service: &ServiceId, position: Position) {
        match self.services.get_mut(service) {
            Some(acks) => acks.passed_on = acks.passed_on.max(position),
            None => {
                let passed_on = position;
                let stops = Vec::new();
                self.services
                    .insert(service.clone(), ServiceAcks { passed_on, stops });
            }
        }
    }

    /// Takes a new lease: its list replaces all stops up to its number, those of earlier leaders
    /// too.
    pub fn on_lease(&mut self, now: Instant, lease: AckLease) {
        let list = lease.list.clone();
        for acks in self.services.values_mut() {
            acks.stops.retain(|stop| stop.number > list.number);
        }
        for (service, term) in &list.stops {
            let acks = self.services.entry(service.clone()).or_default();
            acks.stops.push(Stop {
                from: None,
                term: *term,
                number: list.number,
                until: now + STOP_TIME,
            });
        }
        self.lease = Some(lease);
    }

    /// Handles a message of a control host and answers it.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: &PartAddr, msg: AckStopMsg) {
        match msg {
            AckStopMsg::Stop {
                service,
                term,
                round,
            } => {
                let acks = self.services.entry(service.clone()).or_default();
                acks.stops
                    .retain(|stop| stop.from.as_ref() != Some(&from.host) && cx.now < stop.until);
                acks.stops.push(Stop {
                    from: Some(from.host.clone()),
                    term,
                    number: round,
                    until: cx.now + STOP_TIME,
                });
                let stopped = AckStopMsg::Stopped {
                    service,
                    round,
                    incarnation: cx.me.incarnation,
                    passed_on: acks.passed_on,
                };
                cx.send(from.clone(), stopped);
            }
            AckStopMsg::Allow { service, round } => {
                if let Some(acks) = self.services.get_mut(&service) {
                    acks.stops
                        .retain(|stop| !stop.is_ended_by(&from.host, round));
                }
                cx.send(from.clone(), AckStopMsg::Allowed { service, round });
            }
            AckStopMsg::Stopped { .. } | AckStopMsg::Allowed { .. } => {}
        }
    }
}
