//! One group: its instances, its primary, and the attempt to replace it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{HostId, ServiceId, Term, UpstreamId};

use crate::event::Event;
use crate::group::ask::{Purpose, Question, Questions};
use crate::group::elect::Stage;
use crate::group::log_event::GroupLogEvent;
use crate::group::member::Member;
use crate::group::suspect::Reason;
use crate::spread::Fact;
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::view::ServiceView;
use crate::{Cx, View};

/// A group of which this host owns any instance.
#[derive(Debug)]
pub struct Group {
    /// The service.
    pub service: ServiceId,
    /// How many instances it has in all, present or not.
    pub size: usize,
    /// The instances that are present.
    pub members: BTreeMap<UpstreamId, Member>,
    /// The newest known term with a primary, and that primary.
    pub primary: Option<(Term, UpstreamId)>,
    /// When that was learned.
    pub learned_at: Instant,
    /// Why the primary should be replaced, and when the reason counts.
    pub reason: Option<(Reason, Instant)>,
    /// How far the attempt to replace it has come.
    pub stage: Stage,
    /// The earliest moment for the next attempt.
    pub not_before: Instant,
    /// The highest term that this host has asked promises for.
    pub tried: Term,
    /// How many attempts have failed in a row.
    pub failures: u32,
    /// How often this host has left the field to others since it has a reason.
    pub stood_back: u32,
    /// How many changes of primary are held against the service, and the last of them.
    pub changes: (u32, Instant),
}

impl Group {
    /// Returns a group of which nothing is known yet.
    pub fn new(service: ServiceId, now: Instant) -> Self {
        Self {
            service,
            size: 0,
            members: BTreeMap::new(),
            primary: None,
            learned_at: now,
            reason: None,
            stage: Stage::Idle,
            not_before: now,
            tried: 0,
            failures: 0,
            stood_back: 0,
            changes: (0, now),
        }
    }

    /// Returns how many instances are a majority.
    pub fn majority(&self) -> usize {
        self.size / 2 + 1
    }

    /// Returns the term of the newest known primary, or 0 where none is known.
    pub fn term(&self) -> Term {
        self.primary.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Returns the instances that answer.
    pub fn up(&self) -> impl Iterator<Item = (&UpstreamId, &Member)> {
        self.members.iter().filter(|(_, member)| member.is_up())
    }

    /// Returns all other owners of the group's instances.
    pub fn other_owners(&self, me: &HostId) -> Vec<HostId> {
        let mut owners: Vec<HostId> = self
            .members
            .values()
            .flat_map(|member| member.owners.iter().cloned())
            .filter(|owner| owner != me)
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Takes over the group's instances, owners and primary.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View, known: &ServiceView) {
        self.size = usize::from(known.group_size);
        self.members
            .retain(|upstream, _| known.upstreams.contains(upstream));
        for upstream in &known.upstreams {
            let Some(seen) = view.upstreams.get(upstream) else {
                continue;
            };
            let member = self
                .members
                .entry(upstream.clone())
                .or_insert_with(|| Member::new(seen.announcement.clone(), cx.now));
            member.announcement = seen.announcement.clone();
            let owned = seen.owners.contains(&cx.me.host);
            // What is still in use is given back once the traffic part has let go of it.
            member.releasing = !owned && (member.releasing || member.claim.is_some());
            member.owned = owned;
            member.owners.clone_from(&seen.owners);
        }
        if let Some((term, upstream)) = &known.primary {
            self.learn(cx, *term, upstream);
        }
    }

    /// Takes over a primary if its term is the newest.
    pub fn learn(&mut self, cx: &mut Cx<'_>, term: Term, upstream: &UpstreamId) {
        if term == 0 || term <= self.term() {
            return;
        }
        if self.primary.is_some() {
            self.count_change(cx.now, cx.settings.group.change_memory);
        }
        self.primary = Some((term, upstream.clone()));
        self.learned_at = cx.now;
        self.reason = None;
        self.failures = 0;
        self.stood_back = 0;
        for member in self.members.values_mut() {
            member.stuck_since = None;
            member.follow = None;
            member.follow_at = cx.now;
        }
        // The traffic parts send no write before they know of the new role.
        if let Some(member) = self.members.get_mut(upstream).filter(|m| m.owned) {
            member.probe_at = cx.now;
        }
        cx.log(GroupLogEvent::Learned {
            service: self.service.clone(),
            term,
            upstream: upstream.clone(),
        });
        cx.raise(Event::FactLearned(Fact::Primary {
            service: self.service.clone(),
            term,
            upstream: upstream.clone(),
        }));
    }

    fn count_change(&mut self, now: Instant, memory: Duration) {
        let (count, last) = self.changes;
        let held = if now.duration_since(last) < memory {
            count
        } else {
            0
        };
        self.changes = (held + 1, now);
    }

    /// Takes an instance's answer to a question.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        id: QueryId,
        question: &Question,
        result: Result<QueryReply, QueryError>,
    ) {
        if let Ok(told) = &result {
            self.observe(cx, &question.upstream, told, question.asked_at);
        }
        match &question.purpose {
            Purpose::Probe => self.on_probed(cx, questions, id, question, result),
            Purpose::Check { asker, term } => self.on_checked(cx, asker, *term, result.is_ok()),
            Purpose::Promise(term) => self.on_promised(cx, questions, *term, question, result),
            Purpose::Promote(term) => self.on_promoted(cx, questions, *term, question, result),
            Purpose::Follow => self.on_followed(id, question),
            Purpose::Unclaim => {}
        }
    }

    /// Does what is due: probes, orders to follow, and the attempt to replace the primary.
    pub fn step(&mut self, cx: &mut Cx<'_>, questions: &mut Questions) {
        self.probe_due(cx, questions);
        self.order_followers(cx, questions);
        self.advance(cx, questions);
    }

    /// Returns when the next probe or step of an attempt is due, if any.
    pub fn wake_at(&self) -> Option<Instant> {
        let probes = self
            .members
            .values()
            .filter(|member| member.probe.is_none())
            .map(|member| member.probe_at);
        let ripe = self
            .reason
            .filter(|_| self.stage == Stage::Idle)
            .map(|(_, ripe_at)| self.not_before.max(ripe_at));
        probes.chain(self.stage.until()).chain(ripe).min()
    }
}
