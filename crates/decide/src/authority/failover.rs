//! Replaces a primary: fences the replicas, chooses a successor, orders its promotion.
//!
//! A write is acknowledged once the primary and one replica have it. A primary that answers is
//! demoted first, since a replica that starts later could otherwise receive and acknowledge writes
//! that the successor lacks. Once all replicas are fenced, the one with the highest log position
//! has every acknowledged write, and no further write can be acknowledged until the order is
//! carried out.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Position, UpstreamId};

use crate::authority::confirmers::ENDED_REPLICA_WAIT;
use crate::authority::instance::MonitoredInstance;
use crate::authority::order_doubt::LATE_ORDER_TIME;
use crate::authority::service::{
    FAST_PROBE_INTERVAL, FailoverStage, MonitoredService, RETRY_PAUSE,
};
use crate::authority::{
    AuthorityLogEvent, Outbox, PendingQuery, PromotionError, PromotionOrder, QueryPurpose,
};
use crate::raft::{LogIndex, PromotionTicket};
use crate::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use crate::{Cx, Effect};

/// Timeout of the commit that numbers an order, and again of the platform's answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long the chosen instance may take to report the role of primary after the platform has
/// accepted the order.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2500);

impl MonitoredService {
    /// Returns the primary if it leads and must be demoted before a successor is chosen.
    ///
    /// One that is kept leads on, unless it drains.
    pub(crate) fn primary_to_demote(&self) -> Option<&UpstreamId> {
        let FailoverStage::Fencing { keep_primary, .. } = &self.stage else {
            return None;
        };
        let (_, id) = self.primary.as_ref()?;
        let leads_on = *keep_primary && !self.drains(id);
        (self.primary_is_active() && !leads_on).then_some(id)
    }

    /// Returns whether an instance has announced that it drains, or its data centre is evacuated.
    pub(crate) fn drains(&self, id: &UpstreamId) -> bool {
        let member = self.members.get(id);
        member.is_some_and(MonitoredInstance::must_be_replaced)
    }

    /// Demotes the primary, then fences the replicas, and chooses the successor once all are fenced.
    ///
    /// Requests that are not answered are sent again at an interval of `probe_timeout`.
    pub(crate) fn advance_fencing(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        let required = self.replicas_to_fence();
        let to_demote = self.primary_to_demote().cloned();
        let attempt = self.attempt_number;
        if !self.may_fence(cx.now, cx.settings.group.ack_lease) {
            return;
        }
        self.fenced_by_this_leader = true;
        let FailoverStage::Fencing {
            term,
            fenced,
            next_request_at,
            ..
        } = &mut self.stage
        else {
            return;
        };
        // A restart ends a fence, so a fence of an earlier incarnation doesn't count.
        fenced.retain(|id, (_, incarnation)| {
            let member = self.members.get(id);
            member.is_some_and(|member| member.announcement.incarnation == *incarnation)
        });
        *term = (*term).max(self.fence_term);
        let term = *term;
        let unfenced = required.into_iter().filter(|id| !fenced.contains_key(id));
        let (request, purpose, targets) = match to_demote {
            Some(primary) => (
                UpstreamQuery::Demote { term },
                QueryPurpose::Demote(attempt),
                vec![primary],
            ),
            None => (
                UpstreamQuery::Pause { term },
                QueryPurpose::Fence(attempt),
                unfenced.collect(),
            ),
        };
        if !targets.is_empty() {
            if cx.now < *next_request_at {
                return;
            }
            *next_request_at = cx.now + cx.settings.group.probe_timeout;
            for id in targets {
                let Some(member) = self.members.get(&id) else {
                    continue;
                };
                let query = PendingQuery {
                    service: self.name.clone(),
                    upstream: id,
                    purpose,
                    new_connection: member.failed_probes > 0,
                    asked_at: cx.now,
                };
                outbox.send(cx, query, member.announcement.addr, request.clone());
            }
            return;
        }
        *next_request_at = cx.now + FAST_PROBE_INTERVAL;
        self.choose_successor(cx, outbox);
    }

    /// Chooses the fenced replica with the highest position and requests its promotion.
    ///
    /// Does nothing while an ended replica, or one whose fence may end, may have writes that the best
    /// fenced one lacks. Ended replicas don't matter where the hosts have told all that they have
    /// acknowledged.
    pub(crate) fn choose_successor(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        self.log_account(cx);
        let FailoverStage::Fencing {
            fenced,
            keep_primary,
            ..
        } = &self.stage
        else {
            return;
        };
        let fenced = fenced.clone();
        let active_primary = self.primary.as_ref().filter(|_| self.primary_is_active());
        let kept = active_primary.filter(|_| *keep_primary);
        let kept = kept.map(|(_, id)| id.clone());
        if let Some(id) = kept {
            return self.request_order(cx, outbox, &id, fenced);
        }
        let is_available = |id: &UpstreamId| {
            let member = self.members.get(id);
            member.is_some_and(|m| !m.must_be_replaced() && !m.announcement.warming)
        };
        let in_doubt = |id: &UpstreamId| self.doubt.instance() == Some(id);
        let primary_is_fenced = self.has_fenced_primary(&fenced);
        let uncertain: Vec<&UpstreamId> = fenced
            .keys()
            .filter(|id| !primary_is_fenced && self.fence_may_end(cx.now, id))
            .collect();
        let best = fenced.iter().max_by_key(|(id, (position, _))| {
            let uncertain = uncertain.contains(id);
            (*position, uncertain, in_doubt(id), is_available(id))
        });
        // An instance whose fence may end has whatever it goes on to confirm, so it is safe only to
        // promote that one.
        let best = best.filter(|(id, _)| uncertain.iter().all(|other| other == id));
        let gone_time = cx.settings.spread.grace().max(ENDED_REPLICA_WAIT);
        let knows_all_passed_on = self.ack_stops.knows_all_passed_on(cx.now, gone_time);
        let has_every_write = |position: Position| {
            primary_is_fenced
                || knows_all_passed_on
                || self.ended_replicas.values().all(|ended| {
                    let primary_position = ended.primary_position_after;
                    primary_position.is_some_and(|primary_position| position >= primary_position)
                })
        };
        let best = best.filter(|(_, (position, _))| has_every_write(*position));
        if !primary_is_fenced && !self.ack_stops.is_settled(cx.now) {
            return;
        }
        if let Some((_, (position, _))) = best
            && !primary_is_fenced
            && self.holds_back(cx, outbox, *position)
        {
            return;
        }
        let Some((chosen, (position, _))) = best else {
            return;
        };
        cx.log(AuthorityLogEvent::SuccessorChosen {
            service: self.name.clone(),
            upstream: chosen.clone(),
            position: *position,
        });
        let chosen = chosen.clone();
        self.request_order(cx, outbox, &chosen, fenced);
    }

    /// Returns whether the primary was demoted and fenced, so that no write is acknowledged above
    /// its position.
    fn has_fenced_primary(&self, fenced: &BTreeMap<UpstreamId, (Position, u64)>) -> bool {
        let primary = self.primary.as_ref();
        self.primary_is_demoted() && primary.is_some_and(|(_, id)| fenced.contains_key(id))
    }

    /// Queues the order to promote an instance, and waits for its number.
    pub(crate) fn request_order(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        chosen: &UpstreamId,
        fenced: BTreeMap<UpstreamId, (Position, u64)>,
    ) {
        outbox.request_order_number(PromotionTicket {
            host: cx.me.host.clone(),
            incarnation: cx.me.incarnation,
            service: self.name.clone(),
            upstream: chosen.clone(),
        });
        self.stage = FailoverStage::AwaitingNumber {
            upstream: chosen.clone(),
            fenced,
            deadline: cx.now + ORDER_TIMEOUT,
        };
    }

    /// Sends the numbered order to the platform, unless a fenced replica has restarted, a replica
    /// that isn't fenced has appeared, or a host has passed on more writes since the choice.
    pub(crate) fn on_order_number(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        number: LogIndex,
        chosen: &UpstreamId,
    ) {
        let FailoverStage::AwaitingNumber {
            upstream, fenced, ..
        } = &self.stage
        else {
            return;
        };
        if upstream != chosen {
            return;
        }
        let fences_hold = fenced.iter().all(|(id, (_, incarnation))| {
            let member = self.members.get(id);
            member.is_some_and(|member| member.announcement.incarnation == *incarnation)
        });
        if !fences_hold
            || self
                .replicas_to_fence()
                .iter()
                .any(|id| !fenced.contains_key(id))
        {
            return self.end_attempt_without_order(cx, outbox, "restarted");
        }
        let position = fenced.get(chosen).map(|(position, _)| *position);
        let leads =
            self.primary_is_active() && self.primary.as_ref().is_some_and(|(_, id)| id == chosen);
        let needs_stop = !leads && !self.has_fenced_primary(fenced);
        if needs_stop && !position.is_some_and(|at| self.ack_stops.covers(cx.now, at)) {
            return self.end_attempt_without_order(cx, outbox, "answered-late");
        }
        self.ordered_to_lead.insert(chosen.clone());
        cx.log(AuthorityLogEvent::PromotionOrdered {
            service: self.name.clone(),
            upstream: chosen.clone(),
            number,
        });
        cx.emit(Effect::OrderPromotion(PromotionOrder {
            number,
            service: self.name.clone(),
            upstream: chosen.clone(),
        }));
        self.stage = FailoverStage::AwaitingAnswer {
            number,
            upstream: chosen.clone(),
            is_only_order: !self.doubt.is_open(),
            deadline: cx.now + ORDER_TIMEOUT,
        };
    }

    /// Handles the platform's answer to the order.
    pub(crate) fn on_promotion_answered(
        &mut self,
        cx: &mut Cx<'_>,
        answered_number: LogIndex,
        result: Result<(), PromotionError>,
    ) {
        let FailoverStage::AwaitingAnswer {
            number, upstream, ..
        } = &self.stage
        else {
            return;
        };
        if *number != answered_number {
            return;
        }
        let upstream = upstream.clone();
        cx.log(AuthorityLogEvent::PromotionAnswered {
            service: self.name.clone(),
            number: answered_number,
            error: result.err(),
        });
        match result {
            Ok(()) => {
                self.doubt.on_accepted();
                self.earlier_orders_void = true;
                if let Some(member) = self.members.get_mut(&upstream) {
                    member.next_probe_at = cx.now + FAST_PROBE_INTERVAL;
                }
                self.stage = FailoverStage::ConfirmingPrimary {
                    upstream,
                    deadline: cx.now + PROMOTION_TIMEOUT,
                };
            }
            Err(error) => {
                if error == PromotionError::Unanswered {
                    let until = cx.now + LATE_ORDER_TIME;
                    self.doubt.add_unaccepted(Some(&upstream), until);
                }
                self.end_attempt(cx, "order-failed");
            }
        }
    }

    /// Ends the attempt; another one may start after [`RETRY_PAUSE`].
    pub(crate) fn end_attempt(&mut self, cx: &mut Cx<'_>, reason: &'static str) {
        cx.log(AuthorityLogEvent::ReplacementStopped {
            service: self.name.clone(),
            reason,
        });
        self.stage = FailoverStage::Idle {
            next_attempt_at: cx.now + RETRY_PAUSE,
        };
    }

    /// Ends an attempt that has sent no order, and unfences the replicas unless an earlier order
    /// is in doubt.
    pub(crate) fn end_attempt_without_order(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        reason: &'static str,
    ) {
        self.end_attempt(cx, reason);
        if !self.doubt.is_open() {
            self.unfence_replicas(cx, outbox);
        }
    }

    /// Orders fenced replicas to receive from the primary again.
    pub(crate) fn unfence_replicas(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        // Fences of an earlier leader above the primary's term stay until this leader has fenced
        // replicas itself or its order has made earlier orders void.
        let (may_unfence_all, term) = (
            self.earlier_orders_void || self.fenced_by_this_leader,
            self.primary_term(),
        );
        let fenced = |member: &MonitoredInstance| {
            member.fenced_term > 0 && (may_unfence_all || member.fenced_term <= term)
        };
        let to_unfence: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| fenced(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in to_unfence {
            let Some(member) = self.members.get_mut(&id) else {
                continue;
            };
            member.on_unfence_sent(cx.now);
            let query = PendingQuery {
                service: self.name.clone(),
                upstream: id,
                purpose: QueryPurpose::Unfence,
                new_connection: false,
                asked_at: cx.now,
            };
            outbox.send(cx, query, member.announcement.addr, UpstreamQuery::Resume);
        }
    }

    /// Handles the primary's answer to the request to become a replica.
    pub(crate) fn on_demote_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: &UpstreamId,
        result: &Result<QueryReply, QueryError>,
    ) {
        let FailoverStage::Fencing {
            next_request_at, ..
        } = &mut self.stage
        else {
            return;
        };
        match result {
            Ok(reply) if reply.granted => {
                *next_request_at = cx.now;
                self.has_demoted_primary = true;
                cx.log(AuthorityLogEvent::PrimaryDemoted {
                    service: self.name.clone(),
                    upstream: id.clone(),
                    position: reply.status.position,
                });
            }
            Ok(_) | Err(QueryError::Refused) => self.fence_term = self.fence_term.saturating_add(1),
            Err(_) => {}
        }
    }

    /// Handles a replica's answer to a fence request.
    pub(crate) fn on_fence_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: &UpstreamId,
        result: &Result<QueryReply, QueryError>,
    ) {
        let Some(member) = self.members.get(id) else {
            return;
        };
        let FailoverStage::Fencing { term, fenced, .. } = &mut self.stage else {
            return;
        };
        match result {
            Ok(reply) if reply.paused_term >= *term || reply.granted => {
                let position = reply.status.position;
                let new = fenced.insert(id.clone(), (position, member.announcement.incarnation));
                if new.is_none() {
                    cx.log(AuthorityLogEvent::ReplicaFenced {
                        service: self.name.clone(),
                        upstream: id.clone(),
                        position,
                    });
                }
            }
            // An earlier leader has fenced it with a higher term.
            Ok(_) | Err(QueryError::Refused) => self.fence_term = self.fence_term.saturating_add(1),
            Err(_) => {}
        }
    }
}
