//! One service of three instances of which one is ill, at about 60 % of the capacity that is left.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod overload_world;

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use decide::Settings;
use decide::owner::CapacitySource;
use overload_world::callers::TYPES;
use overload_world::ill::{Ill, Illness};
use overload_world::instance::SLOTS;
use overload_world::{Day, Second, World};

const SEEDS: [u64; 3] = [1, 2, 3];
/// The part of the capacity of two instances that callers ask for.
const LOAD: f64 = 0.6;

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// The settings of `deploy/templates/entry.toml` that this load depends on, and `balance.eject_faulty`.
fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.session.hedge_after = Some(Duration::from_millis(150));
    settings.session.check_owner_after = Some(Duration::from_millis(100));
    settings.session.hedge.ratio = 0.02;
    settings.session.hedge.burst = 2.0;
    settings.owner.capacity = CapacitySource::Announced;
    settings.owner.transaction_share = 0.8;
    settings.owner.idle_timeout = secs(50);
    settings.grant.max_wait = Duration::from_millis(40);
    settings.room.limit_concurrency = true;
    settings.room.rank_requests = true;
    settings.room.refuse_over_rate = true;
    settings.room.limit_retries = true;
    settings.balance.preferred_owner = true;
    settings.balance.forward_reads = true;
    settings.balance.eject_faulty = true;
    settings
}

fn day(illness: Illness, times: Vec<Range<Duration>>, announces_opposite: bool) -> Day {
    let work_ms: f64 = TYPES.iter().map(|kind| kind.share * kind.work_ms).sum();
    let instance_per_s = f64::from(SLOTS) * 1000.0 / work_ms;
    Day {
        requests_per_s: LOAD * 2.0 * instance_per_s,
        length: secs(14),
        ill: Some(Ill {
            instance: 1,
            illness,
            times,
            announces_opposite,
        }),
        ..Day::default()
    }
}

/// Returns the times of an instance that is ill and well in turn, each for a second.
fn flaps() -> Vec<Range<Duration>> {
    let starts = (4..10).step_by(2);
    starts.map(|start| secs(start)..secs(start + 1)).collect()
}

/// When the instance is ill for the first second, and after that; and when it is well again.
const PARTS: [(&str, Range<usize>); 3] = [("first", 4..5), ("ill", 5..10), ("after", 11..14)];

/// An illness, and when the instance has it.
struct Case {
    name: &'static str,
    illness: Illness,
    times: fn() -> Vec<Range<Duration>>,
    announces_opposite: bool,
}

const fn case(name: &'static str, illness: Illness, times: fn() -> Vec<Range<Duration>>) -> Case {
    Case {
        name,
        illness,
        times,
        announces_opposite: false,
    }
}

const HEALTHY: Case = case("healthy", Illness::Slow(1), once);
const FAILING: [Case; 4] = [
    case("errors 0.3", Illness::Errors(0.3), once),
    case("errors 0.6", Illness::Errors(0.6), once),
    case("errors 0.6, flaps", Illness::Errors(0.6), flaps),
    Case {
        announces_opposite: true,
        ..case("errors 0.6, flaps, opposite", Illness::Errors(0.6), flaps)
    },
];
const OTHERS: [Case; 8] = [
    case("slow 8", Illness::Slow(8), once),
    case("slow 8, flaps", Illness::Slow(8), flaps),
    case("busy 0.3", Illness::Busy(0.3), once),
    case("busy 0.6", Illness::Busy(0.6), once),
    case("resets 0.3", Illness::Resets(0.3), once),
    case("resets 0.6", Illness::Resets(0.6), once),
    case("silent 3 s", Illness::Silent, || vec![secs(4)..secs(7)]),
    case("silent, flaps", Illness::Silent, flaps),
];

fn once() -> Vec<Range<Duration>> {
    vec![secs(4)..secs(10)]
}

/// What callers got in some seconds: fractions of the operations, and of the reads for the ill
/// instance.
struct Got {
    prompt: f64,
    served: f64,
    errors: f64,
    rejected: f64,
    unclear: f64,
    ill_reads: f64,
}

impl fmt::Display for Got {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "prompt {:.3}, served {:.3}, errors {:.3}, rejected {:.3}, unclear {:.3}, at the ill instance {:.3}",
            self.prompt, self.served, self.errors, self.rejected, self.unclear, self.ill_reads
        )
    }
}

fn got(seconds: &[Second]) -> Got {
    let sum = |part: fn(&Second) -> u32| seconds.iter().map(|s| f64::from(part(s))).sum::<f64>();
    let offered = sum(|s| s.offered);
    Got {
        prompt: sum(|s| s.prompt) / offered,
        served: sum(|s| s.served) / offered,
        errors: sum(|s| s.errors) / offered,
        rejected: sum(|s| s.rejected) / offered,
        unclear: sum(|s| s.unclear_reads) / offered,
        ill_reads: sum(|s| s.reads[1]) / sum(|s| s.reads.iter().sum()),
    }
}

fn play(case: &Case, settings: &Settings, seed: u64) -> Vec<Second> {
    let day = day(case.illness, (case.times)(), case.announces_opposite);
    let mut world = World::new(day, settings, seed);
    world.play();
    for (part, range) in PARTS {
        println!(
            "{} seed {seed} {part}: {}",
            case.name,
            got(&world.seconds[range])
        );
    }
    world.seconds
}

/// Guards against errors of one instance that are passed on to callers although others can run
/// their reads, against an instance that gets as many reads as before until its announcements say
/// that it is ill, and against one that gets none any more.
#[test]
fn reads_that_an_instance_fails_run_on_another() {
    for case in &FAILING {
        for seed in SEEDS {
            let seconds = play(case, &settings(), seed);
            let [first, ill, after] = PARTS.map(|(_, range)| got(&seconds[range]));
            for got in [&first, &ill, &after] {
                assert!(got.prompt >= 0.99 && got.errors <= 0.01);
            }
            assert!(ill.ill_reads < 0.15 && ill.ill_reads > 0.0);
            assert!(after.ill_reads >= 0.1);
        }
    }
}

/// Guards against losses of callers by illnesses that other parts deal with: limits by busy
/// responses, the circuit breaker, hedges, and reads that loaded owners forward.
#[test]
fn other_illnesses_cost_callers_little() {
    for case in &OTHERS {
        for seed in SEEDS {
            let seconds = play(case, &settings(), seed);
            let [first, ill, after] = PARTS.map(|(_, range)| got(&seconds[range]));
            assert!(first.prompt >= 0.95 && ill.prompt >= 0.98 && after.prompt >= 0.99);
            assert!(ill.ill_reads > 0.0 && after.ill_reads >= 0.05);
        }
    }
}

/// Guards against reads that a service of healthy instances sends elsewhere, perhaps to another
/// data centre.
#[test]
fn healthy_instances_get_the_same_reads_as_without_the_setting() {
    let mut without = settings();
    without.balance.eject_faulty = false;
    for seed in SEEDS {
        let [with, without] = [settings(), without.clone()].map(|settings| {
            let seconds = play(&HEALTHY, &settings, seed);
            seconds
                .iter()
                .map(|s| (s.prompt, s.reads))
                .collect::<Vec<_>>()
        });
        assert_eq!(with, without);
    }
}
