//! One service under the quorum's authority: its instances and the attempt to replace its primary.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Announcement, InstanceStatus, Position, Role, ServiceId, Term, UpstreamId};

use crate::authority::{AuthorityLogEvent, Outbox, Purpose, Question};
use crate::event::Event;
use crate::raft::LogIndex;
use crate::spread::Fact;
use crate::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use crate::view::ServiceView;
use crate::{Cx, View};

/// How often an instance is asked again that has failed to answer, or is about to lead.
pub(crate) const QUICK: Duration = Duration::from_millis(60);
/// How many probes on new connections must fail before an instance counts as lost.
pub(crate) const LOST_AFTER: u32 = 2;
/// How long the instances of a service may take to announce themselves; twice a usual interval.
const ALL_ANNOUNCED: Duration = Duration::from_secs(3);
/// How long a service is left alone after an attempt that failed.
pub(crate) const PAUSE: Duration = Duration::from_millis(300);
/// How long a lost replica is waited for that may have writes which no other instance has.
const WAIT_FOR_LOST: Duration = Duration::from_secs(20);

/// An instance of the service.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) announcement: Announcement,
    /// Its last status and when it was asked for.
    pub(crate) status: Option<(InstanceStatus, Instant)>,
    /// The term that it is fenced for, or 0.
    pub(crate) held: Term,
    pub(crate) heard_at: Option<Instant>,
    /// How many probes on new connections have failed in a row.
    pub(crate) failures: u32,
    pub(crate) asking: bool,
    pub(crate) probe_at: Instant,
    /// Since when its announcement is not renewed any more.
    pub(crate) lapsed: Option<Instant>,
}

/// A replica that is gone, and the position up to which the others need not fear for its log.
#[derive(Debug)]
pub(crate) struct Lost {
    pub(crate) since: Instant,
    /// A position that the primary had after the loss.
    pub(crate) covered: Option<Position>,
}

/// How far an attempt has come.
#[derive(Debug)]
pub(crate) enum Stage {
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
    pub(crate) name: ServiceId,
    pub(crate) members: BTreeMap<UpstreamId, Member>,
    pub(crate) lost: BTreeMap<UpstreamId, Lost>,
    pub(crate) primary: Option<(Term, UpstreamId)>,
    pub(crate) stage: Stage,
    /// Since when no primary is known to lead.
    pub(crate) absent_since: Option<Instant>,
    /// Whether an order may still be carried out of which no answer came.
    pub(crate) in_doubt: bool,
    /// Whether no order of an earlier leader can be carried out any more.
    pub(crate) settled: bool,
    /// From when all its instances must have announced themselves.
    pub(crate) known_from: Instant,
    /// Whether this leadership has fenced a replica.
    pub(crate) fenced_here: bool,
    /// The highest term that replicas were asked to stop for.
    pub(crate) tried: Term,
    pub(crate) attempt: u64,
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

    pub(crate) fn term(&self) -> Term {
        self.primary.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Asks an instance again at once.
    pub(crate) fn doubt(&mut self, now: Instant, upstream: &UpstreamId) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.probe_at = now;
        }
    }

    /// Takes an instance's answer.
    pub(crate) fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        outbox: &mut Outbox,
        question: &Question,
        result: Result<QueryReply, QueryError>,
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
                member.held = told.paused_term;
                member.heard_at = Some(cx.now);
                member.failures = 0;
                self.observe(cx, &question.upstream, told, question.asked_at);
            }
            Err(QueryError::Refused) => {
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
    fn observe(&mut self, cx: &mut Cx<'_>, id: &UpstreamId, told: &QueryReply, asked_at: Instant) {
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
            cx.log(AuthorityLogEvent::Leads {
                service: self.name.clone(),
                upstream: id.clone(),
                term,
            });
            cx.raise(Event::FactLearned(Fact::Primary {
                service: self.name.clone(),
                term,
                upstream: id.clone(),
            }));
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

    pub(crate) fn is_idle(&self) -> bool {
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
            let ask = UpstreamQuery::Status { wait_for: None };
            outbox.ask(cx, question, member.announcement.addr, ask);
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
