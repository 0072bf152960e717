//! Decides whether a service's primary must be replaced.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::Role;

use crate::Cx;
use crate::authority::AuthorityLogEvent;
use crate::authority::instance::MonitoredInstance;
use crate::authority::order_doubt::LATE_ORDER_TIME;
use crate::authority::service::{FailoverStage, MonitoredService};

/// How long an attempt may take to fence all replicas.
pub(crate) const FENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a service may lack a primary before one is promoted.
const NO_PRIMARY_GRACE: Duration = Duration::from_millis(800);

impl MonitoredService {
    /// Starts an attempt with a new fence term if the primary must be replaced.
    pub(crate) fn start_attempt_if_needed(&mut self, cx: &mut Cx<'_>) {
        let reason = self.replace_reason(cx.now);
        let held_up_by = reason.and_then(|_| self.unfenceable(cx.now).cloned());
        if held_up_by != self.held_up_by {
            self.held_up_by.clone_from(&held_up_by);
            if let Some((upstream, reason)) = held_up_by.clone().zip(reason) {
                cx.log(AuthorityLogEvent::ReplacementHeldUp {
                    service: self.name.clone(),
                    upstream,
                    reason,
                });
            }
        }
        let Some(reason) = reason.filter(|_| held_up_by.is_none()) else {
            return;
        };
        self.attempt_number += 1;
        let highest_fence = self.members.values().map(|member| member.fenced_term).max();
        let seen = self
            .members
            .values()
            .filter_map(|member| member.status.as_ref());
        let seen = seen.map(|(status, _)| status.term).max();
        let highest = highest_fence
            .max(seen)
            .unwrap_or(0)
            .max(self.primary_term());
        self.fence_term = self.fence_term.max(highest).saturating_add(1);
        let primary = self
            .primary
            .as_ref()
            .and_then(|(_, id)| self.members.get(id));
        cx.log(AuthorityLogEvent::ReplacementWanted {
            service: self.name.clone(),
            term: self.primary_term(),
            reason,
            unheard: primary
                .and_then(|primary| primary.last_reply_at)
                .map(|at| cx.now - at),
        });
        // A new order for the active primary makes every earlier order void. With all replicas
        // fenced, the primary has every write, even if an earlier order is carried out first.
        let mut members = self.members.values();
        let can_fence_all =
            !members.any(|member| member.is_silent() || member.fence_may_end(cx.now));
        let keep_primary = self.doubt.is_open() && self.primary_is_active() && can_fence_all;
        self.stage = FailoverStage::Fencing {
            keep_primary,
            term: self.fence_term,
            deadline: cx.now + FENCE_TIMEOUT,
            fenced: BTreeMap::new(),
            next_request_at: cx.now,
        };
    }

    /// Returns why the primary must be replaced, if it must.
    pub(crate) fn replace_reason(&mut self, now: Instant) -> Option<&'static str> {
        if self.members.is_empty() {
            return None;
        }
        // An order in doubt for the instance that leads changes nothing if it is carried out.
        if let Some((_, primary)) = self.primary.as_ref().filter(|_| self.primary_is_active()) {
            self.doubt.on_leads(primary, false);
        }
        // Once the platform has accepted a newer order, it can't carry out the one in doubt.
        if self.doubt.can_be_voided() {
            return Some("in-doubt");
        }
        // An earlier leader has fenced replicas, and its order may still be carried out.
        let fenced = |member: &MonitoredInstance| {
            member.fenced_term > self.primary_term() && self.primary_term() > 0
        };
        if !self.earlier_orders_void && self.members.values().any(fenced) {
            let until = now + LATE_ORDER_TIME;
            self.doubt.add_unaccepted(None, until);
            return Some("left-fenced");
        }
        let Some((_, id)) = &self.primary else {
            let since = *self.no_primary_since.get_or_insert(now);
            let all_heard = self.members.values().all(|member| member.status.is_some());
            let is_due = all_heard && now >= since + NO_PRIMARY_GRACE;
            return is_due.then_some("absent");
        };
        let Some(primary) = self.members.get(id) else {
            return Some("gone");
        };
        if primary.is_silent() {
            return Some("lost");
        }
        let role = primary.status.as_ref().map(|(status, _)| status.role);
        if role == Some(Role::Replica) {
            let since = *self.no_primary_since.get_or_insert(now);
            return (now >= since + NO_PRIMARY_GRACE).then_some("stepped-down");
        }
        let others = self.members.iter().filter(|(other, _)| *other != id);
        let mut others = others.filter(|(_, member)| !member.must_be_replaced());
        let has_successor =
            others.any(|(_, member)| member.status.is_some() && member.failed_probes == 0);
        let reason = if primary.evacuated {
            "evacuated"
        } else {
            "leaving"
        };
        (primary.must_be_replaced() && has_successor).then_some(reason)
    }

    /// Returns whether the known primary last reported that role and answered the last probe.
    pub(crate) fn primary_is_active(&self) -> bool {
        let primary = self.primary.as_ref();
        let primary = primary.and_then(|(_, id)| self.members.get(id));
        primary.is_some_and(|member| member.answers_as(Role::Primary))
    }
}
