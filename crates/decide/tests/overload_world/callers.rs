//! Callers: what they send, and when they send it again.

use std::time::Duration;

use bytes::Bytes;
use decide::Event;
use decide::caller::{CallerEvent, Login};
use model::config::ReadRule;
use model::{Answer, Kind, Request, Verdict};
use rand::Rng;

use super::ill::ERROR;
use super::instance::{OPEN_TIME, SLOTS};
use super::{HOSTS, SimEvent, World};

pub(super) const WORKSPACES: usize = 76;
/// How often a caller sends an operation again.
const RETRIES_MAX: u32 = 2;
/// How long a caller waits before it sends an operation again.
const RETRY_WAIT: Duration = Duration::from_millis(20);

/// A type of request: its share of the load, rule, work and how many of it write.
pub(crate) struct RequestType {
    pub(crate) share: f64,
    pub(super) reads: ReadRule,
    pub(crate) work_ms: f64,
    pub(super) writes: f64,
    pub(super) timeout: Duration,
    pub(super) objective: Duration,
}

const STALE: Duration = Duration::from_millis(1500);
const SESSION_STALE: Duration = Duration::from_millis(2500);
/// Move commit, lobby browse and score settle of `docs/HARD-LOAD.md`.
pub(crate) const TYPES: [RequestType; 3] = [
    RequestType {
        share: 0.15,
        reads: ReadRule::Newest,
        work_ms: 3.8,
        writes: 0.2,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(150),
    },
    RequestType {
        share: 0.15,
        reads: ReadRule::Bounded { max_age: STALE },
        work_ms: 19.0,
        writes: 0.0,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(400),
    },
    RequestType {
        share: 0.7,
        reads: ReadRule::Session {
            max_age: SESSION_STALE,
        },
        work_ms: 12.0,
        writes: 0.12,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(250),
    },
];

/// A caller's operation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Op {
    pub(super) kind: Kind,
    pub(super) request_type: usize,
    pub(super) workspace: usize,
    pub(super) work: Duration,
    pub(super) started: Duration,
    pub(super) attempts: u32,
    /// When its latest attempt was sent.
    pub(super) sent: Duration,
}

/// Returns how many requests a second one instance can run if each needs a new connection.
pub(crate) fn primary_capacity() -> f64 {
    let work_ms: f64 = TYPES.iter().map(|kind| kind.share * kind.work_ms).sum();
    f64::from(SLOTS) / (OPEN_TIME.as_secs_f64() + work_ms / 1000.0)
}

/// Returns the share of the requests that replicas may run.
pub(crate) fn replica_share() -> f64 {
    let bounded = TYPES.iter().filter(|kind| kind.reads != ReadRule::Newest);
    bounded.map(|kind| kind.share * (1.0 - kind.writes)).sum()
}

impl World {
    pub(super) fn on_arrival(&mut self) {
        if self.now >= self.day.length {
            return;
        }
        let burst = self.day.burst.contains(&self.now);
        let factor = if burst { self.day.burst_factor } else { 1.0 };
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = -uniform.ln() / (self.day.requests_per_s * factor);
        self.at(self.now + Duration::from_secs_f64(gap), SimEvent::Arrival);
        let drawn: f64 = self.rng.random();
        let request_type = match drawn {
            drawn if drawn < TYPES[0].share => 0,
            drawn if drawn < TYPES[0].share + TYPES[1].share => 1,
            _ => 2,
        };
        let RequestType {
            writes, work_ms, ..
        } = TYPES[request_type];
        let kind = if self.rng.random_bool(writes) {
            Kind::Write
        } else {
            Kind::Read
        };
        let work = Duration::from_secs_f64(work_ms * self.rng.random_range(0.5..1.5) / 1000.0);
        let workspace = self.rng.random_range(0..WORKSPACES);
        self.second().offered += 1;
        self.send(Op {
            kind,
            request_type,
            workspace,
            work,
            started: self.now,
            attempts: 0,
            sent: self.now,
        });
    }

    /// Sends an operation on an idle session of its workspace, at any entry host.
    pub(super) fn send(&mut self, mut op: Op) {
        op.attempts += 1;
        op.sent = self.now;
        let idle = self
            .idle
            .entry((op.workspace, op.request_type))
            .or_default();
        let (host, session) = match idle.len() {
            0 => {
                self.sessions += 1;
                let (host, session) = (self.rng.random_range(0..HOSTS), self.sessions);
                let login = Login {
                    workspace: None,
                    service: "".into(),
                    route: Some(format!("r{}", op.request_type).into()),
                    password: format!("k{}", op.workspace).into(),
                    floor: None,
                };
                self.handle(host, Event::Caller(CallerEvent::Login { session, login }));
                (host, session)
            }
            count => idle.swap_remove(self.rng.random_range(0..count)),
        };
        self.waiting.insert((host, session), op);
        let micros = op.work.as_micros() as u64;
        let mut payload = micros.to_be_bytes().to_vec();
        payload.push(u8::from(op.kind == Kind::Write));
        let req = Request {
            access: None,
            label: "-".into(),
            workspace: "".into(),
            service: "".into(),
            kind: op.kind,
            in_transaction: false,
            continues_transaction: false,
            rolls_back: false,
            read_only_transaction: false,
            priority: 0,
            repeatable: op.kind == Kind::Read,
            may_be_given_up: false,
            timeout: Duration::MAX,
            max_age: None,
            floor: None,
            payload: Bytes::from(payload),
        };
        let id = self.scheduled;
        self.handle(
            host,
            Event::Caller(CallerEvent::Request { session, id, req }),
        );
    }

    pub(super) fn on_answer(&mut self, host: usize, session: u64, answer: &Answer) {
        let Some(op) = self.waiting.remove(&(host, session)) else {
            return;
        };
        let key = (op.workspace, op.request_type);
        self.idle.entry(key).or_default().push((host, session));
        let deadline = op.started + TYPES[op.request_type].timeout;
        let in_time = self.now <= deadline;
        let second = &mut self.seconds[op.started.as_secs() as usize];
        let is_read = op.kind == Kind::Read;
        let is_error = answer.payload[..] == *ERROR;
        let ran = answer.verdict == Verdict::Ran && !is_error;
        second.errors += u32::from(is_error);
        second.rejected += u32::from(matches!(answer.verdict, Verdict::NotRun(_)));
        second.served += u32::from(ran && in_time);
        let RequestType { objective, .. } = TYPES[op.request_type];
        let is_prompt = self.now - op.started <= objective;
        second.prompt += u32::from(ran && is_prompt);
        let is_late = self.now - op.sent > objective / 4;
        second.late_refusals += u32::from(matches!(answer.verdict, Verdict::NotRun(_)) && is_late);
        second.unclear_reads += u32::from(answer.verdict == Verdict::MayHaveRun && is_read);
        let may_retry = match answer.verdict {
            // An error promises that nothing was kept.
            Verdict::Ran => is_error,
            Verdict::NotRun(_) => true,
            Verdict::MayHaveRun => is_read,
        };
        if may_retry && in_time && op.attempts <= RETRIES_MAX {
            self.at(self.now + RETRY_WAIT, SimEvent::Send(op));
        }
    }
}
