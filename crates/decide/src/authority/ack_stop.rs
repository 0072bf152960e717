//! Stops the acknowledgements of a primary that can't be demoted while it is replaced.
//!
//! A replica that the leader has never heard of, or one that restarts, may receive from such a
//! primary and so confirm commits. Each acknowledgement passes through an owner of a connection,
//! so once the owners have stopped, the successor is safe if it has the highest position that they
//! have passed on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Incarnation, PartAddr, Position, ServiceId, Term};

use crate::Cx;
use crate::ack_lease::{StopNumber, StopNumbers};
use crate::authority::AuthorityLogEvent;
use crate::authority::ack_parts::{self, PartsChange, TrafficParts};
use crate::authority::failure_detection::FENCE_TIMEOUT;
use crate::authority::service::{FailoverStage, MonitoredService};
use crate::owner::ack_gate::{AckStopMsg, STOP_TIME};

/// How long an attempt waits for parts that don't answer.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// How long writes that were passed on are waited for.
///
/// The position in an answer is that of the log, which may be ahead of what any replica received.
pub(crate) const MISSING_WRITES_WAIT: Duration = Duration::from_secs(20);
/// Interval at which a request without an answer is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a stop that is in force is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Time for replicas to receive what was acknowledged just before the last lease ran out; several
/// times their usual delay.
const REPLICATION_WAIT: Duration = Duration::from_millis(100);

/// A traffic part that has been asked to stop, as far as its acknowledgements go.
#[derive(Debug)]
struct StoppedPart {
    incarnation: Incarnation,
    /// When it was last asked to stop.
    stop_asked_at: Option<Instant>,
    next_request_at: Instant,
}

/// What the parts were asked for last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum AckPhase {
    /// Nothing, or what was asked for has lapsed.
    #[default]
    Passing,
    /// To stop acknowledgements of this term and of earlier ones.
    Stopping { term: Term },
    /// To pass on acknowledgements again.
    Allowing,
}

/// The requests to stop the acknowledgements of a service, and the parts' answers.
///
/// It holds parts only from a request to stop until the stop has ended.
#[derive(Debug, Default)]
pub(crate) struct AckStops {
    parts: BTreeMap<PartAddr, StoppedPart>,
    /// The parts that have not answered the last request, with the time since which they have been
    /// asked in this phase.
    unanswered: BTreeMap<PartAddr, Instant>,
    phase: AckPhase,
    /// When the next request may be due; `None` if none is.
    next_due: Option<Instant>,
    /// Number of the last request to stop, or of its end.
    round: StopNumber,
    /// The attempt that the last request to stop belongs to.
    attempt: u64,
    /// By when no host passes on an acknowledgement that the stop applies to, whether or not the
    /// stop has reached it; `None` if hosts need no lease.
    leases_end_at: Option<Instant>,
    /// Until when hosts that have gone may hold a lease.
    gone_hosts_until: Option<Instant>,
    /// When a host last went or restarted, whose answer doesn't tell what it had passed on before.
    last_host_gone_at: Option<Instant>,
    /// The terms before the primary's are listed as stopped until this time, after a stop: nothing
    /// of them is to be acknowledged any more.
    earlier_terms_stopped_until: Option<Instant>,
    /// Whether an attempt waits for the stop before it fences replicas.
    holds_up_fences: bool,
    /// Whether the outcome of the last request to stop was logged.
    is_logged: bool,
    /// The highest log position that parts have reported to have passed on.
    pub(crate) passed_on: Position,
    /// Since when the best instance has lacked writes that were passed on.
    pub(crate) missing_since: Option<Instant>,
}

impl AckStops {
    /// Follows a change of the hosts during a stop; a part of a host that has restarted must answer
    /// again.
    pub(crate) fn on_parts_changed(
        &mut self,
        table: &TrafficParts,
        change: &PartsChange,
        now: Instant,
    ) {
        if self.phase == AckPhase::Passing {
            return;
        }
        self.gone_hosts_until = table.gone_hosts_until();
        self.last_host_gone_at = table.last_gone_at();
        for (host, traffic_parts) in &change.gone {
            for part in ack_parts::part_addrs(host, *traffic_parts) {
                self.parts.remove(&part);
                self.unanswered.remove(&part);
            }
        }
        for host in &change.come {
            for (part, incarnation) in table.of_host(host) {
                self.add_part(part, incarnation, None, now);
            }
        }
    }

    fn add_part(
        &mut self,
        part: PartAddr,
        incarnation: Incarnation,
        stop_asked_at: Option<Instant>,
        now: Instant,
    ) {
        let new = StoppedPart {
            incarnation,
            stop_asked_at,
            next_request_at: now,
        };
        self.unanswered.insert(part.clone(), now);
        self.parts.insert(part, new);
        self.next_due = Some(now);
    }

    /// Forgets what was asked for, after a change of leader.
    pub(crate) fn reset(&mut self) {
        self.end();
        self.earlier_terms_stopped_until = None;
        self.passed_on = Position::default();
        self.missing_since = None;
    }

    fn start_stopping(
        &mut self,
        term: Term,
        table: &TrafficParts,
        now: Instant,
        lease_time: Option<Duration>,
    ) {
        let mut earlier = std::mem::take(&mut self.parts);
        self.end();
        for (part, incarnation) in table.iter() {
            let stop_asked_at = earlier.remove(&part).and_then(|known| known.stop_asked_at);
            self.add_part(part, incarnation, stop_asked_at, now);
        }
        self.phase = AckPhase::Stopping { term };
        self.leases_end_at = lease_time.map(|time| now + time + REPLICATION_WAIT);
        self.gone_hosts_until = table.gone_hosts_until();
        self.last_host_gone_at = table.last_gone_at();
        self.is_logged = false;
    }

    /// Returns the term up to which acknowledgements are stopped, if they are.
    fn stopped_term(&self) -> Option<Term> {
        match self.phase {
            AckPhase::Stopping { term } => Some(term),
            AckPhase::Passing | AckPhase::Allowing => None,
        }
    }

    fn start_allowing(&mut self, now: Instant) {
        for (addr, part) in &mut self.parts {
            part.next_request_at = now;
            self.unanswered.insert(addr.clone(), now);
        }
        self.next_due = Some(now);
        self.phase = AckPhase::Allowing;
    }

    /// Ends the stop without a request to the parts, where it lapses.
    fn end(&mut self) {
        self.phase = AckPhase::Passing;
        self.next_due = None;
        self.leases_end_at = None;
        self.parts.clear();
        self.unanswered.clear();
    }

    /// Returns whether each part has answered, or has been waited for long enough.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        match self.phase {
            AckPhase::Stopping { .. } => match self.leases_end_at {
                Some(end) => now >= end || self.all_known_hosts_have_answered(now),
                None => {
                    let mut unanswered = self.unanswered.values();
                    unanswered.all(|since| now >= *since + ANSWER_WAIT)
                }
            },
            AckPhase::Passing | AckPhase::Allowing => true,
        }
    }

    fn all_known_hosts_have_answered(&self, now: Instant) -> bool {
        self.unanswered.is_empty() && self.gone_hosts_until.is_none_or(|until| until <= now)
    }

    /// Returns whether the answers tell all that was passed on: each host has answered, and none has
    /// gone or restarted within `gone_time`, in which one that is cut off may have served.
    ///
    /// An instance that has all of it lacks no acknowledged commit, whichever instances confirmed it.
    pub(crate) fn knows_all_passed_on(&self, now: Instant, gone_time: Duration) -> bool {
        let is_gone_long = |at: Instant| now >= at + gone_time;
        self.leases_end_at.is_some()
            && self.all_known_hosts_have_answered(now)
            && self.last_host_gone_at.is_none_or(is_gone_long)
    }

    /// Returns when a stop that hosts have not answered is settled at the latest.
    fn settles_at(&self) -> Option<Instant> {
        let until = self.gone_hosts_until.filter(|_| self.unanswered.is_empty());
        self.leases_end_at.min(until.or(self.leases_end_at))
    }

    /// Returns whether an instance with this position may be ordered to lead: it has all that was
    /// passed on, or what it lacks has been waited for.
    pub(crate) fn covers(&self, now: Instant, position: Position) -> bool {
        let given_up = |since: Instant| now >= since + MISSING_WRITES_WAIT;
        self.is_settled(now)
            && (position >= self.passed_on || self.missing_since.is_some_and(given_up))
    }

    /// Ends the wait for missing writes, since a primary leads.
    pub(crate) fn on_primary_confirmed(&mut self) {
        self.missing_since = None;
    }

    fn send_due(&mut self, cx: &mut Cx<'_>, service: &ServiceId) {
        let now = cx.now;
        if self.next_due.is_none_or(|due| now < due) {
            return;
        }
        for (addr, part) in &mut self.parts {
            if now < part.next_request_at {
                continue;
            }
            let (service, round) = (service.clone(), self.round);
            let msg = match self.phase {
                AckPhase::Passing => continue,
                AckPhase::Stopping { term } => {
                    part.stop_asked_at = Some(now);
                    AckStopMsg::Stop {
                        service,
                        term,
                        round,
                    }
                }
                AckPhase::Allowing => {
                    let lasts = |at: Instant| now < at + STOP_TIME;
                    let is_stopped = part.stop_asked_at.is_some_and(lasts);
                    if !is_stopped || !self.unanswered.contains_key(addr) {
                        self.unanswered.remove(addr);
                        part.next_request_at = now + STOP_TIME;
                        continue;
                    }
                    AckStopMsg::Allow { service, round }
                }
            };
            let has_answered = !self.unanswered.contains_key(addr);
            part.next_request_at = now
                + if has_answered {
                    RENEWAL_INTERVAL
                } else {
                    RETRY_INTERVAL
                };
            cx.send(addr.clone(), msg);
        }
        self.next_due = self.parts.values().map(|part| part.next_request_at).min();
        if self.phase == AckPhase::Allowing && self.unanswered.is_empty() {
            self.end();
        }
    }

    /// Handles the answer of a part.
    pub(crate) fn on_msg(&mut self, cx: &Cx<'_>, from: &PartAddr, msg: &AckStopMsg) {
        let Some(part) = self.parts.get_mut(from) else {
            return;
        };
        match (msg, self.phase) {
            (
                AckStopMsg::Stopped {
                    round,
                    incarnation,
                    passed_on,
                    ..
                },
                AckPhase::Stopping { .. },
            ) if *round == self.round && *incarnation == part.incarnation => {
                part.next_request_at = cx.now + RENEWAL_INTERVAL;
                self.unanswered.remove(from);
                self.passed_on = self.passed_on.max(*passed_on);
            }
            (AckStopMsg::Allowed { round, .. }, AckPhase::Allowing) if *round == self.round => {
                part.stop_asked_at = None;
                self.unanswered.remove(from);
                if self.unanswered.is_empty() {
                    self.end();
                }
            }
            _ => {}
        }
    }

    /// Returns when the next request is due.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.next_due
    }
}

impl MonitoredService {
    /// Stops acknowledgements while the primary is replaced without being demoted, or an order is in
    /// doubt, and lets them pass again after that.
    ///
    /// `numbers` numbers the starts and ends of stops.
    pub(crate) fn advance_ack_stops(
        &mut self,
        cx: &mut Cx<'_>,
        table: &TrafficParts,
        numbers: &mut StopNumbers,
    ) {
        let is_fencing = matches!(self.stage, FailoverStage::Fencing { .. });
        let starts = is_fencing
            && self.primary_to_demote().is_none()
            && !self.primary_is_demoted()
            && self.ack_stops.attempt != self.attempt_number;
        let stopped_term = self.ack_stops.stopped_term();
        if starts || (self.doubt.is_open() && stopped_term.is_none()) {
            // Orders in doubt may make two instances primary in turn, so the terms in between are
            // stopped too.
            let term = if self.doubt.is_open() {
                Term::MAX
            } else {
                self.highest_term_of_a_primary()
            };
            let lease_time = cx.settings.group.ack_lease;
            let stops = &mut self.ack_stops;
            stops.attempt = self.attempt_number;
            // Under leases nothing is passed on while a stop lasts, so it need not start again.
            if lease_time.is_none() || stopped_term.is_none_or(|stopped| stopped < term) {
                stops.round = numbers.next();
                stops.start_stopping(term, table, cx.now, lease_time);
            }
        }
        if let AckPhase::Stopping { term } = self.ack_stops.phase
            && self.is_idle()
            && !self.doubt.is_open()
        {
            // A primary that has been replaced acknowledges nothing more, so its stop may lapse.
            let leads_on = term >= self.primary_term();
            self.ack_stops.round = numbers.next();
            self.ack_stops.earlier_terms_stopped_until = Some(cx.now + STOP_TIME);
            if leads_on {
                self.ack_stops.start_allowing(cx.now);
            } else {
                self.ack_stops.end();
            }
        }
        self.ack_stops.send_due(cx, &self.name);
        self.log_stopped_acks(cx);
    }

    /// Returns the term up to which leases list the acknowledgements as stopped, if they do.
    pub(crate) fn listed_stop(&self, now: Instant) -> Option<Term> {
        let until = self.ack_stops.earlier_terms_stopped_until;
        let earlier = self.primary_term().checked_sub(1);
        let earlier = earlier.filter(|_| until.is_some_and(|until| now < until));
        self.ack_stops.stopped_term().max(earlier)
    }

    /// Returns whether the replicas may be fenced: under leases, once no host passes on
    /// acknowledgements, so that the replicas receive all that was acknowledged before.
    ///
    /// Until then, the attempt's next step and its deadline are put off.
    pub(crate) fn may_fence(&mut self, now: Instant, lease_time: Option<Duration>) -> bool {
        let needs_stop = self.primary_to_demote().is_none() && !self.primary_is_demoted();
        let stops = &mut self.ack_stops;
        let is_stopped = stops.attempt == self.attempt_number && stops.is_settled(now);
        let may_fence = lease_time.is_none() || !needs_stop || is_stopped;
        let was_held_up = std::mem::replace(&mut stops.holds_up_fences, !may_fence);
        let wait_until = stops.settles_at().filter(|at| now < *at);
        if let FailoverStage::Fencing {
            deadline,
            next_request_at,
            ..
        } = &mut self.stage
        {
            if !may_fence {
                *next_request_at = wait_until.unwrap_or(now + RETRY_INTERVAL);
                *deadline = (*deadline).max(*next_request_at + FENCE_TIMEOUT);
            } else if was_held_up {
                *next_request_at = now;
            }
        }
        may_fence
    }

    fn log_stopped_acks(&mut self, cx: &mut Cx<'_>) {
        let AckPhase::Stopping { term } = self.ack_stops.phase else {
            return;
        };
        if self.ack_stops.is_logged || !self.ack_stops.is_settled(cx.now) {
            return;
        }
        self.ack_stops.is_logged = true;
        cx.log(AuthorityLogEvent::AcksStopped {
            service: self.name.clone(),
            term,
            parts: self.ack_stops.parts.len(),
            silent: self.ack_stops.unanswered.len(),
            passed_on: self.ack_stops.passed_on,
        });
    }
}
