//! What the leader knew of a service's instances when it chose a successor, for the log.

use std::fmt;

use model::{Position, Role, UpstreamId};

use crate::Cx;
use crate::authority::AuthorityLogEvent;
use crate::authority::service::{FailoverStage, MonitoredService};

/// One instance at the time of the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountedInstance {
    /// The instance.
    pub upstream: UpstreamId,
    /// Its last reported role and position, if it has reported any.
    pub status: Option<(Role, Position)>,
    /// What it may still do, as far as is known.
    pub state: &'static str,
}

impl fmt::Display for AccountedInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.upstream, self.state)?;
        match &self.status {
            Some((Role::Primary, position)) => write!(f, ":primary:{position}"),
            Some((Role::Replica, position)) => write!(f, ":replica:{position}"),
            None => write!(f, ":unknown:-"),
        }
    }
}

/// The instances of a service and the orders in doubt at the time of the choice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// The members of the service.
    pub members: Vec<AccountedInstance>,
    /// Replicas that have ended, each with the position that covers what it may have confirmed.
    pub ended: Vec<(UpstreamId, Option<Position>)>,
    /// Whether an order without an answer may still be carried out.
    pub order_in_doubt: bool,
    /// The instance that all orders in doubt promote, if it is known.
    pub instance_in_doubt: Option<UpstreamId>,
}

impl Account {
    /// Returns the members for a log line.
    pub(crate) fn members_for_log(&self) -> String {
        joined_or_none(self.members.iter().map(ToString::to_string).collect())
    }

    /// Returns the replicas that have ended for a log line.
    pub(crate) fn ended_for_log(&self) -> String {
        let ended = self.ended.iter().map(|(id, covered_by)| match covered_by {
            Some(position) => format!("{id}:{position}"),
            None => format!("{id}:-"),
        });
        joined_or_none(ended.collect())
    }

    /// Returns the instance whose order is in doubt for a log line.
    pub(crate) fn in_doubt_for_log(&self) -> &str {
        match (&self.instance_in_doubt, self.order_in_doubt) {
            (Some(id), true) => id,
            (None, true) => "unknown",
            (_, false) => "none",
        }
    }
}

fn joined_or_none(words: Vec<String>) -> String {
    if words.is_empty() {
        return "none".to_owned();
    }
    words.join(",")
}

impl MonitoredService {
    /// Logs what is known of the instances, once in each attempt.
    pub(crate) fn log_account(&mut self, cx: &mut Cx<'_>) {
        if self.accounted_attempt == self.attempt_number {
            return;
        }
        self.accounted_attempt = self.attempt_number;
        let account = self.account(cx);
        cx.log(AuthorityLogEvent::ReplacementAccount {
            service: self.name.clone(),
            account,
        });
    }

    fn account(&self, cx: &Cx<'_>) -> Account {
        let fenced = match &self.stage {
            FailoverStage::Fencing { fenced, .. } => Some(fenced),
            _ => None,
        };
        let members = self.members.iter().map(|(id, member)| {
            let is_fenced = fenced.is_some_and(|fenced| fenced.contains_key(id));
            let state = match (is_fenced, member.is_silent()) {
                (true, _) if member.fence_may_end(cx.now) => "fence-may-end",
                (true, _) => "fenced",
                (false, true) => "silent",
                (false, false) => "not-fenced",
            };
            let status = member.status.as_ref();
            AccountedInstance {
                upstream: id.clone(),
                status: status.map(|(status, _)| (status.role, status.position)),
                state,
            }
        });
        let ended = self.ended_replicas.iter();
        Account {
            members: members.collect(),
            ended: ended
                .map(|(id, ended)| (id.clone(), ended.primary_position_after))
                .collect(),
            order_in_doubt: self.doubt.is_open(),
            instance_in_doubt: self.doubt.instance().cloned(),
        }
    }

    /// Logs that an instance has joined or restarted while the primary is being replaced.
    pub(crate) fn log_change_of_members(
        &self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        change: &'static str,
    ) {
        let primary = self.primary.as_ref();
        let primary = primary.and_then(|(_, id)| self.members.get(id));
        let is_wanted = !self.is_idle()
            || self.doubt.is_open()
            || primary.is_some_and(|primary| primary.failed_probes > 0);
        if is_wanted {
            cx.log(AuthorityLogEvent::MemberChanged {
                service: self.name.clone(),
                upstream: upstream.clone(),
                change,
            });
        }
    }
}
