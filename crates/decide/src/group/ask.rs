//! Questions that are under way to instances, and why each was asked.

use std::time::{Duration, Instant};

use model::{Announcement, HashMap, HostId, ServiceId, Term, UpstreamId};

use crate::upstream_query::{QueryId, UpstreamQuery};
use crate::{Cx, Effect};

/// A question under way.
#[derive(Clone, Debug)]
pub struct Question {
    /// The service.
    pub service: ServiceId,
    /// The instance that was asked.
    pub upstream: UpstreamId,
    /// Why it was asked.
    pub purpose: Purpose,
    /// Whether it took a new connection.
    pub fresh: bool,
    /// The moment at which it was asked.
    pub asked_at: Instant,
}

/// Why an instance was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The regular question for its status.
    Probe,
    /// Another owner wants to know whether the primary of a term can confirm writes.
    Check {
        /// The owner.
        asker: HostId,
        /// The term that it suspects.
        term: Term,
    },
    /// It shall promise a term.
    Promise(Term),
    /// It shall become the primary of a term.
    Promote(Term),
    /// It shall follow the primary.
    Follow,
    /// This host's claim on it ends.
    Unclaim,
}

/// How to ask.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Whether to take a new connection.
    pub fresh: bool,
    /// How long the answer may take.
    pub timeout: Duration,
}

/// All questions under way.
#[derive(Debug, Default)]
pub struct Questions {
    last: QueryId,
    open: HashMap<QueryId, Question>,
}

impl Questions {
    /// Asks an instance.
    pub fn ask(
        &mut self,
        cx: &mut Cx<'_>,
        to: &Announcement,
        purpose: Purpose,
        ask: UpstreamQuery,
        manner: Manner,
    ) -> QueryId {
        self.last += 1;
        let question = Question {
            service: to.service.clone(),
            upstream: to.upstream.clone(),
            purpose,
            fresh: manner.fresh,
            asked_at: cx.now,
        };
        self.open.insert(self.last, question);
        cx.emit(Effect::QueryUpstream {
            id: self.last,
            upstream: to.upstream.clone(),
            service: to.service.clone(),
            addr: to.addr,
            query: ask,
            new_connection: manner.fresh,
            timeout: manner.timeout,
        });
        self.last
    }

    /// Gives this host's claim on an instance back.
    pub fn unclaim(&mut self, cx: &mut Cx<'_>, to: &Announcement) {
        let manner = Manner {
            fresh: false,
            timeout: cx.settings.group.order_timeout,
        };
        let host = cx.me.host.clone();
        self.ask(
            cx,
            to,
            Purpose::Unclaim,
            UpstreamQuery::Unclaim { host },
            manner,
        );
    }

    /// Takes out a question that has been answered.
    pub fn answered(&mut self, id: QueryId) -> Option<Question> {
        self.open.remove(&id)
    }
}
