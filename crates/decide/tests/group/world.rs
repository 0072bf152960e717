//! Simulates hosts and instances on a virtual clock, on a network with faults.

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
use crate::instance::{Instance, PulledEntries, WriteId};

/// Interval at which a replica starts to pull from its primary.
const PULL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between the writes of each host's caller.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which hosts repeat to each other the newest primary that they know.
const SPREAD_INTERVAL: Duration = Duration::from_millis(500);

/// Index of a host in `World::hosts`, and its incarnation.
pub(crate) type HostRef = (usize, Incarnation);

/// A simulated event, which is scheduled for a time.
#[derive(Clone)]
pub(crate) enum SimEvent {
    /// A host's next tick is due.
    Wake(HostRef),
    /// A query of a host's part arrives at an instance.
    QueryArrived(HostRef, PartId, QueryId, usize, UpstreamQuery),
    /// A query waits at an instance for a log position, until a time.
    QueryWaits(HostRef, PartId, QueryId, usize, Position, Instant),
    /// An answer or an error to a query arrives at a host.
    QueryAnswered(HostRef, PartId, QueryId, Result<QueryReply, QueryError>),
    /// A message of another host arrives.
    PeerMessage(usize, PartAddr, Msg),
    /// A host learns of a primary from another host.
    PrimaryFact(usize, Term, UpstreamId),
    /// A replica starts to pull from its primary.
    Pull(usize),
    /// Pulled entries arrive at a replica.
    PullArrived(usize, UpstreamId, PulledEntries),
    /// A host's caller sends its next write.
    CallerWrites(HostRef),
    /// A write arrives at an instance.
    WriteArrived(HostRef, usize, WriteId),
    /// An instance's answer to a write arrives at a host, with its status after the write.
    WriteAnswered(HostRef, usize, WriteId, InstanceStatus),
    /// All hosts send each other the newest primary that they know.
    Spread,
}

/// A write that a primary has executed.
pub(crate) struct ExecutedWrite {
    pub(crate) term: Term,
    /// Whether an instance had already been promoted in a higher term when it ran.
    pub(crate) stale: bool,
}

/// Probabilities of faults for each message.
#[derive(Clone, Copy, Default)]
pub(crate) struct MessageFaults {
    pub(crate) lost: f64,
    pub(crate) delayed: f64,
    pub(crate) duplicated: f64,
}

/// The simulated hosts, instances and network, with what the checks need to know.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) hosts: Vec<Host>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) message_faults: MessageFaults,
    /// Log lines and simulated events, with their times.
    pub(crate) trace: Vec<(Instant, String)>,
    /// Acknowledged writes, with their times.
    pub(crate) acks: Vec<(Instant, WriteId)>,
    /// Index of the instance that became primary of each term, and the time.
    pub(crate) promoted: BTreeMap<Term, (usize, Instant)>,
    /// Number of writes that a host didn't send because it had no usable primary.
    pub(crate) refused: u64,
    /// Number of writes that ended without confirmation.
    pub(crate) unconfirmed: u64,
    pub(crate) service: ServiceId,
    /// Pairs of data centres that can't reach each other, each pair in order of names.
    pub(crate) partitions: BTreeSet<(DataCentreId, DataCentreId)>,
    /// Host and instance of each open connection that drops all messages.
    pub(crate) silent_connections: BTreeSet<(usize, usize)>,
    /// Queries that have neither been answered nor timed out.
    pub(crate) open_queries: BTreeSet<(usize, Incarnation, PartId, QueryId)>,
    /// Times and ids of `pending_events`, the earliest first.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    pending_events: BTreeMap<u64, SimEvent>,
    /// Events that wait until their host or instance is thawed.
    pub(crate) held_events: Vec<SimEvent>,
    pub(crate) executed_writes: BTreeMap<WriteId, ExecutedWrite>,
    /// Terms in which a write has been executed.
    sent_terms: BTreeSet<Term>,
    /// Terms in which a write has been confirmed.
    pub(crate) confirmed_terms: BTreeSet<Term>,
    /// Number of events handled since time last advanced.
    events_at_same_time: u32,
    last_event: u64,
    last_write: WriteId,
    pub(crate) rng: SmallRng,
}

impl World {
    /// Starts an instance for each entry of `data_centres`, and two hosts in each data centre.
    pub(crate) fn new(seed: u64, data_centres: &[&str]) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            hosts: Vec::new(),
            instances: Vec::new(),
            message_faults: MessageFaults::default(),
            trace: Vec::new(),
            acks: Vec::new(),
            promoted: BTreeMap::new(),
            refused: 0,
            unconfirmed: 0,
            service: "appt".into(),
            partitions: BTreeSet::new(),
            silent_connections: BTreeSet::new(),
            open_queries: BTreeSet::new(),
            queue: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            held_events: Vec::new(),
            executed_writes: BTreeMap::new(),
            sent_terms: BTreeSet::new(),
            confirmed_terms: BTreeSet::new(),
            events_at_same_time: 0,
            last_event: 0,
            last_write: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        let mut infos = Vec::new();
        for (i, data_centre) in data_centres.iter().enumerate() {
            let id = format!("db-{}", i + 1);
            world.instances.push(Instance::new(&id, data_centre, now));
            world.schedule(PULL_INTERVAL, SimEvent::Pull(i));
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
                    is_entry_host: true,
                    is_control_host: false,
                    leaving: false,
                });
            }
        }
        for (i, info) in infos.iter().enumerate() {
            world.hosts.push(Host::new(info.clone(), seed + i as u64));
        }
        for host in 0..infos.len() {
            world.start_host(host);
        }
        world.schedule(SPREAD_INTERVAL, SimEvent::Spread);
        world
    }

    /// Gives a host its view and its caller, and lets it start.
    pub(crate) fn start_host(&mut self, host: usize) {
        let infos: Vec<HostInfo> = self.hosts.iter().map(|host| host.info.clone()).collect();
        self.hosts[host].init_view(&self.service, &self.instances, &infos);
        let me = self.host_ref(host);
        let offset = Duration::from_micros(self.rng.random_range(0..10_000));
        self.schedule(offset, SimEvent::CallerWrites(me));
        self.feed_host(host, Input::Start);
    }

    pub(crate) fn host_ref(&self, host: usize) -> HostRef {
        (host, self.hosts[host].info.incarnation)
    }

    /// Returns whether a host runs, in the same incarnation.
    fn is_running(&self, host: HostRef) -> bool {
        self.hosts[host.0].alive && self.hosts[host.0].info.incarnation == host.1
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.last_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
        self.pending_events.insert(self.last_event, event);
    }

    /// Runs for `time`, or until a new trace line contains `stop`; returns whether one did.
    pub(crate) fn run(&mut self, time: Duration, stop: Option<&str>) -> bool {
        let end = self.now + time;
        let mut checked_lines = self.trace.len();
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            let event = self.pending_events.remove(&id).expect("a queued event");
            let time_advanced = at > self.now;
            self.now = self.now.max(at);
            self.events_at_same_time = if time_advanced {
                0
            } else {
                self.events_at_same_time + 1
            };
            assert!(
                self.events_at_same_time < 10_000,
                "the hosts schedule events without letting time pass"
            );
            self.handle_event(event);
            let new = &self.trace[checked_lines..];
            if stop.is_some_and(|stop| new.iter().any(|(_, line)| line.contains(stop))) {
                return true;
            }
            checked_lines = self.trace.len();
        }
        self.now = end;
        false
    }

    /// Returns whether an event must wait because its host or instance is frozen.
    fn is_blocked(&self, event: &SimEvent) -> bool {
        let (host, instance) = match event {
            SimEvent::Wake((host, _))
            | SimEvent::QueryAnswered((host, _), ..)
            | SimEvent::CallerWrites((host, _)) => (Some(*host), None),
            SimEvent::PeerMessage(host, ..)
            | SimEvent::PrimaryFact(host, ..)
            | SimEvent::WriteAnswered((host, _), ..) => (Some(*host), None),
            SimEvent::QueryArrived(_, _, _, instance, _)
            | SimEvent::QueryWaits(_, _, _, instance, ..) => (None, Some(*instance)),
            SimEvent::Pull(instance)
            | SimEvent::PullArrived(instance, ..)
            | SimEvent::WriteArrived(_, instance, _) => (None, Some(*instance)),
            SimEvent::Spread => (None, None),
        };
        host.is_some_and(|host| self.hosts[host].frozen)
            || instance.is_some_and(|instance| self.instances[instance].frozen)
    }

    fn handle_event(&mut self, event: SimEvent) {
        if self.is_blocked(&event) {
            self.held_events.push(event);
            return;
        }
        match event {
            SimEvent::Wake(host) if self.is_running(host) => {
                let due = self.hosts[host.0].tick_at.take_if(|at| *at <= self.now);
                if due.is_some() {
                    self.feed_host(host.0, Input::Tick);
                }
            }
            SimEvent::QueryArrived(host, part, id, instance, query) => {
                self.deliver_query(host, part, id, instance, &query);
            }
            SimEvent::QueryWaits(host, part, id, instance, position, until) => {
                self.check_awaited_position(host, part, id, instance, position, until);
            }
            SimEvent::QueryAnswered(host, part, id, result) => {
                let still_open = self.open_queries.remove(&(host.0, host.1, part, id));
                if still_open && self.is_running(host) {
                    self.feed_host(host.0, Input::QueryAnswered(part, id, result));
                }
            }
            SimEvent::PeerMessage(host, from, Msg::Group(msg)) if self.hosts[host].alive => {
                self.feed_host(host, Input::PeerMessage(from, msg));
            }
            SimEvent::PrimaryFact(host, term, upstream) if self.hosts[host].alive => {
                self.feed_host(host, Input::Fact(term, upstream));
            }
            SimEvent::Pull(instance) => self.start_pull(instance),
            SimEvent::PullArrived(instance, from, pull) if self.instances[instance].alive => {
                self.instances[instance].apply_pull(self.now, &from, &pull);
            }
            SimEvent::CallerWrites(host) if self.is_running(host) => self.send_caller_write(host),
            SimEvent::WriteArrived(host, instance, write) => self.run_write(host, instance, write),
            SimEvent::WriteAnswered(host, instance, write, status) if self.is_running(host) => {
                let primary = self.instances[instance].id.clone();
                self.feed_host(host.0, Input::WriteAnswered(write, primary, status));
            }
            SimEvent::Spread => self.spread_primary(),
            _ => {}
        }
    }

    /// Passes an input to a host, carries out its effects, and checks its claims and the writes that
    /// it confirms.
    pub(crate) fn feed_host(&mut self, host: usize, input: Input) {
        let out = self.hosts[host].reduce(self.now, &self.service, input);
        for (part, effect) in out.effects {
            self.run_effect(host, part, effect);
        }
        for (term, upstream) in out.learned {
            for other in 0..self.hosts.len() {
                self.send_fact(host, other, term, &upstream);
            }
        }
        self.check_claims();
        for resolved in out.resolved {
            match resolved.confirmed {
                true => self.record_acknowledgement(resolved.ticket),
                false => self.unconfirmed += 1,
            }
        }
        let me = self.host_ref(host);
        let Some(at) = self.hosts[host].wake_at() else {
            return;
        };
        let at = at.max(self.now);
        if self.hosts[host].tick_at.is_none_or(|tick_at| at < tick_at) {
            self.hosts[host].tick_at = Some(at);
            self.schedule(at - self.now, SimEvent::Wake(me));
        }
    }

    fn run_effect(&mut self, host: usize, part: PartId, effect: Effect) {
        match effect {
            Effect::QueryUpstream {
                id,
                upstream,
                query,
                new_connection: fresh,
                timeout,
                ..
            } => self.send_query(host, part, id, &upstream, query, fresh, timeout),
            Effect::Send { to, msg } => {
                let other = self.hosts.iter().position(|h| h.info.host == to.host);
                let from = PartAddr {
                    host: self.hosts[host].info.host.clone(),
                    part,
                };
                let Some(other) = other else { return };
                for delay in self.delivery_delays(host, other) {
                    self.schedule(
                        delay,
                        SimEvent::PeerMessage(other, from.clone(), msg.clone()),
                    );
                }
            }
            Effect::Log(LogEvent::Group(log_event)) => {
                let line = format!("{}: {log_event}", self.hosts[host].info.host);
                self.trace.push((self.now, line));
            }
            other => panic!("unexpected effect {other:?}"),
        }
    }

    /// Lets a replica pull the log of the primary that it follows, if that one is reachable.
    fn start_pull(&mut self, target: usize) {
        self.schedule(PULL_INTERVAL, SimEvent::Pull(target));
        let instance = &self.instances[target];
        let Some(from) = instance.follow.clone().filter(|_| instance.alive) else {
            return;
        };
        let Some(primary) = self.instances.iter().find(|other| other.id == from) else {
            return;
        };
        let cut = self.is_cut(&primary.data_centre, &instance.data_centre);
        let serves = primary.alive && !primary.frozen && !primary.detached && primary.primary;
        if cut || !serves || primary.promised_term != instance.promised_term {
            return;
        }
        let start = instance.pull_start();
        let pull = PulledEntries {
            term: primary.promised_term,
            start,
            entries: primary.log[start..].to_vec(),
        };
        self.schedule(instance.lag, SimEvent::PullArrived(target, from, pull));
    }

    /// Sends the next write of a host's caller to the primary, if the host may use one.
    fn send_caller_write(&mut self, host: HostRef) {
        self.schedule(WRITE_INTERVAL, SimEvent::CallerWrites(host));
        let Some(primary) = self.hosts[host.0].write_target(self.now, &self.service) else {
            self.refused += 1;
            return;
        };
        let Some(target) = self.instances.iter().position(|i| i.id == primary) else {
            return;
        };
        let data_centre = &self.hosts[host.0].info.data_centre;
        if !self.is_cut(data_centre, &self.instances[target].data_centre) {
            self.last_write += 1;
            let delay = self.random_delay();
            self.schedule(delay, SimEvent::WriteArrived(host, target, self.last_write));
        }
    }

    /// Executes a write on an instance, if it is a primary, and sends its answer.
    fn run_write(&mut self, host: HostRef, target: usize, write: WriteId) {
        let instance = &mut self.instances[target];
        if !instance.alive || !instance.write(write) {
            return;
        }
        let term = instance.promised_term;
        let status = instance.status(self.now);
        let stale = self.promoted.keys().any(|newer| *newer > term);
        self.executed_writes
            .insert(write, ExecutedWrite { term, stale });
        if self.sent_terms.insert(term) {
            let line = format!("write sent in term {term}");
            self.trace.push((self.now, line));
        }
        let delay = self.random_delay();
        self.schedule(delay, SimEvent::WriteAnswered(host, target, write, status));
    }

    /// Sends the newest primary that each host knows to all hosts, as `spread` does in a fleet.
    fn spread_primary(&mut self) {
        self.schedule(SPREAD_INTERVAL, SimEvent::Spread);
        for host in 0..self.hosts.len() {
            let service_view = self.hosts[host].view.services.get(&self.service);
            let primary = service_view.and_then(|service_view| service_view.primary.clone());
            if let Some((term, upstream)) = primary.filter(|_| self.hosts[host].alive) {
                for other in 0..self.hosts.len() {
                    self.send_fact(host, other, term, &upstream);
                }
            }
        }
    }

    fn send_fact(&mut self, from: usize, to: usize, term: Term, upstream: &UpstreamId) {
        for delay in self.delivery_delays(from, to) {
            self.schedule(delay, SimEvent::PrimaryFact(to, term, upstream.clone()));
        }
    }
}
