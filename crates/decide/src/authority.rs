//! Replaces lost primaries by the authority of the quorum of control hosts.
//!
//! This is used where instances can't promise terms and the platform appoints the primary. Only
//! the consensus leader orders the platform to promote an instance. The index of each order in
//! the committed log is its number and fencing token, so that the platform can tell a late order
//! of an earlier leader from a newer one. Before the leader chooses an instance, the replicas
//! are fenced: they stop receiving from the primary, so that no write can be acknowledged that
//! the chosen instance lacks (module `failover`). The query that fences is [`UpstreamQuery::Pause`],
//! the one that ends a fence [`UpstreamQuery::Resume`].
//!
//! The platform runs the database instances and carries out the orders.

pub(crate) mod account;
pub(crate) mod ack_parts;
pub(crate) mod ack_stop;
pub(crate) mod confirmers;
pub(crate) mod failover;
pub(crate) mod failure_detection;
pub(crate) mod instance;
pub(crate) mod log_event;
pub(crate) mod order_doubt;
pub(crate) mod service;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use model::{HashMap, PartAddr, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::ack_lease::{AckStopList, StopNumbers};
pub use crate::authority::account::{Account, AccountedInstance};
use crate::authority::ack_parts::TrafficParts;
pub use crate::authority::instance::EndEvidence;
pub use crate::authority::log_event::AuthorityLogEvent;
use crate::authority::service::MonitoredService;
use crate::owner::ack_gate::AckStopMsg;
use crate::raft::{LogIndex, PromotionTicket, RaftTerm};
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, Effect, View};

/// Who replaces a lost primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AuthorityKind {
    /// An owner of an instance, once a majority of the instances has promised it a term.
    #[default]
    Instances,
    /// The consensus leader of the control hosts, by an order to the platform.
    Quorum,
}

/// An order to the platform to promote an instance to primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Index of the order in the committed log, which rises from order to order and so serves as
    /// fencing token.
    pub number: LogIndex,
    /// Service that gets another primary.
    pub service: ServiceId,
    /// Instance to promote.
    pub upstream: UpstreamId,
}

/// Why an order to promote an instance is not known to have been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionError {
    /// The platform refused it, so it isn't carried out.
    Refused,
    /// No answer came, so it may still be carried out.
    Unanswered,
}

impl PromotionError {
    /// Returns the word for the error in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Why a query was sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryPurpose {
    /// Regular probe of its status.
    Probe,
    /// Request to become a replica, with the number of the attempt.
    Demote(u64),
    /// Request to stop receiving from the primary (to be fenced), with the number of the attempt.
    Fence(u64),
    /// Request to receive from the primary again.
    Unfence,
}

/// A query that has been sent to an instance and not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingQuery {
    pub(crate) service: ServiceId,
    pub(crate) upstream: UpstreamId,
    pub(crate) purpose: QueryPurpose,
    /// Whether a connection was opened for it, rather than an open one used.
    pub(crate) new_connection: bool,
    pub(crate) asked_at: Instant,
}

/// Unanswered queries to instances, and orders that have no number yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    last_id: QueryId,
    pending: HashMap<QueryId, PendingQuery>,
    /// Tickets, the orders that have no number yet; the commit of a ticket gives the order one.
    tickets: Vec<PromotionTicket>,
    /// The instances of evacuated data centres, also those that aren't announced.
    evacuated: BTreeSet<UpstreamId>,
}

impl Outbox {
    /// Sends a query to an instance.
    pub(crate) fn send(
        &mut self,
        cx: &mut Cx<'_>,
        query: PendingQuery,
        addr: std::net::SocketAddr,
        upstream_query: UpstreamQuery,
    ) {
        self.last_id += 1;
        cx.emit(Effect::QueryUpstream {
            id: self.last_id,
            upstream: query.upstream.clone(),
            service: query.service.clone(),
            addr,
            query: upstream_query,
            new_connection: query.new_connection,
            alone: self.evacuated.contains(&query.upstream),
            timeout: cx.settings.group.probe_timeout,
        });
        self.pending.insert(self.last_id, query);
    }

    /// Queues an order to be committed to the log, by which it gets its number.
    pub(crate) fn request_order_number(&mut self, ticket: PromotionTicket) {
        self.tickets.push(ticket);
    }
}

/// Supervises the primaries of all services while this host is the consensus leader.
#[derive(Debug, Default)]
pub struct QuorumAuthority {
    outbox: Outbox,
    services: BTreeMap<ServiceId, MonitoredService>,
    /// The traffic parts that may pass on acknowledgements, of whatever service.
    parts: TrafficParts,
    stop_numbers: StopNumbers,
    /// The stops in force, as last listed.
    stop_list: Arc<AckStopList>,
    is_leader: bool,
}

impl QuorumAuthority {
    /// Records the highest consensus term that this host knows.
    pub fn set_consensus_term(&mut self, term: RaftTerm) {
        self.stop_numbers.set_leader_term(term);
    }

    /// Returns whether this host supervises the primaries.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Records whether this host is the consensus leader; each change abandons all attempts, and a
    /// new leader takes over the orders of earlier ones.
    pub fn set_leader(&mut self, cx: &mut Cx<'_>, is_leader: bool) {
        if self.is_leader == is_leader {
            return;
        }
        self.is_leader = is_leader;
        // The list of stops starts anew.
        self.stop_numbers.next();
        self.outbox.tickets.clear();
        for service in self.services.values_mut() {
            service.reset(cx.now);
            if is_leader {
                service.take_over_orders(cx);
                service.advance_ack_stops(cx, &self.parts, &mut self.stop_numbers);
            }
        }
    }

    /// Returns all stops of acknowledgements that are in force, or `None` on a follower.
    pub fn ack_stop_list(&mut self, now: Instant) -> Option<Arc<AckStopList>> {
        if !self.is_leader {
            return None;
        }
        let number = self.stop_numbers.last();
        if self.stop_list.number != number {
            let services = self.services.iter();
            let stops = services.filter_map(|(name, service)| {
                let term = service.listed_stop(now)?;
                Some((name.clone(), term))
            });
            self.stop_list = Arc::new(AckStopList {
                number,
                stops: stops.collect(),
            });
        }
        Some(self.stop_list.clone())
    }

    /// Updates the services and their instances from a new view.
    ///
    /// `has_withdrawn` tells whether an instance that isn't in the view has withdrawn.
    pub fn sync(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        has_withdrawn: impl Fn(&UpstreamId) -> bool,
    ) {
        let lease_time = cx.settings.group.ack_lease;
        let change = self.parts.sync(view, cx.now, lease_time);
        for service in self.services.values_mut() {
            let stops = &mut service.ack_stops;
            stops.on_parts_changed(&self.parts, &change, cx.now);
        }
        for (name, service_view) in &view.services {
            let service = self.services.entry(name.clone());
            let service = service.or_insert_with(|| MonitoredService::new(name.clone(), cx.now));
            service.sync(cx, view, service_view, &has_withdrawn);
        }
        for (name, service) in &mut self.services {
            if !view.services.contains_key(name) {
                service.sync_unannounced(cx, view, &has_withdrawn);
            }
        }
        self.outbox.evacuated.clear();
        if !view.evacuations.closes_at.is_empty() {
            let members = self.services.values().flat_map(|service| &service.members);
            let evacuated = members.filter(|(_, member)| member.evacuated);
            let evacuated = evacuated.map(|(id, _)| id.clone());
            self.outbox.evacuated.extend(evacuated);
        }
        self.step(cx);
    }

    /// Handles an instance's answer to a query.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(query) = self.outbox.pending.remove(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&query.service)
            && self.is_leader
        {
            service.on_query_reply(cx, &mut self.outbox, &query, result);
            service.advance_ack_stops(cx, &self.parts, &mut self.stop_numbers);
        }
    }

    /// Probes an instance at once, because an owner has lost a connection to it.
    pub fn probe_now(&mut self, cx: &mut Cx<'_>, service: &ServiceId, upstream: &UpstreamId) {
        if let Some(service) = self.services.get_mut(service) {
            service.probe_now(cx.now, upstream);
        }
        self.step(cx);
    }

    /// Handles the commit of an order, whose log index is its number; ignores orders of other
    /// hosts and of earlier incarnations of this host.
    pub fn on_order_number(&mut self, cx: &mut Cx<'_>, number: LogIndex, ticket: &PromotionTicket) {
        let is_own_order = ticket.host == cx.me.host && ticket.incarnation == cx.me.incarnation;
        let new = || MonitoredService::new(ticket.service.clone(), cx.now);
        let service = self.services.entry(ticket.service.clone());
        let service = service.or_insert_with(new);
        service.record_logged_order(cx.now, number, &ticket.upstream);
        if is_own_order && self.is_leader {
            service.on_order_number(cx, &mut self.outbox, number, &ticket.upstream);
        }
    }

    /// Handles the platform's answer to an order.
    pub fn on_promotion_answered(
        &mut self,
        cx: &mut Cx<'_>,
        order: &PromotionOrder,
        result: Result<(), PromotionError>,
    ) {
        if let Some(service) = self.services.get_mut(&order.service)
            && self.is_leader
        {
            service.on_promotion_answered(cx, order.number, result);
        }
        self.step(cx);
    }

    /// Handles the answer of a traffic part that was asked to stop or to pass on acknowledgements.
    pub fn on_ack_stop_msg(&mut self, cx: &mut Cx<'_>, from: &PartAddr, msg: &AckStopMsg) {
        let (AckStopMsg::Stopped { service, .. } | AckStopMsg::Allowed { service, .. }) = msg
        else {
            return;
        };
        if let Some(service) = self.services.get_mut(service)
            && self.is_leader
        {
            service.ack_stops.on_msg(cx, from, msg);
        }
        self.step(cx);
    }

    /// Sends due probes and advances the attempts of all services.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.step(cx);
    }

    fn step(&mut self, cx: &mut Cx<'_>) {
        if !self.is_leader {
            return;
        }
        for service in self.services.values_mut() {
            service.step(cx, &mut self.outbox);
            service.advance_ack_stops(cx, &self.parts, &mut self.stop_numbers);
        }
    }

    /// Removes and returns the orders that must be committed to the log.
    pub fn take_tickets(&mut self) -> Vec<PromotionTicket> {
        std::mem::take(&mut self.outbox.tickets)
    }

    /// Returns when the next probe or step of an attempt is due, or `None` on a follower.
    pub fn wake_at(&self) -> Option<Instant> {
        let services = self.services.values().filter(|_| self.is_leader);
        services.filter_map(MonitoredService::wake_at).min()
    }
}
