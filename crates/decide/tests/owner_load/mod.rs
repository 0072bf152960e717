//! Simulates the load of several workspaces on one upstream: Poisson arrivals and exponential
//! service times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use decide::conn::{ConnEvent, RunOutcome};
use decide::queue::QueueDiscipline;
use decide::relay::{RelayMsg, RunRequest};
use decide::{Effect, Msg};
use model::{ConnId, Kind, PartAddr, Position, Request, TxStatus, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::owner_harness::OwnerHarness;

/// Simulated duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(20);
/// How long each caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// Simulated time to open a connection.
const CONN_OPEN_TIME: Duration = Duration::from_millis(10);

/// A load of reads, in which the first (loud) workspace may send more or slower ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Number of workspaces.
    pub(crate) workspaces: usize,
    /// Mean arrival rate of each workspace.
    pub(crate) requests_per_s: f64,
    /// Mean service time of a request.
    pub(crate) service_ms: f64,
    /// Multiplies the arrival rate of the loud workspace.
    pub(crate) loud_factor: f64,
    /// Mean service time of the loud workspace's requests.
    pub(crate) loud_service_ms: f64,
}

/// The result of a simulated load.
#[derive(Debug, Default)]
pub(crate) struct LoadResult {
    /// How many requests of each workspace ran to completion.
    pub(crate) completed: Vec<u64>,
    /// How many requests were refused.
    pub(crate) refused: u64,
    /// How many of those were refused only after they had been queued.
    pub(crate) expired: u64,
}

/// A scheduled event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival(usize),
    Opened(ConnId),
    Done(ConnId),
}

/// Simulates a load on one upstream with 3 slots.
pub(crate) fn simulate<Q: QueueDiscipline>(load: &Load, seed: u64) -> LoadResult {
    let mut arrivals: Vec<SmallRng> = (0..load.workspaces as u64)
        .map(|workspace| SmallRng::seed_from_u64(seed * 1000 + workspace))
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut harness = OwnerHarness::<Q>::new();
    harness.run_script("upstream u1\nprobe u1 slots=3 conns=20\nopened c1\nopened c2\nopened c3");
    let start = harness.now();
    let mut schedule = BinaryHeap::new();
    for workspace in 0..load.workspaces {
        schedule.push(Reverse((Duration::ZERO, SimEvent::Arrival(workspace))));
    }
    let mut sent: Vec<(usize, Duration)> = Vec::new();
    let mut result = LoadResult {
        completed: vec![0; load.workspaces],
        ..LoadResult::default()
    };
    while let Some(Reverse((at, sim_event))) = schedule.pop() {
        if at > LOAD_DURATION {
            break;
        }
        let now = harness.now().duration_since(start);
        harness.advance(at - now);
        match sim_event {
            SimEvent::Arrival(workspace) => {
                let factor = if workspace == 0 {
                    load.loud_factor
                } else {
                    1.0
                };
                let gap = exponential(
                    &mut arrivals[workspace],
                    1.0 / (load.requests_per_s * factor),
                );
                schedule.push(Reverse((at + gap, SimEvent::Arrival(workspace))));
                let run = request(sent.len() as u64, workspace);
                sent.push((workspace, at));
                harness.with(|owners, cx, view| owners.on_run(cx, view, sender(), run));
            }
            SimEvent::Opened(conn) => {
                let event = ConnEvent::Opened { conn };
                harness.with(|owners, cx, view| owners.on_conn_event(cx, view, event));
            }
            SimEvent::Done(conn) => {
                let outcome = RunOutcome {
                    payload: Bytes::new(),
                    tx: TxStatus::Idle,
                    rejected: None,
                    failed: false,
                    position: None,
                    status_before: None,
                    status_after: None,
                };
                let event = ConnEvent::Done { conn, outcome };
                harness.with(|owners, cx, view| owners.on_conn_event(cx, view, event));
            }
        }
        for effect in harness.take_effects() {
            match effect {
                Effect::OpenConn { conn, .. } => {
                    schedule.push(Reverse((at + CONN_OPEN_TIME, SimEvent::Opened(conn))));
                }
                Effect::RunOnConn { conn, payload, .. } => {
                    let mean = match payload.first() {
                        Some(0) => load.loud_service_ms,
                        _ => load.service_ms,
                    };
                    let took = exponential(&mut rng, mean / 1000.0);
                    schedule.push(Reverse((at + took, SimEvent::Done(conn))));
                }
                Effect::Send {
                    msg: Msg::Relay(RelayMsg::Answer { id, answer, .. }),
                    ..
                } => {
                    let (workspace, sent_at) = sent[id as usize];
                    match answer.verdict {
                        Verdict::Ran => result.completed[workspace] += 1,
                        _ => {
                            result.refused += 1;
                            result.expired += u64::from(sent_at < at);
                        }
                    }
                }
                _ => {}
            }
        }
    }
    result
}

/// Returns the part that sends all requests.
fn sender() -> PartAddr {
    let host = "h1".into();
    PartAddr { host, part: 1 }
}

/// Returns a read of a workspace; the payload tells whether it is the loud one (0).
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
            in_transaction: false,
            continues_transaction: false,
            rolls_back: false,
            read_only_transaction: false,
            priority: 0,
            repeatable: true,
            may_be_given_up: false,
            timeout: CALLER_TIMEOUT,
            max_age: None,
            floor: Some(Position::default()),
            payload: Bytes::from(vec![u8::from(workspace != 0)]),
        },
    }
}

/// Draws a time from an exponential distribution with the given mean in seconds.
fn exponential(rng: &mut SmallRng, mean: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}
