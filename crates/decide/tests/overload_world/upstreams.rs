//! Connections to the instances, and the statements that run on them.

use std::time::Duration;

use bytes::Bytes;
use decide::Event;
use decide::conn::{ConnEvent, LossReason, RunOutcome, UpstreamRejection};
use decide::upstream_query::QueryReply;
use model::{ConnId, InstanceStatus, Position, Role, TxStatus};

use super::ill::{self, ERROR};
use super::instance::{OPEN_TIME, Work};
use super::{CONNECTIONS, SimEvent, World};

/// Replication lag without trouble.
const LAG: Duration = Duration::from_millis(20);
/// How long a refusal may be a copy of an earlier one on the same connection.
const COPY_DELAY_MAX: Duration = Duration::from_secs(10);

/// A connection to an instance.
#[derive(Debug)]
pub(super) struct Conn {
    pub(super) host: usize,
    pub(super) instance: usize,
    /// The number of the run that has no response yet.
    pub(super) run: Option<u64>,
    /// When a write was last answered busy on it, and the primary's log position then.
    pub(super) busy_write: Option<(Duration, u64)>,
}

impl World {
    /// Returns the log position of an instance now.
    pub(super) fn position(&self, instance: usize) -> u64 {
        let at = match instance {
            0 => return self.log.last().unwrap().1,
            _ if self.day.lag.contains(&self.now) => self.day.lag.start,
            _ => self.now,
        };
        let applied = self.log.partition_point(|(time, _)| *time + LAG <= at);
        self.log[applied.saturating_sub(1)].1
    }

    /// Gives an instance work; returns whether it accepts it.
    pub(super) fn give(&mut self, instance: usize, work: Work, time: Duration) -> bool {
        let time = self.slowed(instance, time);
        if self.hold(instance, work, time) {
            return true;
        }
        let refuses = instance == self.day.busy_instance && self.day.busy.contains(&self.now);
        let accepted = match refuses {
            true => Err(()),
            false => self.instances[instance].accept(work, time),
        };
        if accepted == Ok(true) {
            self.at(self.now + time, SimEvent::Finished(instance, work));
        }
        self.second().busy += u32::from(accepted.is_err());
        accepted.is_ok()
    }

    pub(super) fn on_finished(&mut self, instance: usize, work: Work) {
        if let Some(until) = self.silent_until(instance) {
            return self.at(until, SimEvent::Finished(instance, work));
        }
        if let Some((next, time)) = self.instances[instance].finish() {
            self.at(self.now + time, SimEvent::Finished(instance, next));
        }
        match work {
            Work::Open(conn) => {
                if let Some(host) = self.conns.get(&conn).map(|conn| conn.host) {
                    self.deliver(host, Event::Conn(ConnEvent::Opened { conn }));
                }
            }
            Work::Run(conn, run) => {
                let (_, writes) = self.runs.remove(&run).unwrap();
                if writes {
                    let position = self.position(0) + 1;
                    self.log.push((self.now, position));
                }
                if self
                    .conns
                    .get(&conn)
                    .is_some_and(|conn| conn.run == Some(run))
                {
                    let is_error = self.strikes(instance, ill::errors);
                    self.second().faults += u32::from(is_error);
                    let payload = if is_error { ERROR } else { &[] };
                    self.respond(conn, payload, None);
                }
            }
            Work::Status(host, id) => {
                let status = InstanceStatus {
                    role: if instance == 0 {
                        Role::Primary
                    } else {
                        Role::Replica
                    },
                    term: 1,
                    position: Position::new(1, self.position(instance)),
                    lag: Duration::ZERO,
                };
                let reply = QueryReply {
                    status,
                    granted: true,
                    paused_term: 0,
                    claim: None,
                };
                self.deliver(
                    host,
                    Event::QueryAnswered {
                        id,
                        result: Ok(reply),
                    },
                );
            }
        }
    }

    /// Ends the run of a connection with a result or a rejection.
    pub(super) fn respond(
        &mut self,
        conn: ConnId,
        payload: &'static [u8],
        rejected: Option<UpstreamRejection>,
    ) {
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        state.run = None;
        let (host, instance) = (state.host, state.instance);
        let outcome = RunOutcome {
            payload: Bytes::from_static(payload),
            tx: TxStatus::Idle,
            rejected,
            failed: !payload.is_empty(),
            position: Some(Position::new(1, self.position(instance))),
            status_before: None,
            status_after: None,
        };
        self.deliver(host, Event::Conn(ConnEvent::Done { conn, outcome }));
    }

    pub(super) fn lose(&mut self, conn: ConnId, reason: LossReason) {
        if let Some(state) = self.conns.remove(&conn) {
            self.instances[state.instance].conns -= 1;
            let lost = ConnEvent::Lost {
                conn,
                request_sent: true,
                reason,
            };
            self.deliver(state.host, Event::Conn(lost));
        }
    }

    pub(super) fn on_open(&mut self, host: usize, conn: ConnId, instance: usize) {
        let work = Work::Open(conn);
        if self.strikes(instance, ill::resets) {
            return self.fail_open(host, conn);
        }
        let exhausted = self.instances[instance].conns >= CONNECTIONS;
        if exhausted || !self.give(instance, work, OPEN_TIME) {
            let no_connections_left = true;
            let event = ConnEvent::OpenFailed {
                conn,
                no_connections_left,
            };
            return self.deliver(host, Event::Conn(event));
        }
        self.second().opened += 1;
        self.instances[instance].conns += 1;
        let state = Conn {
            host,
            instance,
            run: None,
            busy_write: None,
        };
        self.conns.insert(conn, state);
    }

    /// Runs a statement; a write that is answered busy twice at one position is in doubt, since the
    /// second response may be a copy of the first, and its connection is closed.
    pub(super) fn on_run(
        &mut self,
        conn: ConnId,
        payload: &[u8],
        floor: Option<u64>,
        timeout: Duration,
    ) {
        self.scheduled += 1;
        let run = self.scheduled;
        let Some(state) = self.conns.get_mut(&conn) else {
            return;
        };
        state.run = Some(run);
        let instance = state.instance;
        if floor.is_some_and(|floor| self.position(instance) < floor) {
            return self.respond(conn, &[], Some(UpstreamRejection::Behind));
        }
        let work = Duration::from_micros(u64::from_be_bytes(payload[..8].try_into().unwrap()));
        let writes = payload[8] == 1;
        self.second().reads[instance] += u32::from(!writes);
        if self.strikes(instance, ill::resets) {
            self.second().faults += 1;
            return self.reset(conn);
        }
        let is_busy = self.strikes(instance, ill::busy);
        self.second().busy += u32::from(is_busy);
        if !is_busy && self.give(instance, Work::Run(conn, run), work) {
            self.runs.insert(run, (work, writes));
            return self.at(self.now + timeout, SimEvent::RunTimeout(conn, run));
        }
        self.refuse_as_busy(conn, writes);
    }

    /// Answers the run of a connection busy after it was held.
    pub(super) fn respond_busy(&mut self, conn: ConnId, run: u64) {
        let is_running = |conn: &Conn| conn.run == Some(run);
        if self.conns.get(&conn).is_some_and(is_running) {
            self.refuse_as_busy(conn, false);
        }
    }

    fn refuse_as_busy(&mut self, conn: ConnId, writes: bool) {
        let (now, position) = (self.now, self.position(0));
        let state = self.conns.get_mut(&conn).unwrap();
        let earlier = state.busy_write.filter(|_| writes);
        if earlier.is_some_and(|(at, seen)| seen == position && now - at < COPY_DELAY_MAX) {
            return self.lose(conn, LossReason::OutOfStep);
        }
        state.busy_write = Some((now, position));
        self.respond(conn, &[], Some(UpstreamRejection::Busy));
    }
}
