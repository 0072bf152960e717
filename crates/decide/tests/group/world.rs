//! Hosts and instances on a made-up clock, over a network that a script can break.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use decide::log_event::LogEvent;
use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use decide::{Effect, Msg};
use model::{
    DataCentreId, HostInfo, Incarnation, InstanceStatus, PartAddr, PartId, Position, ServiceId,
    Term, UpstreamId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::host::{Host, Input};
use crate::instance::{Instance, Pull, WriteId};

const PULL_EVERY: Duration = Duration::from_millis(10);
const WRITE_EVERY: Duration = Duration::from_millis(20);
const SPREAD_EVERY: Duration = Duration::from_millis(500);

/// A host by its place, and which start of it.
pub(crate) type HostRef = (usize, Incarnation);

/// What happens at a moment.
#[derive(Clone)]
pub(crate) enum Ev {
    Wake(HostRef),
    Asked(HostRef, PartId, QueryId, usize, UpstreamQuery),
    Parked(HostRef, PartId, QueryId, usize, Position, Instant),
    Told(HostRef, PartId, QueryId, Result<QueryReply, QueryError>),
    Peer(usize, PartAddr, Msg),
    Fact(usize, Term, UpstreamId),
    Pull(usize),
    Pulled(usize, UpstreamId, Pull),
    Caller(HostRef),
    Write(HostRef, usize, WriteId),
    Wrote(HostRef, usize, WriteId, InstanceStatus),
    Spread,
}

/// A write that a primary has run.
pub(crate) struct Ran {
    pub(crate) term: Term,
    pub(crate) stale: bool,
}

/// The odds that the network spoils a message.
#[derive(Clone, Copy, Default)]
pub(crate) struct Odds {
    pub(crate) lost: f64,
    pub(crate) late: f64,
    pub(crate) twice: f64,
}

/// All of it.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) hosts: Vec<Host>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) odds: Odds,
    pub(crate) trace: Vec<(Instant, String)>,
    pub(crate) acks: Vec<(Instant, WriteId)>,
    pub(crate) promoted: BTreeMap<Term, (usize, Instant)>,
    pub(crate) refused: u64,
    pub(crate) unconfirmed: u64,
    pub(crate) service: ServiceId,
    pub(crate) cuts: BTreeSet<(DataCentreId, DataCentreId)>,
    pub(crate) silent: BTreeSet<(usize, usize)>,
    pub(crate) open: BTreeSet<(usize, Incarnation, PartId, QueryId)>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Ev>,
    pub(crate) held: Vec<Ev>,
    pub(crate) ran: BTreeMap<WriteId, Ran>,
    sent_terms: BTreeSet<Term>,
    pub(crate) confirmed_terms: BTreeSet<Term>,
    at_once: u32,
    last_event: u64,
    last_write: WriteId,
    pub(crate) rng: SmallRng,
}

impl World {
    /// Starts an instance for each name of a data centre, and two hosts in each data centre.
    pub(crate) fn new(seed: u64, data_centres: &[&str]) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            hosts: Vec::new(),
            instances: Vec::new(),
            odds: Odds::default(),
            trace: Vec::new(),
            acks: Vec::new(),
            promoted: BTreeMap::new(),
            refused: 0,
            unconfirmed: 0,
            service: "appt".into(),
            cuts: BTreeSet::new(),
            silent: BTreeSet::new(),
            open: BTreeSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            held: Vec::new(),
            ran: BTreeMap::new(),
            sent_terms: BTreeSet::new(),
            confirmed_terms: BTreeSet::new(),
            at_once: 0,
            last_event: 0,
            last_write: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        let mut infos = Vec::new();
        for (i, data_centre) in data_centres.iter().enumerate() {
            let id = format!("db-{}", i + 1);
            world.instances.push(Instance::new(&id, data_centre, now));
            world.after(PULL_EVERY, Ev::Pull(i));
            if data_centres[..i].contains(data_centre) {
                continue;
            }
            for number in 1..=2 {
                infos.push(HostInfo {
                    host: format!("{data_centre}-{number}").into(),
                    data_centre: (*data_centre).into(),
                    peer_addr: "127.0.0.1:7000".parse().expect("a valid literal"),
                    incarnation: 1,
                    traffic_parts: 1,
                    entry: true,
                    control: false,
                    leaving: false,
                });
            }
        }
        for (i, info) in infos.iter().enumerate() {
            world.hosts.push(Host::new(info.clone(), seed + i as u64));
        }
        for host in 0..infos.len() {
            world.begin(host);
        }
        world.after(SPREAD_EVERY, Ev::Spread);
        world
    }

    pub(crate) fn begin(&mut self, host: usize) {
        let infos: Vec<HostInfo> = self.hosts.iter().map(|host| host.info.clone()).collect();
        self.hosts[host].first_view(&self.service, &self.instances, &infos);
        let me = self.host_ref(host);
        let offset = Duration::from_micros(self.rng.random_range(0..10_000));
        self.after(offset, Ev::Caller(me));
        self.input(host, Input::Start);
    }

    pub(crate) fn host_ref(&self, host: usize) -> HostRef {
        (host, self.hosts[host].info.incarnation)
    }

    fn is_on(&self, host: HostRef) -> bool {
        self.hosts[host.0].alive && self.hosts[host.0].info.incarnation == host.1
    }

    pub(crate) fn after(&mut self, delay: Duration, ev: Ev) {
        self.last_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
        self.events.insert(self.last_event, ev);
    }

    /// Runs until a moment, or until the trace has a line with a text.
    pub(crate) fn run(&mut self, time: Duration, stop: Option<&str>) -> bool {
        let end = self.now + time;
        let mut seen = self.trace.len();
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            let ev = self.events.remove(&id).expect("a queued event");
            let moved = at > self.now;
            self.now = self.now.max(at);
            self.at_once = if moved { 0 } else { self.at_once + 1 };
            assert!(self.at_once < 10_000, "the hosts spin");
            self.happen(ev);
            let new = &self.trace[seen..];
            if stop.is_some_and(|stop| new.iter().any(|(_, line)| line.contains(stop))) {
                return true;
            }
            seen = self.trace.len();
        }
        self.now = end;
        false
    }

    /// Returns the frozen or thawed side that an event needs: a host and an instance.
    fn frozen(&self, ev: &Ev) -> bool {
        let (host, instance) = match ev {
            Ev::Wake((host, _)) | Ev::Told((host, _), ..) | Ev::Caller((host, _)) => {
                (Some(*host), None)
            }
            Ev::Peer(host, ..) | Ev::Fact(host, ..) | Ev::Wrote((host, _), ..) => {
                (Some(*host), None)
            }
            Ev::Asked(_, _, _, instance, _) | Ev::Parked(_, _, _, instance, ..) => {
                (None, Some(*instance))
            }
            Ev::Pull(instance) | Ev::Pulled(instance, ..) | Ev::Write(_, instance, _) => {
                (None, Some(*instance))
            }
            Ev::Spread => (None, None),
        };
        host.is_some_and(|host| self.hosts[host].frozen)
            || instance.is_some_and(|instance| self.instances[instance].frozen)
    }

    fn happen(&mut self, ev: Ev) {
        if self.frozen(&ev) {
            self.held.push(ev);
            return;
        }
        match ev {
            Ev::Wake(host) if self.is_on(host) => {
                let due = self.hosts[host.0].wakes.take_if(|at| *at <= self.now);
                if due.is_some() {
                    self.input(host.0, Input::Tick);
                }
            }
            Ev::Asked(host, part, id, instance, ask) => {
                self.asked(host, part, id, instance, &ask);
            }
            Ev::Parked(host, part, id, instance, position, until) => {
                self.parked(host, part, id, instance, position, until);
            }
            Ev::Told(host, part, id, result) => {
                let known = self.open.remove(&(host.0, host.1, part, id));
                if known && self.is_on(host) {
                    self.input(host.0, Input::Told(part, id, result));
                }
            }
            Ev::Peer(host, from, Msg::Group(msg)) if self.hosts[host].alive => {
                self.input(host, Input::Msg(from, msg));
            }
            Ev::Fact(host, term, upstream) if self.hosts[host].alive => {
                self.input(host, Input::Fact(term, upstream));
            }
            Ev::Pull(instance) => self.pull(instance),
            Ev::Pulled(instance, from, pull) if self.instances[instance].alive => {
                self.instances[instance].pulled(self.now, &from, &pull);
            }
            Ev::Caller(host) if self.is_on(host) => self.call(host),
            Ev::Write(host, instance, write) => self.write(host, instance, write),
            Ev::Wrote(host, instance, write, status) if self.is_on(host) => {
                let primary = self.instances[instance].id.clone();
                self.input(host.0, Input::Wrote(write, primary, status));
            }
            Ev::Spread => self.spread(),
            _ => {}
        }
    }

    pub(crate) fn input(&mut self, host: usize, input: Input) {
        let out = self.hosts[host].reduce(self.now, &self.service, input);
        for (part, effect) in out.effects {
            self.effect(host, part, effect);
        }
        for (term, upstream) in out.learned {
            for other in 0..self.hosts.len() {
                self.send_fact(host, other, term, &upstream);
            }
        }
        self.check_claims();
        for resolved in out.resolved {
            match resolved.confirmed {
                true => self.acknowledge(resolved.ticket),
                false => self.unconfirmed += 1,
            }
        }
        let me = self.host_ref(host);
        let Some(at) = self.hosts[host].wake_at() else {
            return;
        };
        let at = at.max(self.now);
        if self.hosts[host].wakes.is_none_or(|wakes| at < wakes) {
            self.hosts[host].wakes = Some(at);
            self.after(at - self.now, Ev::Wake(me));
        }
    }

    fn effect(&mut self, host: usize, part: PartId, effect: Effect) {
        match effect {
            Effect::QueryUpstream {
                id,
                upstream,
                query,
                new_connection: fresh,
                timeout,
                ..
            } => self.ask(host, part, id, &upstream, query, fresh, timeout),
            Effect::Send { to, msg } => {
                let other = self.hosts.iter().position(|h| h.info.host == to.host);
                let from = PartAddr {
                    host: self.hosts[host].info.host.clone(),
                    part,
                };
                let Some(other) = other else { return };
                for delay in self.fates(host, other) {
                    self.after(delay, Ev::Peer(other, from.clone(), msg.clone()));
                }
            }
            Effect::Log(LogEvent::Group(note)) => {
                let line = format!("{}: {note}", self.hosts[host].info.host);
                self.trace.push((self.now, line));
            }
            other => panic!("unexpected effect {other:?}"),
        }
    }

    fn pull(&mut self, target: usize) {
        self.after(PULL_EVERY, Ev::Pull(target));
        let instance = &self.instances[target];
        let Some(from) = instance.follow.clone().filter(|_| instance.alive) else {
            return;
        };
        let Some(primary) = self.instances.iter().find(|other| other.id == from) else {
            return;
        };
        let cut = self.is_cut(&primary.data_centre, &instance.data_centre);
        let serves = primary.alive && !primary.frozen && !primary.detached && primary.primary;
        if cut || !serves || primary.promised != instance.promised {
            return;
        }
        let start = instance.pulls_from();
        let pull = Pull {
            term: primary.promised,
            start,
            entries: primary.log[start..].to_vec(),
        };
        self.after(instance.lag, Ev::Pulled(target, from, pull));
    }

    fn call(&mut self, host: HostRef) {
        self.after(WRITE_EVERY, Ev::Caller(host));
        let Some(primary) = self.hosts[host.0].target(self.now, &self.service) else {
            self.refused += 1;
            return;
        };
        let Some(target) = self.instances.iter().position(|i| i.id == primary) else {
            return;
        };
        let data_centre = &self.hosts[host.0].info.data_centre;
        if !self.is_cut(data_centre, &self.instances[target].data_centre) {
            self.last_write += 1;
            let delay = self.delay();
            self.after(delay, Ev::Write(host, target, self.last_write));
        }
    }

    fn write(&mut self, host: HostRef, target: usize, write: WriteId) {
        let instance = &mut self.instances[target];
        if !instance.alive || !instance.write(write) {
            return;
        }
        let term = instance.promised;
        let status = instance.status(self.now);
        let stale = self.promoted.keys().any(|newer| *newer > term);
        self.ran.insert(write, Ran { term, stale });
        if self.sent_terms.insert(term) {
            let line = format!("write sent in term {term}");
            self.trace.push((self.now, line));
        }
        let delay = self.delay();
        self.after(delay, Ev::Wrote(host, target, write, status));
    }

    /// Spreads the newest primary from each host to each other, as the links would.
    fn spread(&mut self) {
        self.after(SPREAD_EVERY, Ev::Spread);
        for host in 0..self.hosts.len() {
            let known = self.hosts[host].view.services.get(&self.service);
            let primary = known.and_then(|known| known.primary.clone());
            if let Some((term, upstream)) = primary.filter(|_| self.hosts[host].alive) {
                for other in 0..self.hosts.len() {
                    self.send_fact(host, other, term, &upstream);
                }
            }
        }
    }

    fn send_fact(&mut self, from: usize, to: usize, term: Term, upstream: &UpstreamId) {
        for delay in self.fates(from, to) {
            self.after(delay, Ev::Fact(to, term, upstream.clone()));
        }
    }
}
