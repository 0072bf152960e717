//! A made-up clock and network that drive the `Spread`s of many hosts.

#![allow(dead_code, reason = "each test uses a part of it")]

pub(crate) mod fleet;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::spread::{Seed, Spread, SpreadMsg};
use decide::{Cx, Effect, Event, Msg, Settings, View};
use model::{Announcement, CONTROL, Config, HostId, HostInfo, PartAddr, PartId, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How often a voter in the quorum confirms its version.
const CONFIRM_EVERY: Duration = Duration::from_millis(500);

/// One host.
pub(crate) struct Node {
    pub(crate) info: HostInfo,
    pub(crate) spread: Spread,
    pub(crate) running: bool,
    /// All versions that were in force in this start, in order.
    pub(crate) in_force: Vec<u64>,
    /// The hosts that it can send to: it was told their addresses.
    known: BTreeSet<HostId>,
    rng: SmallRng,
}

/// What was sent since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) most_bytes_of_a_host: u64,
}

enum Due {
    Message(PartAddr, HostId, Box<SpreadMsg>),
    LinkDown(HostId, HostId),
}

/// The hosts and the network between them.
pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) nodes: BTreeMap<HostId, Node>,
    pub(crate) seeds: Vec<Seed>,
    pub(crate) settings: Settings,
    /// The voters that can confirm.
    pub(crate) quorum: BTreeSet<HostId>,
    pub(crate) config: Arc<Config>,
    /// What each voter's disk has.
    pub(crate) disks: BTreeMap<HostId, Arc<Config>>,
    /// Data centres whose hosts are cut off from all others.
    pub(crate) cut: BTreeSet<String>,
    /// Pairs of hosts that can't exchange anything.
    pub(crate) blocked: BTreeSet<(HostId, HostId)>,
    /// Pairs of hosts of which the first can't send to the second.
    pub(crate) one_way: BTreeSet<(HostId, HostId)>,
    /// Whether hosts are told of nothing that is lost.
    pub(crate) silent: bool,
    /// One message in so many is lost; zero for none.
    pub(crate) loss: u32,
    pub(crate) latency: Duration,
    /// The upstreams that are announced, and renewed once a second.
    pub(crate) platform: BTreeMap<UpstreamId, Announcement>,
    pub(crate) sent: BTreeMap<HostId, (u64, u64)>,
    pub(crate) count_bytes: bool,
    pub(crate) rng: SmallRng,
    due: BTreeMap<(Instant, u64), Due>,
    wakes: BTreeSet<(Instant, HostId)>,
    wake_of: BTreeMap<HostId, Instant>,
    last_arrival: BTreeMap<(HostId, HostId), Instant>,
    next_confirm: Instant,
    number: u64,
}

pub(crate) fn host_name(data_centre: usize, index: usize) -> HostId {
    format!("dc{data_centre}-h{index}").into()
}

impl Net {
    /// Returns a network of `hosts` hosts in `data_centres` data centres; the first
    /// hosts of the first three data centres are voters.
    pub(crate) fn new(hosts: usize, data_centres: usize, seed: u64) -> Self {
        Self::with_hosts(hosts, data_centres, seed, |_| ())
    }

    /// Returns such a network with some things changed about the hosts.
    pub(crate) fn with_hosts(
        hosts: usize,
        data_centres: usize,
        seed: u64,
        change: impl Fn(&mut HostInfo),
    ) -> Self {
        println!("hosts={hosts} data_centres={data_centres} seed={seed}");
        let now = Instant::now() + Duration::from_secs(100 * 24 * 3600);
        let mut net = Self {
            now,
            start: now,
            nodes: BTreeMap::new(),
            seeds: Vec::new(),
            settings: Settings::default(),
            quorum: BTreeSet::new(),
            config: Arc::new(Config::default()),
            disks: BTreeMap::new(),
            cut: BTreeSet::new(),
            blocked: BTreeSet::new(),
            one_way: BTreeSet::new(),
            silent: false,
            loss: 0,
            latency: Duration::from_millis(1),
            platform: BTreeMap::new(),
            sent: BTreeMap::new(),
            count_bytes: false,
            rng: SmallRng::seed_from_u64(seed),
            due: BTreeMap::new(),
            wakes: BTreeSet::new(),
            wake_of: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
            next_confirm: now,
            number: 0,
        };
        let infos = (0..hosts).map(|number| host_info(number, data_centres));
        let mut infos: Vec<HostInfo> = infos.collect();
        infos.iter_mut().for_each(change);
        for info in infos.iter().filter(|info| info.control) {
            net.quorum.insert(info.host.clone());
            net.seeds.push(Seed {
                host: info.host.clone(),
                addr: info.peer_addr,
            });
        }
        for info in infos {
            net.start(info);
        }
        net
    }

    /// Starts a host, or a new start of it.
    pub(crate) fn start(&mut self, info: HostInfo) {
        let host = info.host.clone();
        let node = Node {
            spread: Spread::new(info.clone(), self.seeds.clone(), self.now),
            running: true,
            in_force: Vec::new(),
            known: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(self.rng.random()),
            info,
        };
        self.nodes.insert(host.clone(), node);
        self.rewake(&host);
    }

    /// Ends a host without a word.
    pub(crate) fn kill(&mut self, host: &HostId) {
        self.node(host).running = false;
        self.rewake(host);
    }

    /// Lets a host go on that had only been paused.
    pub(crate) fn resume(&mut self, host: &HostId) {
        self.node(host).running = true;
        self.rewake(host);
    }

    /// Starts a host again with nothing but a higher incarnation.
    pub(crate) fn restart(&mut self, host: &HostId) {
        let mut info = self.nodes[host].info.clone();
        info.incarnation += 1;
        self.start(info);
        if let Some(config) = self.disks.get(host).cloned() {
            self.with(host, |spread, cx| spread.on_config(cx, config));
        }
    }

    pub(crate) fn node(&mut self, host: &HostId) -> &mut Node {
        self.nodes.get_mut(host).expect("known host")
    }

    pub(crate) fn hosts(&self) -> Vec<HostId> {
        let running = self.nodes.iter().filter(|(_, node)| node.running);
        running.map(|(host, _)| host.clone()).collect()
    }

    pub(crate) fn view(&self, host: &HostId) -> View {
        self.nodes[host].spread.view(self.now)
    }

    /// Calls a host and runs the effects.
    pub(crate) fn with(&mut self, host: &HostId, call: impl FnOnce(&mut Spread, &mut Cx<'_>)) {
        let mut effects = Vec::new();
        let mut raised = VecDeque::new();
        let node = self.nodes.get_mut(host).expect("known host");
        if !node.running {
            return;
        }
        let mut cx = Cx {
            now: self.now,
            me: &node.info,
            part: CONTROL,
            settings: &self.settings,
            rng: &mut node.rng,
            effects: &mut effects,
            raised: &mut raised,
        };
        call(&mut node.spread, &mut cx);
        assert!(raised.len() <= 1, "one event at most, not {raised:?}");
        assert!(
            raised
                .iter()
                .all(|event| matches!(event, Event::TablesChanged))
        );
        if !raised.is_empty() {
            let view = node.spread.view(self.now);
            let version = view.config.version;
            if view.config_usable && node.in_force.last() != Some(&version) {
                node.in_force.push(version);
            }
        }
        for effect in effects {
            match effect {
                Effect::SetPeerAddress { host: other, .. } => {
                    self.node(host).known.insert(other);
                }
                Effect::Send {
                    to,
                    msg: Msg::Spread(msg),
                } => self.send(host, to, msg),
                _ => {}
            }
        }
        self.rewake(host);
    }

    fn rewake(&mut self, host: &HostId) {
        if let Some(old) = self.wake_of.remove(host) {
            self.wakes.remove(&(old, host.clone()));
        }
        let node = &self.nodes[host];
        if let Some(at) = node.spread.wake_at().filter(|_| node.running) {
            self.wake_of.insert(host.clone(), at);
            self.wakes.insert((at, host.clone()));
        }
    }

    fn send(&mut self, from: &HostId, to: PartAddr, msg: SpreadMsg) {
        assert_ne!(*from, to.host, "no message to itself");
        if !self.nodes[from].known.contains(&to.host) {
            // A host hands such a message back to itself.
            let (from, to) = (from.clone(), to.host.clone());
            return self.put(self.now, Due::LinkDown(from, to));
        }
        let count = self.sent.entry(from.clone()).or_default();
        count.0 += 1;
        if self.count_bytes {
            count.1 += postcard::to_stdvec(&msg).expect("encodes").len() as u64;
        }
        if self.loss > 0 && self.rng.random_ratio(1, self.loss) {
            self.break_link(from, &to.host);
            return;
        }
        let link = (from.clone(), to.host.clone());
        let at = self.now + self.latency;
        let at = self
            .last_arrival
            .get(&link)
            .map_or(at, |last| at.max(*last));
        self.last_arrival.insert(link, at);
        let host = from.clone();
        let from = PartAddr {
            host,
            part: CONTROL,
        };
        self.put(at, Due::Message(from, to.host, Box::new(msg)));
    }

    fn put(&mut self, at: Instant, due: Due) {
        self.number += 1;
        self.due.insert((at, self.number), due);
    }

    /// Loses all that is under way between two hosts and tells both.
    pub(crate) fn break_link(&mut self, a: &HostId, b: &HostId) {
        self.due.retain(|_, due| match due {
            Due::Message(from, to, _) => {
                !((from.host == *a && to == b) || (from.host == *b && to == a))
            }
            Due::LinkDown(..) => true,
        });
        if self.silent {
            return;
        }
        let at = self.now + self.latency;
        self.put(at, Due::LinkDown(a.clone(), b.clone()));
        self.put(at, Due::LinkDown(b.clone(), a.clone()));
    }

    fn passes(&self, a: &HostId, b: &HostId) -> bool {
        let (a, b) = (&self.nodes[a].info, &self.nodes[b].info);
        let cut = a.data_centre != b.data_centre
            && (self.cut.contains(&*a.data_centre) || self.cut.contains(&*b.data_centre));
        let pair = (a.host.clone(), b.host.clone());
        let riap = (b.host.clone(), a.host.clone());
        !cut && !self.blocked.contains(&pair) && !self.blocked.contains(&riap)
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Lets time pass until something holds, and returns how long that took.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(20));
        }
        holds(self).then(|| self.now - start)
    }

    fn step(&mut self, end: Instant) -> bool {
        let message = self.due.first_key_value().map(|((at, _), _)| *at);
        let wake = self.wakes.first().map(|(at, _)| *at);
        let next = [message, wake, Some(self.next_confirm)];
        let next = next.into_iter().flatten().min().expect("a next moment");
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        if next == self.next_confirm {
            self.next_confirm += CONFIRM_EVERY;
            self.confirm();
            self.renew();
        } else if message == Some(next) {
            let (_, due) = self.due.pop_first().expect("a message");
            self.deliver(due);
        } else if let Some((_, host)) = self.wakes.first().cloned() {
            self.with(&host, |spread, cx| spread.on_tick(cx));
            let wake = self.wake_of.get(&host);
            assert!(wake.is_none_or(|at| *at > self.now), "{host} spins");
        }
        true
    }

    fn deliver(&mut self, due: Due) {
        match due {
            Due::Message(from, to, msg) => {
                let lost = self.one_way.contains(&(from.host.clone(), to.clone()));
                if !lost && self.passes(&from.host, &to) && self.nodes[&from.host].running {
                    self.with(&to, |spread, cx| spread.on_msg(cx, from, *msg));
                }
            }
            Due::LinkDown(host, other) => {
                self.with(&host, |spread, cx| spread.on_link_down(cx, &other));
            }
        }
    }

    fn confirm(&mut self) {
        let version = self.config.version;
        let now = self.now;
        for host in self.quorum.clone() {
            self.with(&host, |spread, cx| spread.on_confirmed(cx, version, now));
        }
    }
}

fn host_info(number: usize, data_centres: usize) -> HostInfo {
    let data_centre = number % data_centres;
    let index = number / data_centres;
    let parts: PartId = 2;
    HostInfo {
        host: host_name(data_centre, index),
        data_centre: format!("dc{data_centre}").into(),
        peer_addr: (
            [10, data_centre as u8, (index >> 8) as u8, index as u8],
            7000,
        )
            .into(),
        incarnation: 1_700_000_000_000,
        traffic_parts: parts,
        entry: true,
        control: index == 0 && data_centre < 3,
        leaving: false,
    }
}
