//! One service of three instances, six entry hosts that also own them, and callers that retry, on a
//! simulated clock: replicas that lag, a burst, an ill instance, and connections that belong to
//! workspaces.
#![allow(dead_code, reason = "not every test needs every helper")]

pub(crate) mod callers;
mod fleet;
pub(crate) mod ill;
pub(crate) mod instance;
mod upstreams;

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::conn::LossReason;
use decide::grant::{PartTokenGrant, WorkspaceTokens};
use decide::state::PartRole;
use decide::traffic::TrafficPart;
use decide::upstream_query::QueryError;
use decide::{Effect, Event, PartState, Settings, reduce};
use model::{ConnId, PartAddr};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use callers::Op;
use fleet::{host_info, view};
use ill::Ill;
use instance::{Instance, Work};
use upstreams::Conn;

const HOSTS: usize = 6;
/// Connections that an instance accepts, and that the primary has left beside idle transactions.
///
/// Idle transactions may hold 0.8 of the connections that its owners divide, 64 without the spare
/// ones.
const CONNECTIONS: u32 = 70;
const CONNECTIONS_BESIDE_IDLE: u32 = 20;
/// Time of a message between two hosts, or between a host and an instance.
const HOP: Duration = Duration::from_millis(1);

/// The load and the troubles of a simulated day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Day {
    pub(crate) requests_per_s: f64,
    /// When both replicas receive nothing.
    pub(crate) lag: Range<Duration>,
    /// When callers send more.
    pub(crate) burst: Range<Duration>,
    pub(crate) burst_factor: f64,
    /// When idle transactions hold most connections to the primary.
    pub(crate) idle_transactions: Range<Duration>,
    /// When an instance answers everything busy, and which.
    pub(crate) busy: Range<Duration>,
    pub(crate) busy_instance: usize,
    pub(crate) ill: Option<Ill>,
    pub(crate) length: Duration,
}

/// What became of the operations that were started in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Second {
    pub(crate) offered: u32,
    /// Answered before their deadline.
    pub(crate) served: u32,
    /// Answered within their latency objective.
    pub(crate) prompt: u32,
    /// Refusals that came later than a quarter of the objective after the attempt.
    pub(crate) late_refusals: u32,
    /// Reads of which the caller was told that they may have run.
    pub(crate) unclear_reads: u32,
    /// Errors of an instance that were passed on.
    pub(crate) errors: u32,
    /// Attempts that were answered as not run.
    pub(crate) rejected: u32,
    /// Reads that were given to any instance in that second, and to each one.
    pub(crate) reads: [u32; HOSTS / 2],
    /// Connections that an instance reset, or statements that it answered with an error.
    pub(crate) faults: u32,
    /// Connections that were opened in that second.
    pub(crate) opened: u32,
    /// Statements and connections that an instance answered busy in that second.
    pub(crate) busy: u32,
}

#[derive(Debug)]
enum SimEvent {
    Arrival,
    /// The primary has this many connections left beside idle transactions.
    ConnectionsLeft(u32),
    /// The ill instance announces that it drains, or that it is ready.
    Announces {
        draining: bool,
    },
    Send(Op),
    Deliver(usize, Box<Event>),
    Finished(usize, Work),
    Held(usize, Work, Duration),
    RunTimeout(ConnId, u64),
}

struct Host {
    state: PartState,
    /// When it was last given a tick, so that a tick that is still due can't repeat at once.
    ticked_at: Duration,
}

/// The hosts, instances and callers of one service.
pub(crate) struct World {
    day: Day,
    start: Instant,
    now: Duration,
    rng: SmallRng,
    primary_connections: u32,
    draining: bool,
    hosts: Vec<Host>,
    instances: Vec<Instance>,
    schedule: BTreeMap<(Duration, u64), SimEvent>,
    scheduled: u64,
    conns: HashMap<ConnId, Conn>,
    /// The statement of each run: its work, and whether it writes.
    runs: HashMap<u64, (Duration, bool)>,
    /// Log positions of the primary with the times at which it reached them.
    log: Vec<(Duration, u64)>,
    /// Sessions without a request, by workspace and type of request.
    idle: HashMap<(usize, usize), Vec<(usize, u64)>>,
    sessions: u64,
    waiting: HashMap<(usize, u64), Op>,
    pub(crate) seconds: Vec<Second>,
}

fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    pub(crate) fn new(day: Day, settings: &Settings, seed: u64) -> Self {
        let hosts = (0..HOSTS).map(|index| {
            let traffic = PartRole::Traffic(Box::new(TrafficPart::new(settings)));
            let seed = seed * 100 + index as u64;
            Host {
                state: PartState::new(host_info(index), 1, settings.clone(), seed, traffic),
                ticked_at: Duration::ZERO,
            }
        });
        let seconds = day.length.as_secs() as usize + 8;
        let mut world = Self {
            day,
            start: Instant::now() + Duration::from_secs(3600),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            primary_connections: CONNECTIONS,
            draining: false,
            hosts: hosts.collect(),
            instances: (0..HOSTS / 2).map(|_| Instance::default()).collect(),
            schedule: BTreeMap::new(),
            scheduled: 0,
            conns: HashMap::new(),
            runs: HashMap::new(),
            log: vec![(Duration::ZERO, 0)],
            idle: HashMap::new(),
            sessions: 0,
            waiting: HashMap::new(),
            seconds: vec![Second::default(); seconds],
        };
        let idle = world.day.idle_transactions.clone();
        world.publish();
        world.schedule_announcements();
        world.at(
            idle.start,
            SimEvent::ConnectionsLeft(CONNECTIONS_BESIDE_IDLE),
        );
        world.at(idle.end, SimEvent::ConnectionsLeft(CONNECTIONS));
        world.at(Duration::ZERO, SimEvent::Arrival);
        world
    }

    fn publish(&mut self) {
        let ill = self.day.ill.as_ref().filter(|_| self.draining);
        let draining = ill.map(|ill| ill.instance);
        let view = Arc::new(view(self.primary_connections, draining));
        for host in 0..HOSTS {
            self.handle(host, Event::View(view.clone()));
        }
    }

    fn at(&mut self, time: Duration, event: SimEvent) {
        self.scheduled += 1;
        self.schedule.insert((time, self.scheduled), event);
    }

    fn deliver(&mut self, host: usize, event: Event) {
        self.at(self.now + HOP, SimEvent::Deliver(host, Box::new(event)));
    }

    fn second(&mut self) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(self.now.as_secs() as usize).min(last)]
    }

    /// Plays the day, and the seconds after it in which the last answers come.
    pub(crate) fn play(&mut self) {
        let end = self.day.length + Duration::from_secs(7);
        while self.now < end {
            let wakes = self.hosts.iter().enumerate().filter_map(|(index, host)| {
                let at = host.state.wake_at()?.saturating_duration_since(self.start);
                let at = at.max(host.ticked_at + Duration::from_micros(50));
                Some((at.max(self.now), index))
            });
            let wake = wakes.min();
            let next = self.schedule.first_key_value().map(|((at, _), _)| *at);
            match (wake, next) {
                (Some((at, host)), next) if next.is_none_or(|next| at < next) => {
                    self.now = at;
                    self.hosts[host].ticked_at = at;
                    self.handle(host, Event::Tick);
                }
                _ => {
                    let Some(((at, _), event)) = self.schedule.pop_first() else {
                        return;
                    };
                    self.now = at;
                    self.step(event);
                }
            }
        }
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.on_arrival(),
            SimEvent::ConnectionsLeft(count) => {
                self.primary_connections = count;
                self.publish();
            }
            SimEvent::Announces { draining } => {
                self.draining = draining;
                self.publish();
            }
            SimEvent::Send(op) => self.send(op),
            SimEvent::Deliver(host, event) => self.handle(host, *event),
            SimEvent::Finished(instance, work) => self.on_finished(instance, work),
            SimEvent::Held(instance, work, time) => self.on_held(instance, work, time),
            SimEvent::RunTimeout(conn, run) => {
                if self
                    .conns
                    .get(&conn)
                    .is_some_and(|conn| conn.run == Some(run))
                {
                    self.lose(conn, LossReason::TimedOut);
                }
            }
        }
    }

    fn handle(&mut self, host: usize, event: Event) {
        let mut effects = Vec::new();
        let now = self.start + self.now;
        reduce(&mut self.hosts[host].state, now, event, &mut effects);
        for effect in effects {
            self.run_effect(host, effect);
        }
    }

    fn run_effect(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Send { to, msg } if to.part == 1 => {
                let part = 1;
                let from = host_info(host).host;
                let from = PartAddr { host: from, part };
                self.deliver(index_of(&to.host), Event::Peer { from, msg });
            }
            Effect::ForwardEvent { event, .. } => {
                if let Event::TokenDemand(demand) = *event {
                    self.grant(host, &demand);
                }
            }
            Effect::Answer {
                session, answer, ..
            } => self.on_answer(host, session, &answer),
            Effect::OpenConn { conn, upstream, .. } => {
                self.on_open(host, conn, index_of(&upstream));
            }
            Effect::RunOnConn {
                conn,
                payload,
                wait_for,
                timeout,
                ..
            } => {
                let floor = wait_for.map(|(position, _)| position.offset);
                self.on_run(conn, &payload, floor, timeout);
            }
            Effect::CloseConn(conn) => {
                if let Some(state) = self.conns.remove(&conn) {
                    self.instances[state.instance].conns -= 1;
                }
            }
            Effect::QueryUpstream { id, upstream, .. } => {
                let work = Work::Status(host, id);
                if !self.give(index_of(&upstream), work, HOP) {
                    let result = Err(QueryError::Refused);
                    self.deliver(host, Event::QueryAnswered { id, result });
                }
            }
            _ => {}
        }
    }

    /// Grants whatever a host asks for: rate limits are not what is tested here.
    fn grant(&mut self, host: usize, demand: &decide::grant::PartTokenDemand) {
        let allocations = demand.workspaces.iter().map(|demand| WorkspaceTokens {
            workspace: demand.workspace.clone(),
            tokens: demand.waiting + demand.prefetch + 1,
        });
        let grant = PartTokenGrant {
            expires_at: self.start + self.now + Duration::from_secs(60),
            allocations: allocations.collect(),
        };
        self.at(
            self.now,
            SimEvent::Deliver(host, Box::new(Event::TokenGrant(grant))),
        );
    }
}
