//! Judges whether a service needs another primary.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::Role;

use crate::Cx;
use crate::authority::AuthorityLogEvent;
use crate::authority::service::{LOST_AFTER, Member, Service, Stage};

/// How long an attempt may take to fence what it must.
const FENCE_TIME: Duration = Duration::from_millis(2500);
/// How long a service may lack a primary before one is made.
const ABSENT_FOR: Duration = Duration::from_millis(800);

impl Service {
    /// Starts an attempt if the service needs another primary.
    pub(crate) fn judge(&mut self, cx: &mut Cx<'_>) {
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
        cx.log(AuthorityLogEvent::Suspected {
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
    pub(crate) fn reason(&mut self, now: Instant) -> Option<&'static str> {
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
    pub(crate) fn primary_leads(&self) -> bool {
        let primary = self.primary.as_ref();
        let primary = primary.and_then(|(_, id)| self.members.get(id));
        primary.is_some_and(|member| {
            let role = member.status.as_ref().map(|(status, _)| status.role);
            role == Some(Role::Primary) && member.failures == 0
        })
    }
}
