//! Feeds random events to owners and checks invariants after each.

mod check;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use decide::conn::{ConnEvent, LossReason, RunOutcome, UpstreamRejection};
use decide::event::ProbeResult;
use decide::queue::Drr;
use decide::relay::RunRequest;
use model::{
    Claim, ConnId, InstanceStatus, Kind, PartAddr, Position, Request, Role, SessionId, TxStatus,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use room::RoomSettings;

use crate::owner_harness::OwnerHarness;

/// A connection, as the upstream sees it.
#[derive(Debug, Default)]
struct ConnState {
    open: bool,
    /// The id of the request that runs on it.
    runs: Option<u64>,
    /// The sender and session of the transaction that is open on it.
    transaction: Option<(PartAddr, SessionId)>,
    /// Whether that transaction may have written.
    wrote: bool,
}

/// A request, as its sender sees it.
#[derive(Debug)]
struct SentRequest {
    from: PartAddr,
    run: RunRequest,
    /// How often a connection sent it to the upstream.
    times_sent: u32,
    /// Whether it ran to its end or may have.
    may_have_run: bool,
    replies: u32,
    /// Whether it was cancelled or its sender is gone, so that a reply may be missing.
    no_reply_expected: bool,
    /// Whether its answer may be sent only after confirmation.
    awaits_confirmation: bool,
}

/// A run of random events against one upstream.
pub(crate) struct Chaos {
    harness: OwnerHarness<Drr>,
    rng: SmallRng,
    conns: BTreeMap<ConnId, ConnState>,
    requests: Vec<SentRequest>,
    /// The requests that wait for confirmation, by ticket.
    tickets: BTreeMap<u64, u64>,
    /// The request whose outcome is being handled.
    finishing_request: Option<u64>,
    /// The owner's slots and connections, and when the claim ends.
    claim: (u32, u32, Instant),
    leaving: bool,
    /// How often each kind of effect occurred.
    pub(crate) counts: BTreeMap<&'static str, u64>,
}

impl Chaos {
    /// Returns a run that has not started; `busy` lets the upstream answer busy too, and turns on
    /// what owners do about that.
    pub(crate) fn new(seed: u64, busy: bool) -> Self {
        let mut harness = OwnerHarness::new();
        harness.settings.room = RoomSettings {
            limit_concurrency: busy,
            rank_requests: busy,
            ..RoomSettings::default()
        };
        harness.run_script("upstream u1\nset pause=2s leave=5s idle=3s");
        let claim = (0, 0, harness.now());
        Self {
            harness,
            rng: SmallRng::seed_from_u64(seed),
            conns: BTreeMap::new(),
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            finishing_request: None,
            claim,
            leaving: false,
            counts: BTreeMap::new(),
        }
    }

    /// Runs random events, then leaves, and checks that each request got exactly one reply.
    pub(crate) fn run(&mut self, steps: u32) {
        self.probe();
        for _ in 0..steps {
            self.random_step();
        }
        self.leaving = true;
        self.harness.with(|owners, cx, _| owners.start_leaving(cx));
        self.check_effects();
        while !self.harness.with(|owners, _, _| owners.is_drained()) {
            self.report_all_conns();
            self.advance(Duration::from_millis(500));
        }
        for sent in &self.requests {
            let replied = sent.replies == 1 || sent.no_reply_expected;
            assert!(replied, "no reply to {sent:?}");
        }
    }

    /// Causes an event on every connection.
    fn report_all_conns(&mut self) {
        let conns: Vec<ConnId> = self.conns.keys().copied().collect();
        for conn in conns {
            self.random_conn_event(conn);
        }
    }

    /// Causes one random event.
    fn random_step(&mut self) {
        match self.rng.random_range(0..100) {
            0..35 => self.send_request(),
            35..75 => {
                let index = self.rng.random_range(0..self.conns.len().max(1));
                if let Some(conn) = self.conns.keys().nth(index).copied() {
                    self.random_conn_event(conn);
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
        let end = self.harness.now() + time;
        while self.harness.now() < end {
            self.harness.advance(Duration::from_millis(1));
            self.check_effects();
        }
    }

    /// Returns a random sender.
    fn from(&mut self) -> PartAddr {
        let host = if self.rng.random_bool(0.5) {
            "h1"
        } else {
            "h2"
        };
        let host = host.into();
        PartAddr { host, part: 1 }
    }

    fn send_request(&mut self) {
        let mut from = self.from();
        let mut session = self.rng.random_range(0..6);
        let open = self.conns.iter().find_map(|(conn, state)| {
            let (from, session) = state.transaction.clone()?;
            state.runs.is_none().then_some((*conn, from, session))
        });
        let pin = open.filter(|_| self.rng.random_bool(0.5));
        // In one of ten cases the pin belongs to another session.
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
                in_transaction: pin.is_some() || self.rng.random_bool(0.3),
                continues_transaction: false,
                rolls_back: false,
                read_only_transaction: false,
                priority: 0,
                repeatable: self.rng.random_bool(0.3),
                may_be_given_up: false,
                timeout: Duration::from_millis(self.rng.random_range(10..5000)),
                max_age: None,
                floor: self.rng.random_bool(0.3).then_some(Position::new(1, 150)),
                payload: Bytes::from(id.to_le_bytes().to_vec()),
            },
        };
        self.requests.push(SentRequest {
            from: from.clone(),
            run: run.clone(),
            times_sent: 0,
            may_have_run: false,
            replies: 0,
            no_reply_expected: false,
            awaits_confirmation: false,
        });
        self.harness
            .with(|owners, cx, view| owners.on_run(cx, view, from, run));
        self.check_effects();
    }

    /// Causes an event on a connection: opens it, fails it, or ends its request.
    fn random_conn_event(&mut self, conn: ConnId) {
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
                    reason: self.random_loss(),
                }
            }
            (true, Some(id)) => {
                self.finishing_request = Some(id);
                self.random_outcome(conn, id)
            }
        };
        self.harness
            .with(|owners, cx, view| owners.on_conn_event(cx, view, event));
        self.check_effects();
        self.finishing_request = None;
    }

    fn random_loss(&mut self) -> LossReason {
        let reasons = LossReason::all();
        reasons[self.rng.random_range(0..reasons.len())]
    }

    /// Ends the request on a connection with a random outcome.
    fn random_outcome(&mut self, conn: ConnId, id: u64) -> ConnEvent {
        let sent = &mut self.requests[id as usize];
        if self.rng.random_bool(0.1) {
            let reached = self.rng.random_bool(0.5);
            sent.may_have_run |= reached;
            sent.times_sent += u32::from(reached);
            self.conns.remove(&conn);
            let sent = reached;
            return ConnEvent::Lost {
                conn,
                request_sent: sent,
                reason: self.random_loss(),
            };
        }
        let state = self.conns.get_mut(&conn).unwrap();
        let wrote = sent.run.req.kind == Kind::Write || state.wrote;
        let busy = self.harness.settings.room.limit_concurrency;
        let refused = self.rng.random_bool(if busy { 0.3 } else { 0.05 });
        let stays_open = sent.run.req.in_transaction && self.rng.random_bool(0.7);
        let is_busy = refused && busy && self.rng.random_bool(0.7);
        let tx = match (refused, stays_open) {
            (true, _) if state.transaction.is_some() => match is_busy && stays_open {
                true => TxStatus::Open,
                false => TxStatus::Failed,
            },
            (false, true) => TxStatus::Open,
            _ => TxStatus::Idle,
        };
        if !refused {
            sent.may_have_run = true;
            sent.times_sent += 1;
            let owner = (sent.from.clone(), sent.run.session);
            state.transaction = (tx == TxStatus::Open).then_some(owner);
            state.wrote = tx == TxStatus::Open && wrote;
        }
        let status = self.status();
        // A replica of the same term can't have executed a write.
        let ended = !refused && tx == TxStatus::Idle && status.role == Role::Primary;
        self.requests[id as usize].awaits_confirmation = ended && wrote;
        ConnEvent::Done {
            conn,
            outcome: RunOutcome {
                payload: Bytes::new(),
                tx,
                rejected: refused.then_some(match is_busy {
                    true => UpstreamRejection::Busy,
                    false => UpstreamRejection::NotPrimary,
                }),
                failed: false,
                position: None,
                status_before: Some(status.clone()),
                status_after: Some(status),
            },
        }
    }

    /// Returns a random status of the upstream.
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

    /// Confirms or gives up the oldest write that waits for it.
    fn confirm(&mut self) {
        let Some((ticket, id)) = self.tickets.pop_first() else {
            return;
        };
        let confirmed = self.rng.random_bool(0.8);
        self.requests[id as usize].awaits_confirmation = !confirmed;
        self.harness
            .with(|owners, cx, _| owners.on_commit_outcome(cx, ticket, confirmed));
        self.check_effects();
    }

    /// Cancels one of the newest requests.
    fn cancel(&mut self) {
        let index = self
            .requests
            .len()
            .saturating_sub(self.rng.random_range(1..20));
        if let Some(sent) = self.requests.get_mut(index) {
            sent.no_reply_expected = true;
            let (from, id) = (sent.from.clone(), sent.run.id);
            self.harness
                .with(|owners, cx, _| owners.on_cancel(cx, &from, id));
            self.check_effects();
        }
    }

    /// Lets a random sender release the first connection with an open transaction.
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
                sent.no_reply_expected |= sent.from == from;
            }
            self.harness
                .with(|owners, cx, _| owners.on_unpin(cx, &from, &"u1".into(), conn));
            self.check_effects();
        }
    }

    /// Breaks the link to a random sender, which then expects no replies.
    fn link_down(&mut self) {
        let from = self.from();
        for sent in self.requests.iter_mut().filter(|sent| sent.from == from) {
            sent.no_reply_expected = true;
        }
        self.harness
            .with(|owners, cx, _| owners.on_link_down(cx, &from.host));
        self.check_effects();
    }

    /// Reports a probe of the upstream with a random claim.
    fn probe(&mut self) {
        let now = self.harness.now();
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
        self.harness
            .with(|owners, cx, _| owners.on_probed(cx, probed));
        self.check_effects();
    }
}
