//! Asks the other owners whether they still see a primary that can confirm writes.
//!
//! Agreement only spares a group needless changes; nothing rests on it for safety.

use std::collections::BTreeSet;

use model::{HostId, Term};

use crate::Cx;
use crate::group::ask::{Manner, Purpose, Questions};
use crate::group::elect::Stage;
use crate::group::log_event::GroupLogEvent;
use crate::group::state::Group;
use crate::group::{GroupMsg, send_sighting};
use crate::upstream_query::UpstreamQuery;

/// How often in a row an owner leaves the field to another candidate.
const MAX_STAND_BACKS: u32 = 2;

impl Group {
    /// Asks the other owners.
    pub fn ask_owners(&mut self, cx: &mut Cx<'_>) {
        let others = self.other_owners(&cx.me.host);
        for owner in &others {
            let msg = GroupMsg::Suspect {
                service: self.service.clone(),
                term: self.term(),
            };
            cx.send_control(owner, msg);
        }
        self.stage = Stage::Asking {
            until: cx.now + cx.settings.group.agree_wait,
            term: self.term(),
            awaiting: BTreeSet::from_iter(others),
        };
    }

    /// Takes another owner's question: looks at the primary once more, then answers.
    pub fn on_suspect(
        &mut self,
        cx: &mut Cx<'_>,
        questions: &mut Questions,
        asker: HostId,
        term: Term,
    ) {
        self.stand_back(cx, &asker);
        let settings = &cx.settings.group;
        let working = self.sees_working_primary(cx.now, settings, term);
        let primary = self
            .primary
            .as_ref()
            .and_then(|(_, primary)| self.members.get(primary));
        let Some(primary) = primary.filter(|_| working) else {
            send_sighting(cx, &asker, self.service.clone(), term, false);
            return;
        };
        let manner = Manner {
            fresh: false,
            timeout: settings.agree_wait,
        };
        let ask = UpstreamQuery::Status { wait_for: None };
        let purpose = Purpose::Check { asker, term };
        questions.ask(cx, &primary.announcement, purpose, ask, manner);
    }

    /// Leaves the field to a candidate that was first, or that has the lower name.
    fn stand_back(&mut self, cx: &Cx<'_>, candidate: &HostId) {
        let yields = match &self.stage {
            Stage::Idle | Stage::Waiting { .. } => true,
            Stage::Asking { .. } => *candidate < cx.me.host,
            Stage::Promising { .. } | Stage::Promoting { .. } => false,
        };
        if yields && self.stood_back < MAX_STAND_BACKS {
            self.stood_back += 1;
            self.stage = Stage::Idle;
            self.not_before = self.not_before.max(cx.now + cx.settings.group.stand_back);
        }
    }

    /// Answers another owner once the primary has been looked at.
    pub fn on_checked(&mut self, cx: &mut Cx<'_>, asker: &HostId, term: Term, answered: bool) {
        let settings = &cx.settings.group;
        let confirms = answered && self.sees_working_primary(cx.now, settings, term);
        send_sighting(cx, asker, self.service.clone(), term, confirms);
    }

    /// Takes another owner's answer.
    pub fn on_sighting(&mut self, cx: &mut Cx<'_>, from: &HostId, term: Term, confirms: bool) {
        let Stage::Asking {
            term: asked,
            awaiting,
            ..
        } = &mut self.stage
        else {
            return;
        };
        if *asked != term {
            return;
        }
        awaiting.remove(from);
        let planned = self
            .reason
            .is_some_and(|(reason, _)| !reason.needs_agreement());
        if confirms && !planned {
            self.stage = Stage::Idle;
            self.not_before = cx.now + cx.settings.group.agree_pause;
            cx.log(GroupLogEvent::Contradicted {
                service: self.service.clone(),
                term,
                host: from.clone(),
            });
        }
    }
}
