//! The seeded, open-loop schedule: when requests arrive does not depend on any answer.

use std::time::Duration;

use model::{Kind, ServiceId, WorkspaceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of an arrival within a run, from 0 in order of time.
pub type ArrivalId = u64;

/// A workspace's rate limit and the rate at which it sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub workspace: WorkspaceId,
    /// Requests a second that its limit admits.
    pub rate_limit: f64,
    /// Requests that its limit admits at once: the size of its token bucket.
    pub burst: f64,
    /// Mean number of requests a second that it sends.
    pub offered_rate: f64,
}

/// The parameters of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// The number of entry hosts.
    pub host_count: usize,
    /// The share of sessions, from 0 to 1, that start at the first host; the others, or all where
    /// it is `None`, are assigned to hosts in turn.
    pub first_host_share: Option<f64>,
    /// The services, which are assigned to the sessions of a workspace in turn.
    pub services: Vec<ServiceId>,
    /// The workspaces that send requests.
    pub workspaces: Vec<WorkspaceLoad>,
    /// How long requests keep arriving, from the start of the run.
    pub duration: Duration,
    /// Seed of all random choices of the schedule.
    pub seed: u64,
    /// The share of reads among requests, from 0 to 1.
    pub read_share: f64,
    /// The share of reads, from 0 to 1, that set a maximum age (`caraway.max_age`).
    pub max_age_share: f64,
    /// The number of sessions of all workspaces together. Each workspace gets at least one for each
    /// service, so there may be more.
    pub session_count: usize,
    /// The probability, from 0 to 1, that a session reconnects to a randomly chosen host before a
    /// request.
    pub move_chance: f64,
}

/// The workspace, service and first host of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionPlan {
    /// Index into `PlanSettings::workspaces`.
    pub workspace_index: usize,
    /// Index into `PlanSettings::services`.
    pub service_index: usize,
    /// Index of the host to which it connects first.
    pub host_index: usize,
}

/// A session's change to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostMove {
    /// Index of the new host.
    pub host_index: usize,
    /// Whether the session passes its session token (`caraway.session`) to the new host, which
    /// must then serve at least what the session has written.
    pub keep_session_token: bool,
}

/// One scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Number of the arrival.
    pub id: ArrivalId,
    /// When it arrives, from the start of the run. Latency is counted from here.
    pub scheduled_at: Duration,
    /// Index into `PlanSettings::workspaces`.
    pub workspace_index: usize,
    /// Index into `Plan::sessions`.
    pub session_index: usize,
    /// Whether it counts the session's deposits (a read) or adds one (a write).
    pub kind: Kind,
    /// Whether it is a read that sets a maximum age for its data.
    pub sets_max_age: bool,
    /// The host to which its session moves before the request; `None` if it stays.
    pub host_move: Option<HostMove>,
    /// Whether a token bucket with the workspace's rate and burst admits it.
    pub within_rate: bool,
}

/// The schedule of a run; iterates over the arrivals in order of time.
#[derive(Debug)]
pub struct Plan {
    cfg: PlanSettings,
    sessions: Vec<SessionPlan>,
    /// One for each workspace, in the order of `PlanSettings::workspaces`.
    streams: Vec<ArrivalStream>,
    next_id: ArrivalId,
}

/// Generates the arrivals of one workspace.
///
/// It has its own random numbers, so another workspace's rate does not change its arrivals.
/// Times are in seconds from the start of the run.
#[derive(Debug)]
struct ArrivalStream {
    rng: StdRng,
    /// When the next request arrives.
    next_at_s: f64,
    /// Indexes of the workspace's sessions in the plan.
    sessions: Vec<usize>,
    /// Requests that the rate limit admits now, as of `refilled_at_s`.
    tokens: f64,
    /// When `tokens` was last brought up to date.
    refilled_at_s: f64,
}

impl Plan {
    /// Returns the schedule that the settings and their seed determine.
    pub fn new(cfg: PlanSettings) -> Self {
        let sessions = sessions(&cfg);
        let streams = (0..cfg.workspaces.len()).map(|nth| ArrivalStream::new(&cfg, &sessions, nth));
        Self {
            streams: streams.collect(),
            sessions,
            cfg,
            next_id: 0,
        }
    }

    /// Returns the parameters of the schedule.
    pub fn settings(&self) -> &PlanSettings {
        &self.cfg
    }

    /// Returns the sessions, grouped by workspace.
    pub fn sessions(&self) -> &[SessionPlan] {
        &self.sessions
    }
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let soonest = self.streams.iter().enumerate();
        let soonest = soonest.min_by(|(_, a), (_, b)| a.next_at_s.total_cmp(&b.next_at_s));
        let (workspace, _) = soonest?;
        let at_s = self.streams[workspace].next_at_s;
        if at_s >= self.cfg.duration.as_secs_f64() {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        Some(self.streams[workspace].next_arrival(&self.cfg, workspace, id))
    }
}

impl ArrivalStream {
    fn new(cfg: &PlanSettings, sessions: &[SessionPlan], workspace: usize) -> Self {
        let own = sessions.iter().enumerate();
        let own = own.filter(|(_, session)| session.workspace_index == workspace);
        let mut stream = Self {
            rng: StdRng::seed_from_u64(cfg.seed.wrapping_add(1 + workspace as u64)),
            next_at_s: 0.0,
            sessions: own.map(|(nth, _)| nth).collect(),
            tokens: cfg.workspaces[workspace].burst,
            refilled_at_s: 0.0,
        };
        stream.schedule_next(cfg.workspaces[workspace].offered_rate);
        stream
    }

    /// Advances `next_at_s` by an exponentially distributed interval: a Poisson process.
    fn schedule_next(&mut self, offered_rate: f64) {
        let uniform: f64 = self.rng.random();
        self.next_at_s += if offered_rate > 0.0 {
            -(1.0 - uniform).ln() / offered_rate
        } else {
            f64::INFINITY
        };
    }

    /// Returns the next arrival and schedules the one after it.
    fn next_arrival(&mut self, cfg: &PlanSettings, workspace: usize, id: ArrivalId) -> Arrival {
        let load = &cfg.workspaces[workspace];
        let at_s = self.next_at_s;
        let within_rate = self.take_token(load, at_s);
        let session = self.sessions[self.rng.random_range(0..self.sessions.len())];
        let read = self.rng.random_bool(cfg.read_share);
        let sets_max_age = self.rng.random_bool(cfg.max_age_share) && read;
        let moves = self.rng.random_bool(cfg.move_chance);
        let host_move = HostMove {
            host_index: self.rng.random_range(0..cfg.host_count),
            keep_session_token: self.rng.random(),
        };
        self.schedule_next(load.offered_rate);
        Arrival {
            id,
            scheduled_at: Duration::from_secs_f64(at_s),
            workspace_index: workspace,
            session_index: session,
            kind: if read { Kind::Read } else { Kind::Write },
            sets_max_age,
            host_move: moves.then_some(host_move),
            within_rate,
        }
    }

    /// Refills the token bucket up to a time, and returns whether it had a token to take.
    fn take_token(&mut self, load: &WorkspaceLoad, at_s: f64) -> bool {
        let filled = self.tokens + (at_s - self.refilled_at_s) * load.rate_limit;
        self.tokens = filled.min(load.burst);
        self.refilled_at_s = at_s;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

/// Returns the sessions: workspaces get a number in proportion to the rate that they send, and at
/// least one for each service.
fn sessions(cfg: &PlanSettings) -> Vec<SessionPlan> {
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let total: f64 = cfg.workspaces.iter().map(|load| load.offered_rate).sum();
    let mut sessions = Vec::new();
    for (workspace, load) in cfg.workspaces.iter().enumerate() {
        let share = load.offered_rate / total.max(f64::MIN_POSITIVE);
        let count = (share * cfg.session_count as f64).round() as usize;
        for nth in 0..count.max(cfg.services.len()) {
            let at_first_host = cfg
                .first_host_share
                .is_some_and(|share| rng.random_bool(share));
            sessions.push(SessionPlan {
                workspace_index: workspace,
                service_index: nth % cfg.services.len(),
                host_index: if at_first_host {
                    0
                } else {
                    sessions.len() % cfg.host_count
                },
            });
        }
    }
    sessions
}
