//! The simulated network between hosts and instances, and the queries that it carries.

use std::time::{Duration, Instant};

use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use model::{PartId, Position, UpstreamId};
use rand::Rng;

use crate::world::{HostRef, SimEvent, World};

/// Half of the longest delay of a message without faults.
const BASE_DELAY: Duration = Duration::from_millis(1);
/// Interval at which an instance checks whether an awaited log position has been reached.
const POSITION_CHECK_INTERVAL: Duration = Duration::from_millis(2);

impl World {
    /// Returns the delays after which copies of a message between hosts arrive; none if it is
    /// lost, two if it is duplicated.
    pub(crate) fn delivery_delays(&mut self, from: usize, to: usize) -> Vec<Duration> {
        let (a, b) = (&self.hosts[from].info, &self.hosts[to].info);
        let cut = self.is_cut(&a.data_centre, &b.data_centre);
        if cut || self.rng.random_bool(self.message_faults.lost) {
            return Vec::new();
        }
        let mut delays = vec![self.random_delay()];
        if self.rng.random_bool(self.message_faults.duplicated) {
            delays.push(self.random_delay());
        }
        delays
    }

    /// Returns a random delay of one message.
    pub(crate) fn random_delay(&mut self) -> Duration {
        let delay = BASE_DELAY.mul_f64(self.rng.random_range(0.3..2.0));
        match self.rng.random_bool(self.message_faults.delayed) {
            true => delay + Duration::from_millis(self.rng.random_range(5..500)),
            false => delay,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one effect")]
    pub(crate) fn send_query(
        &mut self,
        host: usize,
        part: PartId,
        id: QueryId,
        upstream: &UpstreamId,
        query: UpstreamQuery,
        new_connection: bool,
        timeout: Duration,
    ) {
        let Some(target) = self.instances.iter().position(|i| i.id == *upstream) else {
            return;
        };
        let me = self.host_ref(host);
        // `me.1` is the host's incarnation.
        self.open_queries.insert((me.0, me.1, part, id));
        let timeout_error = match new_connection {
            true => QueryError::Unreachable,
            false => QueryError::Silent,
        };
        self.schedule(
            timeout,
            SimEvent::QueryAnswered(me, part, id, Err(timeout_error)),
        );
        let name = query_name(&query);
        if name != "status" && name != "claim" {
            let host = &self.hosts[host].info.host;
            self.trace
                .push((self.now, format!("{host}: ask {name} {upstream}")));
        }
        let instance = &self.instances[target];
        let reachable = !self.is_cut(&self.hosts[host].info.data_centre, &instance.data_centre);
        if new_connection
            && reachable
            && !instance.frozen
            && instance.alive
            && !instance.refuses_connections
        {
            self.silent_connections.remove(&(host, target));
        }
        let silent = !new_connection && self.silent_connections.contains(&(host, target));
        if !reachable || silent || self.rng.random_bool(self.message_faults.lost) {
            return;
        }
        if new_connection && instance.refuses_connections {
            let refused = Err(QueryError::Refused);
            self.schedule(BASE_DELAY, SimEvent::QueryAnswered(me, part, id, refused));
            return;
        }
        let times = 1 + usize::from(self.rng.random_bool(self.message_faults.duplicated));
        for _ in 0..times {
            let delay = self.random_delay();
            self.schedule(
                delay,
                SimEvent::QueryArrived(me, part, id, target, query.clone()),
            );
        }
    }

    pub(crate) fn deliver_query(
        &mut self,
        host: HostRef,
        part: PartId,
        id: QueryId,
        target: usize,
        query: &UpstreamQuery,
    ) {
        let now = self.now;
        let instance = &mut self.instances[target];
        if !instance.alive {
            self.send_answer(host, part, id, target, Err(QueryError::Broken));
            return;
        }
        let was_primary = instance.primary;
        let reply = instance.answer(now, query);
        if instance.primary && !was_primary {
            self.check_promotion(target);
        }
        match query {
            UpstreamQuery::Status {
                wait_for: Some((position, wait)),
            } if !reply.granted => {
                self.check_awaited_position(host, part, id, target, *position, now + *wait);
            }
            _ => self.send_answer(host, part, id, target, Ok(reply)),
        }
    }

    pub(crate) fn check_awaited_position(
        &mut self,
        host: HostRef,
        part: PartId,
        id: QueryId,
        target: usize,
        position: Position,
        until: Instant,
    ) {
        let instance = &mut self.instances[target];
        if !instance.alive {
            self.send_answer(host, part, id, target, Err(QueryError::Broken));
        } else if instance.position() >= position || self.now >= until {
            let reply = instance.answer(self.now, &UpstreamQuery::Status { wait_for: None });
            self.send_answer(host, part, id, target, Ok(reply));
        } else {
            let next_check = SimEvent::QueryWaits(host, part, id, target, position, until);
            self.schedule(POSITION_CHECK_INTERVAL, next_check);
        }
    }

    /// Sends an instance's answer back, unless the data centres are partitioned or it is lost.
    pub(crate) fn send_answer(
        &mut self,
        host: HostRef,
        part: PartId,
        id: QueryId,
        target: usize,
        result: Result<QueryReply, QueryError>,
    ) {
        let data_centre = &self.hosts[host.0].info.data_centre;
        let cut = self.is_cut(data_centre, &self.instances[target].data_centre);
        if !cut && !self.rng.random_bool(self.message_faults.lost) {
            let delay = self.random_delay();
            self.schedule(delay, SimEvent::QueryAnswered(host, part, id, result));
        }
    }
}

fn query_name(query: &UpstreamQuery) -> &'static str {
    match query {
        UpstreamQuery::Status { .. } => "status",
        UpstreamQuery::Claim { .. } => "claim",
        UpstreamQuery::Unclaim { .. } => "unclaim",
        UpstreamQuery::Promise { .. } => "promise",
        UpstreamQuery::Promote { .. } => "promote",
        UpstreamQuery::Follow { .. } => "follow",
        UpstreamQuery::Pause { .. } => "pause",
        UpstreamQuery::Resume => "resume",
        UpstreamQuery::Demote { .. } => "demote",
    }
}
