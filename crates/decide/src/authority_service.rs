//! One service under the quorum's authority: its instances and the attempt to replace its primary.
//!
//! A write is acknowledged once the primary and one replica have it. So once all replicas that
//! could have acknowledged one have stopped receiving, the one with the highest position has
//! every acknowledged write, and none is added while the order is under way.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{Announcement, InstanceStatus, Position, Role, ServiceId, Term, UpstreamId};

use crate::ask::{Ask, AskError, Told};
use crate::authority::{AuthorityNote, Order, OrderError, Outbox, Purpose, Question};
use crate::event::Event;
use crate::raft::{LogIndex, OrderTicket};
use crate::spread::Fact;
use crate::view::ServiceView;
use crate::{Cx, Effect, View};

/// How often an instance is asked again that has failed to answer, or is about to lead.
const QUICK: Duration = Duration::from_millis(60);
/// How many probes on new connections must fail before an instance counts as lost.
const LOST_AFTER: u32 = 2;
/// How long an attempt may take to fence what it must.
const FENCE_TIME: Duration = Duration::from_millis(2500);
/// How long a committed number or the platform's answer may take.
const ORDER_TIME: Duration = Duration::from_millis(2500);
/// How long the chosen instance may take to lead.
const LEAD_TIME: Duration = Duration::from_millis(2500);
/// How long the instances of a service may take to announce themselves; twice a usual interval.
const ALL_ANNOUNCED: Duration = Duration::from_secs(3);
/// How long a service is left alone after an attempt that failed.
const PAUSE: Duration = Duration::from_millis(300);
/// How long a service may lack a primary before one is made.
const ABSENT_FOR: Duration = Duration::from_millis(800);
/// How long a lost replica is waited for that may have writes which no other instance has.
const WAIT_FOR_LOST: Duration = Duration::from_secs(20);

/// An instance of the service.
#[derive(Debug)]
struct Member {
    announcement: Announcement,
    /// Its last status and when it was asked for.
    status: Option<(InstanceStatus, Instant)>,
    /// The term that it is fenced for, or 0.
    held: Term,
    heard_at: Option<Instant>,
    /// How many probes on new connections have failed in a row.
    failures: u32,
    asking: bool,
    probe_at: Instant,
    /// Since when its announcement is not renewed any more.
    lapsed: Option<Instant>,
}

/// A replica that is gone, and the position up to which the others need not fear for its log.
#[derive(Debug)]
struct Lost {
    since: Instant,
    /// A position that the primary had after the loss.
    covered: Option<Position>,
}

/// How far an attempt has come.
#[derive(Debug)]
enum Stage {
    Idle {
        not_before: Instant,
    },
    /// Replicas are asked to stop receiving.
    Fencing {
        term: Term,
        /// Whether the present primary stays, and is only ordered anew.
        keep: bool,
        until: Instant,
        fenced: BTreeMap<UpstreamId, (Position, u64)>,
        ask_at: Instant,
    },
    /// The order waits for its number.
    Numbering {
        upstream: UpstreamId,
        fenced: BTreeMap<UpstreamId, (Position, u64)>,
        until: Instant,
    },
    /// The order is under way.
    Ordering {
        number: LogIndex,
        upstream: UpstreamId,
        until: Instant,
    },
    /// The platform has taken the order.
    Watching {
        upstream: UpstreamId,
        until: Instant,
    },
}

/// One service.
#[derive(Debug)]
pub(crate) struct Service {
    name: ServiceId,
    members: BTreeMap<UpstreamId, Member>,
    lost: BTreeMap<UpstreamId, Lost>,
    primary: Option<(Term, UpstreamId)>,
    stage: Stage,
    /// Since when no primary is known to lead.
    absent_since: Option<Instant>,
    /// Whether an order may still be carried out of which no answer came.
    in_doubt: bool,
    /// Whether no order of an earlier leader can be carried out any more.
    settled: bool,
    /// From when all its instances must have announced themselves.
    known_from: Instant,
    /// Whether this leadership has fenced a replica.
    fenced_here: bool,
    /// The highest term that replicas were asked to stop for.
    tried: Term,
    attempt: u64,
}

impl Service {
    /// Returns a service of which nothing is known yet.
    pub(crate) fn new(name: ServiceId, now: Instant) -> Self {
        Self {
            name,
            members: BTreeMap::new(),
            lost: BTreeMap::new(),
            primary: None,
            stage: Stage::Idle { not_before: now },
            absent_since: None,
            in_doubt: false,
            settled: false,
            known_from: now + ALL_ANNOUNCED,
            fenced_here: false,
            tried: 0,
            attempt: 0,
        }
    }

    /// Forgets what an earlier leadership was at.
    pub(crate) fn start_over(&mut self, now: Instant) {
        self.stage = Stage::Idle {
            not_before: now + PAUSE,
        };
        self.absent_since = None;
        self.in_doubt = false;
        self.settled = false;
        self.fenced_here = false;
        for member in self.members.values_mut() {
            member.asking = false;
            member.failures = 0;
            member.probe_at = now;
            member.status = None;
        }
    }

    /// Takes over the instances of a view.
    pub(crate) fn sync(&mut self, cx: &mut Cx<'_>, view: &View, known: &ServiceView) {
        let now = cx.now;
        self.drop_members(now, |id| !known.upstreams.contains(id));
        for id in &known.upstreams {
            let Some(seen) = view.upstreams.get(id) else {
                continue;
            };
            self.lost.remove(id);
            let member = self.members.entry(id.clone()).or_insert_with(|| Member {
                announcement: seen.announcement.clone(),
                status: None,
                held: 0,
                heard_at: None,
                failures: 0,
                asking: false,
                probe_at: now,
                lapsed: None,
            });
            member.lapsed = None;
            if member.announcement != seen.announcement {
                member.announcement = seen.announcement.clone();
                member.probe_at = now;
            }
        }
        if let Some((term, id)) = &known.primary
            && *term > self.term()
        {
            self.primary = Some((*term, id.clone()));
        }
    }

    /// Takes note that no instance is left.
    pub(crate) fn empty(&mut self, now: Instant) {
        self.drop_members(now, |_| true);
    }

    /// Marks the instances that are not announced any more, and drops those that are lost.
    ///
    /// One that still answers is there: its announcements may be held up.
    fn drop_members(&mut self, now: Instant, gone: impl Fn(&UpstreamId) -> bool) {
        let gone: Vec<UpstreamId> = self.members.keys().filter(|id| gone(id)).cloned().collect();
        for id in gone {
            if let Some(member) = self.members.get_mut(&id) {
                member.lapsed.get_or_insert(now);
            }
        }
        let primary = self.primary.as_ref().map(|(_, id)| id.clone());
        let lost: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| member.lapsed.is_some() && member.failures >= LOST_AFTER)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.members.remove(&id);
            if Some(&id) != primary.as_ref() {
                let covered = None;
                self.lost.insert(
                    id,
                    Lost {
                        since: now,
                        covered,
                    },
                );
            }
        }
        self.lost
            .retain(|_, lost| now.saturating_duration_since(lost.since) < WAIT_FOR_LOST);
    }

    fn term(&self) -> Term {
        self.primary.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Asks an instance again at once.
    pub(crate) fn doubt(&mut self, now: Instant, upstream: &UpstreamId) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.probe_at = now;
        }
    }

    /// Takes an instance's answer.
    pub(crate) fn on_told(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        question: &Question,
        result: Result<Told, AskError>,
    ) {
        let Some(member) = self.members.get_mut(&question.upstream) else {
            return;
        };
        if question.purpose == Purpose::Probe {
            member.asking = false;
        }
        match &result {
            Ok(told) => {
                member.status = Some((told.status.clone(), question.asked_at));
                member.held = told.held;
                member.heard_at = Some(cx.now);
                member.failures = 0;
                self.observe(cx, &question.upstream, told, question.asked_at);
            }
            Err(AskError::Refused) => {
                member.heard_at = Some(cx.now);
                member.failures = 0;
            }
            Err(_) => {
                member.failures += u32::from(question.fresh);
                member.probe_at = member.probe_at.min(cx.now + QUICK);
            }
        }
        if let Purpose::Fence(attempt) = question.purpose
            && attempt == self.attempt
        {
            self.on_fenced(cx, &question.upstream, &result);
        }
        self.step(cx, outbox);
    }

    /// Takes in a status.
    fn observe(&mut self, cx: &mut Cx<'_>, id: &UpstreamId, told: &Told, asked_at: Instant) {
        if told.status.role != Role::Primary {
            return;
        }
        let leads = self.primary.as_ref() == Some(&(told.status.term, id.clone()));
        if told.status.term < self.term() {
            return;
        }
        // While replicas are fenced, the primary's position runs ahead of what is acknowledged.
        if self.is_idle() && self.members.values().all(|member| member.held == 0) {
            for lost in self.lost.values_mut().filter(|lost| lost.since < asked_at) {
                lost.covered.get_or_insert(told.status.position);
            }
        }
        self.absent_since = None;
        if let Stage::Watching { upstream, .. } = &self.stage
            && upstream == id
        {
            self.stage = Stage::Idle { not_before: cx.now };
            self.in_doubt = false;
            self.settled = true;
        }
        if !leads {
            let term = told.status.term;
            self.primary = Some((term, id.clone()));
            cx.note(AuthorityNote::Leads {
                service: self.name.clone(),
                upstream: id.clone(),
                term,
            });
            cx.raise(Event::Learned(Fact::Primary {
                service: self.name.clone(),
                term,
                upstream: id.clone(),
            }));
        }
    }

    /// Takes a replica's answer to the order to stop receiving.
    fn on_fenced(&mut self, cx: &mut Cx<'_>, id: &UpstreamId, result: &Result<Told, AskError>) {
        let Some(member) = self.members.get(id) else {
            return;
        };
        let Stage::Fencing { term, fenced, .. } = &mut self.stage else {
            return;
        };
        match result {
            Ok(told) if told.held >= *term || told.granted => {
                let position = told.status.position;
                let new = fenced.insert(id.clone(), (position, member.announcement.incarnation));
                if new.is_none() {
                    cx.note(AuthorityNote::Fenced {
                        service: self.name.clone(),
                        upstream: id.clone(),
                        position,
                    });
                }
            }
            // It has been asked for a higher term by an earlier leader.
            Ok(_) | Err(AskError::Refused) => self.tried += 1,
            Err(_) => {}
        }
    }

    /// Does what is due.
    pub(crate) fn step(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        self.drop_members(cx.now, |_| false);
        self.probe_due(cx, outbox);
        match &self.stage {
            Stage::Idle { not_before } if cx.now >= self.known_from.max(*not_before) => {
                self.judge(cx);
                self.fence(cx, outbox);
            }
            Stage::Idle { .. } => {}
            Stage::Fencing { until, .. } if cx.now >= *until => {
                self.give_up(cx, outbox, "not-fenced");
            }
            Stage::Fencing { .. } => self.fence(cx, outbox),
            Stage::Numbering { until, .. } | Stage::Ordering { until, .. } if cx.now >= *until => {
                self.in_doubt = true;
                self.stop(cx, "no-answer");
            }
            Stage::Watching { until, .. } if cx.now >= *until => self.stop(cx, "does-not-lead"),
            Stage::Numbering { .. } | Stage::Ordering { .. } | Stage::Watching { .. } => {}
        }
        if self.is_idle() && !self.in_doubt {
            self.release(cx, outbox);
        }
    }

    fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle { .. })
    }

    fn probe_due(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        let watched = match &self.stage {
            Stage::Watching { upstream, .. } => Some(upstream.clone()),
            _ => None,
        };
        let settings = &cx.settings.group;
        let primary = self.primary.as_ref().map(|(_, id)| id.clone());
        for (id, member) in &mut self.members {
            if member.asking || cx.now < member.probe_at {
                continue;
            }
            let failing = member.failures > 0 || member.heard_at.is_none();
            let every = if watched.as_ref() == Some(id) || (failing && member.failures < 20) {
                QUICK
            } else if primary.as_ref() == Some(id) || primary.is_none() {
                settings.probe_every
            } else {
                settings.probe_others_every
            };
            // A probe that follows a failed one takes a new connection.
            let heard = member.heard_at.map_or(Duration::MAX, |at| cx.now - at);
            let fresh = failing || heard > settings.probe_every + settings.probe_timeout;
            member.asking = true;
            member.probe_at = cx.now + every;
            let question = Question {
                service: self.name.clone(),
                upstream: id.clone(),
                purpose: Purpose::Probe,
                fresh,
                asked_at: cx.now,
            };
            let ask = Ask::Status { wait_for: None };
            outbox.ask(cx, question, member.announcement.addr, ask);
        }
    }

    /// Starts an attempt if the service needs another primary.
    fn judge(&mut self, cx: &mut Cx<'_>) {
        let Some(reason) = self.reason(cx.now) else {
            return;
        };
        self.attempt += 1;
        let held = self.members.values().map(|member| member.held).max();
        let seen = self
            .members
            .values()
            .filter_map(|member| member.status.as_ref());
        let seen = seen.map(|(status, _)| status.term).max();
        let highest = held.max(seen).unwrap_or(0).max(self.term());
        self.tried = self.tried.max(highest) + 1;
        let primary = self
            .primary
            .as_ref()
            .and_then(|(_, id)| self.members.get(id));
        cx.note(AuthorityNote::Suspected {
            service: self.name.clone(),
            term: self.term(),
            reason,
            unheard: primary
                .and_then(|primary| primary.heard_at)
                .map(|at| cx.now - at),
        });
        // An order for the primary that leads makes every earlier order void. With all
        // replicas fenced it has every write, even if an earlier order is carried out first.
        let keep = self.in_doubt && self.primary_leads();
        self.stage = Stage::Fencing {
            keep,
            term: self.tried,
            until: cx.now + FENCE_TIME,
            fenced: BTreeMap::new(),
            ask_at: cx.now,
        };
    }

    /// Returns why the service needs another primary, if it does.
    fn reason(&mut self, now: Instant) -> Option<&'static str> {
        if self.members.is_empty() {
            return None;
        }
        if self.in_doubt {
            return Some("in-doubt");
        }
        // An earlier leader has fenced replicas, and its order may still be under way.
        let fenced = |member: &Member| member.held > self.term() && self.term() > 0;
        if !self.settled && self.members.values().any(fenced) {
            self.in_doubt = true;
            return Some("left-fenced");
        }
        let Some((_, id)) = &self.primary else {
            let since = *self.absent_since.get_or_insert(now);
            let heard = self.members.values().all(|member| member.status.is_some());
            let ripe = heard && now >= since + ABSENT_FOR;
            return ripe.then_some("absent");
        };
        let Some(primary) = self.members.get(id) else {
            return Some("gone");
        };
        if primary.failures >= LOST_AFTER {
            return Some("lost");
        }
        let role = primary.status.as_ref().map(|(status, _)| status.role);
        if role == Some(Role::Replica) {
            let since = *self.absent_since.get_or_insert(now);
            return (now >= since + ABSENT_FOR).then_some("stepped-down");
        }
        let others = self.members.iter().filter(|(other, _)| *other != id);
        let mut others = others.filter(|(_, member)| !member.announcement.draining);
        let heir = others.any(|(_, member)| member.status.is_some() && member.failures == 0);
        (primary.announcement.draining && heir).then_some("leaving")
    }

    /// Returns whether the primary is known to lead.
    fn primary_leads(&self) -> bool {
        let primary = self.primary.as_ref();
        let primary = primary.and_then(|(_, id)| self.members.get(id));
        primary.is_some_and(|member| {
            let role = member.status.as_ref().map(|(status, _)| status.role);
            role == Some(Role::Primary) && member.failures == 0
        })
    }

    /// Returns the replicas that must stop receiving before a choice.
    fn required(&self) -> BTreeSet<UpstreamId> {
        let primary = self.primary.as_ref().map(|(_, id)| id);
        let replicas = self.members.keys().filter(|id| Some(*id) != primary);
        replicas.cloned().collect()
    }

    fn fence(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        let required = self.required();
        let attempt = self.attempt;
        self.fenced_here = true;
        let Stage::Fencing {
            term,
            fenced,
            ask_at,
            ..
        } = &mut self.stage
        else {
            return;
        };
        // A replica that has restarted receives again.
        fenced.retain(|id, (_, incarnation)| {
            let member = self.members.get(id);
            member.is_some_and(|member| member.announcement.incarnation == *incarnation)
        });
        *term = (*term).max(self.tried);
        let term = *term;
        let open: Vec<UpstreamId> = required
            .iter()
            .filter(|id| !fenced.contains_key(*id))
            .cloned()
            .collect();
        if !open.is_empty() {
            if cx.now < *ask_at {
                return;
            }
            *ask_at = cx.now + cx.settings.group.probe_timeout;
            for id in open {
                let Some(member) = self.members.get(&id) else {
                    continue;
                };
                let question = Question {
                    service: self.name.clone(),
                    upstream: id,
                    purpose: Purpose::Fence(attempt),
                    fresh: member.failures > 0,
                    asked_at: cx.now,
                };
                outbox.ask(cx, question, member.announcement.addr, Ask::Pause { term });
            }
            return;
        }
        *ask_at = cx.now + QUICK;
        self.choose(cx, outbox);
    }

    /// Chooses the fenced replica with the highest position, and wants a number for the order.
    fn choose(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        let Stage::Fencing { fenced, keep, .. } = &self.stage else {
            return;
        };
        let fenced = fenced.clone();
        if *keep
            && self.primary_leads()
            && let Some((_, id)) = self.primary.clone()
        {
            return self.want_order(cx, outbox, &id, fenced);
        }
        let lasting = |id: &UpstreamId| {
            let member = self.members.get(id);
            member.is_some_and(|m| !m.announcement.draining && !m.announcement.warming)
        };
        let best = fenced
            .iter()
            .max_by_key(|(id, (position, _))| (*position, lasting(id)));
        let Some((chosen, (position, _))) = best else {
            return;
        };
        let missing = |lost: &Lost| lost.covered.is_none_or(|covered| *position < covered);
        if self.lost.values().any(missing) {
            return;
        }
        cx.note(AuthorityNote::Chosen {
            service: self.name.clone(),
            upstream: chosen.clone(),
            position: *position,
        });
        let chosen = chosen.clone();
        self.want_order(cx, outbox, &chosen, fenced);
    }

    /// Wants a number for the order to promote an instance.
    fn want_order(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        chosen: &UpstreamId,
        fenced: BTreeMap<UpstreamId, (Position, u64)>,
    ) {
        outbox.number(OrderTicket {
            host: cx.me.host.clone(),
            incarnation: cx.me.incarnation,
            service: self.name.clone(),
            upstream: chosen.clone(),
        });
        self.stage = Stage::Numbering {
            upstream: chosen.clone(),
            fenced,
            until: cx.now + ORDER_TIME,
        };
    }

    /// Gives the order, unless a fenced replica has restarted meanwhile.
    pub(crate) fn on_numbered(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        number: LogIndex,
        chosen: &UpstreamId,
    ) {
        let Stage::Numbering {
            upstream, fenced, ..
        } = &self.stage
        else {
            return;
        };
        if upstream != chosen {
            return;
        }
        let holds = fenced.iter().all(|(id, (_, incarnation))| {
            let member = self.members.get(id);
            member.is_some_and(|member| member.announcement.incarnation == *incarnation)
        });
        if !holds || self.required().iter().any(|id| !fenced.contains_key(id)) {
            return self.give_up(cx, outbox, "restarted");
        }
        cx.note(AuthorityNote::Ordered {
            service: self.name.clone(),
            upstream: chosen.clone(),
            number,
        });
        cx.emit(Effect::Order(Order {
            number,
            service: self.name.clone(),
            upstream: chosen.clone(),
        }));
        self.stage = Stage::Ordering {
            number,
            upstream: chosen.clone(),
            until: cx.now + ORDER_TIME,
        };
    }

    /// Takes the platform's answer.
    pub(crate) fn on_ordered(
        &mut self,
        cx: &mut Cx<'_>,
        answered: LogIndex,
        result: Result<(), OrderError>,
    ) {
        let Stage::Ordering {
            number, upstream, ..
        } = &self.stage
        else {
            return;
        };
        if *number != answered {
            return;
        }
        let upstream = upstream.clone();
        cx.note(AuthorityNote::Answered {
            service: self.name.clone(),
            number: answered,
            error: result.err(),
        });
        match result {
            Ok(()) => {
                self.in_doubt = false;
                if let Some(member) = self.members.get_mut(&upstream) {
                    member.probe_at = cx.now + QUICK;
                }
                self.stage = Stage::Watching {
                    upstream,
                    until: cx.now + LEAD_TIME,
                };
            }
            Err(error) => {
                self.in_doubt |= error == OrderError::Unanswered;
                self.stop(cx, "order-failed");
            }
        }
    }

    /// Ends an attempt after which another one may follow.
    fn stop(&mut self, cx: &mut Cx<'_>, reason: &'static str) {
        cx.note(AuthorityNote::GaveUp {
            service: self.name.clone(),
            reason,
        });
        self.stage = Stage::Idle {
            not_before: cx.now + PAUSE,
        };
    }

    /// Ends an attempt that has ordered nothing.
    fn give_up(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox, reason: &'static str) {
        self.stop(cx, reason);
        if !self.in_doubt {
            self.release(cx, outbox);
        }
    }

    /// Lets fenced replicas receive again.
    fn release(&mut self, cx: &mut Cx<'_>, outbox: &mut Outbox) {
        // What an earlier leader has fenced is settled by an order first.
        let (own, term) = (self.settled || self.fenced_here, self.term());
        let fenced = |member: &Member| member.held > 0 && (own || member.held <= term);
        let held: Vec<UpstreamId> = self
            .members
            .iter()
            .filter(|(_, member)| fenced(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in held {
            let Some(member) = self.members.get_mut(&id) else {
                continue;
            };
            member.held = 0;
            let question = Question {
                service: self.name.clone(),
                upstream: id,
                purpose: Purpose::Release,
                fresh: false,
                asked_at: cx.now,
            };
            outbox.ask(cx, question, member.announcement.addr, Ask::Resume);
        }
    }

    /// Returns when something is due.
    pub(crate) fn wake_at(&self) -> Option<Instant> {
        let probes = self.members.values().filter(|member| !member.asking);
        let probes = probes.map(|member| member.probe_at);
        let stage = match &self.stage {
            Stage::Idle { .. } => None,
            Stage::Fencing { until, ask_at, .. } => Some((*until).min(*ask_at)),
            Stage::Numbering { until, .. }
            | Stage::Ordering { until, .. }
            | Stage::Watching { until, .. } => Some(*until),
        };
        probes.chain(stage).min()
    }
}
