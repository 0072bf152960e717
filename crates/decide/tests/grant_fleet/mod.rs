//! Hosts with holders and allocators, links that can be cut, and clocks that run apart.

mod faults;
mod tally;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::admit::{Admission, Admit};
use decide::grant::{Allocator, GrantMsg, GrantSettings, Holder, Home};
use decide::{Cx, Effect, Event, Msg, Settings};
use model::config::Workspace;
use model::{CONTROL, Config, HashMap, HostInfo, PartAddr, WorkspaceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use tally::Tally;

/// How often the leader's leadership is confirmed, and for how long.
const CONFIRM_EVERY: Duration = Duration::from_millis(100);
const CONFIRMED_FOR: Duration = Duration::from_millis(500);

/// A host of the fleet, by index.
pub(crate) type Index = usize;

/// One host.
struct Host<A> {
    me: HostInfo,
    /// How fast its clock runs.
    speed: f64,
    alive: bool,
    /// Hosts of different islands can't reach each other.
    island: u8,
    holder: Holder,
    admission: A,
    allocator: Allocator,
    rng: SmallRng,
    /// The moment before which it does nothing.
    frozen_until: Duration,
    /// The next wake-up that still counts.
    wake: Option<Duration>,
}

/// Something that is due.
enum Due {
    Arrival(Index),
    Try {
        host: Index,
        since: Duration,
    },
    Message {
        from: Index,
        to: Index,
        msg: GrantMsg,
    },
    Event {
        host: Index,
        event: Event,
    },
    Wake(Index),
    Confirm(u64),
}

/// A fleet with one workspace.
pub(crate) struct Fleet<A> {
    hosts: Vec<Host<A>>,
    entries: usize,
    settings: Settings,
    config: Arc<Config>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    what: HashMap<u64, Due>,
    scheduled: u64,
    now: Duration,
    epoch: Instant,
    rng: SmallRng,
    leader: Option<(Index, u64)>,
    weights: Vec<f64>,
    rate: f64,
    pub(crate) tally: Tally,
}

/// Returns a configuration with the workspace `w`.
pub(crate) fn config(rate: u32, burst: u32) -> Arc<Config> {
    let workspace = Workspace {
        rate,
        burst,
        services: Vec::new(),
        keys: Default::default(),
    };
    let mut config = Config::default();
    config.workspaces.insert("w".into(), workspace);
    Arc::new(config)
}

/// Returns the workspace.
fn workspace() -> WorkspaceId {
    "w".into()
}

impl<A: Admission> Fleet<A> {
    /// Returns a fleet of entry hosts, and three control hosts after them.
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
                entry: index < entries,
                control: index >= entries,
                leaving: false,
            },
            speed: rng.random_range(0.995..1.005),
            alive: true,
            island: 0,
            holder: Holder::default(),
            admission: admission(),
            allocator: Allocator::default(),
            rng: SmallRng::seed_from_u64(seed + index as u64),
            frozen_until: Duration::ZERO,
            wake: None,
        });
        let hosts = hosts.collect();
        let settings = Settings {
            grant,
            ..Settings::default()
        };
        let mut fleet = Self {
            hosts,
            entries,
            settings,
            config: Arc::default(),
            due: BinaryHeap::new(),
            what: HashMap::default(),
            scheduled: 0,
            now: Duration::ZERO,
            epoch: Instant::now(),
            rng,
            leader: None,
            weights: vec![1.0; entries],
            rate: 0.0,
            tally: Tally::default(),
        };
        fleet.configure(config);
        let share_indexes =
            (0..entries).map(|index| (fleet.hosts[index].me.host.clone(), index as u16));
        let share_indexes = share_indexes.collect();
        for index in 0..fleet.hosts.len() {
            fleet.with(index, |host, cx| {
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
        let entries = self.hosts.iter().take(self.entries);
        let home: Vec<HostInfo> = entries.map(|host| host.me.clone()).collect();
        for index in 0..self.hosts.len() {
            self.with(index, |host, cx| {
                host.allocator.on_config(cx, &config);
                host.holder.on_config(cx, &config);
                let hosts = home.iter().map(|host| host.host.clone()).collect();
                let data_centres = 1;
                let home = Home {
                    hosts,
                    data_centres,
                };
                host.holder.set_home(cx, home);
                host.admission.on_config(&config);
            });
        }
    }

    fn next_arrival(&mut self) {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / self.rate);
        let mut pick = self.rng.random_range(0.0..self.weights.iter().sum());
        let host = self.weights.iter().position(|weight| {
            pick -= weight;
            pick < 0.0
        });
        let host = host.unwrap_or(self.entries - 1);
        self.schedule(self.now + gap, Due::Arrival(host));
    }

    fn reaches(&self, from: Index, to: Index) -> bool {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        from.alive && to.alive && from.island == to.island
    }

    fn schedule(&mut self, at: Duration, due: Due) {
        self.scheduled += 1;
        self.due.push(Reverse((at, self.scheduled)));
        self.what.insert(self.scheduled, due);
    }

    /// Calls a host with its own clock, and takes up what it causes.
    fn with<R>(&mut self, index: Index, act: impl FnOnce(&mut Host<A>, &mut Cx<'_>) -> R) -> R {
        let host = &mut self.hosts[index];
        let (mut effects, mut raised) = (Vec::new(), VecDeque::new());
        let me = host.me.clone();
        let mut rng = host.rng.clone();
        let mut cx = Cx {
            now: self.epoch + self.now.mul_f64(host.speed),
            me: &me,
            part: 1,
            settings: &self.settings,
            rng: &mut rng,
            effects: &mut effects,
            raised_events: &mut raised,
        };
        let result = act(host, &mut cx);
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
        let wake = wake.map(|at| at.div_f64(host.speed) + Duration::from_nanos(1));
        let wake = wake.map(|at| at.max(self.now));
        if host.wake != wake {
            host.wake = wake;
            if let Some(at) = wake {
                self.schedule(at, Due::Wake(index));
            }
        }
        for effect in effects {
            self.run(index, effect);
        }
        result
    }

    fn run(&mut self, from: Index, effect: Effect) {
        match effect {
            Effect::Send {
                to,
                msg: Msg::Grant(msg),
            } => {
                let to = self.hosts.iter().position(|host| host.me.host == to.host);
                let delay = Duration::from_micros(self.rng.random_range(300..2000));
                let to = to.unwrap();
                self.tally.messages += 1;
                self.schedule(self.now + delay, Due::Message { from, to, msg });
            }
            Effect::ForwardEvent { event, .. } => {
                let host = from;
                let delay = Duration::from_micros(20);
                self.schedule(
                    self.now + delay,
                    Due::Event {
                        host,
                        event: *event,
                    },
                );
            }
            Effect::Log(_) => {}
            effect => panic!("unexpected effect {effect:?}"),
        }
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while let Some(Reverse((at, id))) = self.due.peek().copied() {
            if at > end {
                break;
            }
            self.due.pop();
            self.now = at;
            if let Some(due) = self.what.remove(&id) {
                self.step(due);
            }
        }
        self.now = end;
    }

    /// Returns until when the host that something is due on is frozen, if it is.
    fn frozen(&self, due: &Due) -> Option<Duration> {
        let host = match due {
            Due::Try { host, .. } | Due::Event { host, .. } | Due::Wake(host) => *host,
            Due::Message { to, .. } => *to,
            Due::Arrival(_) | Due::Confirm(_) => return None,
        };
        let until = self.hosts[host].frozen_until;
        (until > self.now).then_some(until)
    }

    fn step(&mut self, due: Due) {
        if let Some(until) = self.frozen(&due) {
            return self.schedule(until, due);
        }
        match due {
            Due::Arrival(host) => {
                if self.hosts[host].alive {
                    self.tally.came.push((self.now, host));
                    let since = self.now;
                    self.schedule(self.now, Due::Try { host, since });
                }
                self.next_arrival();
            }
            Due::Try { host, since } => self.attempt(host, since),
            Due::Message { from, to, msg } => {
                if self.reaches(from, to) {
                    let host = self.hosts[from].me.host.clone();
                    let from = PartAddr {
                        host,
                        part: CONTROL,
                    };
                    self.with(to, |host, cx| match msg {
                        GrantMsg::Demand(demand) => host.allocator.on_demand(cx, &from, &demand),
                        GrantMsg::Grant(grant) => host.holder.on_grant(cx, &grant),
                        GrantMsg::Borrow(lot) => host.holder.on_borrow(cx, &from, lot),
                        GrantMsg::Lent(lot) => host.holder.on_lent(cx, &lot),
                        msg => panic!("unexpected {msg:?}"),
                    });
                }
            }
            Due::Event { host, event } => self.with(host, |host, cx| match event {
                Event::TokenDemand(need) => host.holder.on_token_demand(cx, &need),
                Event::TokenGrant(feed) => host.admission.on_token_grant(&feed),
                event => panic!("unexpected event {event:?}"),
            }),
            Due::Wake(index) => {
                if self.hosts[index].wake.is_some_and(|wake| wake <= self.now) {
                    self.hosts[index].wake = None;
                    self.with(index, |host, cx| host.holder.on_tick(cx));
                }
            }
            Due::Confirm(term) => {
                if let Some((index, leads)) = self.leader.filter(|(_, leads)| *leads == term) {
                    self.with(index, |host, cx| {
                        let until = cx.now + CONFIRMED_FOR;
                        host.allocator.on_leader(cx, leads, until);
                    });
                    self.schedule(self.now + CONFIRM_EVERY, Due::Confirm(term));
                }
            }
        }
    }

    fn attempt(&mut self, index: Index, since: Duration) {
        if !self.hosts[index].alive {
            return;
        }
        let waited = self.now - since;
        let admit = self.with(index, |host, cx| {
            host.admission.try_admit(cx.now, &workspace(), waited)
        });
        match admit {
            Admit::Now => self.tally.admitted.push((self.now, index)),
            Admit::Refuse => self.tally.refused.push((since, index)),
            Admit::Wait(pause) => {
                let host = index;
                self.schedule(self.now + pause, Due::Try { host, since });
            }
        }
    }
}
