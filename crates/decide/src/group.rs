//! Detects lost primaries and elects new ones, with the database instances as voters.
//!
//! A group is the set of a service's instances: one primary and its replicas. Owners of an instance
//! are the hosts that hold connections to it; a claim is the number of slots (statements at the same
//! time) and connections that the instance grants an owner for a lease.
//!
//! Each host that owns an instance of a group probes all instances of the group
//! ([`crate::group::probe`]). When the primary must be replaced
//! ([`crate::group::failure_detection`]), the host asks the other owners whether they still see
//! a working primary ([`crate::group::agreement`]), collects promises of a new term from a
//! majority of the instances and promotes one ([`crate::group::election`]). Every owner then
//! orders the other instances to follow the new primary ([`crate::group::follow`]).

pub mod agreement;
pub mod election;
pub mod failure_detection;
pub mod follow;
pub mod log_event;
pub mod member;
pub mod probe;
pub mod query;
pub mod settings;
pub mod state;

use std::collections::BTreeMap;
use std::time::Instant;

use model::{HostId, PartAddr, ServiceId, Term, UpstreamId};
use serde::{Deserialize, Serialize};

pub use crate::group::log_event::GroupLogEvent;
pub use crate::group::settings::GroupSettings;

use crate::group::query::PendingQueries;
use crate::group::state::Group;
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Cx, View};

/// Messages about groups to the control part of an owner, from its own traffic parts and from
/// other owners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupMsg {
    /// A traffic part of this host no longer uses slots or connections of an instance, so that
    /// the claim on it can be given back.
    ClaimDrained {
        /// Service whose group the instance belongs to.
        service: ServiceId,
        /// Instance on which the claim is held.
        upstream: UpstreamId,
    },
    /// A traffic part of this host lost a connection to an instance or failed to open one.
    ConnectionFailed {
        /// Service whose group the instance belongs to.
        service: ServiceId,
        /// Instance to which the connection failed.
        upstream: UpstreamId,
    },
    /// Asks another owner whether it still sees a primary that can confirm writes.
    PrimaryCheck {
        /// Service whose primary is suspected.
        service: ServiceId,
        /// Term of the primary that the sender suspects.
        term: Term,
    },
    /// Answers a [`GroupMsg::PrimaryCheck`].
    PrimaryCheckReply {
        /// Service whose primary is suspected.
        service: ServiceId,
        /// Term that the check named.
        term: Term,
        /// Whether the sender sees a primary of this or a later term that can confirm writes.
        sees_working_primary: bool,
    },
}

/// State of the groups of which this host owns at least one instance.
#[derive(Debug, Default)]
pub struct Groups {
    queries: PendingQueries,
    groups: BTreeMap<ServiceId, Group>,
}

impl Groups {
    /// Creates the state of a host that owns no instance yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the groups, their instances and owners from a new view.
    ///
    /// A group that this host no longer owns any instance of is kept while a claim of it is
    /// still being drained.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View) {
        let me = &cx.me.host;
        let owned = |service: &ServiceId| {
            view.services.get(service).is_some_and(|service_view| {
                let owns = |upstream: &UpstreamId| {
                    let upstream = view.upstreams.get(upstream);
                    upstream.is_some_and(|upstream| upstream.owners.contains(me))
                };
                service_view.upstreams.iter().any(owns)
            })
        };
        let is_draining = |group: &Group| group.members.values().any(|member| member.releasing);
        for (service, service_view) in &view.services {
            if !owned(service) && !self.groups.contains_key(service) {
                continue;
            }
            let group = self
                .groups
                .entry(service.clone())
                .or_insert_with(|| Group::new(service.clone(), cx.now));
            group.sync(cx, view, service_view);
            group.step(cx, &mut self.queries);
        }
        self.groups
            .retain(|service, group| owned(service) || is_draining(group));
    }

    /// Handles an instance's answer to a query.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(query) = self.queries.remove(id) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&query.service) else {
            return;
        };
        group.on_query_reply(cx, &mut self.queries, id, &query, result);
        group.step(cx, &mut self.queries);
    }

    /// Handles a message from a traffic part of this host or from another owner.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: GroupMsg) {
        match msg {
            GroupMsg::ConnectionFailed { service, upstream } => {
                self.on_connection_failed(cx, &service, &upstream)
            }
            GroupMsg::ClaimDrained { service, upstream } => {
                self.on_claim_drained(cx, &service, &upstream)
            }
            GroupMsg::PrimaryCheck { service, term } => match self.groups.get_mut(&service) {
                Some(group) => {
                    group.on_primary_check(cx, &mut self.queries, from.host, term);
                    group.step(cx, &mut self.queries);
                }
                None => send_primary_check_reply(cx, &from.host, service, term, false),
            },
            GroupMsg::PrimaryCheckReply {
                service,
                term,
                sees_working_primary,
            } => {
                if let Some(group) = self.groups.get_mut(&service) {
                    group.on_primary_check_reply(cx, &from.host, term, sees_working_primary);
                    group.step(cx, &mut self.queries);
                }
            }
        }
    }

    /// Sends the probes and orders that are due, and advances elections.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        for group in self.groups.values_mut() {
            if group.wake_at().is_some_and(|at| at <= cx.now) {
                group.step(cx, &mut self.queries);
            }
        }
    }

    /// Returns when the next probe or election step is due.
    pub fn wake_at(&self) -> Option<Instant> {
        self.groups.values().filter_map(Group::wake_at).min()
    }

    /// Stops probes and elections of this host, and gives all its claims back.
    ///
    /// The traffic parts must have finished their work. They are told that the claims have
    /// ended, and from then on another owner may claim the same slots and connections.
    pub fn stop_and_unclaim(&mut self, cx: &mut Cx<'_>) {
        for group in std::mem::take(&mut self.groups).values_mut() {
            group.release_claims(cx, &mut self.queries);
        }
    }

    /// Probes an instance at once.
    fn on_connection_failed(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        upstream: &UpstreamId,
    ) {
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        if let Some(member) = group.members.get_mut(upstream) {
            member.next_probe_at = cx.now;
        }
        group.step(cx, &mut self.queries);
    }

    /// Gives a drained claim back, unless this host has become an owner of the instance again.
    fn on_claim_drained(&mut self, cx: &mut Cx<'_>, service: &ServiceId, upstream: &UpstreamId) {
        let group = self.groups.get_mut(service);
        let member = group.and_then(|group| group.members.get_mut(upstream));
        let Some(member) = member.filter(|member| member.releasing) else {
            return;
        };
        member.releasing = false;
        member.claim = None;
        let announcement = member.announcement.clone();
        self.queries.unclaim(cx, &announcement);
    }

    /// Returns the newest known primary of a service and its term.
    pub fn primary(&self, service: &ServiceId) -> Option<&(Term, UpstreamId)> {
        self.groups.get(service)?.primary.as_ref()
    }
}

/// Tells another owner whether this host sees a working primary.
pub(crate) fn send_primary_check_reply(
    cx: &mut Cx<'_>,
    to: &HostId,
    service: ServiceId,
    term: Term,
    sees_working_primary: bool,
) {
    let msg = GroupMsg::PrimaryCheckReply {
        service,
        term,
        sees_working_primary,
    };
    cx.send_control(to, msg);
}
