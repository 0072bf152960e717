//! The one event type.

use std::sync::Arc;
use std::time::Instant;

use model::{CallId, Claim, HostId, InstanceStatus, PartAddr, Position, ServiceId, UpstreamId};

use crate::authority::{Order, OrderError};
use crate::call::Call;
use crate::caller::CallerEvent;
use crate::conf::Committed;
use crate::conn::ConnEvent;
use crate::grant::{Feed, PartNeed};
use crate::raft::Stored;
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
    /// An upstream answered a question, or did not.
    Told {
        /// The question.
        id: QueryId,
        /// Its answer.
        result: Result<QueryReply, QueryError>,
    },
    /// The control part has asked an upstream for its status, and holds this claim on it.
    Probed(Probed),
    /// A write has run and may be acknowledged once its position is confirmed.
    AwaitCommit(AwaitCommit),
    /// A traffic part of this host has used tokens or needs more.
    Needed(PartNeed),
    /// The control part of this host hands out tokens.
    Fed(Feed),
    /// The platform has answered an order, or has not.
    Ordered {
        /// The order.
        order: Order,
        /// Whether it was carried out.
        result: Result<(), OrderError>,
    },
    /// State has been synced to disk.
    Stored(Stored),
    /// The control part has published a new view.
    View(Arc<View>),
    /// A module of the control part has learned a fact that all hosts should know.
    Learned(Fact),
    /// The tables behind the view have changed.
    TablesChanged,
    /// A configuration or membership entry is committed.
    Committed(Committed),
    /// The settings name other control hosts.
    Seeds(Vec<Seed>),
    /// The host is asked to leave.
    Leave,
    /// The traffic parts of a leaving host have ended.
    Drained,
}

/// What the control part tells a traffic part about an upstream that this host owns.
#[derive(Clone, Debug)]
pub struct Probed {
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
