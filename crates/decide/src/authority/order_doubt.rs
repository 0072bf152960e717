//! Which promotion orders may still be carried out, of this leader and of earlier ones.
//!
//! The platform may carry an order out seconds after it was sent or accepted. Once it has accepted
//! a newer order, it refuses the older ones that it has not accepted yet.

use std::time::{Duration, Instant};

use model::{Term, UpstreamId};

use crate::Cx;
use crate::authority::AuthorityLogEvent;
use crate::authority::service::{FailoverStage, MonitoredService};
use crate::raft::LogIndex;

/// How long after it was sent or accepted an order may be carried out; the platform states 12 s.
pub(crate) const LATE_ORDER_TIME: Duration = Duration::from_secs(20);
/// Pause before the next attempt to replace a draining primary that leads again because no replica
/// had all its writes.
const DRAINING_PRIMARY_PAUSE: Duration = Duration::from_secs(1);

/// Orders that may be carried out until a certain time.
#[derive(Debug)]
struct OpenOrders {
    /// The instance that all of them promote; `None` if they differ or it is unknown.
    instance: Option<UpstreamId>,
    until: Instant,
}

/// The orders that may still be carried out, apart from the one whose answer or effect the current
/// attempt awaits.
#[derive(Debug, Default)]
pub(crate) struct OrderDoubt {
    /// Orders that the platform is not known to have accepted.
    unaccepted: Option<OpenOrders>,
    /// Orders that were accepted and whose instance has not been seen to lead.
    accepted: Option<OpenOrders>,
}

impl OrderDoubt {
    /// Returns whether any order may still be carried out.
    pub(crate) fn is_open(&self) -> bool {
        self.unaccepted.is_some() || self.accepted.is_some()
    }

    /// Returns whether a new order would make some of them void.
    pub(crate) fn can_be_voided(&self) -> bool {
        self.unaccepted.is_some()
    }

    /// Returns the instance that all these orders promote, if it is known and the same.
    pub(crate) fn instance(&self) -> Option<&UpstreamId> {
        let mut orders = self.unaccepted.iter().chain(&self.accepted);
        let first = orders.next()?.instance.as_ref()?;
        let is_same = orders.all(|other| other.instance.as_ref() == Some(first));
        is_same.then_some(first)
    }

    /// Adds an order that the platform is not known to have accepted; `None` if its instance is
    /// unknown.
    pub(crate) fn add_unaccepted(&mut self, instance: Option<&UpstreamId>, until: Instant) {
        add(&mut self.unaccepted, instance, until);
    }

    /// Adds an order that the platform has accepted.
    pub(crate) fn add_accepted(&mut self, instance: &UpstreamId, until: Instant) {
        add(&mut self.accepted, Some(instance), until);
    }

    /// Removes the orders that the platform refuses, now that it has accepted a newer one.
    pub(crate) fn on_accepted(&mut self) {
        self.unaccepted = None;
    }

    /// Removes the orders that change nothing any more, since the instance leads; `is_newest` tells
    /// whether an order for it is the newest that was accepted.
    pub(crate) fn on_leads(&mut self, instance: &UpstreamId, is_newest: bool) {
        let is_same = |orders: &OpenOrders| orders.instance.as_ref() == Some(instance);
        if is_newest || self.instance() == Some(instance) {
            self.unaccepted = None;
        }
        self.accepted.take_if(|orders| is_same(orders));
    }

    /// Removes the orders for an instance that has ended, which can't be promoted any more.
    pub(crate) fn on_ended(&mut self, instance: &UpstreamId) {
        let is_same = |orders: &mut OpenOrders| orders.instance.as_ref() == Some(instance);
        self.unaccepted.take_if(is_same);
        self.accepted.take_if(is_same);
    }

    /// Removes the orders that can't be carried out any more; returns whether those that were not
    /// accepted have just gone.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        self.accepted.take_if(|orders| orders.until <= now);
        let expired = self.unaccepted.take_if(|orders| orders.until <= now);
        expired.is_some()
    }

    /// Forgets all orders.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns when the first orders expire.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let orders = self.unaccepted.iter().chain(&self.accepted);
        orders.map(|orders| orders.until).min()
    }
}

fn add(orders: &mut Option<OpenOrders>, instance: Option<&UpstreamId>, until: Instant) {
    let is_same = |open: &OpenOrders| open.instance.as_ref() == instance;
    let is_same = orders.as_ref().is_none_or(is_same);
    *orders = Some(OpenOrders {
        instance: instance.filter(|_| is_same).cloned(),
        until: orders.as_ref().map_or(until, |open| open.until.max(until)),
    });
}

/// The orders for a service that the log shows, of whichever leader.
///
/// Every order is in the log before it is sent, so a new leader knows all that may still be carried
/// out.
#[derive(Debug)]
pub(crate) struct LoggedOrders {
    /// Number of the newest one.
    number: LogIndex,
    /// Its instance.
    newest: UpstreamId,
    /// Whether all of them promote that instance.
    all_same: bool,
    /// Term of the known primary when the newest was committed.
    primary_term: Term,
    committed_at: Instant,
}

impl MonitoredService {
    /// Records an order that was committed to the log.
    pub(crate) fn record_logged_order(
        &mut self,
        now: Instant,
        number: LogIndex,
        upstream: &UpstreamId,
    ) {
        let earlier = self.logged_orders.take();
        let earlier = earlier.filter(|earlier| now < earlier.committed_at + LATE_ORDER_TIME);
        let all_same =
            earlier.is_none_or(|earlier| earlier.all_same && earlier.newest == *upstream);
        self.logged_orders = Some(LoggedOrders {
            number,
            newest: upstream.clone(),
            all_same,
            primary_term: self.primary_term(),
            committed_at: now,
        });
    }

    /// Takes over the orders of earlier leaders that may still be carried out.
    ///
    /// None is left if the instance of the newest one leads, in a term that began after it unless
    /// all are for that instance.
    pub(crate) fn take_over_orders(&mut self, cx: &mut Cx<'_>) {
        let Some(orders) = &self.logged_orders else {
            return;
        };
        let until = orders.committed_at + LATE_ORDER_TIME;
        let (primary, term) = (self.primary.as_ref(), self.primary_term());
        let leads = primary.is_some_and(|(_, primary)| *primary == orders.newest);
        if cx.now >= until || (leads && (orders.all_same || term > orders.primary_term)) {
            return;
        }
        let upstream = orders.newest.clone();
        let instance = orders.all_same.then_some(&upstream);
        self.doubt.add_unaccepted(instance, until);
        cx.log(AuthorityLogEvent::OrderTakenOver {
            service: self.name.clone(),
            number: orders.number,
            upstream,
        });
    }

    /// Returns whether the order of this attempt has taken effect, now that its instance reports to
    /// lead in `term`.
    ///
    /// Before the platform's answer only a new term shows it, and only of the one order that could
    /// be carried out.
    pub(crate) fn order_took_effect(&self, leader: &UpstreamId, term: Term) -> bool {
        match &self.stage {
            FailoverStage::ConfirmingPrimary { upstream, .. } => upstream == leader,
            FailoverStage::AwaitingAnswer {
                upstream,
                is_only_order,
                ..
            } => *is_only_order && upstream == leader && term > self.primary_term(),
            _ => false,
        }
    }

    /// Ends the attempt whose order has taken effect: no other order may be carried out any more.
    pub(crate) fn finish_attempt(&mut self, cx: &Cx<'_>, leader: &UpstreamId) {
        let pause = if self.drains(leader) {
            DRAINING_PRIMARY_PAUSE
        } else {
            Duration::ZERO
        };
        self.stage = FailoverStage::Idle {
            next_attempt_at: cx.now + pause,
        };
        self.doubt.on_leads(leader, true);
        self.earlier_orders_void = true;
        self.ordered_to_lead.clear();
        for member in self.members.values_mut() {
            member.on_promotion(cx.now);
        }
    }

    /// Ends an attempt that has sent no order if all orders in doubt promote the instance that leads.
    pub(crate) fn end_attempt_if_settled_by(&mut self, leader: &UpstreamId, now: Instant) {
        let is_fencing = matches!(self.stage, FailoverStage::Fencing { .. });
        if is_fencing && self.doubt.instance() == Some(leader) && !self.drains(leader) {
            self.doubt.on_leads(leader, false);
            self.stage = FailoverStage::Idle {
                next_attempt_at: now,
            };
        }
    }
}
