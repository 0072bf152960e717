//! The attempt to replace a primary: promises of a majority, choice, promotion.
//!
//! Each step can be repeated, and a candidate that dies leaves a state from which
//! another one proceeds with a higher term.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{HostId, Position, Role, Term, UpstreamId};
use rand::Rng;

use crate::Cx;
use crate::group::ask::{Manner, Purpose, Question, Questions};
use crate::group::log_event::GroupLogEvent;
use crate::group::state::Group;
use crate::group::suspect::Reason;
use crate::upstream_query::{QueryError, QueryReply, UpstreamQuery};

/// The most doublings of a pause.
const MAX_DOUBLINGS: u32 = 4;

/// How far an attempt has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// There is no attempt.
    Idle,
    /// Candidates of better rank go first.
    Waiting {
        /// When it is this host's turn.
        until: Instant,
        /// Why the primary shall be replaced; another reason starts the wait anew.
        reason: Reason,
    },
    /// The other owners are asked whether they see a primary.
    Asking {
        /// When silence counts as no.
        until: Instant,
        /// The suspected term.
        term: Term,
        /// Who has not answered yet.
        awaiting: BTreeSet<HostId>,
    },
    /// The instances are asked to promise a term.
    Promising {
        /// When the attempt is given up.
        until: Instant,
        /// The new term.
        term: Term,
        /// The instances that have promised, with the places that their logs have reached.
        promised: BTreeMap<UpstreamId, Position>,
        /// How many instances can still promise.
        open: usize,
    },
    /// The chosen instance is told to become primary.
    Promoting {
        /// When the attempt is given up.
        until: Instant,
        /// The new term.
        term: Term,
    },
}

impl Stage {
    /// Returns when the next step is due.
    pub fn until(&self) -> Option<Instant> {
        match self {
            Self::Idle => None,
            Self::Waiting { until, .. }
            | Self::Asking { until, .. }
            | Self::Promising { until, .. }
            | Self::Promoting { until, .. } => Some(*until),
        }
    }
}

impl Group {
    /// Takes the attempt as far as it goes now.
    pub fn advance(&mut self, cx: &mut Cx<'_>, questions: &mut Questions) {
        if let Stage::Promising { until, term, .. } | Stage::Promoting { until, term } = self.stage
        {
            if self.term() >= term {
                self.stage = Stage::Idle;
            } else if cx.now >= until {
                self.give_up(cx, term, "timeout");
            }
            return;
        }
        let Some(reason) = self.ripe_reason(cx.now, &cx.settings.group) else {
            self.stage = Stage::Idle;
            return;
        };
        if matches!(self.stage, Stage::Waiting { reason: last, .. } if last != reason) {
            self.stage = Stage::Idle;
        }
        if self.stage == Stage::Idle && cx.now >= self.not_before {
            let until = self.turn(cx, reason);
            self.stage = Stage::Waiting { until, reason };
            cx.log(GroupLogEvent::Suspected {
                service: self.service.clone(),
                term: self.term(),
                reason,
            });
        }
        if matches!(self.stage, Stage::Waiting { until, .. } if cx.now >= until) {
            self.ask_owners(cx);
        }
        if let Stage::Asking {
            until, awaiting, ..
        } = &self.stage
            && (awaiting.is_empty() || cx.now >= *until)
        {
            self.stand(cx, questions, reason);
        }
    }

    /// Returns when this host may stand: by its rank, and not too soon after the last change.
    fn turn(&self, cx: &mut Cx<'_>, reason: Reason) -> Instant {
        let settings = &cx.settings.group;
        let rank = self.rank(&cx.me.host);
        let mut delay = settings.stagger * rank;
        if rank > 0 || !reason.is_outage() {
            delay += settings.stagger.mul_f64(cx.rng.random_range(0.0..0.5));
        }
        let (changes, last) = self.changes;
        let hold_off = match changes {
            0 | 1 => Duration::ZERO,
            _ => settings.hold_off * 2_u32.pow((changes - 2).min(16)),
        };
        let longest = match reason.is_outage() {
            true => settings.hold_off_lost,
            false => settings.hold_off_alive,
        };
        (cx.now + delay).max(last + hold_off.min(longest))
    }

    /// Returns this host's place among the owners, those of the likely successor first.
    fn rank(&self, me: &HostId) -> u32 {
        let lost = self.primary.as_ref().map(|(_, upstream)| upstream);
        let mut heirs: Vec<_> = self
            .up()
            .filter(|(upstream, _)| Some(*upstream) != lost)
            .collect();
        heirs.sort_by_key(|(upstream, member)| (Reverse(member.position()), *upstream));
        let mut owners: Vec<&HostId> = Vec::new();
        for owner in heirs.iter().flat_map(|(_, member)| &member.owners) {
            if !owners.contains(&owner) {
                owners.push(owner);
            }
        }
        let place = owners.iter().position(|owner| *owner == me);
        u32::try_from(place.unwrap_or(owners.len())).unwrap_or(u32::MAX)
    }

    /// Asks the instances to promise a new term.
    fn stand(&mut self, cx: &mut Cx<'_>, questions: &mut Questions, reason: Reason) {
        let seen = self.members.values().map(|member| member.term()).max();
        let term = seen.unwrap_or(0).max(self.term()).max(self.tried) + 1;
        self.tried = term;
        cx.log(GroupLogEvent::Candidate {
            service: self.service.clone(),
            term,
            reason,
        });
        let primary = self.primary.as_ref().map(|(_, upstream)| upstream.clone());
        let asked: Vec<UpstreamId> = self
            .members
            .keys()
            .filter(|upstream| !reason.excludes_primary() || Some(*upstream) != primary.as_ref())
            .cloned()
            .collect();
        self.stage = Stage::Promising {
            until: cx.now + cx.settings.group.order_timeout * 2,
            term,
            promised: BTreeMap::new(),
            open: asked.len(),
        };
        for upstream in asked {
            let fresh = !self.members[&upstream].is_up();
            self.order(cx, questions, &upstream, Purpose::Promise(term), fresh);
        }
    }

    /// Sends an instance the order of a step.
    fn order(
        &self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        upstream: &UpstreamId,
        purpose: Purpose,
        fresh: bool,
    ) {
        let Some(member) = self.members.get(upstream) else {
            return;
        };
        let candidate = candidate_name(cx);
        let ask = match purpose {
            Purpose::Promote(term) => UpstreamQuery::Promote { term, candidate },
            Purpose::Promise(term) => UpstreamQuery::Promise { term, candidate },
            _ => return,
        };
        let manner = Manner {
            fresh,
            timeout: cx.settings.group.order_timeout,
        };
        questions.ask(cx, &member.announcement, purpose, ask, manner);
    }

    /// Takes an instance's answer to the question for its promise.
    pub fn on_promised(
        &mut self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        term: Term,
        question: &Question,
        result: Result<QueryReply, QueryError>,
    ) {
        let majority = self.majority();
        let upstream = &question.upstream;
        let Stage::Promising {
            term: wanted,
            promised,
            open,
            ..
        } = &mut self.stage
        else {
            return;
        };
        if *wanted != term {
            return;
        }
        match result {
            Ok(told) if told.granted && told.status.term == term => {
                promised.insert(upstream.clone(), told.status.position);
            }
            Err(_) if !question.fresh => {
                self.order(cx, questions, upstream, Purpose::Promise(term), true);
                return;
            }
            _ => *open -= 1,
        }
        if promised.len() >= majority {
            let promised = std::mem::take(promised);
            self.choose(cx, questions, term, &promised);
        } else if *open < majority {
            self.give_up(cx, term, "no_majority");
        }
    }

    /// Promotes the instance whose log has reached the highest position.
    fn choose(
        &mut self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        term: Term,
        promised: &BTreeMap<UpstreamId, Position>,
    ) {
        let stays = |upstream: &UpstreamId| {
            let member = self.members.get(upstream);
            member.is_some_and(|member| !member.announcement.leaving)
        };
        let best = promised
            .iter()
            .max_by_key(|(upstream, position)| (**position, stays(upstream), Reverse(*upstream)));
        let Some((chosen, position)) = best else {
            return;
        };
        cx.log(GroupLogEvent::Promised {
            service: self.service.clone(),
            term,
            chosen: chosen.clone(),
            position: *position,
        });
        self.stage = Stage::Promoting {
            until: cx.now + cx.settings.group.order_timeout * 2,
            term,
        };
        self.order(cx, questions, chosen, Purpose::Promote(term), false);
    }

    /// Takes the chosen instance's answer.
    pub fn on_promoted(
        &mut self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        term: Term,
        question: &Question,
        result: Result<QueryReply, QueryError>,
    ) {
        let promoting =
            matches!(self.stage, Stage::Promoting { term: wanted, .. } if wanted == term);
        if !promoting {
            return;
        }
        let upstream = &question.upstream;
        match result {
            Ok(QueryReply { status, .. })
                if status.role == Role::Primary && status.term == term =>
            {
                self.stage = Stage::Idle;
                cx.log(GroupLogEvent::Promoted {
                    service: self.service.clone(),
                    term,
                    upstream: upstream.clone(),
                });
            }
            Err(_) if !question.fresh => {
                self.order(cx, questions, upstream, Purpose::Promote(term), true);
            }
            _ => self.give_up(cx, term, "not_promoted"),
        }
    }

    fn give_up(&mut self, cx: &mut Cx<'_>, term: Term, why: &'static str) {
        let longest = cx.settings.group.retry_pause * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.stage = Stage::Idle;
        self.not_before = cx.now + longest.mul_f64(cx.rng.random_range(0.0..1.0));
        cx.log(GroupLogEvent::GaveUp {
            service: self.service.clone(),
            term,
            why,
        });
    }
}

/// Names this start of this host, so that no later start is taken for the same candidate.
fn candidate_name(cx: &Cx<'_>) -> HostId {
    format!("{}#{}", cx.me.host, cx.me.incarnation).into()
}
