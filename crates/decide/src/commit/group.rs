//! The writes of one group that wait for confirmation, and what its instances have reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::config::CommitRule;
use model::{InstanceStatus, Position, Role, ServiceId, Term, UpstreamId};

use crate::commit::Resolved;
use crate::event::ProbeResult;
use crate::group::settings::GroupSettings;
use crate::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use crate::{Cx, View};

/// A write that waits.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The number under which it waits.
    pub ticket: u64,
    /// When it counts as done.
    pub rule: CommitRule,
    /// The primary that has it.
    pub primary: UpstreamId,
    /// The primary's position after it.
    pub position: Position,
    /// When the primary's answer came.
    pub since: Instant,
    /// When waiting ends.
    pub deadline: Instant,
}

/// A question under way to a replica.
#[derive(Clone, Debug)]
pub struct Poll {
    /// The service.
    pub service: ServiceId,
    /// The replica.
    pub upstream: UpstreamId,
    /// When it was asked.
    pub asked_at: Instant,
}

/// A question to send to a replica.
#[derive(Clone, Debug)]
pub struct Request {
    /// The replica.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The question.
    pub ask: UpstreamQuery,
    /// Whether to take a new connection.
    pub fresh: bool,
    /// How long the answer may take.
    pub timeout: Duration,
}

/// An instance, as far as confirmation is concerned.
#[derive(Debug)]
struct Instance {
    addr: SocketAddr,
    /// The last status, and when it was asked for.
    seen: Option<(InstanceStatus, Instant)>,
    /// When it was last found not to answer, if it has not answered since.
    silent_since: Option<Instant>,
    poll: Option<QueryId>,
    retry_at: Option<Instant>,
    fresh: bool,
}

impl Instance {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            seen: None,
            silent_since: None,
            poll: None,
            retry_at: None,
            fresh: false,
        }
    }

    fn saw(&mut self, status: InstanceStatus, asked_at: Instant) {
        self.silent_since = None;
        if self.seen.as_ref().is_none_or(|(_, last)| *last <= asked_at) {
            self.seen = Some((status, asked_at));
        }
    }

    /// Returns whether it is known to confirm a write.
    fn confirms(&self, ticket: &Ticket) -> bool {
        self.seen.as_ref().is_some_and(|(status, asked_at)| {
            let enough = match ticket.rule {
                CommitRule::Replicated => status.position >= ticket.position,
                CommitRule::Primary | CommitRule::Upstream => *asked_at >= ticket.since,
            };
            status.term == ticket.position.term && enough
        })
    }

    /// Returns whether it has left the term of a write for good.
    fn is_past(&self, ticket: &Ticket) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|(status, _)| status.term > ticket.position.term)
    }
}

/// The writes of one group that wait.
#[derive(Debug, Default)]
pub struct Waiting {
    size: usize,
    /// The newest known term with a primary.
    term: Term,
    instances: BTreeMap<UpstreamId, Instance>,
    tickets: Vec<Ticket>,
}

impl Waiting {
    /// Takes over the instances of a view.
    pub fn sync(&mut self, view: &View, service: &ServiceId) {
        let Some(known) = view.services.get(service) else {
            return;
        };
        self.size = usize::from(known.group_size);
        self.term = known.primary.as_ref().map_or(0, |(term, _)| *term);
        self.instances
            .retain(|upstream, _| known.upstreams.contains(upstream));
        for upstream in &known.upstreams {
            if let Some(seen) = view.upstreams.get(upstream) {
                let addr = seen.announcement.addr;
                let instance = self
                    .instances
                    .entry(upstream.clone())
                    .or_insert_with(|| Instance::new(addr));
                instance.addr = addr;
            }
        }
    }

    /// Returns whether any write waits.
    pub fn has_tickets(&self) -> bool {
        !self.tickets.is_empty()
    }

    /// Adds a write.
    pub fn add(&mut self, ticket: Ticket) {
        self.tickets.push(ticket);
    }

    /// Takes a replica's answer.
    pub fn answered(
        &mut self,
        cx: &Cx<'_>,
        id: QueryId,
        poll: &Poll,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(instance) = self.instances.get_mut(&poll.upstream) else {
            return;
        };
        if instance.poll == Some(id) {
            instance.poll = None;
        }
        match result {
            Ok(told) => {
                instance.fresh = false;
                instance.retry_at = None;
                instance.saw(told.status, poll.asked_at);
            }
            Err(error) => {
                // The open connection may have gone silent while a new one works.
                instance.fresh = !instance.fresh && error != QueryError::Refused;
                let pause = match instance.fresh {
                    true => Duration::ZERO,
                    false => cx.settings.group.commit_retry,
                };
                instance.retry_at = Some(cx.now + pause);
            }
        }
    }

    /// Takes what the control part knows of an instance.
    pub fn probed(&mut self, probed: &ProbeResult) {
        let Some(instance) = self.instances.get_mut(&probed.upstream) else {
            return;
        };
        match &probed.status {
            Some(status) => instance.saw(status.clone(), probed.asked_at),
            None => instance.silent_since = Some(probed.asked_at),
        }
    }

    /// Returns whether an instance is thought able to confirm a write of a term.
    pub fn is_able(&self, upstream: &UpstreamId, term: Term, oldest: Option<Instant>) -> bool {
        let Some(instance) = self.instances.get(upstream) else {
            return true;
        };
        if instance.silent_since.is_some() {
            return false;
        }
        let Some((status, asked_at)) = &instance.seen else {
            return true;
        };
        status.term <= term && oldest.is_none_or(|oldest| *asked_at >= oldest)
    }

    /// Takes out the writes that are confirmed, can't be confirmed any more, or are too late.
    pub fn settle(&mut self, now: Instant) -> Vec<Resolved> {
        let mut tickets = std::mem::take(&mut self.tickets);
        let mut resolved = Vec::new();
        tickets.retain(|ticket| {
            let lost = self.is_lost(ticket);
            let confirmed = !lost && self.is_confirmed(ticket);
            let settled = lost || confirmed || now >= ticket.deadline;
            if settled {
                resolved.push(Resolved {
                    ticket: ticket.ticket,
                    confirmed,
                });
            }
            !settled
        });
        self.tickets = tickets;
        resolved
    }

    fn majority(&self) -> usize {
        self.size / 2 + 1
    }

    /// Returns whether a majority has confirmed a write.
    fn is_confirmed(&self, ticket: &Ticket) -> bool {
        let replicas = self
            .instances
            .iter()
            .filter(|(upstream, instance)| {
                **upstream != ticket.primary && instance.confirms(ticket)
            })
            .count();
        // The primary counts by its own status from after the write.
        1 + replicas >= self.majority()
    }

    /// Returns whether a write can't be confirmed any more.
    ///
    /// A replica in a higher term does not settle a write by itself: the others may still be
    /// a majority, and each later primary has the write once they report it.
    fn is_lost(&self, ticket: &Ticket) -> bool {
        let past = |instance: &&Instance| instance.is_past(ticket);
        let primary = self.instances.get(&ticket.primary);
        let succeeded = |instance: &Instance| {
            let status = instance.seen.as_ref().map(|(status, _)| status);
            status.is_some_and(|status| status.role == Role::Primary)
        };
        self.term > ticket.position.term
            || primary.is_some_and(|primary| past(&primary))
            || self.instances.values().filter(past).any(succeeded)
            || self.size - self.instances.values().filter(past).count() < self.majority()
    }

    /// Returns the questions that are due: one for each replica that some write still needs.
    pub fn due(&self, now: Instant, settings: &GroupSettings) -> Vec<Request> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.poll.is_none())
            .filter(|(_, instance)| instance.retry_at.is_none_or(|at| at <= now))
            .filter_map(|(upstream, instance)| {
                let ticket = self.oldest_missing(upstream, instance)?;
                let wait_for = match ticket.rule {
                    CommitRule::Replicated => Some((ticket.position, settings.commit_poll)),
                    CommitRule::Primary | CommitRule::Upstream => None,
                };
                let wait = wait_for.map_or(Duration::ZERO, |(_, wait)| wait);
                Some(Request {
                    upstream: upstream.clone(),
                    addr: instance.addr,
                    ask: UpstreamQuery::Status { wait_for },
                    fresh: instance.fresh,
                    timeout: wait + settings.order_timeout,
                })
            })
            .collect()
    }

    /// Returns the write with the lowest position that an instance could still confirm.
    fn oldest_missing(&self, upstream: &UpstreamId, instance: &Instance) -> Option<&Ticket> {
        self.tickets
            .iter()
            .filter(|ticket| ticket.primary != *upstream)
            .filter(|ticket| !instance.confirms(ticket) && !instance.is_past(ticket))
            .min_by_key(|ticket| ticket.position)
    }

    /// Notes that a question has been sent.
    pub fn sent(&mut self, upstream: &UpstreamId, id: QueryId) {
        if let Some(instance) = self.instances.get_mut(upstream) {
            instance.poll = Some(id);
        }
    }

    /// Returns when a deadline passes or a question is due, if any.
    pub fn wake_at(&self) -> Option<Instant> {
        let deadlines = self.tickets.iter().map(|ticket| ticket.deadline);
        let retries = self
            .instances
            .iter()
            .filter(|(upstream, instance)| {
                instance.poll.is_none() && self.oldest_missing(upstream, instance).is_some()
            })
            .filter_map(|(_, instance)| instance.retry_at);
        deadlines.chain(retries).min()
    }
}
