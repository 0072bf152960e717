//! Detects lost primaries and replaces them, with the upstreams as acceptors of terms.
//!
//! An owner of any instance of a group probes all its instances ([`crate::group::probe`]).
//! When the primary seems lost ([`crate::group::suspect`]) it asks the other owners
//! ([`crate::group::agree`]), collects promises and promotes ([`crate::group::elect`]),
//! and every owner tells the other instances to follow ([`crate::group::follow`]).

pub mod agree;
pub mod ask;
pub mod elect;
pub mod follow;
pub mod log_event;
pub mod member;
pub mod probe;
pub mod settings;
pub mod state;
pub mod suspect;

use std::collections::BTreeMap;
use std::time::Instant;

use model::{HostId, PartAddr, ServiceId, Term, UpstreamId};
use serde::{Deserialize, Serialize};

pub use crate::group::log_event::GroupLogEvent;
pub use crate::group::settings::GroupSettings;

use crate::group::ask::Questions;
use crate::group::state::Group;
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Cx, View};

/// Messages of this area, between control parts of owners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupMsg {
    /// A traffic part of this host uses nothing of an instance any more.
    Released {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
    },
    /// A traffic part of this host has lost a connection to an instance, or got none.
    Doubted {
        /// The service.
        service: ServiceId,
        /// The instance.
        upstream: UpstreamId,
    },
    /// Asks whether the receiver still sees a primary that can confirm writes.
    Suspect {
        /// The service.
        service: ServiceId,
        /// The term of the primary that the sender suspects.
        term: Term,
    },
    /// Answers such a question.
    Sighting {
        /// The service.
        service: ServiceId,
        /// The term that was suspected.
        term: Term,
        /// Whether a primary of that or a later term can confirm writes.
        confirms: bool,
    },
}

/// The groups of which this host owns any instance.
#[derive(Debug, Default)]
pub struct Groups {
    questions: Questions,
    groups: BTreeMap<ServiceId, Group>,
}

impl Groups {
    /// Returns the state of a host that owns nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the groups, instances and owners of a view.
    pub fn sync(&mut self, cx: &mut Cx<'_>, view: &View) {
        let me = &cx.me.host;
        let owned = |service: &ServiceId| {
            view.services.get(service).is_some_and(|known| {
                let owns = |upstream: &UpstreamId| {
                    let upstream = view.upstreams.get(upstream);
                    upstream.is_some_and(|upstream| upstream.owners.contains(me))
                };
                known.upstreams.iter().any(owns)
            })
        };
        let releases = |group: &Group| group.members.values().any(|member| member.releasing);
        for (service, known) in &view.services {
            if !owned(service) && !self.groups.contains_key(service) {
                continue;
            }
            let group = self
                .groups
                .entry(service.clone())
                .or_insert_with(|| Group::new(service.clone(), cx.now));
            group.sync(cx, view, known);
            group.step(cx, &mut self.questions);
        }
        self.groups
            .retain(|service, group| owned(service) || releases(group));
    }

    /// Takes an instance's answer to a question.
    pub fn on_query_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: QueryId,
        result: Result<QueryReply, QueryError>,
    ) {
        let Some(question) = self.questions.answered(id) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&question.service) else {
            return;
        };
        group.on_query_reply(cx, &mut self.questions, id, &question, result);
        group.step(cx, &mut self.questions);
    }

    /// Takes a message of another owner.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: GroupMsg) {
        match msg {
            GroupMsg::Doubted { service, upstream } => self.doubted(cx, &service, &upstream),
            GroupMsg::Released { service, upstream } => self.released(cx, &service, &upstream),
            GroupMsg::Suspect { service, term } => match self.groups.get_mut(&service) {
                Some(group) => {
                    group.on_suspect(cx, &mut self.questions, from.host, term);
                    group.step(cx, &mut self.questions);
                }
                None => send_sighting(cx, &from.host, service, term, false),
            },
            GroupMsg::Sighting {
                service,
                term,
                confirms,
            } => {
                if let Some(group) = self.groups.get_mut(&service) {
                    group.on_sighting(cx, &from.host, term, confirms);
                    group.step(cx, &mut self.questions);
                }
            }
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        for group in self.groups.values_mut() {
            if group.wake_at().is_some_and(|at| at <= cx.now) {
                group.step(cx, &mut self.questions);
            }
        }
    }

    /// Returns when the next probe or step of an attempt is due.
    pub fn wake_at(&self) -> Option<Instant> {
        self.groups.values().filter_map(Group::wake_at).min()
    }

    /// Stops probing and standing as candidate, and gives all claims back.
    ///
    /// The traffic parts must have finished their work: they are told that the claims have
    /// ended, and another owner may take them over from then on.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        for group in std::mem::take(&mut self.groups).values_mut() {
            group.give_back(cx, &mut self.questions);
        }
    }

    /// Probes an instance at once.
    fn doubted(&mut self, cx: &mut Cx<'_>, service: &ServiceId, upstream: &UpstreamId) {
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        if let Some(member) = group.members.get_mut(upstream) {
            member.probe_at = cx.now;
        }
        group.step(cx, &mut self.questions);
    }

    /// Gives a claim back that nothing uses any more, unless this host owns the instance again.
    fn released(&mut self, cx: &mut Cx<'_>, service: &ServiceId, upstream: &UpstreamId) {
        let group = self.groups.get_mut(service);
        let member = group.and_then(|group| group.members.get_mut(upstream));
        let Some(member) = member.filter(|member| member.releasing) else {
            return;
        };
        member.releasing = false;
        member.claim = None;
        let announcement = member.announcement.clone();
        self.questions.unclaim(cx, &announcement);
    }

    /// Returns the newest primary of a service that this host knows of.
    pub fn primary(&self, service: &ServiceId) -> Option<&(Term, UpstreamId)> {
        self.groups.get(service)?.primary.as_ref()
    }
}

/// Answers another owner's question.
pub(crate) fn send_sighting(
    cx: &mut Cx<'_>,
    to: &HostId,
    service: ServiceId,
    term: Term,
    confirms: bool,
) {
    let msg = GroupMsg::Sighting {
        service,
        term,
        confirms,
    };
    cx.send_control(to, msg);
}
