//! An instance that is ill at times, whatever its announcements and statuses say.

use std::ops::Range;
use std::time::Duration;

use decide::Event;
use decide::conn::{ConnEvent, LossReason};
use decide::upstream_query::QueryError;
use model::ConnId;
use rand::Rng;

use super::instance::Work;
use super::{SimEvent, World};

/// What is wrong with an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Illness {
    /// Everything takes this many times as long.
    Slow(u32),
    /// It answers this share of the statements with an error.
    Errors(f64),
    /// It answers this share of the statements busy.
    Busy(f64),
    /// It resets this share of the connections when a statement comes, and of those that open.
    Resets(f64),
    /// It sends nothing until it is well again, and then everything.
    Silent,
}

/// An ill instance.
#[derive(Clone, Debug)]
pub(crate) struct Ill {
    pub(crate) instance: usize,
    pub(crate) illness: Illness,
    /// When it is ill.
    pub(crate) times: Vec<Range<Duration>>,
    /// Whether it announces the opposite: that it drains while it is well, and is ready while ill.
    pub(crate) announces_opposite: bool,
}

/// Payload of an answer that is an error of the instance.
pub(super) const ERROR: &[u8] = b"E";

impl World {
    /// Returns the illness that an instance has now, and when it ends.
    pub(super) fn illness(&self, instance: usize) -> Option<(Illness, Duration)> {
        let ill = self
            .day
            .ill
            .as_ref()
            .filter(|ill| ill.instance == instance)?;
        let times = ill.times.iter().find(|times| times.contains(&self.now))?;
        Some((ill.illness, times.end))
    }

    /// Schedules what the ill instance announces, if that is the opposite of its state: that it
    /// drains after each illness, until the next one or for a second.
    pub(super) fn schedule_announcements(&mut self) {
        let ill = self.day.ill.clone().filter(|ill| ill.announces_opposite);
        let Some(ill) = ill else {
            return;
        };
        for times in &ill.times {
            self.at(times.start, SimEvent::Announces { draining: false });
            self.at(times.end, SimEvent::Announces { draining: true });
        }
        if let Some(last) = ill.times.last() {
            let after = last.end + Duration::from_secs(1);
            self.at(after, SimEvent::Announces { draining: false });
        }
    }

    /// Returns the time that work takes at an instance now.
    pub(super) fn slowed(&self, instance: usize, time: Duration) -> Duration {
        match self.illness(instance) {
            Some((Illness::Slow(factor), _)) => time * factor,
            _ => time,
        }
    }

    /// Returns when a silent instance goes on.
    pub(super) fn silent_until(&self, instance: usize) -> Option<Duration> {
        let (illness, until) = self.illness(instance)?;
        (illness == Illness::Silent).then_some(until)
    }

    /// Returns whether an illness that strikes a share of the work strikes now.
    pub(super) fn strikes(&mut self, instance: usize, which: fn(Illness) -> Option<f64>) -> bool {
        let share = self
            .illness(instance)
            .and_then(|(illness, _)| which(illness));
        share.is_some_and(|share| self.rng.random_bool(share))
    }

    /// Ends the run of a connection that a statement has reset.
    pub(super) fn reset(&mut self, conn: ConnId) {
        self.lose(conn, LossReason::Broken);
    }

    /// Fails to open a connection.
    pub(super) fn fail_open(&mut self, host: usize, conn: ConnId) {
        let failed = ConnEvent::OpenFailed {
            conn,
            no_connections_left: false,
        };
        self.deliver(host, Event::Conn(failed));
    }

    /// Takes work again that a silent instance has held.
    pub(super) fn on_held(&mut self, instance: usize, work: Work, time: Duration) {
        if self.give(instance, work, time) {
            return;
        }
        match work {
            Work::Run(conn, run) => {
                self.runs.remove(&run);
                self.respond_busy(conn, run);
            }
            Work::Open(conn) => {
                if let Some(state) = self.conns.remove(&conn) {
                    self.instances[instance].conns -= 1;
                    self.fail_open(state.host, conn);
                }
            }
            Work::Status(host, id) => {
                let result = Err(QueryError::Refused);
                self.deliver(host, Event::QueryAnswered { id, result });
            }
        }
    }

    /// Holds the work of a silent instance, or lets it pass.
    pub(super) fn hold(&mut self, instance: usize, work: Work, time: Duration) -> bool {
        let until = self.silent_until(instance);
        if let Some(until) = until {
            self.at(until, SimEvent::Held(instance, work, time));
        }
        until.is_some()
    }
}

pub(super) fn errors(illness: Illness) -> Option<f64> {
    match illness {
        Illness::Errors(share) => Some(share),
        _ => None,
    }
}

pub(super) fn busy(illness: Illness) -> Option<f64> {
    match illness {
        Illness::Busy(share) => Some(share),
        _ => None,
    }
}

pub(super) fn resets(illness: Illness) -> Option<f64> {
    match illness {
        Illness::Resets(share) => Some(share),
        _ => None,
    }
}
