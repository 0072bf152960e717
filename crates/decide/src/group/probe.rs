//! Asks each instance for its status over and over, and hands on what it tells.

use std::time::{Duration, Instant};

use model::clock::holder_lease;
use model::{PartId, Role, UpstreamId};
use rand::Rng;

use crate::event::{Event, ProbeResult};
use crate::group::ask::{Manner, Purpose, Question, Questions};
use crate::group::log_event::GroupLogEvent;
use crate::group::member::{Health, Member};
use crate::group::settings::GroupSettings;
use crate::group::state::Group;
use crate::placement::traffic_part;
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, Effect};

impl Group {
    /// Probes each instance whose time has come.
    pub fn probe_due(&mut self, cx: &mut Cx<'_>, questions: &mut Questions) {
        let due: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| member.probe.is_none() && member.probe_at <= cx.now)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in due {
            self.probe(cx, questions, &upstream, false);
        }
    }

    /// Returns how often an instance is asked: more seldom where nothing hangs on it now.
    fn probe_every(&self, upstream: &UpstreamId, settings: &GroupSettings) -> Duration {
        let known = self.primary.as_ref().map(|(_, primary)| primary);
        let leads = known == Some(upstream);
        let owned = self
            .members
            .get(upstream)
            .is_some_and(|member| member.owned);
        let in_order =
            known.is_some() && self.reason.is_none() && self.members.values().all(Member::is_up);
        match in_order && !leads && !owned {
            true => settings.probe_others_every,
            false => settings.probe_every,
        }
    }

    fn probe(
        &mut self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        upstream: &UpstreamId,
        fresh: bool,
    ) {
        let settings = &cx.settings.group;
        let every = self.probe_every(upstream, settings);
        let Some(member) = self.members.get_mut(upstream) else {
            return;
        };
        let ask = if member.keeps_claim() {
            UpstreamQuery::Claim {
                host: cx.me.host.clone(),
                lease: settings.claim_lease,
            }
        } else {
            UpstreamQuery::Status { wait_for: None }
        };
        let manner = Manner {
            fresh,
            timeout: settings.probe_timeout,
        };
        // Hosts that started together soon probe at different moments.
        member.probe_at = cx.now + every.mul_f64(cx.rng.random_range(0.9..1.0));
        member.probe = Some(questions.ask(cx, &member.announcement, Purpose::Probe, ask, manner));
    }

    /// Takes the outcome of a probe; one that failed is repeated on a new connection.
    pub fn on_probed(
        &mut self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        id: QueryId,
        question: &Question,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(member) = self.members.get_mut(&question.upstream) else {
            return;
        };
        if member.probe != Some(id) {
            return;
        }
        member.probe = None;
        match result {
            Ok(told) => {
                if member.keeps_claim() {
                    let until = |lease| question.asked_at + holder_lease(lease);
                    member.claim = told.claim.map(|claim| {
                        let end = until(claim.lease);
                        (claim, end)
                    });
                }
                self.hand(cx, &question.upstream, question.asked_at);
            }
            Err(_) if !question.fresh => self.probe(cx, questions, &question.upstream, true),
            Err(error) => {
                let before = member.health;
                member.failed(cx.now, error, cx.settings.group.refused_for);
                if member.health == Health::Down && before != Health::Down {
                    cx.log(GroupLogEvent::Down {
                        service: self.service.clone(),
                        upstream: question.upstream.clone(),
                        error,
                    });
                }
                self.hand(cx, &question.upstream, question.asked_at);
            }
        }
    }

    /// Takes in a status, whatever the question was that it answers.
    pub fn observe(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        told: &QueryReply,
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
        member.told(told, asked_at);
        if told.status.role == Role::Primary {
            self.learn(cx, told.status.term, upstream);
        }
        self.mark_stuck(cx.now);
    }

    /// Notes which replicas stand behind the place that their primary has reached.
    fn mark_stuck(&mut self, now: Instant) {
        let Some((_, primary)) = &self.primary else {
            return;
        };
        let Some(reached) = self.members.get(primary).map(|member| member.position()) else {
            return;
        };
        for (upstream, member) in &mut self.members {
            if upstream == primary || member.position() >= reached {
                member.stuck_since = None;
            } else {
                member.stuck_since.get_or_insert(now);
            }
        }
    }

    /// Ends all claims: first for the traffic parts, then for the instances.
    pub fn give_back(&mut self, cx: &mut Cx<'_>, questions: &mut Questions) {
        let owned: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| member.keeps_claim())
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in owned {
            if let Some(member) = self.members.get_mut(&upstream) {
                member.claim = None;
            }
            self.hand(cx, &upstream, cx.now);
            questions.unclaim(cx, &self.members[&upstream].announcement);
        }
    }

    /// Hands what is known of an instance to each traffic part that owns any of the group.
    fn hand(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, asked_at: Instant) {
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
            .filter(|(_, member)| member.keeps_claim())
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
