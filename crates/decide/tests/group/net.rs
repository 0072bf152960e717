//! The network between hosts and instances, and the questions that cross it.

use std::time::{Duration, Instant};

use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use model::{PartId, Position, UpstreamId};
use rand::Rng;

use crate::world::{Ev, HostRef, World};

/// The longest delay of a message on a good day is twice this.
const ROUND: Duration = Duration::from_millis(1);
/// How often an instance looks whether a position has been reached.
const LOOK_EVERY: Duration = Duration::from_millis(2);

impl World {
    /// Returns after which delays a message between hosts arrives, if at all.
    pub(crate) fn fates(&mut self, from: usize, to: usize) -> Vec<Duration> {
        let (a, b) = (&self.hosts[from].info, &self.hosts[to].info);
        let cut = self.is_cut(&a.data_centre, &b.data_centre);
        if cut || self.rng.random_bool(self.odds.lost) {
            return Vec::new();
        }
        let mut delays = vec![self.delay()];
        if self.rng.random_bool(self.odds.twice) {
            delays.push(self.delay());
        }
        delays
    }

    pub(crate) fn delay(&mut self) -> Duration {
        let delay = ROUND.mul_f64(self.rng.random_range(0.3..2.0));
        match self.rng.random_bool(self.odds.late) {
            true => delay + Duration::from_millis(self.rng.random_range(5..500)),
            false => delay,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one effect")]
    pub(crate) fn ask(
        &mut self,
        host: usize,
        part: PartId,
        id: QueryId,
        upstream: &UpstreamId,
        ask: UpstreamQuery,
        fresh: bool,
        timeout: Duration,
    ) {
        let Some(target) = self.instances.iter().position(|i| i.id == *upstream) else {
            return;
        };
        let me = self.host_ref(host);
        self.open.insert((me.0, me.1, part, id));
        let silence = match fresh {
            true => QueryError::Unreachable,
            false => QueryError::Silent,
        };
        self.after(timeout, Ev::Told(me, part, id, Err(silence)));
        let name = kind(&ask);
        if name != "status" && name != "claim" {
            let host = &self.hosts[host].info.host;
            self.trace
                .push((self.now, format!("{host}: ask {name} {upstream}")));
        }
        let instance = &self.instances[target];
        let reached = !self.is_cut(&self.hosts[host].info.data_centre, &instance.data_centre);
        if fresh && reached && !instance.frozen && instance.alive && !instance.full {
            self.silent.remove(&(host, target));
        }
        let silent = !fresh && self.silent.contains(&(host, target));
        if !reached || silent || self.rng.random_bool(self.odds.lost) {
            return;
        }
        if fresh && instance.full {
            let refused = Err(QueryError::Refused);
            self.after(ROUND, Ev::Told(me, part, id, refused));
            return;
        }
        let times = 1 + usize::from(self.rng.random_bool(self.odds.twice));
        for _ in 0..times {
            let delay = self.delay();
            self.after(delay, Ev::Asked(me, part, id, target, ask.clone()));
        }
    }

    pub(crate) fn asked(
        &mut self,
        host: HostRef,
        part: PartId,
        id: QueryId,
        target: usize,
        ask: &UpstreamQuery,
    ) {
        let now = self.now;
        let instance = &mut self.instances[target];
        if !instance.alive {
            self.answer(host, part, id, target, Err(QueryError::Broken));
            return;
        }
        let was = instance.primary;
        let told = instance.answer(now, ask);
        if instance.primary && !was {
            self.check_promotion(target);
        }
        match ask {
            UpstreamQuery::Status {
                wait_for: Some((position, wait)),
            } if !told.granted => {
                self.parked(host, part, id, target, *position, now + *wait);
            }
            _ => self.answer(host, part, id, target, Ok(told)),
        }
    }

    pub(crate) fn parked(
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
            self.answer(host, part, id, target, Err(QueryError::Broken));
        } else if instance.position() >= position || self.now >= until {
            let told = instance.answer(self.now, &UpstreamQuery::Status { wait_for: None });
            self.answer(host, part, id, target, Ok(told));
        } else {
            let again = Ev::Parked(host, part, id, target, position, until);
            self.after(LOOK_EVERY, again);
        }
    }

    /// Sends an instance's answer back, if the way is still open.
    pub(crate) fn answer(
        &mut self,
        host: HostRef,
        part: PartId,
        id: QueryId,
        target: usize,
        result: Result<QueryReply, QueryError>,
    ) {
        let data_centre = &self.hosts[host.0].info.data_centre;
        let cut = self.is_cut(data_centre, &self.instances[target].data_centre);
        if !cut && !self.rng.random_bool(self.odds.lost) {
            let delay = self.delay();
            self.after(delay, Ev::Told(host, part, id, result));
        }
    }
}

fn kind(ask: &UpstreamQuery) -> &'static str {
    match ask {
        UpstreamQuery::Status { .. } => "status",
        UpstreamQuery::Claim { .. } => "claim",
        UpstreamQuery::Unclaim { .. } => "unclaim",
        UpstreamQuery::Promise { .. } => "promise",
        UpstreamQuery::Promote { .. } => "promote",
        UpstreamQuery::Follow { .. } => "follow",
        UpstreamQuery::Pause { .. } => "pause",
        UpstreamQuery::Resume => "resume",
    }
}
