//! Schedules of events, drawn by seed and shortened while they still fail.

use std::time::Duration;

use model::{Role, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Due, Fate, World};

/// Something that happens to the service, its hosts or the platform.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Op {
    /// The primary no longer reaches the leader; all others reach it.
    CutPrimaryFromLeader,
    CrashPrimary,
    /// The n-th instance, which may lead.
    CutFromLeader(usize),
    CutFromPrimary(usize),
    Crash(usize),
    Restart(usize),
    /// It drains, and ends with its log after this time.
    Leave(usize, Duration),
    /// A new replica; its announcements reach the leader after a time, or never.
    Join(Option<Duration>),
    Orders(Fate),
    Queries(Fate),
    LeaderChange,
    HostRestart(u8),
    /// The leader doesn't reach the host, which serves callers and reaches all instances.
    CutHostFromLeader(u8),
    /// Ends all cuts and starts what has crashed.
    HealAll,
}

impl Op {
    pub(crate) fn draw(rng: &mut SmallRng) -> Self {
        let nth = rng.random_range(0..4);
        let late = Duration::from_millis(rng.random_range(200..12_000));
        let soon = Duration::from_millis(rng.random_range(0..3000));
        let fate = match rng.random_range(0..4) {
            0 => Fate::Answered,
            1 => Fate::Lost,
            _ => Fate::Late(late),
        };
        match rng.random_range(0..20) {
            0..=2 => Self::CutPrimaryFromLeader,
            3 => Self::CrashPrimary,
            4 => Self::CutFromLeader(nth),
            5 => Self::CutFromPrimary(nth),
            6 => Self::Crash(nth),
            7 | 8 => Self::Restart(nth),
            9 | 10 => Self::Leave(nth, soon),
            11..=13 => Self::Join(rng.random_bool(0.8).then_some(soon)),
            14 | 15 => Self::Orders(fate),
            16 => Self::Queries(fate),
            17 => Self::LeaderChange,
            18 => Self::HostRestart(rng.random_range(1..=2)),
            _ => Self::HealAll,
        }
    }

    pub(crate) fn apply(&self, world: &mut World) {
        let leading = world.leading();
        match self {
            Self::CutPrimaryFromLeader => {
                change(world, leading, |instance| instance.cut_from_leader = true);
            }
            Self::CrashPrimary => change(world, leading, |instance| instance.running = false),
            Self::CutFromLeader(n) => {
                change(world, nth(world, *n), |instance| {
                    instance.cut_from_leader = true
                });
            }
            Self::CutFromPrimary(n) => {
                change(world, nth(world, *n), |instance| {
                    instance.cut_from_primary = true
                });
            }
            Self::Crash(n) => change(world, nth(world, *n), |instance| instance.running = false),
            Self::Restart(n) => change(world, nth(world, *n), |instance| instance.restart()),
            Self::Leave(n, after) => {
                let leaver = nth(world, *n).filter(|id| Some(id) != leading.as_ref());
                if let Some(id) = leaver {
                    change(world, Some(id.clone()), |instance| instance.draining = true);
                    world.at(world.now + *after, Due::End(id));
                }
            }
            Self::Join(known_after) => {
                let name = format!("new-{}", world.instances.len());
                world.add_instance(&name, Role::Replica, *known_after);
            }
            Self::Orders(fate) => world.orders_fate = *fate,
            Self::Queries(fate) => world.queries_fate = *fate,
            Self::LeaderChange => world.change_leader(),
            Self::HostRestart(host) => world.restart_host(*host),
            Self::CutHostFromLeader(number) => {
                let host = world.hosts.get_mut(number);
                host.expect("there are two hosts").cut_from_leader = true;
            }
            Self::HealAll => {
                for host in world.hosts.values_mut() {
                    host.cut_from_leader = false;
                }
                (world.orders_fate, world.queries_fate) = (Fate::Answered, Fate::Answered);
                for instance in world.instances.values_mut() {
                    instance.cut_from_leader = false;
                    instance.cut_from_primary = false;
                    if !instance.running {
                        instance.restart();
                    }
                }
            }
        }
    }
}

fn nth(world: &World, n: usize) -> Option<UpstreamId> {
    world.instances.keys().nth(n).cloned()
}

fn change(
    world: &mut World,
    id: Option<UpstreamId>,
    change: impl FnOnce(&mut super::fleet::Instance),
) {
    if let Some(instance) = id.and_then(|id| world.instances.get_mut(&id)) {
        change(instance);
    }
}

/// A schedule: operations, each with the time since the one before.
pub(crate) type Schedule = Vec<(Duration, Op)>;

pub(crate) fn draw(seed: u64) -> Schedule {
    let mut rng = SmallRng::seed_from_u64(seed);
    let length = rng.random_range(2..9);
    let ops = (0..length).map(|_| {
        let delay = rng.random_range(0..2000);
        (Duration::from_millis(delay), Op::draw(&mut rng))
    });
    ops.collect()
}

/// Returns the commit that a schedule loses, if it loses one.
pub(crate) fn lost_commit(seed: u64, schedule: &[(Duration, Op)]) -> Option<String> {
    let mut world = World::new(seed);
    world.play(schedule);
    world.lost
}

/// Removes operations as long as the schedule still loses a commit.
pub(crate) fn shorten(seed: u64, mut schedule: Schedule) -> Schedule {
    let mut n = 0;
    while n < schedule.len() {
        let mut shorter = schedule.clone();
        let (delay, _) = shorter.remove(n);
        if let Some((next, _)) = shorter.get_mut(n) {
            *next += delay;
        }
        if lost_commit(seed, &shorter).is_some() {
            schedule = shorter;
            n = 0;
        } else {
            n += 1;
        }
    }
    schedule
}
