//! The one event type.

use std::sync::Arc;
use std::time::Instant;

use model::{CallId, Claim, HostId, InstanceStatus, PartAddr, Position, ServiceId, UpstreamId};

use crate::authority::{PromotionError, PromotionOrder};
use crate::call::Call;
use crate::caller::CallerEvent;

use crate::conn::ConnEvent;
use crate::grant::{PartTokenDemand, PartTokenGrant};
use crate::raft::Persisted;
use crate::replicated_state::Committed;
use crate::spread::{Fact, Seed};
use crate::upstream_query::QueryId;
use crate::upstream_query::{QueryError, QueryReply};
use crate::{Msg, View};

/// Everything that can happen to a part of the state.
#[derive(Clone, Debug)]
pub enum Event {
    /// A moment has come that the state asked to be woken at.
    Tick,
    /// A part, of this host or of another, has sent a message.
    Peer {
        /// Who sent it.
        from: PartAddr,
        /// What was sent.
        msg: Msg,
    },
    /// The link to a host broke, so that what was sent may be lost.
    LinkDown(HostId),
    /// A message could not be sent, and no byte of it has left.
    Undelivered {
        /// The receiver that can't be reached.
        to: PartAddr,
        /// The message.
        msg: Msg,
    },
    /// An operator or the platform calls this host.
    Call {
        /// Identifies the reply.
        id: CallId,
        /// What is asked for.
        call: Call,
    },
    /// A caller did something.
    Caller(CallerEvent),
    /// A pooled connection to an upstream did something.
    Conn(ConnEvent),
    /// An upstream has answered a query made outside of the pool, or the query has failed.
    QueryAnswered {
        /// The query.
        id: QueryId,
        /// The upstream's reply, or why there is none.
        result: Result<QueryReply, QueryError>,
    },
    /// The control part tells a traffic part an upstream's status and this host's claim on it.
    UpstreamProbed(ProbeResult),
    /// A write has run and may be acknowledged once its position is confirmed.
    AwaitCommit(AwaitCommit),
    /// A traffic part of this host reports the tokens that it has used and those that it needs.
    TokenDemand(PartTokenDemand),
    /// The control part of this host gives tokens to a traffic part.
    TokenGrant(PartTokenGrant),
    /// The platform has answered an order to promote an instance, or has failed to.
    PromotionAnswered {
        /// The order.
        order: PromotionOrder,
        /// Whether it was carried out.
        result: Result<(), PromotionError>,
    },
    /// A write of consensus state has been synced to disk.
    Persisted(Persisted),
    /// The control part has published a new view.
    View(Arc<View>),
    /// A module of the control part has learned a fact that all hosts should know.
    FactLearned(Fact),
    /// The tables behind the view have changed.
    TablesChanged,
    /// A configuration or membership entry is committed.
    Committed(Committed),
    /// The settings now name other control hosts, by whose addresses this host joins.
    SeedsChanged(Vec<Seed>),
    /// The host is asked to leave.
    Leave,
    /// All traffic parts of this leaving host have ended their work.
    TrafficDrained,
}

/// The result of a status query to an upstream that this host owns, for a traffic part.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its status, unless it can't be reached.
    pub status: Option<InstanceStatus>,
    /// The moment at which the status was asked for.
    pub asked_at: Instant,
    /// This host's share of its capacity, and when it ends.
    pub claim: Option<(Claim, Instant)>,
}

/// A write that has run and waits for its position to be confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AwaitCommit {
    /// Identifies the outcome within the part.
    pub ticket: u64,
    /// The service that was written to.
    pub service: ServiceId,
    /// The primary that the write ran on.
    pub upstream: UpstreamId,
    /// The place of the log after the write, in the term that it ran in.
    pub position: Position,
    /// Whether it only has to be shown that the primary was not replaced, as for a read.
    pub term_only: bool,
    /// The moment after which the outcome counts as unknown.
    pub deadline: Instant,
}
