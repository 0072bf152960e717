//! Tells instances that don't follow the primary to do so.

use model::{Role, Term, UpstreamId};

use crate::Cx;
use crate::group::ask::{Manner, Purpose, Question, Questions};
use crate::group::log_event::GroupLogEvent;
use crate::group::member::Member;
use crate::group::settings::GroupSettings;
use crate::group::state::Group;
use crate::upstream_query::{QueryId, UpstreamQuery};

/// Why an instance must be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// It isn't in the primary's term, or has nothing of that term.
    Term,
    /// It is in the term but seems to get nothing from the primary.
    Progress,
}

impl Group {
    /// Sends an order to each instance that does not follow the primary.
    pub fn order_followers(&mut self, cx: &mut Cx<'_>, questions: &mut Questions) {
        let Some((term, primary)) = self.primary.clone() else {
            return;
        };
        let Some(target) = self.members.get(&primary) else {
            return;
        };
        let addr = target.announcement.addr;
        let settings = &cx.settings.group;
        for (upstream, member) in &mut self.members {
            if *upstream == primary || member.follow.is_some() || cx.now < member.follow_at {
                continue;
            }
            let Some(need) = need(cx, member, term) else {
                continue;
            };
            let pause = match need {
                Need::Term => settings.follow_every,
                Need::Progress => settings.stalled_for,
            };
            let ask = UpstreamQuery::Follow {
                term,
                primary: primary.clone(),
                addr,
            };
            let manner = Manner {
                fresh: false,
                timeout: settings.order_timeout,
            };
            member.follow_at = cx.now + pause;
            let id = questions.ask(cx, &member.announcement, Purpose::Follow, ask, manner);
            member.follow = Some(id);
            note(cx, &self.service, upstream, member, term, &primary);
        }
    }

    /// Takes the answer to an order; the status in it has been noted already.
    pub fn on_followed(&mut self, id: QueryId, question: &Question) {
        if let Some(member) = self.members.get_mut(&question.upstream)
            && member.follow == Some(id)
        {
            member.follow = None;
        }
    }
}

/// Returns why an instance must be told to follow the primary of a term, if it must.
fn need(cx: &Cx<'_>, member: &Member, term: Term) -> Option<Need> {
    let GroupSettings { stalled_for, .. } = cx.settings.group;
    let status = member.status.as_ref().filter(|_| member.is_up())?;
    if status.term > term {
        None
    } else if status.term < term || status.position.term < term {
        Some(Need::Term)
    } else {
        let silent = status.lag >= stalled_for || member.stalled(cx.now, stalled_for / 2);
        silent.then_some(Need::Progress)
    }
}

fn note(
    cx: &mut Cx<'_>,
    service: &model::ServiceId,
    upstream: &UpstreamId,
    member: &Member,
    term: Term,
    primary: &UpstreamId,
) {
    let was_primary = member
        .status
        .as_ref()
        .filter(|status| status.role == Role::Primary);
    cx.log(match was_primary {
        Some(status) => GroupLogEvent::Deposed {
            service: service.clone(),
            upstream: upstream.clone(),
            term: status.term,
        },
        None => GroupLogEvent::Following {
            service: service.clone(),
            upstream: upstream.clone(),
            term,
            primary: primary.clone(),
        },
    });
}
