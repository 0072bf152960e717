//! Does random things to owners and checks what must always hold.

mod check;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use decide::conn::{ConnEvent, RunOutcome};
use decide::event::ProbeResult;
use decide::queue::Drr;
use decide::relay::RunRequest;
use model::{
    Claim, ConnId, InstanceStatus, Kind, PartAddr, Position, Request, Role, SessionId, TxStatus,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::owner_harness::World;

/// A connection as the upstream sees it.
#[derive(Debug, Default)]
struct Conn {
    open: bool,
    runs: Option<u64>,
    /// Whose transaction is open on it.
    transaction: Option<(PartAddr, SessionId)>,
    /// Whether that transaction may have written.
    wrote: bool,
}

/// A request as its sender sees it.
#[derive(Debug)]
struct Sent {
    from: PartAddr,
    run: RunRequest,
    /// How often it was given to a connection that sent it.
    sent: u32,
    /// Whether it ran to its end, or may have.
    may_have_run: bool,
    replies: u32,
    /// Whether nobody expects a reply any more.
    forgotten: bool,
    /// Whether its answer may go out only once it is confirmed.
    unconfirmed: bool,
}

/// A run of random events.
pub(crate) struct Chaos {
    world: World<Drr>,
    rng: SmallRng,
    conns: BTreeMap<ConnId, Conn>,
    requests: Vec<Sent>,
    /// The writes that wait to be confirmed, by ticket.
    tickets: BTreeMap<u64, u64>,
    /// The request whose outcome is being reported.
    reporting: Option<u64>,
    claim: (u32, u32, Instant),
    leaving: bool,
    /// What happened how often.
    pub(crate) counts: BTreeMap<&'static str, u64>,
}

impl Chaos {
    /// Returns a run that has not started.
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = World::new();
        world.play("upstream u1\nset pause=2s leave=5s idle=3s");
        let claim = (0, 0, world.now());
        Self {
            world,
            rng: SmallRng::seed_from_u64(seed),
            conns: BTreeMap::new(),
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            reporting: None,
            claim,
            leaving: false,
            counts: BTreeMap::new(),
        }
    }

    /// Does random things, leaves, and checks that nothing is left over.
    pub(crate) fn run(&mut self, steps: u32) {
        self.probe();
        for _ in 0..steps {
            self.step();
        }
        self.leaving = true;
        self.world.with(|owners, cx, _| owners.leave(cx));
        self.check();
        while !self.world.with(|owners, _, _| owners.drained()) {
            self.finish_all();
            self.advance(Duration::from_millis(500));
        }
        for sent in &self.requests {
            let replied = sent.replies == 1 || sent.forgotten;
            assert!(replied, "no reply to {sent:?}");
        }
    }

    /// Lets every connection report.
    fn finish_all(&mut self) {
        let conns: Vec<ConnId> = self.conns.keys().copied().collect();
        for conn in conns {
            self.report(conn);
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..35 => self.send(),
            35..75 => {
                let index = self.rng.random_range(0..self.conns.len().max(1));
                if let Some(conn) = self.conns.keys().nth(index).copied() {
                    self.report(conn);
                }
            }
            75..85 => self.confirm(),
            85..88 => self.cancel(),
            88..90 => self.unpin(),
            90 => self.link_down(),
            91..95 => self.probe(),
            _ => {
                let time = Duration::from_millis(self.rng.random_range(1..1000));
                self.advance(time);
            }
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn advance(&mut self, time: Duration) {
        let end = self.world.now() + time;
        while self.world.now() < end {
            self.world.advance(Duration::from_millis(1));
            self.check();
        }
    }

    fn from(&mut self) -> PartAddr {
        let host = if self.rng.random_bool(0.5) {
            "h1"
        } else {
            "h2"
        };
        let host = host.into();
        PartAddr { host, part: 1 }
    }

    fn send(&mut self) {
        let mut from = self.from();
        let mut session = self.rng.random_range(0..6);
        let open = self.conns.iter().find_map(|(conn, state)| {
            let (from, session) = state.transaction.clone()?;
            state.runs.is_none().then_some((*conn, from, session))
        });
        let pin = open.filter(|_| self.rng.random_bool(0.5));
        // Now and then the pin is another session's.
        if let Some((_, owner, number)) = &pin
            && self.rng.random_bool(0.9)
        {
            from = owner.clone();
            session = *number;
        }
        let pin = pin.map(|(conn, ..)| conn);
        let write = self.rng.random_bool(0.5);
        let id = self.requests.len() as u64;
        let run = RunRequest {
            id,
            session,
            upstream: "u1".into(),
            pin,
            req: Request {
                access: None,
                label: "-".into(),
                workspace: format!("w{}", self.rng.random_range(0..3)).into(),
                service: "s".into(),
                kind: if write { Kind::Write } else { Kind::Read },
                transaction: pin.is_some() || self.rng.random_bool(0.3),
                continues: false,
                rolls_back: false,
                read_only: false,
                priority: 0,
                repeatable: self.rng.random_bool(0.3),
                timeout: Duration::from_millis(self.rng.random_range(10..5000)),
                max_age: None,
                floor: self.rng.random_bool(0.3).then_some(Position::new(1, 150)),
                payload: Bytes::from(id.to_le_bytes().to_vec()),
            },
        };
        self.requests.push(Sent {
            from: from.clone(),
            run: run.clone(),
            sent: 0,
            may_have_run: false,
            replies: 0,
            forgotten: false,
            unconfirmed: false,
        });
        self.world
            .with(|owners, cx, view| owners.on_run(cx, view, from, run));
        self.check();
    }

    /// Lets a connection open, fail, answer or break.
    fn report(&mut self, conn: ConnId) {
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        let event = match (state.open, state.runs.take()) {
            (false, _) if self.rng.random_bool(0.8) => {
                state.open = true;
                ConnEvent::Opened { conn }
            }
            (false, _) => {
                self.conns.remove(&conn);
                let exhausted = self.rng.random_bool(0.5);
                ConnEvent::OpenFailed {
                    conn,
                    no_connections_left: exhausted,
                }
            }
            (true, None) if self.rng.random_bool(0.95) => return,
            (true, None) => {
                self.conns.remove(&conn);
                ConnEvent::Lost {
                    conn,
                    request_sent: false,
                }
            }
            (true, Some(id)) => {
                self.reporting = Some(id);
                self.outcome(conn, id)
            }
        };
        self.world
            .with(|owners, cx, view| owners.on_conn(cx, view, event));
        self.check();
        self.reporting = None;
    }

    /// Ends a request on a connection.
    fn outcome(&mut self, conn: ConnId, id: u64) -> ConnEvent {
        let sent = &mut self.requests[id as usize];
        if self.rng.random_bool(0.1) {
            let reached = self.rng.random_bool(0.5);
            sent.may_have_run |= reached;
            sent.sent += u32::from(reached);
            self.conns.remove(&conn);
            let sent = reached;
            return ConnEvent::Lost {
                conn,
                request_sent: sent,
            };
        }
        let state = self.conns.get_mut(&conn).unwrap();
        let wrote = sent.run.req.kind == Kind::Write || state.wrote;
        let refused = self.rng.random_bool(0.05);
        let goes_on = sent.run.req.transaction && self.rng.random_bool(0.7);
        let tx = match (refused, goes_on) {
            (true, _) if state.transaction.is_some() => TxStatus::Failed,
            (false, true) => TxStatus::Open,
            _ => TxStatus::Idle,
        };
        if !refused {
            sent.may_have_run = true;
            sent.sent += 1;
            let owner = (sent.from.clone(), sent.run.session);
            state.transaction = (tx == TxStatus::Open).then_some(owner);
            state.wrote = tx == TxStatus::Open && wrote;
        }
        let status = self.status();
        // What a replica of the same term has run can't have written.
        let ended = !refused && tx == TxStatus::Idle && status.role == Role::Primary;
        self.requests[id as usize].unconfirmed = ended && wrote;
        ConnEvent::Done {
            conn,
            outcome: RunOutcome {
                payload: Bytes::new(),
                tx,
                rejected: refused.then_some(decide::conn::UpstreamRejection::NotPrimary),
                position: None,
                status_before: Some(status.clone()),
                status_after: Some(status),
            },
        }
    }

    fn status(&mut self) -> InstanceStatus {
        let primary = self.rng.random_bool(0.9);
        InstanceStatus {
            role: if primary {
                Role::Primary
            } else {
                Role::Replica
            },
            term: 1,
            position: Position::new(1, self.rng.random_range(100..200)),
            lag: Duration::ZERO,
        }
    }

    fn confirm(&mut self) {
        let Some((ticket, id)) = self.tickets.pop_first() else {
            return;
        };
        let confirmed = self.rng.random_bool(0.8);
        self.requests[id as usize].unconfirmed = !confirmed;
        self.world
            .with(|owners, cx, _| owners.on_confirmed(cx, ticket, confirmed));
        self.check();
    }

    fn cancel(&mut self) {
        let index = self
            .requests
            .len()
            .saturating_sub(self.rng.random_range(1..20));
        if let Some(sent) = self.requests.get_mut(index) {
            sent.forgotten = true;
            let (from, id) = (sent.from.clone(), sent.run.id);
            self.world
                .with(|owners, cx, _| owners.on_cancel(cx, &from, id));
            self.check();
        }
    }

    fn unpin(&mut self) {
        let open = self
            .conns
            .iter()
            .find(|(_, conn)| conn.transaction.is_some());
        if let Some((conn, _)) = open {
            let (conn, from) = (*conn, self.from());
            for sent in self
                .requests
                .iter_mut()
                .filter(|sent| sent.run.pin == Some(conn))
            {
                sent.forgotten |= sent.from == from;
            }
            self.world
                .with(|owners, cx, _| owners.on_unpin(cx, &from, &"u1".into(), conn));
            self.check();
        }
    }

    fn link_down(&mut self) {
        let from = self.from();
        for sent in self.requests.iter_mut().filter(|sent| sent.from == from) {
            sent.forgotten = true;
        }
        self.world
            .with(|owners, cx, _| owners.on_link_down(cx, &from.host));
        self.check();
    }

    fn probe(&mut self) {
        let now = self.world.now();
        let (slots, connections) = (self.rng.random_range(0..4), self.rng.random_range(1..8));
        let lease = Duration::from_millis(self.rng.random_range(100..20_000));
        self.claim = (slots, connections, now + lease);
        let host = "me".into();
        let claim = Claim {
            host,
            slots,
            connections,
            lease,
        };
        let probed = ProbeResult {
            upstream: "u1".into(),
            status: Some(self.status()),
            asked_at: now,
            claim: Some((claim, now + lease)),
        };
        self.world
            .with(|owners, cx, _| owners.on_probed(cx, probed));
        self.check();
    }
}
