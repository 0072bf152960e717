//! The attempt to replace a primary: fences, the choice, the numbered order.
//!
//! A write is acknowledged once the primary and one replica have it. So once all replicas that
//! could have acknowledged one have stopped receiving, the one with the highest position has
//! every acknowledged write, and none is added while the order is under way.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Position, UpstreamId};

use crate::authority::service::{Lost, Member, PAUSE, QUICK, Service, Stage};
use crate::authority::{
    AuthorityLogEvent, Outbox, PromotionError, PromotionOrder, Purpose, Question,
};
use crate::raft::{LogIndex, PromotionTicket};
use crate::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use crate::{Cx, Effect};

/// How long a committed number or the platform's answer may take.
const ORDER_TIME: Duration = Duration::from_millis(2500);
/// How long the chosen instance may take to lead.
const LEAD_TIME: Duration = Duration::from_millis(2500);

impl Service {
    /// Returns the replicas that must stop receiving before a choice.
    pub(crate) fn required(&self) -> BTreeSet<UpstreamId> {
        let primary = self.primary.as_ref().map(|(_, id)| id);
        let replicas = self.members.keys().filter(|id| Some(*id) != primary);
        replicas.cloned().collect()
    }

    pub(crate) fn fence(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        let required = self.required();
        let attempt = self.attempt;
        self.fenced_here = true;
        let Stage::Fencing {
            term,
            fenced,
            ask_at,
            ..
        } = &mut self.stage
        else {
            return;
        };
        // A replica that has restarted receives again.
        fenced.retain(|id, (_, incarnation)| {
            let member = self.members.get(id);
            member.is_some_and(|member| member.announcement.incarnation == *incarnation)
        });
        *term = (*term).max(self.tried);
        let term = *term;
        let open: Vec<UpstreamId> = required
            .iter()
            .filter(|id| !fenced.contains_key(*id))
            .cloned()
            .collect();
        if !open.is_empty() {
            if cx.now < *ask_at {
                return;
            }
            *ask_at = cx.now + cx.settings.group.probe_timeout;
            for id in open {
                let Some(member) = self.members.get(&id) else {
                    continue;
                };
                let question = Question {
                    service: self.name.clone(),
                    upstream: id,
                    purpose: Purpose::Fence(attempt),
                    fresh: member.failures > 0,
                    asked_at: cx.now,
                };
                outbox.ask(
                    cx,
                    question,
                    member.announcement.addr,
                    UpstreamQuery::Pause { term },
                );
            }
            return;
        }
        *ask_at = cx.now + QUICK;
        self.choose(cx, outbox);
    }

    /// Chooses the fenced replica with the highest position, and wants a number for the order.
    pub(crate) fn choose(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        let Stage::Fencing { fenced, keep, .. } = &self.stage else {
            return;
        };
        let fenced = fenced.clone();
        if *keep
            && self.primary_leads()
            && let Some((_, id)) = self.primary.clone()
        {
            return self.want_order(cx, outbox, &id, fenced);
        }
        let lasting = |id: &UpstreamId| {
            let member = self.members.get(id);
            member.is_some_and(|m| !m.announcement.draining && !m.announcement.warming)
        };
        let best = fenced
            .iter()
            .max_by_key(|(id, (position, _))| (*position, lasting(id)));
        let Some((chosen, (position, _))) = best else {
            return;
        };
        let missing = |lost: &Lost| lost.covered.is_none_or(|covered| *position < covered);
        if self.lost.values().any(missing) {
            return;
        }
        cx.log(AuthorityLogEvent::Chosen {
            service: self.name.clone(),
            upstream: chosen.clone(),
            position: *position,
        });
        let chosen = chosen.clone();
        self.want_order(cx, outbox, &chosen, fenced);
    }

    /// Wants a number for the order to promote an instance.
    pub(crate) fn want_order(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        chosen: &UpstreamId,
        fenced: BTreeMap<UpstreamId, (Position, u64)>,
    ) {
        outbox.number(PromotionTicket {
            host: cx.me.host.clone(),
            incarnation: cx.me.incarnation,
            service: self.name.clone(),
            upstream: chosen.clone(),
        });
        self.stage = Stage::Numbering {
            upstream: chosen.clone(),
            fenced,
            until: cx.now + ORDER_TIME,
        };
    }

    /// Gives the order, unless a fenced replica has restarted meanwhile.
    pub(crate) fn on_numbered(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        number: LogIndex,
        chosen: &UpstreamId,
    ) {
        let Stage::Numbering {
            upstream, fenced, ..
        } = &self.stage
        else {
            return;
        };
        if upstream != chosen {
            return;
        }
        let holds = fenced.iter().all(|(id, (_, incarnation))| {
            let member = self.members.get(id);
            member.is_some_and(|member| member.announcement.incarnation == *incarnation)
        });
        if !holds || self.required().iter().any(|id| !fenced.contains_key(id)) {
            return self.give_up(cx, outbox, "restarted");
        }
        cx.log(AuthorityLogEvent::Ordered {
            service: self.name.clone(),
            upstream: chosen.clone(),
            number,
        });
        cx.emit(Effect::OrderPromotion(PromotionOrder {
            number,
            service: self.name.clone(),
            upstream: chosen.clone(),
        }));
        self.stage = Stage::Ordering {
            number,
            upstream: chosen.clone(),
            until: cx.now + ORDER_TIME,
        };
    }

    /// Takes the platform's answer.
    pub(crate) fn on_promotion_answered(
        &mut self,
        cx: &mut Cx<'_>,
        answered: LogIndex,
        result: Result<(), PromotionError>,
    ) {
        let Stage::Ordering {
            number, upstream, ..
        } = &self.stage
        else {
            return;
        };
        if *number != answered {
            return;
        }
        let upstream = upstream.clone();
        cx.log(AuthorityLogEvent::Answered {
            service: self.name.clone(),
            number: answered,
            error: result.err(),
        });
        match result {
            Ok(()) => {
                self.in_doubt = false;
                if let Some(member) = self.members.get_mut(&upstream) {
                    member.probe_at = cx.now + QUICK;
                }
                self.stage = Stage::Watching {
                    upstream,
                    until: cx.now + LEAD_TIME,
                };
            }
            Err(error) => {
                self.in_doubt |= error == PromotionError::Unanswered;
                self.stop(cx, "order-failed");
            }
        }
    }

    /// Ends an attempt after which another one may follow.
    pub(crate) fn stop(&mut self, cx: &mut Cx<'_>, reason: &'static str) {
        cx.log(AuthorityLogEvent::GaveUp {
            service: self.name.clone(),
            reason,
        });
        self.stage = Stage::Idle {
            not_before: cx.now + PAUSE,
        };
    }

    /// Ends an attempt that has ordered nothing.
    pub(crate) fn give_up(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox, reason: &'static str) {
        self.stop(cx, reason);
        if !self.in_doubt {
            self.release(cx, outbox);
        }
    }

    /// Lets fenced replicas receive again.
    pub(crate) fn release(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        // What an earlier leader has fenced is settled by an order first.
        let (own, term) = (self.settled || self.fenced_here, self.term());
        let fenced = |member: &Member| member.held > 0 && (own || member.held <= term);
        let held: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| fenced(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in held {
            let Some(member) = self.members.get_mut(&id) else {
                continue;
            };
            member.held = 0;
            let question = Question {
                service: self.name.clone(),
                upstream: id,
                purpose: Purpose::Release,
                fresh: false,
                asked_at: cx.now,
            };
            outbox.ask(
                cx,
                question,
                member.announcement.addr,
                UpstreamQuery::Resume,
            );
        }
    }

    /// Takes a replica's answer to the order to stop receiving.
    pub(crate) fn on_fenced(
        &mut self,
        cx: &mut Cx<'_>,
        id: &UpstreamId,
        result: &Result<QueryReply, QueryError>,
    ) {
        let Some(member) = self.members.get(id) else {
            return;
        };
        let Stage::Fencing { term, fenced, .. } = &mut self.stage else {
            return;
        };
        match result {
            Ok(told) if told.paused_term >= *term || told.granted => {
                let position = told.status.position;
                let new = fenced.insert(id.clone(), (position, member.announcement.incarnation));
                if new.is_none() {
                    cx.log(AuthorityLogEvent::Fenced {
                        service: self.name.clone(),
                        upstream: id.clone(),
                        position,
                    });
                }
            }
            // It has been asked for a higher term by an earlier leader.
            Ok(_) | Err(QueryError::Refused) => self.tried += 1,
            Err(_) => {}
        }
    }
}
