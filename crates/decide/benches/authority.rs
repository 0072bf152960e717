//! The cost of one event in the control part where the quorum replaces primaries, by number of
//! entry hosts.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decide::authority::{AuthorityKind, QuorumAuthority};
use decide::control::ControlPart;
use decide::spread::msg::{ConfigStatus, Heartbeat, StreamPosition};
use decide::spread::{Fact, Spread, SpreadMsg};
use decide::state::PartRole;
use decide::{Cx, Effect, Event, Msg, PartState, Settings, View, reduce};
use model::{Announcement, CONTROL_PART, HostInfo, PartAddr};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The numbers of entry hosts of the measured fleets.
const SIZES: [usize; 4] = [100, 300, 1000, 4500];
const SERVICES: usize = 8;
const INSTANCES_PER_SERVICE: usize = 3;
const DATA_CENTRES: usize = 3;

fn host_info(number: usize, is_control_host: bool) -> HostInfo {
    let kind = if is_control_host { "control" } else { "entry" };
    HostInfo {
        host: format!("{kind}-{number}").into(),
        data_centre: format!("dc{}", number % DATA_CENTRES).into(),
        peer_addr: ([10, 0, (number >> 8) as u8, number as u8], 7000).into(),
        incarnation: 1,
        traffic_parts: u16::from(!is_control_host),
        is_entry_host: !is_control_host,
        is_control_host,
        leaving: false,
    }
}

fn announcement(number: usize) -> Announcement {
    Announcement {
        upstream: format!("upstream-{number}").into(),
        service: format!("service-{}", number / INSTANCES_PER_SERVICE).into(),
        addr: ([10, 100, 0, number as u8], 5432).into(),
        data_centre: format!("dc{}", number % DATA_CENTRES).into(),
        group_size: 3,
        slots: 4,
        connections: 112,
        sequence: 1,
        incarnation: 1,
        role: None,
        warming: false,
        draining: false,
        leaving: false,
    }
}

fn facts(hosts: usize) -> Vec<Fact> {
    let hosts = (0..hosts).map(|number| Fact::Host {
        info: host_info(number, false),
        sequence: 1,
        alive: true,
        heard_data_centres: (0..DATA_CENTRES)
            .filter(|_| number < DATA_CENTRES)
            .map(|data_centre| format!("dc{data_centre}").into())
            .collect(),
    });
    let upstreams = (0..SERVICES * INSTANCES_PER_SERVICE).map(|number| Fact::Upstream {
        announcement: announcement(number),
        live: true,
    });
    hosts.chain(upstreams).collect()
}

fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.group.authority = AuthorityKind::Quorum;
    settings
}

fn msg(facts: Vec<Fact>) -> SpreadMsg {
    let position = StreamPosition::default();
    SpreadMsg::Facts { position, facts }
}

/// A first heartbeat; a host that hears none counts all other data centres as cut off.
fn heartbeat() -> SpreadMsg {
    SpreadMsg::Heartbeat(Box::new(Heartbeat {
        incarnation: 1,
        number: 1,
        echo: 0,
        is_answer: false,
        to_parent: true,
        stream_end: StreamPosition::default(),
        digest_summary: 0,
        sync_request: None,
        config: ConfigStatus::default(),
    }))
}

fn sender() -> PartAddr {
    PartAddr {
        host: "entry-0".into(),
        part: CONTROL_PART,
    }
}

/// A control host that knows a fleet.
struct ControlHost {
    now: Instant,
    state: PartState,
    effects: Vec<Effect>,
}

impl ControlHost {
    fn new(hosts: usize) -> Self {
        let now = Instant::now();
        let me = host_info(0, true);
        let part = ControlPart::new(&me, Vec::new(), None, now);
        let role = PartRole::Control(Box::new(part));
        let state = PartState::new(me, CONTROL_PART, settings(), 1, role);
        let effects = Vec::new();
        let mut host = Self {
            now,
            state,
            effects,
        };
        host.hear(heartbeat());
        for facts in facts(hosts).chunks(256) {
            host.hear(msg(facts.to_vec()));
        }
        host
    }

    fn hear(&mut self, msg: SpreadMsg) {
        self.effects.clear();
        let event = Event::Peer {
            from: sender(),
            msg: Msg::Spread(msg),
        };
        reduce(&mut self.state, self.now, event, &mut self.effects);
    }
}

/// The supervision of primaries on the consensus leader, apart from the rest of the control part.
struct Leader {
    now: Instant,
    me: HostInfo,
    settings: Settings,
    rng: SmallRng,
    effects: Vec<Effect>,
    authority: QuorumAuthority,
}

impl Leader {
    fn new(view: &View) -> Self {
        let mut leader = Self {
            now: Instant::now(),
            me: host_info(0, true),
            settings: settings(),
            rng: SmallRng::seed_from_u64(1),
            effects: Vec::new(),
            authority: QuorumAuthority::default(),
        };
        leader.with(|authority, cx| authority.set_leader(cx, true));
        leader.with(|authority, cx| authority.sync(cx, view, |_| false));
        leader
    }

    fn with(&mut self, call: impl FnOnce(&mut QuorumAuthority, &mut Cx<'_>)) {
        self.effects.clear();
        let mut cx = Cx {
            now: self.now,
            me: &self.me,
            part: CONTROL_PART,
            settings: &self.settings,
            rng: &mut self.rng,
            effects: &mut self.effects,
            raised_events: &mut VecDeque::new(),
        };
        call(&mut self.authority, &mut cx);
    }
}

/// Returns the view of a control host that knows a fleet.
fn view(hosts: usize) -> View {
    let (now, me, settings) = (Instant::now(), host_info(0, true), settings());
    let mut spread = Spread::new(me.clone(), Vec::new(), now);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut cx = Cx {
        now,
        me: &me,
        part: CONTROL_PART,
        settings: &settings,
        rng: &mut rng,
        effects: &mut Vec::new(),
        raised_events: &mut VecDeque::new(),
    };
    spread.on_msg(&mut cx, sender(), heartbeat());
    for facts in facts(hosts).chunks(256) {
        spread.on_msg(&mut cx, sender(), msg(facts.to_vec()));
    }
    let view = spread.view(now);
    assert!(view.hosts.len() >= hosts, "hosts are missing in the view");
    view
}

fn events(c: &mut Criterion) {
    for hosts in SIZES {
        let mut group = c.benchmark_group("authority");
        group.sample_size(20);
        group.warm_up_time(Duration::from_millis(300));
        group.measurement_time(Duration::from_secs(1));
        let id = |name| BenchmarkId::new(name, hosts);
        let mut host = ControlHost::new(hosts);
        let mut changed = announcement(0);
        // The whole control part: it merges the fact, copies the view and hands it on.
        group.bench_function(id("upstream-drains"), |b| {
            b.iter(|| {
                changed.sequence += 1;
                changed.draining = !changed.draining;
                host.hear(msg(vec![Fact::Upstream {
                    announcement: changed.clone(),
                    live: true,
                }]));
            });
        });
        let mut restarted = host_info(hosts - 1, false);
        group.bench_function(id("host-restarts"), |b| {
            b.iter(|| {
                restarted.incarnation += 1;
                host.hear(msg(vec![Fact::Host {
                    info: restarted.clone(),
                    sequence: 1,
                    alive: true,
                    heard_data_centres: Vec::new(),
                }]));
            });
        });
        let view = view(hosts);
        let mut leader = Leader::new(&view);
        group.bench_function(id("sync"), |b| {
            b.iter(|| leader.with(|authority, cx| authority.sync(cx, &view, |_| false)));
        });
        group.bench_function(id("tick"), |b| {
            b.iter(|| leader.with(|authority, cx| authority.on_tick(cx)));
        });
        group.bench_function(id("wake-at"), |b| b.iter(|| leader.authority.wake_at()));
        group.finish();
    }
}

criterion_group!(benches, events);
criterion_main!(benches);
