//! Puts the load of several workspaces on one upstream, with a made-up clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use decide::conn::{ConnEvent, RunOutcome};
use decide::queue::Discipline;
use decide::relay::{RelayMsg, RunRequest};
use decide::{Effect, Msg};
use model::{ConnId, Kind, PartAddr, Position, Request, TxStatus, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::owner_harness::World;

/// How long the load lasts.
const LENGTH: Duration = Duration::from_secs(20);
/// How long a caller waits.
const TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection takes to open.
const OPENING: Duration = Duration::from_millis(10);

/// A load of reads, of which the first workspace may send more or heavier ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) workspaces: usize,
    pub(crate) rate: f64,
    pub(crate) service_ms: f64,
    pub(crate) loud_factor: f64,
    pub(crate) loud_service_ms: f64,
}

/// What came of a load.
#[derive(Debug, Default)]
pub(crate) struct Served {
    /// How many requests of each workspace ran.
    pub(crate) completed: Vec<u64>,
    /// How many were refused.
    pub(crate) refused: u64,
    /// How many were refused only after they had waited.
    pub(crate) expired: u64,
}

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival(usize),
    Opened(ConnId),
    Done(ConnId),
}

/// Runs a load against one upstream of 3 slots.
pub(crate) fn simulate<Q: Discipline>(load: &Load, seed: u64) -> Served {
    let mut arrivals: Vec<SmallRng> = (0..load.workspaces as u64)
        .map(|workspace| SmallRng::seed_from_u64(seed * 1000 + workspace))
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::<Q>::new();
    world.play("upstream u1\nprobe u1 slots=3 conns=20\nopened c1\nopened c2\nopened c3");
    let start = world.now();
    let mut due = BinaryHeap::new();
    for workspace in 0..load.workspaces {
        due.push(Reverse((Duration::ZERO, Due::Arrival(workspace))));
    }
    let mut sent: Vec<(usize, Duration)> = Vec::new();
    let mut served = Served {
        completed: vec![0; load.workspaces],
        ..Served::default()
    };
    while let Some(Reverse((at, what))) = due.pop() {
        if at > LENGTH {
            break;
        }
        let now = world.now().duration_since(start);
        world.advance(at - now);
        match what {
            Due::Arrival(workspace) => {
                let factor = if workspace == 0 {
                    load.loud_factor
                } else {
                    1.0
                };
                let gap = exponential(&mut arrivals[workspace], 1.0 / (load.rate * factor));
                due.push(Reverse((at + gap, Due::Arrival(workspace))));
                let run = request(sent.len() as u64, workspace);
                sent.push((workspace, at));
                world.with(|owners, cx, view| owners.on_run(cx, view, entry(), run));
            }
            Due::Opened(conn) => {
                let event = ConnEvent::Opened { conn };
                world.with(|owners, cx, view| owners.on_conn(cx, view, event));
            }
            Due::Done(conn) => {
                let outcome = RunOutcome {
                    payload: Bytes::new(),
                    tx: TxStatus::Idle,
                    rejected: None,
                    position: None,
                    status_before: None,
                    status_after: None,
                };
                let event = ConnEvent::Done { conn, outcome };
                world.with(|owners, cx, view| owners.on_conn(cx, view, event));
            }
        }
        for effect in world.take_effects() {
            match effect {
                Effect::OpenConn { conn, .. } => {
                    due.push(Reverse((at + OPENING, Due::Opened(conn))));
                }
                Effect::RunOnConn { conn, payload, .. } => {
                    let mean = match payload.first() {
                        Some(0) => load.loud_service_ms,
                        _ => load.service_ms,
                    };
                    let took = exponential(&mut rng, mean / 1000.0);
                    due.push(Reverse((at + took, Due::Done(conn))));
                }
                Effect::Send {
                    msg: Msg::Relay(RelayMsg::Answer { id, answer, .. }),
                    ..
                } => {
                    let (workspace, since) = sent[id as usize];
                    match answer.verdict {
                        Verdict::Ran => served.completed[workspace] += 1,
                        _ => {
                            served.refused += 1;
                            served.expired += u64::from(since < at);
                        }
                    }
                }
                _ => {}
            }
        }
    }
    served
}

/// Returns who sends the requests.
fn entry() -> PartAddr {
    let host = "h1".into();
    PartAddr { host, part: 1 }
}

/// Returns a read of a workspace.
fn request(id: u64, workspace: usize) -> RunRequest {
    RunRequest {
        id,
        session: id,
        upstream: "u1".into(),
        pin: None,
        req: Request {
            access: None,
            label: "-".into(),
            workspace: format!("w{workspace}").into(),
            service: "s".into(),
            kind: Kind::Read,
            transaction: false,
            continues: false,
            rolls_back: false,
            read_only: false,
            priority: 0,
            repeatable: true,
            timeout: TIMEOUT,
            max_age: None,
            floor: Some(Position::default()),
            payload: Bytes::from(vec![u8::from(workspace != 0)]),
        },
    }
}

/// Draws a time from an exponential distribution with a mean in seconds.
fn exponential(rng: &mut SmallRng, mean: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}
