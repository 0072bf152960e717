//! A simulated fleet of hosts with rate limits, network partitions and clocks of unequal speed.

mod faults;
mod tally;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::admit::{Admission, Admit, TokenWait};
use decide::grant::{Allocator, GrantMsg, GrantSettings, ReserveSite, TokenHolder};
use decide::{Cx, Effect, Event, Msg, Settings};
use model::config::Workspace;
use model::{CONTROL_PART, Config, HashMap, HostInfo, PartAddr, WorkspaceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use tally::Tally;

/// How often the leader is confirmed.
const CONFIRM_EVERY: Duration = Duration::from_millis(100);
/// For how long a confirmation lets the leader grant tokens.
const CONFIRMED_FOR: Duration = Duration::from_millis(500);

/// The index of a host in the fleet; entry hosts come first.
pub(crate) type HostIndex = usize;

/// One simulated host.
struct Host<A> {
    me: HostInfo,
    /// The speed of its clock relative to simulated time.
    clock_speed: f64,
    alive: bool,
    /// Its network partition; hosts of different partitions can't reach each other.
    partition: u8,
    /// Holds the tokens that the leader granted to the host.
    holder: TokenHolder,
    /// Admits requests in the traffic part, with the holder's tokens.
    admission: A,
    /// Grants tokens to all hosts while this host leads.
    allocator: Allocator,
    rng: SmallRng,
    /// The simulated time before which it handles no event.
    frozen_until: Duration,
    /// When it wakes up next; wake-ups scheduled for other times are ignored.
    next_wake_at: Option<Duration>,
}

/// The load that a request belongs to, each of one workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Load {
    /// The load of the workspace `w`.
    Main,
    /// The load of the workspace `quiet`, beside the main one.
    Quiet,
}

impl Load {
    fn workspace(self) -> WorkspaceId {
        match self {
            Self::Main => "w".into(),
            Self::Quiet => "quiet".into(),
        }
    }
}

/// A scheduled event of the simulation.
enum FleetEvent {
    /// A request arrives at a host.
    Arrival(Load, HostIndex),
    /// A request that arrived at `since` tries to be admitted.
    Attempt {
        load: Load,
        host: HostIndex,
        since: Duration,
    },
    /// A message reaches a host.
    Message {
        from: HostIndex,
        to: HostIndex,
        msg: GrantMsg,
    },
    /// An event passes between the control part and the traffic part of a host.
    Event { host: HostIndex, event: Event },
    /// A host wakes up for what is due.
    Wake(HostIndex),
    /// The leader of a term is confirmed again, if it still is the leader.
    ConfirmLeadership(u64),
}

/// A simulated fleet with one or two workspaces, whose requests arrive at random times.
pub(crate) struct Fleet<A> {
    hosts: Vec<Host<A>>,
    entry_count: usize,
    settings: Settings,
    config: Arc<Config>,
    /// Time and id of the scheduled events, the earliest first.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// The scheduled events by id.
    pending_events: HashMap<u64, FleetEvent>,
    last_event_id: u64,
    now: Duration,
    /// The start of simulated time on all clocks.
    epoch: Instant,
    rng: SmallRng,
    /// The confirmed leader and its term.
    leader: Option<(HostIndex, u64)>,
    host_weights: Vec<f64>,
    /// Requests of the main load a second, 0 before the first load.
    arrival_rate: f64,
    /// Requests of the quiet load a second, 0 without one.
    quiet_rate: f64,
    /// Results of the main load.
    pub(crate) tally: Tally,
    /// Results of the quiet load.
    pub(crate) quiet_tally: Tally,
}

/// Returns a configuration with the workspace `w`.
pub(crate) fn config(rate: u32, burst: u32) -> Arc<Config> {
    let mut config = Config::default();
    add_workspace(&mut config, Load::Main, rate, burst);
    Arc::new(config)
}

/// Returns a configuration with the workspaces `w` and `quiet`, each with its rate and burst.
pub(crate) fn config_with_quiet(main: (u32, u32), quiet: (u32, u32)) -> Arc<Config> {
    let mut config = Config::default();
    add_workspace(&mut config, Load::Main, main.0, main.1);
    add_workspace(&mut config, Load::Quiet, quiet.0, quiet.1);
    Arc::new(config)
}

fn add_workspace(config: &mut Config, load: Load, rate: u32, burst: u32) {
    let workspace = Workspace {
        rate,
        burst,
        services: Vec::new(),
        keys: Default::default(),
    };
    config.workspaces.insert(load.workspace(), workspace);
}

impl<A: Admission> Fleet<A> {
    /// Returns a fleet of entry hosts followed by three control hosts.
    pub(crate) fn new(
        entries: usize,
        config: Arc<Config>,
        grant: GrantSettings,
        seed: u64,
        admission: impl Fn() -> A,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = (0..entries + 3).map(|index| Host {
            me: HostInfo {
                host: format!("h{index}").into(),
                data_centre: "dc".into(),
                peer_addr: "10.0.0.1:7000".parse().unwrap(),
                incarnation: 1,
                traffic_parts: 1,
                is_entry_host: index < entries,
                is_control_host: index >= entries,
                leaving: false,
            },
            clock_speed: rng.random_range(0.995..1.005),
            alive: true,
            partition: 0,
            holder: TokenHolder::default(),
            admission: admission(),
            allocator: Allocator::default(),
            rng: SmallRng::seed_from_u64(seed + index as u64),
            frozen_until: Duration::ZERO,
            next_wake_at: None,
        });
        let hosts = hosts.collect();
        let settings = Settings {
            grant,
            ..Settings::default()
        };
        let mut fleet = Self {
            hosts,
            entry_count: entries,
            settings,
            config: Arc::default(),
            queue: BinaryHeap::new(),
            pending_events: HashMap::default(),
            last_event_id: 0,
            now: Duration::ZERO,
            epoch: Instant::now(),
            rng,
            leader: None,
            host_weights: vec![1.0; entries],
            arrival_rate: 0.0,
            quiet_rate: 0.0,
            tally: Tally::default(),
            quiet_tally: Tally::default(),
        };
        fleet.configure(config);
        let share_indexes =
            (0..entries).map(|index| (fleet.hosts[index].me.host.clone(), index as u16));
        let share_indexes = share_indexes.collect();
        for index in 0..fleet.hosts.len() {
            fleet.call_host(index, |host, cx| {
                host.allocator.on_share_indexes(cx, &share_indexes);
                let share_index = share_indexes.get(&host.me.host).copied();
                host.holder.on_share_index(cx, share_index, cx.now);
            });
        }
        fleet
    }

    /// Puts a configuration in force everywhere.
    pub(crate) fn configure(&mut self, config: Arc<Config>) {
        self.config = config.clone();
        let entries = self.hosts.iter().take(self.entry_count);
        let entry_hosts: Vec<HostInfo> = entries.map(|host| host.me.clone()).collect();
        for index in 0..self.hosts.len() {
            self.call_host(index, |host, cx| {
                host.allocator.on_config(cx, &config);
                host.holder.on_config(cx, &config);
                let hosts = entry_hosts.iter().map(|host| host.host.clone()).collect();
                let data_centres = 1;
                let site = ReserveSite {
                    entry_hosts: hosts,
                    data_centres,
                };
                host.holder.set_reserve_site(cx, site);
                host.admission.on_config(&config);
            });
        }
    }

    fn tally_mut(&mut self, load: Load) -> &mut Tally {
        match load {
            Load::Main => &mut self.tally,
            Load::Quiet => &mut self.quiet_tally,
        }
    }

    /// Schedules the next arrival of a load, at a random host.
    fn next_arrival(&mut self, load: Load) {
        let rate = match load {
            Load::Main => self.arrival_rate,
            Load::Quiet => self.quiet_rate,
        };
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / rate);
        let mut pick = self.rng.random_range(0.0..self.host_weights.iter().sum());
        let host = self.host_weights.iter().position(|weight| {
            pick -= weight;
            pick < 0.0
        });
        let host = host.unwrap_or(self.entry_count - 1);
        self.schedule(self.now + gap, FleetEvent::Arrival(load, host));
    }

    fn reaches(&self, from: HostIndex, to: HostIndex) -> bool {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        from.alive && to.alive && from.partition == to.partition
    }

    fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.last_event_id += 1;
        self.queue.push(Reverse((at, self.last_event_id)));
        self.pending_events.insert(self.last_event_id, event);
    }

    /// Calls a host with its own clock, carries out its effects and schedules its next wake-up.
    fn call_host<R>(
        &mut self,
        index: HostIndex,
        action: impl FnOnce(&mut Host<A>, &mut Cx<'_>) -> R,
    ) -> R {
        let host = &mut self.hosts[index];
        let (mut effects, mut raised) = (Vec::new(), VecDeque::new());
        let me = host.me.clone();
        let mut rng = host.rng.clone();
        let mut cx = Cx {
            now: self.epoch + self.now.mul_f64(host.clock_speed),
            me: &me,
            part: 1,
            settings: &self.settings,
            rng: &mut rng,
            effects: &mut effects,
            raised_events: &mut raised,
        };
        let result = action(host, &mut cx);
        host.admission.flush(&mut cx);
        host.rng = rng;
        let wake = host
            .holder
            .wake_at()
            .into_iter()
            .chain(host.admission.wake_at());
        let wake = wake
            .min()
            .map(|at| at.saturating_duration_since(self.epoch));
        // One nanosecond more, so that rounding does not wake the host too early.
        let wake = wake.map(|at| at.div_f64(host.clock_speed) + Duration::from_nanos(1));
        let wake = wake.map(|at| at.max(self.now));
        if host.next_wake_at != wake {
            host.next_wake_at = wake;
            if let Some(at) = wake {
                self.schedule(at, FleetEvent::Wake(index));
            }
        }
        for effect in effects {
            self.apply_effect(index, effect);
        }
        result
    }

    fn apply_effect(&mut self, from: HostIndex, effect: Effect) {
        match effect {
            Effect::Send {
                to,
                msg: Msg::Grant(msg),
            } => {
                let to = self.hosts.iter().position(|host| host.me.host == to.host);
                let delay = Duration::from_micros(self.rng.random_range(300..2000));
                let to = to.unwrap();
                self.tally.messages += 1;
                self.schedule(self.now + delay, FleetEvent::Message { from, to, msg });
            }
            Effect::ForwardEvent { event, .. } => {
                let host = from;
                let delay = Duration::from_micros(20);
                self.schedule(
                    self.now + delay,
                    FleetEvent::Event {
                        host,
                        event: *event,
                    },
                );
            }
            Effect::Log(_) => {}
            effect => panic!("unexpected effect {effect:?}"),
        }
    }

    /// Advances simulated time and handles all events that fall due.
    pub(crate) fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.pending_events.remove(&id) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    /// Returns until when the host of an event is frozen, if it is.
    fn frozen_host_until(&self, event: &FleetEvent) -> Option<Duration> {
        let host = match event {
            FleetEvent::Attempt { host, .. }
            | FleetEvent::Event { host, .. }
            | FleetEvent::Wake(host) => *host,
            FleetEvent::Message { to, .. } => *to,
            FleetEvent::Arrival(..) | FleetEvent::ConfirmLeadership(_) => return None,
        };
        let until = self.hosts[host].frozen_until;
        (until > self.now).then_some(until)
    }

    fn handle_event(&mut self, event: FleetEvent) {
        if let Some(until) = self.frozen_host_until(&event) {
            return self.schedule(until, event);
        }
        match event {
            FleetEvent::Arrival(load, host) => {
                if self.hosts[host].alive {
                    let since = self.now;
                    self.tally_mut(load).arrived.push((since, host));
                    self.schedule(since, FleetEvent::Attempt { load, host, since });
                }
                self.next_arrival(load);
            }
            FleetEvent::Attempt { load, host, since } => self.attempt(load, host, since),
            FleetEvent::Message { from, to, msg } => {
                if self.reaches(from, to) {
                    let host = self.hosts[from].me.host.clone();
                    let from = PartAddr {
                        host,
                        part: CONTROL_PART,
                    };
                    self.call_host(to, |host, cx| match msg {
                        GrantMsg::Demand(demand) => host.allocator.on_demand(cx, &from, &demand),
                        GrantMsg::Grant(grant) => host.holder.on_grant(cx, &grant),
                        GrantMsg::BorrowReserve(tokens) => host.holder.on_borrow(cx, &from, tokens),
                        GrantMsg::LendReserve(tokens) => host.holder.on_lent(cx, &tokens),
                        msg => panic!("unexpected {msg:?}"),
                    });
                }
            }
            FleetEvent::Event { host, event } => self.call_host(host, |host, cx| match event {
                Event::TokenDemand(demand) => host.holder.on_token_demand(cx, &demand),
                Event::TokenGrant(grant) => host.admission.on_token_grant(&grant),
                event => panic!("unexpected event {event:?}"),
            }),
            FleetEvent::Wake(index) => {
                if self.hosts[index]
                    .next_wake_at
                    .is_some_and(|wake| wake <= self.now)
                {
                    self.hosts[index].next_wake_at = None;
                    self.call_host(index, |host, cx| host.holder.on_tick(cx));
                }
            }
            FleetEvent::ConfirmLeadership(term) => {
                if let Some((index, leader_term)) =
                    self.leader.filter(|(_, leader_term)| *leader_term == term)
                {
                    self.call_host(index, |host, cx| {
                        let until = cx.now + CONFIRMED_FOR;
                        host.allocator.on_leader(cx, leader_term, until);
                    });
                    self.schedule(
                        self.now + CONFIRM_EVERY,
                        FleetEvent::ConfirmLeadership(term),
                    );
                }
            }
        }
    }

    /// Tries to admit a request; it is tried again later if it must wait for tokens.
    fn attempt(&mut self, load: Load, index: HostIndex, since: Duration) {
        if !self.hosts[index].alive {
            return;
        }
        let waited = self.now - since;
        let admit = self.call_host(index, |host, cx| {
            let wait = TokenWait {
                waited,
                bound: Duration::MAX,
                refuse_at_once: false,
            };
            host.admission.try_admit(cx.now, &load.workspace(), wait)
        });
        let now = self.now;
        match admit {
            Admit::Now => self.tally_mut(load).admitted.push((now, index)),
            Admit::Refuse => self.tally_mut(load).refused.push((since, index)),
            Admit::Wait(pause) => {
                let host = index;
                self.schedule(now + pause, FleetEvent::Attempt { load, host, since });
            }
        }
    }
}
