//! Recent log positions of primaries, by which a read bounds the age of a replica's data: a
//! replica that has reached a position has everything that was acknowledged before its time.
//!
//! An owner of a replica queries an owner of the primary, which answers from the statements
//! that it has run there or queries the primary itself. A position is dated by the moment at
//! which it was asked for, on the asker's own clock, so no clocks are compared.

use std::time::{Duration, Instant};

use model::{HashMap, PartAddr, Position, Role, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::placement::traffic_part;
use crate::relay::RelayMsg;
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, Effect, View};

/// First id of these queries, so that they differ from those of [`crate::commit`].
const FIRST_QUERY_ID: QueryId = 1 << 62;
/// The greatest age of a known position that answers another owner's query at once.
const MAX_REPLY_AGE: Duration = Duration::from_millis(60);
/// How long the primary may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// A message between owners of instances of one service, about the primary's log position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PositionMsg {
    /// Asks an owner of the primary for its position.
    Query {
        /// The service whose primary is meant.
        service: ServiceId,
        /// The sender's id of the query, returned in the reply.
        query_id: u64,
    },
    /// Reports a position of the primary.
    Reply {
        /// The service whose primary is meant.
        service: ServiceId,
        /// The id of the query that this answers.
        query_id: u64,
        /// The primary's log position.
        position: Position,
        /// How long ago it was asked for; it covers everything acknowledged before that.
        age: Duration,
    },
}

/// The positions that this part knows, and its queries for newer ones.
#[derive(Debug, Default)]
pub(crate) struct PrimaryPositions {
    /// The newest known position, and when it was asked for.
    newest: HashMap<ServiceId, (Position, Instant)>,
    /// The last query to another owner, by service: its id and when it was sent.
    sent_queries: HashMap<ServiceId, (u64, Instant)>,
    /// Queries of other owners that wait for the primary: the owner, its query id and the arrival.
    waiting_askers: HashMap<ServiceId, Vec<(PartAddr, u64, Instant)>>,
    /// Queries to primaries that are under way, and when each was sent.
    primary_queries: HashMap<QueryId, (ServiceId, Instant)>,
    /// The last id given to a query, to an owner or a primary.
    last_query_id: u64,
    /// When the positions are queried next.
    refresh_at: Option<Instant>,
}

impl PrimaryPositions {
    /// Returns the newest known position of a service's primary, and the moment such that
    /// everything acknowledged before it is covered.
    pub(crate) fn get(&self, service: &ServiceId) -> Option<(Position, Instant)> {
        self.newest.get(service).copied()
    }

    /// Stores a position that the primary had at or after `since`, unless a newer one is known.
    ///
    /// A lower position than the known one is that of an instance that no longer leads.
    pub(crate) fn record(&mut self, service: &ServiceId, position: Position, since: Instant) {
        let known = self.newest.get(service);
        if known.is_none_or(|(known, at)| *at < since && *known <= position) {
            self.newest.insert(service.clone(), (position, since));
        }
    }

    /// Returns when positions are queried next.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.refresh_at
    }

    /// Queries the positions of `services` if the refresh interval has passed, but none that was
    /// asked for within half of the interval.
    pub(crate) fn refresh_positions(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        mut services: Vec<ServiceId>,
    ) {
        if self.refresh_at.is_some_and(|at| cx.now < at) {
            return;
        }
        let interval = cx.settings.owner.position_refresh;
        self.refresh_at = (!services.is_empty()).then(|| cx.now + interval);
        services.sort();
        services.dedup();
        for service in services {
            let known = self.get(&service);
            if known.is_some_and(|(_, at)| cx.now.saturating_duration_since(at) < interval / 2) {
                continue;
            }
            self.query_position(cx, view, &service);
        }
    }

    /// Queries the primary directly if this host owns it, and else one of its owners.
    fn query_position(&mut self, cx: &mut Cx<'_>, view: &View, service: &ServiceId) {
        let Some(primary) = primary_of(view, service) else {
            return;
        };
        let mut owners = owners_of(view, &primary);
        if owners.iter().any(|owner| owner.host == cx.me.host) {
            return self.query_primary(cx, view, service, &primary);
        }
        if owners.is_empty() {
            return;
        }
        // Round robin over the owners, in case one can't reach the primary.
        self.last_query_id += 1;
        let query_id = self.last_query_id;
        let index = usize::try_from(query_id).unwrap_or_default() % owners.len();
        let owner = owners.swap_remove(index);
        self.sent_queries
            .insert(service.clone(), (query_id, cx.now));
        let service = service.clone();
        cx.send(
            owner,
            RelayMsg::Position(PositionMsg::Query { service, query_id }),
        );
    }

    fn query_primary(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        service: &ServiceId,
        id: &UpstreamId,
    ) {
        let Some(primary) = view.upstreams.get(id) else {
            return;
        };
        let now = cx.now;
        self.primary_queries
            .retain(|_, (_, at)| now < *at + QUERY_TIMEOUT * 2);
        if self
            .primary_queries
            .values()
            .any(|(asked, _)| asked == service)
        {
            return;
        }
        self.last_query_id += 1;
        let query_id = FIRST_QUERY_ID + self.last_query_id;
        self.primary_queries
            .insert(query_id, (service.clone(), cx.now));
        cx.emit(Effect::QueryUpstream {
            id: query_id,
            upstream: id.clone(),
            service: service.clone(),
            addr: primary.announcement.addr,
            query: UpstreamQuery::Status { wait_for: None },
            new_connection: false,
            // A host that has just started may not know yet of an evacuation.
            alone: view.is_evacuated(id) || !view.config_usable,
            timeout: QUERY_TIMEOUT,
        });
    }

    /// Handles a query or a reply of another owner.
    pub(crate) fn on_msg(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        from: &PartAddr,
        msg: PositionMsg,
    ) {
        match msg {
            PositionMsg::Query { service, query_id } => {
                let fresh = self.get(&service);
                let fresh =
                    fresh.filter(|(_, at)| cx.now.saturating_duration_since(*at) < MAX_REPLY_AGE);
                if let Some((position, at)) = fresh {
                    return send_position(cx, from.clone(), service, query_id, position, at);
                }
                let Some(primary) = primary_of(view, &service) else {
                    return;
                };
                let asker = (from.clone(), query_id, cx.now);
                let askers = self.waiting_askers.entry(service.clone()).or_default();
                askers.retain(|(other, ..)| other != from);
                askers.push(asker);
                self.query_primary(cx, view, &service, &primary);
            }
            PositionMsg::Reply {
                service,
                query_id,
                position,
                age,
            } => {
                let sent = self.sent_queries.get(&service).copied();
                if let Some((_, sent_at)) = sent.filter(|(asked, _)| *asked == query_id)
                    && let Some(since) = sent_at.checked_sub(age)
                {
                    self.record(&service, position, since);
                }
            }
        }
    }

    /// Handles the end of a query to a primary and answers the owners that wait for it, if need be
    /// with the position that is known from before; returns whether the query is one of this module,
    /// also if it is no longer known.
    pub(crate) fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: &Result<QueryReply, QueryError>,
    ) -> bool {
        let Some((service, asked_at)) = self.primary_queries.remove(&id) else {
            return id >= FIRST_QUERY_ID;
        };
        let newest = match result {
            Ok(reply) if reply.status.role == Role::Primary => {
                let position = reply.status.position;
                self.record(&service, position, asked_at);
                Some((position, asked_at))
            }
            Ok(_) => None,
            // A busy primary answers no query, but it tells its position with each refusal.
            Err(_) => self.get(&service),
        };
        if let Some((position, at)) = newest {
            for (asker, query_id, _) in self.waiting_askers.remove(&service).unwrap_or_default() {
                send_position(cx, asker, service.clone(), query_id, position, at);
            }
        }
        true
    }
}

fn send_position(
    cx: &mut Cx<'_>,
    to: PartAddr,
    service: ServiceId,
    query_id: u64,
    position: Position,
    at: Instant,
) {
    let age = cx.now.saturating_duration_since(at);
    let msg = PositionMsg::Reply {
        service,
        query_id,
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
