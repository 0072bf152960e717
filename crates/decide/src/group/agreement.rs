//! Asks the other owners whether they still see a primary that can confirm writes.
//!
//! This avoids needless changes of primary, such as when only this host has lost its link to it.
//! Safety doesn't depend on it: only the promises of a majority of the instances matter there.

use std::collections::BTreeSet;

use model::{HostId, Term};

use crate::Cx;
use crate::group::election::ElectionStage;
use crate::group::log_event::GroupLogEvent;
use crate::group::query::{PendingQueries, QueryOptions, QueryPurpose};
use crate::group::state::Group;
use crate::group::{GroupMsg, send_primary_check_reply};
use crate::upstream_query::UpstreamQuery;

/// How many times in a row an owner yields to other candidates, so that a candidate that never
/// succeeds can't hold the others back.
const MAX_YIELDS: u32 = 2;

impl Group {
    /// Asks all other owners whether they see a working primary, and waits for their replies.
    pub fn ask_other_owners(&mut self, cx: &mut Cx<'_>) {
        let others = self.other_owners(&cx.me.host);
        for owner in &others {
            let msg = GroupMsg::PrimaryCheck {
                service: self.service.clone(),
                term: self.primary_term(),
            };
            cx.send_control(owner, msg);
        }
        self.stage = ElectionStage::CheckingWithOwners {
            until: cx.now + cx.settings.group.agree_wait,
            term: self.primary_term(),
            unanswered: BTreeSet::from_iter(others),
        };
    }

    /// Handles another owner's check: where the primary seems to work, queries it once more
    /// before the reply is sent.
    pub fn on_primary_check(
        &mut self,
        cx: &mut Cx<'_>,
        queries: &mut PendingQueries,
        asker: HostId,
        term: Term,
    ) {
        self.yield_to_candidate(cx, &asker);
        let settings = &cx.settings.group;
        let working = self.sees_working_primary(cx.now, settings, term);
        let primary = self
            .primary
            .as_ref()
            .and_then(|(_, primary)| self.members.get(primary));
        let Some(primary) = primary.filter(|_| working) else {
            send_primary_check_reply(cx, &asker, self.service.clone(), term, false);
            return;
        };
        let options = QueryOptions {
            new_connection: false,
            timeout: settings.agree_wait,
        };
        let upstream_query = UpstreamQuery::Status { wait_for: None };
        let purpose = QueryPurpose::PrimaryCheck { asker, term };
        queries.send(cx, &primary.announcement, purpose, upstream_query, options);
    }

    /// Yields to a candidate that started first, or that started at the same time and has the
    /// lower host name.
    fn yield_to_candidate(&mut self, cx: &Cx<'_>, candidate: &HostId) {
        let yields = match &self.stage {
            ElectionStage::Idle | ElectionStage::AwaitingTurn { .. } => true,
            ElectionStage::CheckingWithOwners { .. } => *candidate < cx.me.host,
            ElectionStage::CollectingPromises { .. } | ElectionStage::Promoting { .. } => false,
        };
        if yields && self.yield_count < MAX_YIELDS {
            self.yield_count += 1;
            self.stage = ElectionStage::Idle;
            self.next_attempt_at = self
                .next_attempt_at
                .max(cx.now + cx.settings.group.stand_back);
        }
    }

    /// Replies to another owner's check once the query to the primary has been answered or has
    /// failed.
    pub fn answer_primary_check(
        &mut self,
        cx: &mut Cx<'_>,
        asker: &HostId,
        term: Term,
        answered: bool,
    ) {
        let settings = &cx.settings.group;
        let sees_working_primary = answered && self.sees_working_primary(cx.now, settings, term);
        send_primary_check_reply(cx, asker, self.service.clone(), term, sees_working_primary);
    }

    /// Handles another owner's reply: one that sees a working primary stops the attempt for
    /// `agree_pause`, unless the replacement is planned.
    pub fn on_primary_check_reply(
        &mut self,
        cx: &mut Cx<'_>,
        from: &HostId,
        term: Term,
        sees_working_primary: bool,
    ) {
        let ElectionStage::CheckingWithOwners {
            term: checked_term,
            unanswered,
            ..
        } = &mut self.stage
        else {
            return;
        };
        if *checked_term != term {
            return;
        }
        unanswered.remove(from);
        let planned = self
            .replace_reason
            .is_some_and(|(reason, _)| !reason.needs_agreement());
        if sees_working_primary && !planned {
            self.stage = ElectionStage::Idle;
            self.next_attempt_at = cx.now + cx.settings.group.agree_pause;
            cx.log(GroupLogEvent::Contradicted {
                service: self.service.clone(),
                term,
                host: from.clone(),
            });
        }
    }
}
