//! The positions that primaries have had, by which replicas prove that they are fresh enough.
//!
//! An owner of a replica asks an owner of the primary, which answers from the statements
//! that have passed there or asks the primary itself. A position is dated by the moment at
//! which it was asked for, on the asker's own clock, so no clocks are compared.

use std::time::{Duration, Instant};

use model::{HashMap, PartAddr, Position, Role, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::placement::traffic_part;
use crate::relay::RelayMsg;
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, Effect, View};

/// Where the numbers of these questions start, apart from those of other features.
const FIRST_ASK: QueryId = 1 << 62;
/// How old a known position may be that answers a question at once.
const FRESH: Duration = Duration::from_millis(60);
/// How long the primary may take to tell its position.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// A message between owners of a service's instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PositionMsg {
    /// Asks an owner of the primary for its position.
    Ask {
        /// The service.
        service: ServiceId,
        /// Numbers the question.
        number: u64,
    },
    /// Tells a position of the primary.
    Tell {
        /// The service.
        service: ServiceId,
        /// The question.
        number: u64,
        /// The position.
        position: Position,
        /// How long ago at most it was all that the primary had.
        age: Duration,
    },
}

/// The positions that this part knows and asks for.
#[derive(Debug, Default)]
pub(crate) struct Positions {
    known: HashMap<ServiceId, (Position, Instant)>,
    /// The last question to another owner, by service: its number and when it was sent.
    sent: HashMap<ServiceId, (u64, Instant)>,
    /// Questions of other owners that wait for the primary.
    askers: HashMap<ServiceId, Vec<(PartAddr, u64, Instant)>>,
    /// Questions to primaries.
    asks: HashMap<QueryId, (ServiceId, Instant)>,
    last: u64,
    refresh_at: Option<Instant>,
}

impl Positions {
    /// Returns a position of a service's primary, and since when nothing older is missing.
    pub(crate) fn get(&self, service: &ServiceId) -> Option<(Position, Instant)> {
        self.known.get(service).copied()
    }

    /// Notes a position that a confirmed primary had after a moment.
    pub(crate) fn note(&mut self, service: &ServiceId, position: Position, since: Instant) {
        let known = self.known.get(service);
        if known.is_none_or(|(_, at)| *at < since) {
            self.known.insert(service.clone(), (position, since));
        }
    }

    /// Returns when positions are due to be learned anew.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.refresh_at
    }

    /// Learns the positions of services anew, when that is due.
    pub(crate) fn refresh(&mut self, cx: &mut Cx<'_>, view: &View, mut services: Vec<ServiceId>) {
        if self.refresh_at.is_some_and(|at| cx.now < at) {
            return;
        }
        let every = cx.settings.owner.position_refresh;
        self.refresh_at = (!services.is_empty()).then(|| cx.now + every);
        services.sort();
        services.dedup();
        for service in services {
            let known = self.get(&service);
            if known.is_some_and(|(_, at)| cx.now.saturating_duration_since(at) < every / 2) {
                continue;
            }
            self.learn(cx, view, &service);
        }
    }

    /// Asks the primary where this part owns it, and else an owner of it.
    fn learn(&mut self, cx: &mut Cx<'_>, view: &View, service: &ServiceId) {
        let Some(primary) = primary_of(view, service) else {
            return;
        };
        let mut owners = owners_of(view, &primary);
        if owners.iter().any(|owner| owner.host == cx.me.host) {
            return self.ask_primary(cx, view, service, &primary);
        }
        if owners.is_empty() {
            return;
        }
        // The owners are asked in turn, in case one can't reach the primary.
        self.last += 1;
        let number = self.last;
        let turn = usize::try_from(number).unwrap_or_default() % owners.len();
        let owner = owners.swap_remove(turn);
        self.sent.insert(service.clone(), (number, cx.now));
        let service = service.clone();
        cx.send(
            owner,
            RelayMsg::Position(PositionMsg::Ask { service, number }),
        );
    }

    fn ask_primary(&mut self, cx: &mut Cx<'_>, view: &View, service: &ServiceId, id: &UpstreamId) {
        let Some(primary) = view.upstreams.get(id) else {
            return;
        };
        let now = cx.now;
        self.asks.retain(|_, (_, at)| now < *at + ASK_TIMEOUT * 2);
        if self.asks.values().any(|(asked, _)| asked == service) {
            return;
        }
        self.last += 1;
        let ask_id = FIRST_ASK + self.last;
        self.asks.insert(ask_id, (service.clone(), cx.now));
        cx.emit(Effect::QueryUpstream {
            id: ask_id,
            upstream: id.clone(),
            service: service.clone(),
            addr: primary.announcement.addr,
            query: UpstreamQuery::Status { wait_for: None },
            fresh: false,
            timeout: ASK_TIMEOUT,
        });
    }

    /// Takes in a message of another owner.
    pub(crate) fn on_msg(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        from: &PartAddr,
        msg: PositionMsg,
    ) {
        match msg {
            PositionMsg::Ask { service, number } => {
                let fresh = self.get(&service);
                let fresh = fresh.filter(|(_, at)| cx.now.saturating_duration_since(*at) < FRESH);
                if let Some((position, at)) = fresh {
                    return tell(cx, from.clone(), service, number, position, at);
                }
                let Some(primary) = primary_of(view, &service) else {
                    return;
                };
                let asker = (from.clone(), number, cx.now);
                let askers = self.askers.entry(service.clone()).or_default();
                askers.retain(|(other, ..)| other != from);
                askers.push(asker);
                self.ask_primary(cx, view, &service, &primary);
            }
            PositionMsg::Tell {
                service,
                number,
                position,
                age,
            } => {
                let sent = self.sent.get(&service).copied();
                if let Some((_, sent_at)) = sent.filter(|(asked, _)| *asked == number)
                    && let Some(since) = sent_at.checked_sub(age)
                {
                    self.note(&service, position, since);
                }
            }
        }
    }

    /// Takes in what a primary tells; returns whether it was asked here.
    pub(crate) fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: &Result<QueryReply, QueryError>,
    ) -> bool {
        let Some((service, asked_at)) = self.asks.remove(&id) else {
            return id >= FIRST_ASK;
        };
        if let Ok(told) = result
            && told.status.role == Role::Primary
        {
            let position = told.status.position;
            self.note(&service, position, asked_at);
            for (asker, number, _) in self.askers.remove(&service).unwrap_or_default() {
                tell(cx, asker, service.clone(), number, position, asked_at);
            }
        }
        true
    }
}

fn tell(
    cx: &mut Cx<'_>,
    to: PartAddr,
    service: ServiceId,
    number: u64,
    position: Position,
    at: Instant,
) {
    let age = cx.now.saturating_duration_since(at);
    let msg = PositionMsg::Tell {
        service,
        number,
        position,
        age,
    };
    cx.send(to, RelayMsg::Position(msg));
}

fn primary_of(view: &View, service: &ServiceId) -> Option<UpstreamId> {
    let service = view.services.get(service)?;
    service.primary.as_ref().map(|(_, primary)| primary.clone())
}

/// Returns the parts of live hosts that own an upstream.
fn owners_of(view: &View, upstream: &UpstreamId) -> Vec<PartAddr> {
    let owners = view.upstreams.get(upstream).map(|up| &up.owners);
    let owners = owners.into_iter().flatten();
    let owners = owners.filter_map(|host| view.hosts.get(host));
    let owners = owners.map(|host| PartAddr {
        host: host.host.clone(),
        part: traffic_part(upstream, host),
    });
    owners.collect()
}
