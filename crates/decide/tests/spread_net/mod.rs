//! A simulated clock and network that drive the `Spread` of each host of a fleet.

#![allow(dead_code, reason = "each test uses a part of it")]

pub(crate) mod fleet;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::spread::{Seed, Spread, SpreadLogEvent, SpreadMsg};
use decide::{Cx, Effect, Event, LogEvent, Msg, Settings, View};
use fleet::host_info;
use model::{Announcement, CONTROL_PART, Config, HostId, HostInfo, PartAddr, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How often the voters confirm their version and upstreams renew their announcements.
const CONFIRM_EVERY: Duration = Duration::from_millis(500);

/// One simulated host.
pub(crate) struct Node {
    pub(crate) info: HostInfo,
    pub(crate) spread: Spread,
    pub(crate) running: bool,
    /// All usable versions in force since the host's last start, in order.
    pub(crate) versions_in_force: Vec<u64>,
    /// The hosts whose addresses it has emitted, so that it can send to them.
    known_addresses: BTreeSet<HostId>,
    rng: SmallRng,
}

/// Totals of what all hosts have sent since the counts were cleared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) most_bytes_of_a_host: u64,
}

enum NetEvent {
    /// A message arrives: sender, receiver and content.
    Message(PartAddr, HostId, Box<SpreadMsg>),
    /// The first host learns that its connection to the second is broken.
    LinkDown(HostId, HostId),
}

/// The hosts and the network between them.
pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) nodes: BTreeMap<HostId, Node>,
    pub(crate) seeds: Vec<Seed>,
    pub(crate) settings: Settings,
    /// The voters that confirm versions.
    pub(crate) quorum: BTreeSet<HostId>,
    pub(crate) config: Arc<Config>,
    /// The configuration that each voter has on its disk.
    pub(crate) stored_configs: BTreeMap<HostId, Arc<Config>>,
    /// Data centres whose hosts are cut off from all others.
    pub(crate) cut_off_data_centres: BTreeSet<String>,
    /// Pairs of hosts that can't exchange anything.
    pub(crate) blocked_pairs: BTreeSet<(HostId, HostId)>,
    /// Pairs of hosts of which the first can't send to the second.
    pub(crate) blocked_one_way: BTreeSet<(HostId, HostId)>,
    /// A host to which all updates of the configuration are lost.
    pub(crate) no_config_to: Option<HostId>,
    /// The reports of hosts that lack a version of the configuration, each with its reporter.
    pub(crate) lag_reports: Vec<(HostId, SpreadLogEvent)>,
    /// Whether a lost message breaks no connection that the hosts would notice.
    pub(crate) silent_loss: bool,
    /// One in this many messages is lost; zero for none.
    pub(crate) lost_one_in: u32,
    pub(crate) latency: Duration,
    /// The upstreams that are announced, and renewed twice a second.
    pub(crate) announced_upstreams: BTreeMap<UpstreamId, Announcement>,
    /// The messages and bytes sent by each host; bytes only if `count_bytes` is set.
    pub(crate) sent_by_host: BTreeMap<HostId, (u64, u64)>,
    pub(crate) count_bytes: bool,
    pub(crate) rng: SmallRng,
    /// Deliveries and broken connections by time, and in order of scheduling at one time.
    queue: BTreeMap<(Instant, u64), NetEvent>,
    /// The paused hosts, with what has arrived for each since.
    backlogs: BTreeMap<HostId, Vec<NetEvent>>,
    /// The times at which running hosts want a tick.
    wake_times: BTreeSet<(Instant, HostId)>,
    wake_time_of: BTreeMap<HostId, Instant>,
    /// When the last message between two hosts arrives; later ones don't overtake it.
    last_arrival: BTreeMap<(HostId, HostId), Instant>,
    /// When the voters confirm and the upstreams renew next.
    next_confirm: Instant,
    next_event_number: u64,
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

    /// Returns such a network, after `change` was applied to each host's attributes.
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
            stored_configs: BTreeMap::new(),
            cut_off_data_centres: BTreeSet::new(),
            blocked_pairs: BTreeSet::new(),
            blocked_one_way: BTreeSet::new(),
            no_config_to: None,
            lag_reports: Vec::new(),
            silent_loss: false,
            lost_one_in: 0,
            latency: Duration::from_millis(1),
            announced_upstreams: BTreeMap::new(),
            sent_by_host: BTreeMap::new(),
            count_bytes: false,
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            backlogs: BTreeMap::new(),
            wake_times: BTreeSet::new(),
            wake_time_of: BTreeMap::new(),
            last_arrival: BTreeMap::new(),
            next_confirm: now,
            next_event_number: 0,
        };
        let infos = (0..hosts).map(|number| host_info(number, data_centres));
        let mut infos: Vec<HostInfo> = infos.collect();
        infos.iter_mut().for_each(change);
        for info in infos.iter().filter(|info| info.is_control_host) {
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

    /// Starts a host, in place of an earlier start of it.
    pub(crate) fn start(&mut self, info: HostInfo) {
        let host = info.host.clone();
        let node = Node {
            spread: Spread::new(info.clone(), self.seeds.clone(), self.now),
            running: true,
            versions_in_force: Vec::new(),
            known_addresses: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(self.rng.random()),
            info,
        };
        self.nodes.insert(host.clone(), node);
        self.update_wake_time(&host);
    }

    /// Stops a host without notice to the others; its state stays for `resume`.
    pub(crate) fn kill(&mut self, host: &HostId) {
        self.node(host).running = false;
        self.update_wake_time(host);
    }

    /// Continues a host that `kill` or `pause` stopped, with its state; it reads its backlog.
    pub(crate) fn resume(&mut self, host: &HostId) {
        self.node(host).running = true;
        for event in self.backlogs.remove(host).unwrap_or_default() {
            self.schedule(self.now, event);
        }
        self.update_wake_time(host);
    }

    /// Stops a host like a frozen process: what arrives for it waits until `resume`.
    pub(crate) fn pause(&mut self, host: &HostId) {
        self.kill(host);
        self.backlogs.insert(host.clone(), Vec::new());
    }

    /// Restarts a host with a higher incarnation and, on a voter, the configuration on its disk.
    pub(crate) fn restart(&mut self, host: &HostId) {
        let mut info = self.nodes[host].info.clone();
        info.incarnation += 1;
        self.start(info);
        if let Some(config) = self.stored_configs.get(host).cloned() {
            self.with_spread(host, |spread, cx| spread.on_config_committed(cx, config));
        }
    }

    pub(crate) fn node(&mut self, host: &HostId) -> &mut Node {
        self.nodes.get_mut(host).expect("known host")
    }

    /// Returns the hosts that run.
    pub(crate) fn hosts(&self) -> Vec<HostId> {
        let running = self.nodes.iter().filter(|(_, node)| node.running);
        running.map(|(host, _)| host.clone()).collect()
    }

    pub(crate) fn view(&self, host: &HostId) -> View {
        self.nodes[host].spread.view(self.now)
    }

    /// Calls a running host's `Spread` and carries out the effects.
    pub(crate) fn with_spread(
        &mut self,
        host: &HostId,
        call: impl FnOnce(&mut Spread, &mut Cx<'_>),
    ) {
        let mut effects = Vec::new();
        let mut raised = VecDeque::new();
        let node = self.nodes.get_mut(host).expect("known host");
        if !node.running {
            return;
        }
        let mut cx = Cx {
            now: self.now,
            me: &node.info,
            part: CONTROL_PART,
            settings: &self.settings,
            rng: &mut node.rng,
            effects: &mut effects,
            raised_events: &mut raised,
        };
        call(&mut node.spread, &mut cx);
        assert!(
            raised.len() <= 1,
            "{host} raised more than one event: {raised:?}"
        );
        assert!(
            raised
                .iter()
                .all(|event| matches!(event, Event::TablesChanged))
        );
        if !raised.is_empty() {
            let view = node.spread.view(self.now);
            let version = view.config.version;
            if view.config_usable && node.versions_in_force.last() != Some(&version) {
                node.versions_in_force.push(version);
            }
        }
        for effect in effects {
            match effect {
                Effect::SetPeerAddress { host: other, .. } => {
                    self.node(host).known_addresses.insert(other);
                }
                Effect::Send {
                    to,
                    msg: Msg::Spread(msg),
                } => self.send(host, to, msg),
                Effect::Log(LogEvent::Spread(
                    event @ (SpreadLogEvent::ConfigBehind { .. }
                    | SpreadLogEvent::ConfigWithheld { .. }
                    | SpreadLogEvent::ConfigUpdateRejected { .. }),
                )) => self.lag_reports.push((host.clone(), event)),
                _ => {}
            }
        }
        self.update_wake_time(host);
    }

    fn update_wake_time(&mut self, host: &HostId) {
        if let Some(old) = self.wake_time_of.remove(host) {
            self.wake_times.remove(&(old, host.clone()));
        }
        let node = &self.nodes[host];
        if let Some(at) = node.spread.wake_at().filter(|_| node.running) {
            self.wake_time_of.insert(host.clone(), at);
            self.wake_times.insert((at, host.clone()));
        }
    }

    fn send(&mut self, from: &HostId, to: PartAddr, msg: SpreadMsg) {
        assert_ne!(*from, to.host, "a host sends a message to itself");
        if !self.nodes[from].known_addresses.contains(&to.host) {
            // Without an address, the host gets the message back as undelivered.
            let (from, to) = (from.clone(), to.host.clone());
            return self.schedule(self.now, NetEvent::LinkDown(from, to));
        }
        let count = self.sent_by_host.entry(from.clone()).or_default();
        count.0 += 1;
        if self.count_bytes {
            count.1 += postcard::to_stdvec(&msg).expect("encodes").len() as u64;
        }
        if self.lost_one_in > 0 && self.rng.random_ratio(1, self.lost_one_in) {
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
            part: CONTROL_PART,
        };
        self.schedule(at, NetEvent::Message(from, to.host, Box::new(msg)));
    }

    fn schedule(&mut self, at: Instant, event: NetEvent) {
        self.next_event_number += 1;
        self.queue.insert((at, self.next_event_number), event);
    }

    /// Drops all messages in flight between two hosts; unless `silent_loss`, both are notified.
    pub(crate) fn break_link(&mut self, a: &HostId, b: &HostId) {
        self.queue.retain(|_, event| match event {
            NetEvent::Message(from, to, _) => {
                !((from.host == *a && to == b) || (from.host == *b && to == a))
            }
            NetEvent::LinkDown(..) => true,
        });
        if self.silent_loss {
            return;
        }
        let at = self.now + self.latency;
        self.schedule(at, NetEvent::LinkDown(a.clone(), b.clone()));
        self.schedule(at, NetEvent::LinkDown(b.clone(), a.clone()));
    }

    fn is_connected(&self, a: &HostId, b: &HostId) -> bool {
        let (a, b) = (&self.nodes[a].info, &self.nodes[b].info);
        let cut_off = a.data_centre != b.data_centre
            && (self.cut_off_data_centres.contains(&*a.data_centre)
                || self.cut_off_data_centres.contains(&*b.data_centre));
        let pair = (a.host.clone(), b.host.clone());
        let reverse_pair = (b.host.clone(), a.host.clone());
        !cut_off
            && !self.blocked_pairs.contains(&pair)
            && !self.blocked_pairs.contains(&reverse_pair)
    }

    /// Advances the clock by `duration`, handling all that falls due.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Advances the clock until `holds`, and returns after how long; `None` at the limit.
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
        let message = self.queue.first_key_value().map(|((at, _), _)| *at);
        let wake = self.wake_times.first().map(|(at, _)| *at);
        let next = [message, wake, Some(self.next_confirm)];
        let next = next.into_iter().flatten().min().expect("a next moment");
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        if next == self.next_confirm {
            self.next_confirm += CONFIRM_EVERY;
            self.confirm();
            self.renew_all();
        } else if message == Some(next) {
            let (_, event) = self.queue.pop_first().expect("a message");
            self.deliver(event);
        } else if let Some((_, host)) = self.wake_times.first().cloned() {
            self.with_spread(&host, |spread, cx| spread.on_tick(cx));
            let wake = self.wake_time_of.get(&host);
            assert!(
                wake.is_none_or(|at| *at > self.now),
                "{host} asks for another tick without time passing"
            );
        }
        true
    }

    fn deliver(&mut self, event: NetEvent) {
        match event {
            NetEvent::Message(from, to, msg) => {
                let lost = self
                    .blocked_one_way
                    .contains(&(from.host.clone(), to.clone()));
                let is_config = matches!(*msg, SpreadMsg::Config(_));
                let lost = lost || is_config && self.no_config_to.as_ref() == Some(&to);
                if !lost && self.is_connected(&from.host, &to) && self.nodes[&from.host].running {
                    if let Some(backlog) = self.backlogs.get_mut(&to) {
                        return backlog.push(NetEvent::Message(from, to, msg));
                    }
                    self.with_spread(&to, |spread, cx| spread.on_msg(cx, from, *msg));
                }
            }
            NetEvent::LinkDown(host, other) => {
                self.with_spread(&host, |spread, cx| spread.on_link_down(cx, &other));
            }
        }
    }

    fn confirm(&mut self) {
        let version = self.config.version;
        let now = self.now;
        for host in self.quorum.clone() {
            self.with_spread(&host, |spread, cx| {
                spread.on_config_confirmed(cx, version, now)
            });
        }
    }
}
