//! The one effect type.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use model::{
    Answer, CallId, ConnId, PartAddr, Position, RequestId, ServiceId, SessionId, UpstreamId,
    WorkspaceId,
};

use crate::authority::PromotionOrder;
use crate::call::Reply;
use crate::raft::Persist;
use crate::upstream_query::{QueryId, UpstreamQuery};
use crate::{Event, LogEvent, Msg, View};

/// Everything that a decision can cause.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message to one part of one host, this one included.
    Send {
        /// The receiver.
        to: PartAddr,
        /// The message.
        msg: Msg,
    },
    /// Gives a new view of the fleet to every traffic part of this host.
    PublishView(Arc<View>),
    /// Passes an event on to another part of this host.
    ForwardEvent {
        /// The part.
        part: model::PartId,
        /// The event.
        event: Box<Event>,
    },
    /// Sets the address at which a host accepts links, for messages to it.
    SetPeerAddress {
        /// The host.
        host: model::HostId,
        /// Its address.
        addr: SocketAddr,
    },
    /// Replies to an operator's or platform's call.
    Reply {
        /// The call.
        id: CallId,
        /// The reply.
        reply: Reply,
    },
    /// Hands a caller the answer to its request.
    Answer {
        /// The session.
        session: SessionId,
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Ends a caller's login: accepts the session or refuses it.
    FinishLogin {
        /// The session.
        session: SessionId,
        /// The refusal, if it is turned away.
        result: Result<(), model::Refusal>,
    },
    /// Ends a caller's session.
    EndSession {
        /// The session.
        session: SessionId,
        /// Why it ends.
        refusal: model::Refusal,
    },
    /// Opens a pooled connection.
    OpenConn {
        /// The number of the new connection.
        conn: ConnId,
        /// The upstream.
        upstream: UpstreamId,
        /// Where it listens.
        addr: SocketAddr,
        /// The service that it must serve.
        service: ServiceId,
        /// The workspace whose requests it is for, if connections are not shared.
        workspace: Option<WorkspaceId>,
    },
    /// Runs a request on a pooled connection.
    RunOnConn {
        /// The connection.
        conn: ConnId,
        /// The encoded request.
        payload: Bytes,
        /// Waits for a position first; the outcome says whether it was reached.
        wait_for: Option<(Position, Duration)>,
        /// The upstream must refuse the request unless it is the primary.
        as_primary: bool,
        /// Asks for the upstream's status after the request.
        want_status: bool,
        /// How long the answer may take before the connection is given up.
        timeout: Duration,
    },
    /// Closes a pooled connection.
    CloseConn(ConnId),
    /// Sends a query to an upstream outside of the pool.
    QueryUpstream {
        /// Identifies the answer.
        id: QueryId,
        /// The upstream.
        upstream: UpstreamId,
        /// The service that it must serve.
        service: ServiceId,
        /// Where it listens.
        addr: SocketAddr,
        /// The query.
        query: UpstreamQuery,
        /// Takes a new connection rather than the open one.
        fresh: bool,
        /// How long the answer may take.
        timeout: Duration,
    },
    /// Orders the platform to promote an instance to primary.
    OrderPromotion(PromotionOrder),
    /// Writes state to disk and syncs it.
    Persist(Persist),
    /// Writes a log line.
    Log(LogEvent),
    /// Reports that a leaving part has no work left and can end.
    PartDrained,
}
