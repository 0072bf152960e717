//! Which acknowledgements of commits a traffic part passes on to callers.
//!
//! While the leader of consensus replaces a primary that it can't demote, the owners of its
//! connections stop passing on acknowledgements of its term, and report the highest log position
//! that they have passed on. Whatever replicas receive after that, no caller is told of it.

use std::time::{Duration, Instant};

use model::{HashMap, HostId, Incarnation, PartAddr, Position, ServiceId, Term};
use serde::{Deserialize, Serialize};

use crate::Cx;

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
        round: u64,
    },
    /// Answers [`AckStopMsg::Stop`].
    Stopped {
        /// The service.
        service: ServiceId,
        /// The number of the request.
        round: u64,
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
        round: u64,
    },
    /// Answers [`AckStopMsg::Allow`].
    Allowed {
        /// The service.
        service: ServiceId,
        /// The number of the last request to stop.
        round: u64,
    },
}

/// A stop that a control host has asked for.
#[derive(Debug)]
struct Stop {
    from: HostId,
    term: Term,
    round: u64,
    until: Instant,
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
}

impl AckGate {
    /// Returns whether the commit at a position may be acknowledged, and records it if so.
    ///
    /// Without a position its term is unknown, so any stop applies to it.
    pub fn pass_on(
        &mut self,
        now: Instant,
        service: &ServiceId,
        position: Option<Position>,
    ) -> bool {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceAcks::default());
        }
        let Some(acks) = self.services.get_mut(service) else {
            return true;
        };
        let mut stops = acks.stops.iter();
        let applies = |stop: &Stop| position.is_none_or(|at| at.term <= stop.term);
        if stops.any(|stop| now < stop.until && applies(stop)) {
            return false;
        }
        acks.passed_on = acks.passed_on.max(position.unwrap_or_default());
        true
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
                    .retain(|stop| stop.from != from.host && cx.now < stop.until);
                acks.stops.push(Stop {
                    from: from.host.clone(),
                    term,
                    round,
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
                        .retain(|stop| stop.from != from.host || stop.round > round);
                }
                cx.send(from.clone(), AckStopMsg::Allowed { service, round });
            }
            AckStopMsg::Stopped { .. } | AckStopMsg::Allowed { .. } => {}
        }
    }
}
