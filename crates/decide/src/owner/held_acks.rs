//! Acknowledgements of commits that are held back while this host has no lease to pass them on.
//!
//! They are passed on with the next lease, or once a replica that the consensus leader knew at the
//! time of the last lease reports the commit: the leader promotes none that lacks it, whatever else
//! it has decided since. So the callers of a data centre that is cut off from the leader are served
//! as long as a primary and a known replica are on their side. A replica that the leader may not
//! know proves nothing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Answer, HashMap, HostId, Position, Role, ServiceId, UpstreamId};

use crate::owner::ack_gate::{AckDecision, AckGate};
use crate::owner::job::Job;
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, Effect, View};

/// First id of the queries to replicas, so that they differ from those of other modules.
const FIRST_QUERY_ID: QueryId = 1 << 61;
/// First id above them.
const END_QUERY_ID: QueryId = 1 << 62;
/// Interval at which a replica is asked again; a commit takes some milliseconds to reach it.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a replica may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// An acknowledgement that is held back.
#[derive(Debug)]
struct HeldAck {
    job: Job,
    answer: Answer,
    position: Position,
}

/// The held acknowledgements of one service, and the queries to its replicas.
#[derive(Debug, Default)]
struct ServiceAcks {
    acks: Vec<HeldAck>,
    /// When each replica that was asked may be asked again.
    ask_again_at: HashMap<UpstreamId, Instant>,
}

/// All acknowledgements that are held back.
#[derive(Debug, Default)]
pub(crate) struct HeldAcks {
    services: HashMap<ServiceId, ServiceAcks>,
    /// The queries under way: service, replica and its incarnation.
    queries: HashMap<QueryId, (ServiceId, UpstreamId, u64)>,
    last_query: u64,
    /// The view at the time of the last lease whose leader had the same facts.
    known_view: Option<Arc<View>>,
}

impl HeldAcks {
    /// Records that the leader knew all instances of a view.
    pub(crate) fn set_known_view(&mut self, view: &Arc<View>) {
        self.known_view = Some(view.clone());
    }

    /// Holds an acknowledgement back.
    pub(crate) fn hold(
        &mut self,
        service: &ServiceId,
        job: Job,
        answer: Answer,
        position: Position,
    ) {
        let acks = self.services.entry(service.clone()).or_default();
        acks.acks.push(HeldAck {
            job,
            answer,
            position,
        });
    }

    /// Returns whether a replica may prove commits of the present primary.
    pub(crate) fn can_prove(&self, view: &View, service: &ServiceId) -> bool {
        let Some((term, primary)) = view.services.get(service).and_then(|s| s.primary.as_ref())
        else {
            return false;
        };
        let mut replicas = self.provers(view, service, Position::new(*term, 0));
        replicas.any(|(id, _)| id != primary)
    }

    /// Returns the instances of a service that the leader knew, and that have not restarted since.
    ///
    /// None may prove commits of a term that began after the last lease: an order that the leader
    /// has given since may be followed by another one for an instance that lacks them.
    fn provers<'a>(
        &'a self,
        view: &'a View,
        service: &'a ServiceId,
        position: Position,
    ) -> impl Iterator<Item = (&'a UpstreamId, u64)> {
        let known = self.known_view.as_deref();
        let known = known.and_then(|known| Some((known, known.services.get(service)?)));
        let known = known.filter(|(_, service)| {
            let primary = service.primary.as_ref();
            primary.is_some_and(|(term, _)| *term >= position.term)
        });
        known.into_iter().flat_map(move |(known, service)| {
            let incarnation = |view: &View, id: &UpstreamId| {
                let seen = view.upstreams.get(id);
                seen.map(|seen| seen.announcement.incarnation)
            };
            service.upstreams.iter().filter_map(move |id| {
                let then = incarnation(known, id)?;
                (incarnation(view, id) == Some(then)).then_some((id, then))
            })
        })
    }

    /// Asks the known replicas for their positions where acknowledgements wait for them.
    pub(crate) fn ask_replicas(&mut self, cx: &mut Cx<'_>, view: &View) {
        let mut due = Vec::new();
        for (name, service) in &self.services {
            let Some(first) = service.acks.first() else {
                continue;
            };
            let replicas = self.provers(view, name, first.position);
            let replicas = replicas.filter(|(id, _)| *first.job.run.upstream != ***id);
            let replicas = replicas.filter(|(id, _)| {
                let at = service.ask_again_at.get(*id);
                at.is_none_or(|at| *at <= cx.now)
            });
            let replicas = replicas.map(|(id, incarnation)| (id.clone(), incarnation));
            due.extend(replicas.map(|(id, incarnation)| (name.clone(), id, incarnation)));
        }
        for service in self.services.values_mut() {
            service.ask_again_at.retain(|_, at| cx.now < *at);
        }
        for (service, upstream, incarnation) in due {
            let Some(seen) = view.upstreams.get(&upstream) else {
                continue;
            };
            self.last_query += 1;
            let id = FIRST_QUERY_ID + self.last_query;
            cx.emit(Effect::QueryUpstream {
                id,
                upstream: upstream.clone(),
                service: service.clone(),
                addr: seen.announcement.addr,
                query: UpstreamQuery::Status { wait_for: None },
                new_connection: false,
                alone: view.is_evacuated(&upstream),
                timeout: QUERY_TIMEOUT,
            });
            let acks = self.services.entry(service.clone()).or_default();
            acks.ask_again_at
                .insert(upstream.clone(), cx.now + QUERY_TIMEOUT);
            self.queries.insert(id, (service, upstream, incarnation));
        }
    }

    /// Handles a replica's answer: passes on what it proves; returns whether the query is one of
    /// this module.
    pub(crate) fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        view: &View,
        gate: &mut AckGate,
        id: QueryId,
        result: &Result<QueryReply, QueryError>,
    ) -> bool {
        let Some((name, upstream, incarnation)) = self.queries.remove(&id) else {
            return (FIRST_QUERY_ID..END_QUERY_ID).contains(&id);
        };
        if let Some(acks) = self.services.get_mut(&name) {
            acks.ask_again_at
                .insert(upstream.clone(), cx.now + QUERY_INTERVAL);
        }
        let Ok(reply) = result else {
            return true;
        };
        let status = &reply.status;
        let is_known = |position| {
            let mut provers = self.provers(view, &name, position);
            provers.any(|(id, now)| *id == upstream && now == incarnation)
        };
        if status.role == Role::Replica && is_known(status.position) {
            let proved = |ack: &HeldAck| {
                ack.position.term == status.position.term && ack.position <= status.position
            };
            self.resolve(cx, &name, |ack, cx| {
                if gate.is_stopped(cx.now, &name, Some(ack.position)) {
                    Resolution::Unknown
                } else if proved(ack) {
                    gate.record(&name, ack.position);
                    Resolution::PassOn
                } else {
                    Resolution::Hold
                }
            });
        }
        true
    }

    /// Passes on what the lease permits now, and gives up what has been stopped or has expired.
    pub(crate) fn recheck(&mut self, cx: &mut Cx<'_>, gate: &mut AckGate) {
        let lease_time = cx.settings.group.ack_lease;
        let names: Vec<ServiceId> = self.services.keys().cloned().collect();
        for name in names {
            self.resolve(cx, &name, |ack, cx| {
                match gate.decide(cx.now, lease_time, &name, Some(ack.position)) {
                    AckDecision::PassOn => Resolution::PassOn,
                    AckDecision::Stopped => Resolution::Unknown,
                    AckDecision::NoLease if ack.job.deadline <= cx.now => Resolution::Unknown,
                    AckDecision::NoLease => Resolution::Hold,
                }
            });
        }
    }

    fn resolve(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        mut resolution: impl FnMut(&HeldAck, &Cx<'_>) -> Resolution,
    ) {
        let Some(acks) = self.services.get_mut(service) else {
            return;
        };
        for ack in std::mem::take(&mut acks.acks) {
            match resolution(&ack, cx) {
                Resolution::Hold => acks.acks.push(ack),
                Resolution::PassOn => ack.job.send_answer(cx, ack.answer, None),
                Resolution::Unknown => ack.job.answer_may_have_run(cx),
            }
        }
        if acks.acks.is_empty() {
            self.services.remove(service);
        }
    }

    /// Drops the acknowledgements for a host whose link is down.
    pub(crate) fn drop_for_host(&mut self, host: &HostId) {
        self.services.retain(|_, service| {
            service.acks.retain(|ack| ack.job.from.host != *host);
            !service.acks.is_empty()
        });
    }

    /// Returns when a replica is asked next or a deadline passes.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let services = self.services.values();
        let times = services.flat_map(|service| {
            let deadlines = service.acks.iter().map(|ack| ack.job.deadline);
            deadlines.chain(service.ask_again_at.values().copied())
        });
        times.min()
    }

    /// Returns whether no acknowledgement is held back.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}

/// What becomes of a held acknowledgement.
enum Resolution {
    /// It stays held back.
    Hold,
    /// It is sent.
    PassOn,
    /// Its caller is told that the request may have run.
    Unknown,
}
