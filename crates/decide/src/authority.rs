//! The quorum's authority over services: the leader of consensus replaces primaries.
//!
//! Where instances can't be asked for promises, and the platform makes the primary, only the
//! leader orders it. Each order has a number from the committed log, so that a late order of
//! an earlier leader is told from a later one. Before the choice, replicas stop receiving, so
//! that no write can be acknowledged that the chosen one lacks ([`crate::authority::service`]).

pub(crate) mod attempt;
pub(crate) mod judge;
pub(crate) mod log_event;
pub(crate) mod service;

use std::collections::BTreeMap;
use std::time::Instant;

use model::{HashMap, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

pub use crate::authority::log_event::AuthorityLogEvent;
use crate::authority::service::Service;
use crate::raft::{LogIndex, PromotionTicket};
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, Effect, View};

/// Who replaces a lost primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AuthorityKind {
    /// Any owner, once a majority of the instances has promised it a term.
    #[default]
    Instances,
    /// The leader of consensus, by an order to the platform.
    Quorum,
}

/// An order to the platform to make an instance primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The number of the order, which rises from order to order.
    pub number: LogIndex,
    /// The service.
    pub service: ServiceId,
    /// The instance.
    pub upstream: UpstreamId,
}

/// Why a promotion order was not carried out, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionError {
    /// The platform refused it.
    Refused,
    /// No answer came; it may still be carried out.
    Unanswered,
}

impl PromotionError {
    /// Returns the error in a word.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Why an instance is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// For its status.
    Probe,
    /// To stop receiving, under the number of the attempt.
    Fence(u64),
    /// To receive again.
    Release,
}

/// A question under way.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub(crate) service: ServiceId,
    pub(crate) upstream: UpstreamId,
    pub(crate) purpose: Purpose,
    pub(crate) fresh: bool,
    pub(crate) asked_at: Instant,
}

/// Questions to instances, and orders that want a number.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    last: QueryId,
    open: HashMap<QueryId, Question>,
    tickets: Vec<PromotionTicket>,
}

impl Outbox {
    /// Asks an instance.
    pub(crate) fn ask(
        &mut self,
        cx: &mut Cx<'_>,
        question: Question,
        addr: std::net::SocketAddr,
        ask: UpstreamQuery,
    ) {
        self.last += 1;
        cx.emit(Effect::QueryUpstream {
            id: self.last,
            upstream: question.upstream.clone(),
            service: question.service.clone(),
            addr,
            query: ask,
            new_connection: question.fresh,
            timeout: cx.settings.group.probe_timeout,
        });
        self.open.insert(self.last, question);
    }

    /// Wants a number for an order.
    pub(crate) fn number(&mut self, ticket: PromotionTicket) {
        self.tickets.push(ticket);
    }
}

/// All services, as the leader of consensus sees them.
#[derive(Debug, Default)]
pub struct Authority {
    outbox: Outbox,
    services: BTreeMap<ServiceId, Service>,
    leads: bool,
}

impl Authority {
    /// Takes over whether this host leads; one that no longer does forgets what it was at.
    pub fn set_leader(&mut self, cx: &mut Cx<'_>, leads: bool) {
        if self.leads == leads {
            return;
        }
        self.leads = leads;
        self.outbox.tickets.clear();
        for service in self.services.values_mut() {
            service.start_over(cx.now);
        }
    }

    /// Takes over the services and instances of a view.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View) {
        for (name, known) in &view.services {
            let service = self.services.entry(name.clone());
            let service = service.or_insert_with(|| Service::new(name.clone(), cx.now));
            service.sync(cx, view, known);
        }
        for (name, service) in &mut self.services {
            if !view.services.contains_key(name) {
                service.empty(cx.now);
            }
        }
        self.step(cx);
    }

    /// Takes an instance's answer to a question.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(question) = self.outbox.open.remove(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&question.service)
            && self.leads
        {
            service.on_query_reply(cx, &mut self.outbox, &question, result);
        }
    }

    /// Asks an instance at once, since an owner has lost a connection to it.
    pub fn doubt(&mut self, cx: &mut Cx<'_>, service: &ServiceId, upstream: &UpstreamId) {
        if let Some(service) = self.services.get_mut(service) {
            service.doubt(cx.now, upstream);
        }
        self.step(cx);
    }

    /// Takes the number of an order.
    pub fn on_numbered(&mut self, cx: &mut Cx<'_>, number: LogIndex, ticket: &PromotionTicket) {
        let mine = ticket.host == cx.me.host && ticket.incarnation == cx.me.incarnation;
        if let Some(service) = self.services.get_mut(&ticket.service)
            && mine
            && self.leads
        {
            service.on_numbered(cx, &mut self.outbox, number, &ticket.upstream);
        }
    }

    /// Takes the platform's answer to an order.
    pub fn on_promotion_answered(
        &mut self,
        cx: &mut Cx<'_>,
        order: &PromotionOrder,
        result: Result<(), PromotionError>,
    ) {
        if let Some(service) = self.services.get_mut(&order.service)
            && self.leads
        {
            service.on_promotion_answered(cx, order.number, result);
        }
        self.step(cx);
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.step(cx);
    }

    fn step(&mut self, cx: &mut Cx<'_>) {
        if !self.leads {
            return;
        }
        for service in self.services.values_mut() {
            service.step(cx, &mut self.outbox);
        }
    }

    /// Takes out the orders that want a number.
    pub fn take_tickets(&mut self) -> Vec<PromotionTicket> {
        std::mem::take(&mut self.outbox.tickets)
    }

    /// Returns when something is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let services = self.services.values().filter(|_| self.leads);
        services.filter_map(Service::wake_at).min()
    }
}
