//! Elects a new primary: promises of a majority, choice of an instance, promotion.
//!
//! Each step can be repeated. If a candidate dies at any step, another candidate can start over
//! with a higher term.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{HostId, Position, Role, Term, UpstreamId};
use rand::Rng;

use crate::Cx;
use crate::group::failure_detection::ReplaceReason;
use crate::group::log_event::GroupLogEvent;
use crate::group::query::{PendingQueries, PendingQuery, QueryOptions, QueryPurpose};
use crate::group::state::Group;
use crate::upstream_query::{QueryError, QueryReply, UpstreamQuery};

/// Limit of the exponential backoff between failed attempts, in doublings of `retry_pause`.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Progress of this host's attempt to replace a group's primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStage {
    /// No attempt is in progress.
    Idle,
    /// Waits for owners of better rank, which may become candidates first.
    AwaitingTurn {
        /// When this host may proceed.
        until: Instant,
        /// Why the primary must be replaced; a different reason restarts the wait.
        reason: ReplaceReason,
    },
    /// Waits for the other owners to say whether they see a working primary.
    CheckingWithOwners {
        /// When owners that have not replied count as seeing no working primary.
        until: Instant,
        /// Term of the suspected primary.
        term: Term,
        /// Owners that have not replied yet.
        unanswered: BTreeSet<HostId>,
    },
    /// Waits until a majority of the instances has promised the new term.
    CollectingPromises {
        /// When the attempt fails.
        until: Instant,
        /// Term that this host is a candidate for.
        term: Term,
        /// Instances that have promised, with their log positions.
        promised: BTreeMap<UpstreamId, Position>,
        /// Number of instances that have promised or may still do so.
        possible_promises: usize,
    },
    /// Waits until the chosen instance confirms that it is the primary.
    Promoting {
        /// When the attempt fails.
        until: Instant,
        /// Term that the instance becomes primary of.
        term: Term,
    },
}

impl ElectionStage {
    /// Returns when the stage ends by itself, or `None` if it is idle.
    pub fn next_step_at(&self) -> Option<Instant> {
        match self {
            Self::Idle => None,
            Self::AwaitingTurn { until, .. }
            | Self::CheckingWithOwners { until, .. }
            | Self::CollectingPromises { until, .. }
            | Self::Promoting { until, .. } => Some(*until),
        }
    }
}

impl Group {
    /// Advances the attempt through all steps that are possible now, or starts one.
    pub fn advance_election(&mut self, cx: &mut Cx<'_>, queries: &mut PendingQueries) {
        if let ElectionStage::CollectingPromises { until, term, .. }
        | ElectionStage::Promoting { until, term } = self.stage
        {
            if self.primary_term() >= term {
                self.stage = ElectionStage::Idle;
            } else if cx.now >= until {
                self.abandon_attempt(cx, term, "timeout");
            }
            return;
        }
        let Some(reason) = self.persistent_reason(cx.now, &cx.settings.group) else {
            self.stage = ElectionStage::Idle;
            return;
        };
        if matches!(self.stage, ElectionStage::AwaitingTurn { reason: last, .. } if last != reason)
        {
            self.stage = ElectionStage::Idle;
        }
        if self.stage == ElectionStage::Idle && cx.now >= self.next_attempt_at {
            let until = self.earliest_candidacy(cx, reason);
            self.stage = ElectionStage::AwaitingTurn { until, reason };
            cx.log(GroupLogEvent::Suspected {
                service: self.service.clone(),
                term: self.primary_term(),
                reason,
            });
        }
        if matches!(self.stage, ElectionStage::AwaitingTurn { until, .. } if cx.now >= until) {
            self.ask_other_owners(cx);
        }
        if let ElectionStage::CheckingWithOwners {
            until, unanswered, ..
        } = &self.stage
            && (unanswered.is_empty() || cx.now >= *until)
        {
            self.become_candidate(cx, queries, reason);
        }
    }

    /// Returns when this host may become a candidate: staggered by its rank, and not before the
    /// hold-off after the last change of primary has passed.
    fn earliest_candidacy(&self, cx: &mut Cx<'_>, reason: ReplaceReason) -> Instant {
        let settings = &cx.settings.group;
        let rank = self.candidate_rank(&cx.me.host);
        let mut delay = settings.stagger * rank;
        if rank > 0 || !reason.is_outage() {
            delay += settings.stagger.mul_f64(cx.rng.random_range(0.0..0.5));
        }
        let (changes, last) = self.recent_changes;
        // The exponent is capped so that the power can't overflow.
        let hold_off = match changes {
            0 | 1 => Duration::ZERO,
            _ => settings.hold_off * 2_u32.pow((changes - 2).min(16)),
        };
        let max_hold_off = match reason.is_outage() {
            true => settings.hold_off_lost,
            false => settings.hold_off_alive,
        };
        (cx.now + delay).max(last + hold_off.min(max_hold_off))
    }

    /// Returns this host's rank among the owners, where 0 is the first owner of the instance
    /// that would be promoted.
    fn candidate_rank(&self, me: &HostId) -> u32 {
        let primary = self.primary.as_ref().map(|(_, upstream)| upstream);
        let mut successors: Vec<_> = self
            .up_members()
            .filter(|(upstream, _)| Some(*upstream) != primary)
            .collect();
        successors.sort_by_key(|(upstream, member)| (Reverse(member.position()), *upstream));
        let mut owners: Vec<&HostId> = Vec::new();
        for owner in successors.iter().flat_map(|(_, member)| &member.owners) {
            if !owners.contains(&owner) {
                owners.push(owner);
            }
        }
        let rank = owners.iter().position(|owner| *owner == me);
        u32::try_from(rank.unwrap_or(owners.len())).unwrap_or(u32::MAX)
    }

    /// Makes this host a candidate: asks the instances to promise a new, higher term.
    fn become_candidate(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        reason: ReplaceReason,
    ) {
        let seen = self
            .members
            .values()
            .map(|member| member.promised_term())
            .max();
        let term = seen
            .unwrap_or(0)
            .max(self.primary_term())
            .max(self.highest_tried_term)
            + 1;
        self.highest_tried_term = term;
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
        self.stage = ElectionStage::CollectingPromises {
            until: cx.now + cx.settings.group.order_timeout * 2,
            term,
            promised: BTreeMap::new(),
            possible_promises: asked.len(),
        };
        for upstream in asked {
            let new_connection = !self.members[&upstream].is_up();
            self.send_election_request(
                cx,
                queries,
                &upstream,
                QueryPurpose::Promise(term),
                new_connection,
            );
        }
    }

    /// Sends an instance the request to promise a term or the order to become primary.
    fn send_election_request(
        &self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        upstream: &UpstreamId,
        purpose: QueryPurpose,
        new_connection: bool,
    ) {
        let Some(member) = self.members.get(upstream) else {
            return;
        };
        let candidate = candidate_id(cx);
        let upstream_query = match purpose {
            QueryPurpose::Promote(term) => UpstreamQuery::Promote { term, candidate },
            QueryPurpose::Promise(term) => UpstreamQuery::Promise { term, candidate },
            _ => return,
        };
        let options = QueryOptions {
            new_connection,
            timeout: cx.settings.group.order_timeout,
        };
        queries.send(cx, &member.announcement, purpose, upstream_query, options);
    }

    /// Handles an instance's answer to the request for a promise.
    ///
    /// A request that failed on an open connection is repeated on a new one.
    pub fn on_promise_reply(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        term: Term,
        query: &PendingQuery,
        result: Result<QueryReply, QueryError>,
    ) {
        let majority = self.majority();
        let upstream = &query.upstream;
        let ElectionStage::CollectingPromises {
            term: attempt_term,
            promised,
            possible_promises,
            ..
        } = &mut self.stage
        else {
            return;
        };
        if *attempt_term != term {
            return;
        }
        match result {
            Ok(reply) if reply.granted && reply.status.term == term => {
                promised.insert(upstream.clone(), reply.status.position);
            }
            Err(_) if !query.new_connection => {
                self.send_election_request(
                    cx,
                    queries,
                    upstream,
                    QueryPurpose::Promise(term),
                    true,
                );
                return;
            }
            _ => *possible_promises -= 1,
        }
        if promised.len() >= majority {
            let promised = std::mem::take(promised);
            self.promote_most_advanced(cx, queries, term, &promised);
        } else if *possible_promises < majority {
            self.abandon_attempt(cx, term, "no_majority");
        }
    }

    /// Promotes the instance with the highest log position of those that have promised.
    fn promote_most_advanced(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        term: Term,
        promised: &BTreeMap<UpstreamId, Position>,
    ) {
        let stays = |upstream: &UpstreamId| {
            let member = self.members.get(upstream);
            member.is_some_and(|member| !member.announcement.will_leave())
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
        self.stage = ElectionStage::Promoting {
            until: cx.now + cx.settings.group.order_timeout * 2,
            term,
        };
        self.send_election_request(cx, queries, chosen, QueryPurpose::Promote(term), false);
    }

    /// Handles the chosen instance's answer to the order to become primary.
    ///
    /// An order that failed on an open connection is repeated on a new one.
    pub fn on_promote_reply(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        term: Term,
        query: &PendingQuery,
        result: Result<QueryReply, QueryError>,
    ) {
        let promoting = matches!(self.stage, ElectionStage::Promoting { term: attempt_term, .. } if attempt_term == term);
        if !promoting {
            return;
        }
        let upstream = &query.upstream;
        match result {
            Ok(QueryReply { status, .. })
                if status.role == Role::Primary && status.term == term =>
            {
                self.stage = ElectionStage::Idle;
                cx.log(GroupLogEvent::Promoted {
                    service: self.service.clone(),
                    term,
                    upstream: upstream.clone(),
                });
            }
            Err(_) if !query.new_connection => {
                self.send_election_request(
                    cx,
                    queries,
                    upstream,
                    QueryPurpose::Promote(term),
                    true,
                );
            }
            _ => self.abandon_attempt(cx, term, "not_promoted"),
        }
    }

    fn abandon_attempt(&mut self, cx: &mut Cx<'_>, term: Term, why: &'static str) {
        let max_pause = cx.settings.group.retry_pause
            * 2_u32.pow(self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS));
        self.failed_attempts += 1;
        self.stage = ElectionStage::Idle;
        self.next_attempt_at = cx.now + max_pause.mul_f64(cx.rng.random_range(0.0..1.0));
        cx.log(GroupLogEvent::GaveUp {
            service: self.service.clone(),
            term,
            why,
        });
    }
}

/// Returns the candidate name of this host, with its incarnation, so that an instance doesn't
/// take the restarted host for the candidate that it promised a term to.
fn candidate_id(cx: &Cx<'_>) -> HostId {
    format!("{}#{}", cx.me.host, cx.me.incarnation).into()
}
