//! Compares ways to choose the instance of a read, over the choice alone: no hosts, no network.
//!
//! An instance is four slots with a bounded queue. Reads come from 143 entry hosts, each of which
//! sends few to one service; the information of each way is as old as the case says.

use std::time::{Duration, Instant};

use balance::{BalanceSettings, Forwarder, LoadReport, Sibling};
use model::{HostId, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HOSTS: usize = 143;
const SLOTS: usize = 4;
/// Requests that an instance queues before it answers busy.
const QUEUE: usize = 32;
/// Mean service time of a read on the fastest instance.
const WORK_S: f64 = 0.014;
/// Time that one forwarding takes on the way.
const FORWARD_S: f64 = 0.001;
/// How long an entry host avoids an instance from which its read was forwarded.
const AVOID_S: f64 = 3.0;
const READS: usize = 20_000;

/// The ways to choose; the first is in use where nothing else is set, the last is built.
const WAYS: [&str; 9] = [
    "near-replica",
    "random",
    "two-choices",
    "shares",
    "idle-slots",
    "forward",
    "random+forward",
    "two+forward",
    "avoid+forward",
];

/// One instance: when its slots are free, and the end of each request in it with its owner.
#[derive(Default)]
struct Instance {
    slow: f64,
    free_at: [f64; SLOTS],
    ends: Vec<(f64, usize)>,
    busy_s: f64,
}

impl Instance {
    /// Runs a request after those before it; returns its wait, or `None` if the queue is full.
    fn run(&mut self, now: f64, owner: usize, work: f64) -> Option<f64> {
        self.ends.retain(|(end, _)| *end > now);
        if self.ends.len() >= SLOTS + QUEUE {
            return None;
        }
        let slot = self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b))?;
        let start = slot.max(now);
        *slot = start + work * self.slow;
        self.busy_s += work * self.slow;
        self.ends.push((*slot, owner));
        Some(start - now)
    }

    /// Returns the work of one owner, or of both.
    fn load(&self, now: f64, owner: Option<usize>) -> LoadReport {
        let of = |(end, by): &&(f64, usize)| *end > now && owner.is_none_or(|owner| owner == *by);
        let all = self.ends.iter().filter(of).count() as u32;
        LoadReport {
            running: all.min(SLOTS as u32),
            queued: all.saturating_sub(SLOTS as u32),
            slots: SLOTS as u32,
            work: Duration::from_secs_f64(WORK_S * self.slow * f64::from(all)),
            behind: false,
        }
    }
}

/// What is measured of one way in one case.
#[derive(Debug)]
struct Figures {
    /// Utilisation of the busiest instance to the mean.
    ratio: f64,
    /// The 99th percentile of the wait over all reads; a rejected one counts as an endless wait.
    p99_ms: f64,
    /// The share of reads that found a full queue.
    rejected: f64,
}

/// Runs one way; `slow` are the instances' factors (the first is the primary), `load` is the share
/// of their capacity that is asked for, and `age` is that of reports.
fn run(way: &str, slow: [f64; 3], load: f64, age: f64, seed: u64) -> Figures {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut instances = slow.map(|slow| Instance {
        slow,
        ..Instance::default()
    });
    let capacity: f64 = slow.iter().map(|f| SLOTS as f64 / (WORK_S * f)).sum();
    let names: [UpstreamId; 3] = ["i0".into(), "i1".into(), "i2".into()];
    let hosts: Vec<[HostId; 2]> = (0..3)
        .map(|i| [0, 1].map(|o| format!("h{i}{o}").into()))
        .collect();
    let owners: Vec<[&HostId; 2]> = hosts.iter().map(|[a, b]| [a, b]).collect();
    let cfg = BalanceSettings {
        report_interval: Duration::from_secs_f64(age),
        ..BalanceSettings::default()
    };
    let mut forwarders: [[Forwarder; 2]; 3] = Default::default();
    let start = Instant::now();
    let at = |now: f64| start + Duration::from_secs_f64(now);
    // What each entry host was told with its last answer of each instance, and the advertisement.
    let mut told = vec![[None::<(f64, LoadReport)>; 3]; HOSTS];
    let mut forwarded = vec![[f64::NEG_INFINITY; 3]; HOSTS];
    let mut advertised = [LoadReport::default(); 3];
    let (mut now, mut next_report, mut waits, mut rejected) = (0.0, 0.0, Vec::new(), 0);
    for _ in 0..READS {
        now += -(1.0 - rng.random::<f64>()).ln() / (capacity * load);
        while next_report <= now {
            advertised = [0, 1, 2].map(|i| instances[i].load(next_report, None));
            for (i, o, to, by) in (0..36).map(|n| (n / 12, n / 6 % 2, n / 2 % 3, n % 2)) {
                if (i, o) != (to, by) {
                    let report = instances[i].load(next_report, Some(o));
                    forwarders[to][by].record(at(next_report), &names[i], owners[i][o], report);
                }
            }
            next_report += age;
        }
        let (host, owner) = (rng.random_range(0..HOSTS), rng.random_range(0..2));
        let two = rng.random_range(0..3);
        let two = [two, (two + rng.random_range(1..3)) % 3];
        // A report loses its meaning with its age.
        let known = |i: usize| {
            let (then, report) = told[host][i]?;
            let faded: f64 = (-(now - then)).exp();
            Some(report.expected_wait().as_secs_f64() * faded)
        };
        let near = if host % 3 == 0 {
            rng.random_range(1..3)
        } else {
            host % 3
        };
        let mut to = match way {
            "random" | "random+forward" => two[0],
            "two-choices" | "two+forward" => match (known(two[0]), known(two[1])) {
                (Some(a), Some(b)) if b < a => two[1],
                _ => two[0],
            },
            "shares" => {
                let spare = |i: usize| {
                    let report = told[host][i].map(|(_, report)| report);
                    1.0 + report.map_or(0.0, |r| SLOTS.saturating_sub(r.requests() as usize) as f64)
                };
                let point = rng.random::<f64>() * (spare(0) + spare(1) + spare(2));
                usize::from(point >= spare(0)) + usize::from(point >= spare(0) + spare(1))
            }
            "idle-slots" => {
                let idle = |i: &usize| advertised[*i].requests() < SLOTS as u32;
                let idle: Vec<usize> = (0..3).filter(idle).collect();
                let nth = rng.random_range(0..idle.len().max(1));
                idle.get(nth).copied().unwrap_or(two[0])
            }
            _ => near,
        };
        // An instance whose owner has forwarded a read of this host lately is avoided.
        let avoided = |i: usize| now - forwarded[host][i] < AVOID_S;
        if way == "avoid+forward" && avoided(to) {
            let others: Vec<usize> = (0..3).filter(|i| !avoided(*i)).collect();
            let nth = rng.random_range(0..others.len().max(1));
            to = others.get(nth).copied().unwrap_or(two[0]);
        }
        let mut way_there = 0.0;
        if way.ends_with("forward") {
            let own = instances[to].load(now, Some(owner));
            let siblings: Vec<Sibling<'_>> = (0..3)
                .filter(|i| *i != to)
                .map(|i| Sibling {
                    upstream: &names[i],
                    owners: &owners[i],
                    near: false,
                })
                .collect();
            let choice = forwarders[to][owner].choose(at(now), &cfg, &names[to], own, &siblings);
            if let Some(choice) = choice {
                forwarded[host][to] = now;
                to = (0..3).find(|i| names[*i] == choice.upstream).unwrap_or(to);
                way_there = FORWARD_S;
            }
        }
        let work = -(1.0 - rng.random::<f64>()).ln() * WORK_S;
        match instances[to].run(now, owner, work) {
            Some(wait) => waits.push(wait + way_there),
            None => {
                waits.push(f64::INFINITY);
                rejected += 1;
            }
        }
        told[host][to] = Some((now, instances[to].load(now, None)));
    }
    waits.sort_by(f64::total_cmp);
    let busiest = instances.iter().map(|i| i.busy_s).fold(0.0, f64::max);
    let mean = instances.iter().map(|i| i.busy_s).sum::<f64>() / 3.0;
    Figures {
        ratio: busiest / mean,
        p99_ms: waits[waits.len() * 99 / 100] * 1000.0,
        rejected: f64::from(rejected) / READS as f64,
    }
}

/// Guards against a choice that is worse than the one in use where nothing is set: prints the
/// comparison, and checks that the one built shortens the tail and rejects no more.
#[test]
fn forwarding_evens_the_load_with_information_of_each_age() {
    for slow in [[1.0, 1.0, 1.0], [1.0, 3.0, 9.0], [9.0, 3.0, 1.0]] {
        for load in [0.5, 0.8] {
            for age in [0.005, 0.1, 0.5] {
                let figures = WAYS.map(|way| run(way, slow, load, age, 7));
                println!("slow {slow:?} load {load} age {age} s");
                for (way, f) in WAYS.iter().zip(&figures) {
                    let (ratio, wait, rejected) = (f.ratio, f.p99_ms, f.rejected * 100.0);
                    println!(
                        "  {way:14} ratio {ratio:.2} p99 {wait:7.1} ms rejected {rejected:5.2} %"
                    );
                }
                let (today, built) = (&figures[0], &figures[WAYS.len() - 1]);
                assert!(built.rejected <= today.rejected.min(0.01), "{built:?}");
                assert!(built.p99_ms <= today.p99_ms, "{built:?} {today:?}");
                assert!(built.ratio <= today.ratio, "{built:?} {today:?}");
            }
        }
    }
}
