//! The one reducer of an instance: events in, effects out, no I/O and no clock.

pub mod chaos;
pub mod claims;
pub mod event;
mod exec;
pub mod log;
pub mod log_event;
pub mod record;
mod replica;
mod session;
mod status;
mod term;
mod timers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::{Announcement, HashMap, Role};

use self::chaos::{Chaos, Knob};
use self::claims::{Claims, Share};
use self::event::{ConnId, Effect, Event, Reply, Timer};
use self::log::Log;
use self::record::{Record, Report};
use self::replica::Replica;
use self::session::{Session, Slots};
use self::status::Waits;
use self::term::Terms;
use self::timers::Timers;
use crate::config::{InstanceConfig, Restart};
use crate::sql::TableId;

/// The whole state of an instance.
#[derive(Debug)]
pub struct Engine {
    cfg: Arc<InstanceConfig>,
    addr: SocketAddr,
    sequence: u64,
    leaving: bool,
    log: Log,
    terms: Terms,
    claims: Claims,
    sessions: HashMap<ConnId, Session>,
    slots: Slots,
    waits: Waits,
    replica: Replica,
    timers: Timers,
    chaos: Chaos,
    record: Record,
}

impl Engine {
    /// Returns an instance that listens on an address and numbers its
    /// announcements from a sequence, with the effects of its start.
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
            sequence,
            leaving: false,
            log: Log::of(restart.iter().flat_map(|r| r.log.clone()).collect()),
            terms: Terms::start(&cfg),
            claims: Claims::new(total),
            sessions: HashMap::default(),
            slots: Slots::default(),
            waits: Waits::default(),
            replica: Replica::default(),
            timers: Timers::default(),
            chaos: Chaos {
                lag: cfg.lag,
                ..Chaos::default()
            },
            record: Record::default(),
            cfg,
        };
        match restart {
            Some(restart) => {
                engine.record.runs = restart.runs;
                engine.claims = restart.claims.unwrap_or(engine.claims);
            }
            None if engine.role() == Role::Primary => engine.lead(now, out),
            None => {}
        }
        engine.announce_in_turn(now, out);
        engine.pull(out);
        engine
    }

    /// Takes one event and appends what is to be done.
    pub fn reduce(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Turn(knob) => self.turn(now, knob, out),
            Event::Leave => {
                self.leaving = true;
                self.announce(out);
            }
            event if self.chaos.frozen => self.chaos.backlog.push_back(event),
            event => {
                self.run_timers(now, out);
                self.handle(now, event, out);
            }
        }
    }

    /// Returns when the next `Event::Tick` is due.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.chaos.frozen {
            true => None,
            false => self.timers.first(),
        }
    }

    /// Returns the role that the instance plays in its promised term.
    pub fn role(&self) -> Role {
        match self.terms.leads == Some(self.terms.promised) {
            true => Role::Primary,
            false => Role::Replica,
        }
    }

    /// Returns what is left over a restart.
    pub fn restart(&self) -> Restart {
        Restart {
            promised: self.terms.promised,
            candidate: self.terms.candidate.clone(),
            leads: self.terms.leads,
            follows: self.terms.follows.clone(),
            log: self.log.entries().to_vec(),
            claims: Some(self.claims.clone()),
            runs: self.record.runs.clone(),
        }
    }

    /// Returns the state for a test to look at.
    pub fn report(&self) -> Report {
        Report {
            role: self.role(),
            term: self.terms.promised,
            position: self.log.position(),
            primaries: self.log.primaries().to_vec(),
            ledger: self.log.rows(TableId::Ledger).values().cloned().collect(),
            kv: self.log.rows(TableId::Kv).values().cloned().collect(),
            runs: self.record.runs.clone(),
            reads: self.record.reads,
            writes: self.record.writes,
            logins: self.record.logins.clone(),
            connections: self.connections(),
            running: self.slots.running,
            queued: self.slots.queue.len(),
        }
    }

    fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Login(conn, login) => self.login(now, conn, login, out),
            Event::Run(conn, stmt) => self.run(now, conn, stmt, out),
            Event::Closed(conn) => self.closed(conn),
            Event::Pulled(pull, batch) => self.pulled(now, pull, batch, out),
            Event::Turn(_) | Event::Leave | Event::Tick => {}
        }
    }

    fn run_timers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Welcome(conn) => self.reply(now, conn, Reply::Welcome, out),
                Timer::Finish(job) => self.finish(now, job, out),
                Timer::WaitOver(wait) => self.wait_over(now, wait, out),
                Timer::Reply(conn, reply) => out.push(Effect::Reply(conn, reply)),
                Timer::Apply => self.apply_due(now, out),
                Timer::PullAgain(pull) => self.pull_again(pull, out),
                Timer::Announce => self.announce_in_turn(now, out),
            }
        }
    }

    fn turn(&mut self, now: Instant, knob: Knob, out: &mut Vec<Effect>) {
        match knob {
            Knob::Lag(lag) => {
                self.chaos.lag = lag;
                self.apply_due(now, out);
            }
            Knob::Freeze(frozen) => {
                self.chaos.frozen = frozen;
                while !self.chaos.frozen
                    && let Some(event) = self.chaos.backlog.pop_front()
                {
                    self.run_timers(now, out);
                    self.handle(now, event, out);
                }
            }
            Knob::SilenceOpen => self.sessions.values_mut().for_each(|s| s.silent = true),
            Knob::DropOpen => out.extend(self.sessions.keys().copied().map(Effect::Drop)),
            Knob::RefuseNew(refuse) => out.push(Effect::Listen(!refuse)),
            Knob::Delay(delay) => self.chaos.delay = delay,
        }
    }

    fn reply(&mut self, now: Instant, conn: ConnId, reply: Reply, out: &mut Vec<Effect>) {
        if self.sessions.get(&conn).is_some_and(|s| s.silent) {
            return;
        }
        match self.chaos.delay.is_zero() {
            true => out.push(Effect::Reply(conn, reply)),
            false => self
                .timers
                .push(now + self.chaos.delay, Timer::Reply(conn, reply)),
        }
    }

    fn announce_in_turn(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.announce(out);
        self.timers
            .push(now + self.cfg.announce_every, Timer::Announce);
    }

    fn announce(&mut self, out: &mut Vec<Effect>) {
        self.sequence += 1;
        out.push(Effect::Announce(Announcement {
            upstream: self.cfg.upstream.clone(),
            service: self.cfg.service.clone(),
            addr: self.addr,
            data_centre: self.cfg.data_centre.clone(),
            group_size: self.cfg.group_size,
            slots: self.cfg.slots,
            connections: self.cfg.connections,
            sequence: self.sequence,
            incarnation: 0,
            role: None,
            warming: false,
            draining: false,
            leaving: self.leaving,
        }));
    }
}
