//! Orders instances that don't replicate from the primary to follow it.

use model::{Role, Term, UpstreamId};

use crate::Cx;
use crate::group::log_event::GroupLogEvent;
use crate::group::member::GroupMember;
use crate::group::query::{PendingQueries, PendingQuery, QueryOptions, QueryPurpose};
use crate::group::settings::GroupSettings;
use crate::group::state::Group;
use crate::upstream_query::{QueryId, UpstreamQuery};

/// Why an instance must be ordered to follow the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowReason {
    /// Its promised term is below the primary's, or its log has no entry of the primary's term.
    TermBehind,
    /// It has the primary's term but its log doesn't advance.
    NoProgress,
}

impl Group {
    /// Sends an order to each instance that doesn't follow the primary, at most once per
    /// `follow_every`, or `stalled_for` where only progress is missing.
    pub fn send_follow_orders(&mut self, cx: &mut Cx<'_>, queries: &mut PendingQueries) {
        let Some((term, primary)) = self.primary.clone() else {
            return;
        };
        let Some(target) = self.members.get(&primary) else {
            return;
        };
        let addr = target.announcement.addr;
        let settings = &cx.settings.group;
        for (upstream, member) in &mut self.members {
            if *upstream == primary
                || member.pending_follow.is_some()
                || cx.now < member.next_follow_at
            {
                continue;
            }
            let Some(reason) = follow_reason(cx, member, term) else {
                continue;
            };
            let pause = match reason {
                FollowReason::TermBehind => settings.follow_every,
                FollowReason::NoProgress => settings.stalled_for,
            };
            let upstream_query = UpstreamQuery::Follow {
                term,
                primary: primary.clone(),
                addr,
            };
            let options = QueryOptions {
                new_connection: false,
                timeout: settings.order_timeout,
            };
            member.next_follow_at = cx.now + pause;
            let id = queries.send(
                cx,
                &member.announcement,
                QueryPurpose::Follow,
                upstream_query,
                options,
            );
            member.pending_follow = Some(id);
            log_follow_order(cx, &self.service, upstream, member, term, &primary);
        }
    }

    /// Handles the answer to an order; the caller has already recorded the status in it.
    pub fn on_follow_reply(&mut self, id: QueryId, query: &PendingQuery) {
        if let Some(member) = self.members.get_mut(&query.upstream)
            && member.pending_follow == Some(id)
        {
            member.pending_follow = None;
        }
    }
}

/// Returns why an instance must be ordered to follow the primary of a term, or `None` if it
/// follows it, doesn't answer or has promised a higher term.
fn follow_reason(cx: &Cx<'_>, member: &GroupMember, term: Term) -> Option<FollowReason> {
    let GroupSettings { stalled_for, .. } = cx.settings.group;
    let status = member.status.as_ref().filter(|_| member.is_up())?;
    if status.term > term {
        None
    } else if status.term < term || status.position.term < term {
        Some(FollowReason::TermBehind)
    } else {
        let stopped = status.lag >= stalled_for || member.is_stalled(cx.now, stalled_for / 2);
        stopped.then_some(FollowReason::NoProgress)
    }
}

fn log_follow_order(
    cx: &mut Cx<'_>,
    service: &model::ServiceId,
    upstream: &UpstreamId,
    member: &GroupMember,
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
