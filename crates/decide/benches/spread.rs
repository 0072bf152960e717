//! The cost of one event in `Spread`, by number of hosts.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use decide::spread::msg::{ConfigStatus, Heartbeat, StreamPosition};
use decide::spread::{Fact, Spread, SpreadMsg};
use decide::{Cx, Effect, Settings};
use model::{Announcement, CONTROL_PART, HostInfo, PartAddr};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The sizes of the measured fleets: hosts and data centres.
const SIZES: [(usize, usize); 4] = [(16, 4), (300, 5), (1500, 15), (4500, 15)];
/// How many upstreams a fleet has for every ten hosts.
const UPSTREAMS_FOR_TEN_HOSTS: usize = 35;

struct Host {
    now: Instant,
    info: HostInfo,
    spread: Spread,
    settings: Settings,
    rng: SmallRng,
    effects: Vec<Effect>,
}

impl Host {
    /// Returns the last host of a fleet, with facts of all other hosts and all upstreams.
    fn new(hosts: usize, data_centres: usize) -> Self {
        let info = host_info(hosts - 1, data_centres);
        let now = Instant::now();
        let mut host = Self {
            now,
            spread: Spread::new(info.clone(), Vec::new(), now),
            info,
            settings: Settings::default(),
            rng: SmallRng::seed_from_u64(1),
            effects: Vec::new(),
        };
        let heard_data_centres: Vec<_> = (0..data_centres)
            .map(|data_centre| format!("dc{data_centre}").into())
            .collect();
        let hosts = (0..hosts - 1).map(|number| Fact::Host {
            info: host_info(number, data_centres),
            sequence: 1,
            alive: true,
            heard_data_centres: if number < data_centres {
                heard_data_centres.clone()
            } else {
                Vec::new()
            },
        });
        let upstreams = (0..hosts.len() * UPSTREAMS_FOR_TEN_HOSTS / 10).map(|number| {
            let announcement = announcement(number, data_centres);
            Fact::Upstream {
                announcement,
                live: true,
            }
        });
        let facts: Vec<Fact> = hosts.chain(upstreams).collect();
        host.hear(heartbeat(1));
        for facts in facts.chunks(256) {
            host.hear(facts_msg(facts.to_vec()));
        }
        host.with(|spread, cx| spread.on_tick(cx));
        host
    }

    fn with(&mut self, call: impl FnOnce(&mut Spread, &mut Cx<'_>)) {
        self.effects.clear();
        let mut cx = Cx {
            now: self.now,
            me: &self.info,
            part: CONTROL_PART,
            settings: &self.settings,
            rng: &mut self.rng,
            effects: &mut self.effects,
            raised_events: &mut VecDeque::new(),
        };
        call(&mut self.spread, &mut cx);
    }

    fn hear(&mut self, msg: SpreadMsg) {
        let host = "dc0-h0".into();
        let from = PartAddr {
            host,
            part: CONTROL_PART,
        };
        self.with(|spread, cx| spread.on_msg(cx, from, msg));
    }
}

fn host_info(number: usize, data_centres: usize) -> HostInfo {
    let data_centre = number % data_centres;
    HostInfo {
        host: format!("dc{data_centre}-h{}", number / data_centres).into(),
        data_centre: format!("dc{data_centre}").into(),
        peer_addr: (
            [10, data_centre as u8, (number >> 8) as u8, number as u8],
            7000,
        )
            .into(),
        incarnation: 1,
        traffic_parts: 2,
        is_entry_host: true,
        is_control_host: false,
        leaving: false,
    }
}

fn announcement(number: usize, data_centres: usize) -> Announcement {
    let data_centre = number % data_centres;
    Announcement {
        upstream: format!("upstream-{number}").into(),
        service: format!("service-{}", number / 3).into(),
        addr: ([10, 100, (number >> 8) as u8, number as u8], 5432).into(),
        data_centre: format!("dc{data_centre}").into(),
        group_size: 3,
        slots: 3,
        connections: 50,
        sequence: 1,
        incarnation: 0,
        role: None,
        warming: false,
        draining: false,
        leaving: false,
    }
}

fn facts_msg(facts: Vec<Fact>) -> SpreadMsg {
    let position = StreamPosition::default();
    SpreadMsg::Facts { position, facts }
}

fn heartbeat(number: u32) -> SpreadMsg {
    SpreadMsg::Heartbeat(Box::new(Heartbeat {
        incarnation: 1,
        number,
        echo: 0,
        is_answer: false,
        to_parent: true,
        stream_end: StreamPosition::default(),
        digest_summary: 0,
        sync_request: None,
        config: ConfigStatus::default(),
    }))
}

fn events(c: &mut Criterion) {
    for (hosts, data_centres) in SIZES {
        let mut host = Host::new(hosts, data_centres);
        let mut group = c.benchmark_group("spread");
        group.sample_size(20);
        group.warm_up_time(Duration::from_millis(300));
        group.measurement_time(Duration::from_secs(1));
        let id = |name| BenchmarkId::new(name, hosts);
        let mut number = 1;
        group.bench_function(id("beat"), |b| {
            b.iter(|| {
                number += 1;
                host.hear(heartbeat(number));
            });
        });
        let mut renewed = announcement(hosts - 1, data_centres);
        group.bench_function(id("renewal"), |b| {
            b.iter(|| {
                renewed.sequence += 1;
                let msg = SpreadMsg::Announce(Box::new(renewed.clone()));
                host.hear(msg);
            });
        });
        let mut sequence = 1;
        group.bench_function(id("host-down-and-up"), |b| {
            b.iter(|| {
                sequence += 1;
                for alive in [false, true] {
                    sequence += 1;
                    let info = host_info(data_centres - 1, data_centres);
                    let heard_data_centres = Vec::new();
                    let fact = Fact::Host {
                        info,
                        sequence,
                        alive,
                        heard_data_centres,
                    };
                    host.hear(facts_msg(vec![fact]));
                }
            });
        });
        let mut lapsed = announcement(0, data_centres);
        group.bench_function(id("upstream-down-and-up"), |b| {
            b.iter(|| {
                for live in [false, true] {
                    lapsed.sequence += 1;
                    let announcement = lapsed.clone();
                    host.hear(facts_msg(vec![Fact::Upstream { announcement, live }]));
                }
            });
        });
        group.bench_function(id("tick"), |b| {
            b.iter(|| {
                host.now += Duration::from_millis(330);
                number += 1;
                host.hear(heartbeat(number));
                host.with(|spread, cx| spread.on_tick(cx));
            });
        });
        group.bench_function(id("view"), |b| {
            b.iter_batched(
                || (),
                |()| host.spread.view(host.now),
                BatchSize::PerIteration,
            );
        });
        group.finish();
    }
}

criterion_group!(benches, events);
criterion_main!(benches);
