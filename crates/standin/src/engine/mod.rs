//! The reducer of an instance: takes events, returns effects, and does no I/O itself.
//!
//! The caller passes the current time, so that tests control the clock.
//!
//! - `event`: events, effects, replies and timers.
//! - `session`: logins, transactions, and the slots that statements wait for.
//! - `exec`: runs statements on the tables.
//! - `log`: the replication log and the tables that result from it.
//! - `replica`: pulls the log from the primary and applies it after a lag.
//! - `term`: promises, promotion, and following another primary.
//! - `claims`: leases of slots and connections to hosts.
//! - `calls`: answers to the `caraway.*` functions, some of which wait.
//! - `timers`: the timers that are set, by due time.
//! - `fault`: faults that tests inject.
//! - `activity`: logins and statement counts for tests.
//! - `log_event`: log lines as data.

pub mod activity;
mod calls;
pub mod claims;
pub mod event;
mod exec;
pub mod fault;
pub mod log;
pub mod log_event;
mod replica;
mod session;
mod term;
mod timers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::{Announcement, HashMap, Role};

use self::activity::{Activity, Report};
use self::calls::WaitingCalls;
use self::claims::{Claims, Share};
use self::event::{ConnId, Effect, Event, Reply, Timer};
use self::fault::{ActiveFaults, FaultCommand};
use self::log::Log;
use self::replica::Replica;
use self::session::{Session, Slots};
use self::term::Terms;
use self::timers::Timers;
use crate::config::{InstanceConfig, RestartState};
use crate::sql::TableId;

/// The whole state of an instance, changed only by [`Engine::reduce`].
#[derive(Debug)]
pub struct Engine {
    cfg: Arc<InstanceConfig>,
    /// The address that is announced.
    addr: SocketAddr,
    /// The sequence of the last announcement.
    announce_sequence: u64,
    /// Whether announcements say that the instance is leaving.
    leaving: bool,
    log: Log,
    terms: Terms,
    claims: Claims,
    sessions: HashMap<ConnId, Session>,
    slots: Slots,
    waiting_calls: WaitingCalls,
    replica: Replica,
    timers: Timers,
    faults: ActiveFaults,
    activity: Activity,
}

impl Engine {
    /// Creates an instance and appends the effects of its start to `out`.
    ///
    /// `addr` is the address that it announces; `sequence` must be higher than in
    /// any announcement of an earlier run.
    pub fn start(
        cfg: Arc<InstanceConfig>,
        addr: SocketAddr,
        sequence: u64,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> Self {
        let total = Share {
            slots: cfg.slots,
            connections: cfg.connections,
        };
        let restart = cfg.restart.clone();
        let mut engine = Self {
            addr,
            announce_sequence: sequence,
            leaving: false,
            log: Log::from_entries(restart.iter().flat_map(|r| r.log.clone()).collect()),
            terms: Terms::start(&cfg),
            claims: Claims::new(total),
            sessions: HashMap::default(),
            slots: Slots::default(),
            waiting_calls: WaitingCalls::default(),
            replica: Replica::default(),
            timers: Timers::default(),
            faults: ActiveFaults {
                replication_lag: cfg.lag,
                ..ActiveFaults::default()
            },
            activity: Activity::default(),
            cfg,
        };
        match restart {
            Some(restart) => {
                engine.activity.ledger_insert_runs = restart.ledger_insert_runs;
                engine.claims = restart.claims.unwrap_or(engine.claims);
            }
            None if engine.role() == Role::Primary => engine.start_leading(now, out),
            None => {}
        }
        engine.announce_periodically(now, out);
        engine.start_pull(out);
        engine
    }

    /// Runs the timers that are due, handles one event, and appends the effects to `out`.
    pub fn reduce(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::InjectFault(command) => self.inject_fault(now, command, out),
            Event::AnnounceLeaving => {
                self.leaving = true;
                self.announce(out);
            }
            event if self.faults.frozen => self.faults.events_while_frozen.push_back(event),
            event => {
                self.run_timers(now, out);
                self.handle(now, event, out);
            }
        }
    }

    /// Returns when the next `Event::Tick` is due; `None` if no timer is set or while
    /// the instance is frozen.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.faults.frozen {
            true => None,
            false => self.timers.first(),
        }
    }

    /// Returns the role in the promised term: primary only if the instance leads it.
    pub fn role(&self) -> Role {
        match self.terms.led_term == Some(self.terms.promised) {
            true => Role::Primary,
            false => Role::Replica,
        }
    }

    /// Returns a copy of the state that outlives a restart.
    pub fn restart_state(&self) -> RestartState {
        RestartState {
            promised: self.terms.promised,
            candidate: self.terms.candidate.clone(),
            led_term: self.terms.led_term,
            followed_primary: self.terms.followed_primary.clone(),
            log: self.log.entries().to_vec(),
            claims: Some(self.claims.clone()),
            ledger_insert_runs: self.activity.ledger_insert_runs.clone(),
        }
    }

    /// Returns a copy of the state for tests.
    pub fn report(&self) -> Report {
        Report {
            role: self.role(),
            term: self.terms.promised,
            position: self.log.position(),
            primaries: self.log.primaries().to_vec(),
            ledger: self.log.rows(TableId::Ledger).values().cloned().collect(),
            kv: self.log.rows(TableId::Kv).values().cloned().collect(),
            ledger_insert_runs: self.activity.ledger_insert_runs.clone(),
            reads: self.activity.reads,
            writes: self.activity.writes,
            logins: self.activity.logins.clone(),
            connections: self.connections(),
            running: self.slots.running,
            queued: self.slots.queue.len(),
        }
    }

    fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Login(conn, login) => self.on_login(now, conn, login, out),
            Event::RunStmt(conn, stmt) => self.run_stmt(now, conn, stmt, out),
            Event::ConnClosed(conn) => self.on_conn_closed(conn),
            Event::PullEnded(pull, batch) => self.on_pull_ended(now, pull, batch, out),
            Event::InjectFault(_) | Event::AnnounceLeaving | Event::Tick => {}
        }
    }

    fn run_timers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::LoginAccepted(conn) => self.reply(now, conn, Reply::LoginAccepted, out),
                Timer::FinishStmt(pending) => self.finish_stmt(now, pending, out),
                Timer::WaitTimedOut(call) => self.on_wait_timeout(now, call, out),
                Timer::Reply(conn, reply) => out.push(Effect::Reply(conn, reply)),
                Timer::ApplyPending => self.apply_pending(now, out),
                Timer::RetryPull(pull) => self.retry_pull(pull, out),
                Timer::Announce => self.announce_periodically(now, out),
            }
        }
    }

    fn inject_fault(&mut self, now: Instant, command: FaultCommand, out: &mut Vec<Effect>) {
        match command {
            FaultCommand::SetLag(lag) => {
                self.faults.replication_lag = lag;
                self.apply_pending(now, out);
            }
            FaultCommand::SetFrozen(frozen) => {
                self.faults.frozen = frozen;
                while !self.faults.frozen
                    && let Some(event) = self.faults.events_while_frozen.pop_front()
                {
                    self.run_timers(now, out);
                    self.handle(now, event, out);
                }
            }
            FaultCommand::SilenceOpenConns => {
                self.sessions.values_mut().for_each(|s| s.silent = true)
            }
            FaultCommand::CloseOpenConns => {
                out.extend(self.sessions.keys().copied().map(Effect::CloseConn))
            }
            FaultCommand::RefuseNewConns(refuse) => out.push(Effect::SetListening(!refuse)),
            FaultCommand::SetReplyDelay(delay) => self.faults.reply_delay = delay,
        }
    }

    fn reply(&mut self, now: Instant, conn: ConnId, reply: Reply, out: &mut Vec<Effect>) {
        if self.sessions.get(&conn).is_some_and(|s| s.silent) {
            return;
        }
        match self.faults.reply_delay.is_zero() {
            true => out.push(Effect::Reply(conn, reply)),
            false => self
                .timers
                .push(now + self.faults.reply_delay, Timer::Reply(conn, reply)),
        }
    }

    fn announce_periodically(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.announce(out);
        self.timers
            .push(now + self.cfg.announce_every, Timer::Announce);
    }

    fn announce(&mut self, out: &mut Vec<Effect>) {
        self.announce_sequence += 1;
        out.push(Effect::Announce(Announcement {
            upstream: self.cfg.upstream.clone(),
            service: self.cfg.service.clone(),
            addr: self.addr,
            data_centre: self.cfg.data_centre.clone(),
            group_size: self.cfg.group_size,
            slots: self.cfg.slots,
            connections: self.cfg.connections,
            sequence: self.announce_sequence,
            incarnation: 0,
            role: None,
            warming: false,
            draining: false,
            leaving: self.leaving,
        }));
    }
}
