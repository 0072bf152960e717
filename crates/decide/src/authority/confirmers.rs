//! Which instances of a service may still confirm writes of the primary that is to be replaced.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Position, Role, Term, UpstreamId};

use crate::Cx;
use crate::authority::ack_stop::MISSING_WRITES_WAIT;
use crate::authority::instance::MonitoredInstance;
use crate::authority::service::{FailoverStage, MonitoredService};
use crate::authority::{AuthorityLogEvent, Outbox};

/// How long a failover waits for the return of an ended replica that may have writes which no
/// other instance has.
pub(crate) const ENDED_REPLICA_WAIT: Duration = Duration::from_secs(20);

/// Pause before the next attempt after one whose best instance lacked writes.
const MISSING_WRITES_PAUSE: Duration = Duration::from_secs(1);

impl MonitoredService {
    /// Removes the instances whose processes have ended.
    ///
    /// An instance that is only silent stays: it may confirm writes of a primary that it reaches.
    pub(crate) fn remove_ended_members(&mut self, cx: &mut Cx<'_>) {
        let has_successor = |id: &UpstreamId, member: &MonitoredInstance| {
            let mut others = self.members.iter().filter(|(other, _)| *other != id);
            others.any(|(_, other)| other.has_taken_address_of(member))
        };
        let members = self.members.iter();
        let ended = members.filter_map(|(id, member)| {
            let evidence = member.end_evidence(cx.now, || has_successor(id, member))?;
            Some((id.clone(), evidence))
        });
        let ended: Vec<_> = ended.collect();
        for (id, evidence) in ended {
            let primary = self.primary.as_ref().map(|(_, primary)| primary);
            let was_primary = primary == Some(&id);
            self.doubt.on_ended(&id);
            if let Some(member) = self.members.remove(&id)
                && !was_primary
            {
                self.ended_replicas
                    .insert(id.clone(), member.into_ended(cx.now));
            }
            cx.log(AuthorityLogEvent::InstanceEnded {
                service: self.name.clone(),
                upstream: id,
                evidence,
            });
        }
        self.ended_replicas
            .retain(|_, ended| cx.now.saturating_duration_since(ended.since) < ENDED_REPLICA_WAIT);
    }

    /// Returns the instances that must be fenced before a successor is chosen.
    ///
    /// These are all that may confirm writes: all but a primary that still leads or doesn't answer.
    /// Where the primary answers, it is demoted and then fenced itself. Nothing is confirmed after
    /// that, so silent instances aren't needed, except one that this leader has ordered to lead.
    pub(crate) fn replicas_to_fence(&self) -> BTreeSet<UpstreamId> {
        let primary = self.primary.as_ref().map(|(_, id)| id);
        let demotable = self.primary_is_active() && !self.keeps_primary();
        let primary_answers = demotable || self.primary_is_demoted();
        let replicas = self.members.iter().filter(|(id, member)| {
            let may_lead = self.ordered_to_lead.contains(*id);
            let needed = !member.is_silent() || !primary_answers || may_lead;
            needed && (Some(*id) != primary || member.is_replica())
        });
        replicas.map(|(id, _)| id.clone()).collect()
    }

    /// Returns an instance that may go on confirming writes whatever is fenced, if there is one: it
    /// doesn't answer, or it is one of several whose fences may end.
    ///
    /// While there is, no attempt is of use: replicas that are fenced for nothing keep a primary
    /// that only this host can't reach from acknowledging writes.
    pub(crate) fn unfenceable(&self, now: Instant) -> Option<&UpstreamId> {
        let required = self.replicas_to_fence();
        let members = self.members.iter();
        let required = members.filter(|(id, _)| required.contains(*id));
        let mut silent = required.clone().filter(|(_, member)| member.is_silent());
        if let Some((id, _)) = silent.next() {
            return Some(id);
        }
        if self.primary_is_active() || self.primary_is_demoted() {
            return None;
        }
        let mut uncertain = required.filter(|(_, member)| member.fence_may_end(now));
        uncertain.nth(1).map(|(id, _)| id)
    }

    /// Returns whether a query that got no answer may still end the fence of an instance.
    pub(crate) fn fence_may_end(&self, now: Instant, id: &UpstreamId) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| member.fence_may_end(now))
    }

    /// Returns whether this leader has demoted the known primary, which answers as a replica now.
    pub(crate) fn primary_is_demoted(&self) -> bool {
        let primary = self.primary.as_ref();
        let primary = primary.and_then(|(_, id)| self.members.get(id));
        self.has_demoted_primary && primary.is_some_and(MonitoredInstance::is_replica)
    }

    /// Returns whether the current attempt keeps the present primary.
    fn keeps_primary(&self) -> bool {
        matches!(
            self.stage,
            FailoverStage::Fencing {
                keep_primary: true,
                ..
            }
        )
    }

    /// Returns the highest term in which an instance may have led so far, as far as is known.
    pub(crate) fn highest_term_of_a_primary(&self) -> Term {
        let members = self.members.values();
        let statuses = members.filter_map(|member| member.status.as_ref());
        let terms = statuses.map(|(status, _)| match status.role {
            Role::Primary => status.term.max(status.position.term),
            Role::Replica => status.position.term,
        });
        terms.max().unwrap_or(0).max(self.primary_term())
    }

    /// Ends the attempt if the best instance lacks writes that were passed on, and returns whether
    /// it does.
    ///
    /// An instance that isn't announced yet may have them, or the primary may return with its log.
    pub(crate) fn holds_back(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        position: Position,
    ) -> bool {
        let (service, passed_on) = (self.name.clone(), self.ack_stops.passed_on);
        if position >= passed_on {
            self.ack_stops.missing_since = None;
            return false;
        }
        let since = *self.ack_stops.missing_since.get_or_insert(cx.now);
        if cx.now >= since + MISSING_WRITES_WAIT {
            cx.log(AuthorityLogEvent::WritesGivenUp {
                service,
                position,
                passed_on,
            });
            return false;
        }
        cx.log(AuthorityLogEvent::WritesMissing {
            service,
            position,
            passed_on,
        });
        self.end_attempt_without_order(cx, outbox, "writes-missing");
        self.stage = FailoverStage::Idle {
            next_attempt_at: cx.now + MISSING_WRITES_PAUSE,
        };
        true
    }
}
