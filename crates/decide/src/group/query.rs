//! Queries to instances that have not been answered yet, each with its purpose.

use std::time::{Duration, Instant};

use model::{Announcement, HashMap, HostId, ServiceId, Term, UpstreamId};

use crate::upstream_query::{QueryId, UpstreamQuery};
use crate::{Cx, Effect};

/// A query that has been sent to an instance and not answered yet.
#[derive(Clone, Debug)]
pub struct PendingQuery {
    /// Service whose group the instance belongs to.
    pub service: ServiceId,
    /// Instance to which the query was sent.
    pub upstream: UpstreamId,
    /// Decides what is done with the answer.
    pub purpose: QueryPurpose,
    /// Whether a connection was opened for it, rather than an open one used.
    pub new_connection: bool,
    /// When it was sent.
    pub asked_at: Instant,
}

/// Why a query was sent to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryPurpose {
    /// Regular probe of its status, which also renews this host's claim on it.
    Probe,
    /// Another owner asked whether the primary of a term can confirm writes.
    PrimaryCheck {
        /// Owner that gets the reply.
        asker: HostId,
        /// Term of the primary that it suspects.
        term: Term,
    },
    /// Request to promise this term to the candidate.
    Promise(Term),
    /// Order to become the primary of this term.
    Promote(Term),
    /// Order to follow the primary.
    Follow,
    /// Gives this host's claim on it back.
    Unclaim,
}

/// How a query is sent.
#[derive(Clone, Copy, Debug)]
pub struct QueryOptions {
    /// Whether to open a connection for it, rather than use an open one.
    pub new_connection: bool,
    /// Time after which the query counts as unanswered.
    pub timeout: Duration,
}

/// Queries to instances of all groups that have not been answered yet.
#[derive(Debug, Default)]
pub struct PendingQueries {
    last_id: QueryId,
    pending: HashMap<QueryId, PendingQuery>,
}

impl PendingQueries {
    /// Sends a query to an instance and returns its id.
    pub fn send(
        &mut self,
        cx: &mut Cx<'_>,
        to: &Announcement,
        purpose: QueryPurpose,
        upstream_query: UpstreamQuery,
        options: QueryOptions,
    ) -> QueryId {
        self.last_id += 1;
        let query = PendingQuery {
            service: to.service.clone(),
            upstream: to.upstream.clone(),
            purpose,
            new_connection: options.new_connection,
            asked_at: cx.now,
        };
        self.pending.insert(self.last_id, query);
        cx.emit(Effect::QueryUpstream {
            id: self.last_id,
            upstream: to.upstream.clone(),
            service: to.service.clone(),
            addr: to.addr,
            query: upstream_query,
            new_connection: options.new_connection,
            alone: false,
            timeout: options.timeout,
        });
        self.last_id
    }

    /// Gives this host's claim on an instance back.
    pub fn unclaim(&mut self, cx: &mut Cx<'_>, to: &Announcement) {
        let options = QueryOptions {
            new_connection: false,
            timeout: cx.settings.group.order_timeout,
        };
        let host = cx.me.host.clone();
        self.send(
            cx,
            to,
            QueryPurpose::Unclaim,
            UpstreamQuery::Unclaim { host },
            options,
        );
    }

    /// Removes a query that has been answered, and returns it if it was pending.
    pub fn remove(&mut self, id: QueryId) -> Option<PendingQuery> {
        self.pending.remove(&id)
    }
}
