//! Probes each instance at an interval, renews claims by the same queries, and forwards the
//! results to the traffic parts.

use std::time::{Duration, Instant};

use model::clock::holder_lease;
use model::{PartId, Role, UpstreamId};
use rand::Rng;

use crate::event::{Event, ProbeResult};
use crate::group::log_event::GroupLogEvent;
use crate::group::member::{GroupMember, Health};
use crate::group::query::{PendingQueries, PendingQuery, QueryOptions, QueryPurpose};
use crate::group::settings::GroupSettings;
use crate::group::state::Group;
use crate::placement::traffic_part;
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, Effect};

impl Group {
    /// Probes each instance whose next probe is due and that has no unanswered one.
    pub fn send_due_probes(&mut self, cx: &mut Cx<'_>, queries: &mut PendingQueries) {
        let due: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| member.pending_probe.is_none() && member.next_probe_at <= cx.now)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in due {
            self.send_probe(cx, queries, &upstream, false);
        }
    }

    /// Returns the interval between probes of an instance.
    ///
    /// It is longer for an instance that is neither the primary nor owned by this host, while
    /// all instances are up and the primary need not be replaced.
    fn probe_interval(&self, upstream: &UpstreamId, settings: &GroupSettings) -> Duration {
        let primary = self.primary.as_ref().map(|(_, primary)| primary);
        let is_primary = primary == Some(upstream);
        let owned = self
            .members
            .get(upstream)
            .is_some_and(|member| member.owned);
        let is_healthy = primary.is_some()
            && self.replace_reason.is_none()
            && self.members.values().all(GroupMember::is_up);
        match is_healthy && !is_primary && !owned {
            true => settings.probe_others_every,
            false => settings.probe_every,
        }
    }

    /// Sends a probe and schedules the next one. Where this host holds a claim or may have one,
    /// the probe is the request that renews it.
    fn send_probe(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        upstream: &UpstreamId,
        new_connection: bool,
    ) {
        let settings = &cx.settings.group;
        let interval = self.probe_interval(upstream, settings);
        let Some(member) = self.members.get_mut(upstream) else {
            return;
        };
        let upstream_query = if member.renews_claim() {
            UpstreamQuery::Claim {
                host: cx.me.host.clone(),
                lease: settings.claim_lease,
            }
        } else {
            UpstreamQuery::Status { wait_for: None }
        };
        let options = QueryOptions {
            new_connection,
            timeout: settings.probe_timeout,
        };
        // Jitter spreads the probes of hosts that started together.
        member.next_probe_at = cx.now + interval.mul_f64(cx.rng.random_range(0.9..1.0));
        member.pending_probe = Some(queries.send(
            cx,
            &member.announcement,
            QueryPurpose::Probe,
            upstream_query,
            options,
        ));
    }

    /// Handles the outcome of a probe. One that failed on the open connection is repeated on a
    /// new connection before it counts.
    pub fn on_probe_reply(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        id: QueryId,
        query: &PendingQuery,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(member) = self.members.get_mut(&query.upstream) else {
            return;
        };
        if member.pending_probe != Some(id) {
            return;
        }
        member.pending_probe = None;
        match result {
            Ok(reply) => {
                if member.renews_claim() {
                    let lease_end = |lease| query.asked_at + holder_lease(lease);
                    member.claim = reply.claim.map(|claim| {
                        let end = lease_end(claim.lease);
                        (claim, end)
                    });
                }
                self.forward_to_traffic_parts(cx, &query.upstream, query.asked_at);
            }
            Err(_) if !query.new_connection => self.send_probe(cx, queries, &query.upstream, true),
            Err(error) => {
                let previous_health = member.health;
                member.record_probe_failure(cx.now, error, cx.settings.group.refused_for);
                if member.health == Health::Down && previous_health != Health::Down {
                    cx.log(GroupLogEvent::Down {
                        service: self.service.clone(),
                        upstream: query.upstream.clone(),
                        error,
                    });
                }
                self.forward_to_traffic_parts(cx, &query.upstream, query.asked_at);
            }
        }
    }

    /// Records the status in the answer to any query, and the primary that it reveals.
    pub fn record_status(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        reply: &QueryReply,
        asked_at: Instant,
    ) {
        let Some(member) = self.members.get_mut(upstream) else {
            return;
        };
        if member.health == Health::Down {
            cx.log(GroupLogEvent::Up {
                service: self.service.clone(),
                upstream: upstream.clone(),
            });
        }
        member.update_status(reply, asked_at);
        if reply.status.role == Role::Primary {
            self.record_primary(cx, reply.status.term, upstream);
        }
        self.update_stalled_since(cx.now);
    }

    /// Updates since when each replica's log position has been below the primary's.
    fn update_stalled_since(&mut self, now: Instant) {
        let Some((_, primary)) = &self.primary else {
            return;
        };
        let Some(reached) = self.members.get(primary).map(|member| member.position()) else {
            return;
        };
        for (upstream, member) in &mut self.members {
            if upstream == primary || member.position() >= reached {
                member.stalled_since = None;
            } else {
                member.stalled_since.get_or_insert(now);
            }
        }
    }

    /// Ends all claims: first the traffic parts learn of it, then the claims are given back to
    /// the instances.
    pub fn release_claims(&mut self, cx: &mut Cx<'_>, queries: &mut PendingQueries) {
        let owned: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| member.renews_claim())
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in owned {
            if let Some(member) = self.members.get_mut(&upstream) {
                member.claim = None;
            }
            self.forward_to_traffic_parts(cx, &upstream, cx.now);
            queries.unclaim(cx, &self.members[&upstream].announcement);
        }
    }

    /// Forwards an instance's status and claim to each traffic part of this host that manages
    /// an instance of the group.
    fn forward_to_traffic_parts(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        asked_at: Instant,
    ) {
        let Some(member) = self.members.get(upstream) else {
            return;
        };
        let status = member.status.clone().filter(|_| member.is_up());
        let probed = ProbeResult {
            upstream: upstream.clone(),
            status,
            asked_at,
            claim: member.claim.clone().filter(|(_, end)| *end > cx.now),
        };
        let mut parts: Vec<PartId> = self
            .members
            .iter()
            .filter(|(_, member)| member.renews_claim())
            .map(|(upstream, _)| traffic_part(upstream, cx.me))
            .collect();
        parts.sort_unstable();
        parts.dedup();
        for part in parts {
            let event = Box::new(Event::UpstreamProbed(probed.clone()));
            cx.emit(Effect::ForwardEvent { part, event });
        }
    }
}
