//! The effects that the reducer returns.

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

/// Something that the thread of a part must do after an event, in the order of emission.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message to one part of one host, this one included.
    Send {
        /// The part that receives it.
        to: PartAddr,
        /// The message.
        msg: Msg,
    },
    /// Gives a new view of the fleet to every traffic part of this host.
    PublishView(Arc<View>),
    /// Passes an event on to another part of this host.
    ForwardEvent {
        /// The part that gets it.
        part: model::PartId,
        /// The event.
        event: Box<Event>,
    },
    /// Sets the address to which links to a host are opened.
    SetPeerAddress {
        /// The host.
        host: model::HostId,
        /// The address at which it listens for other hosts.
        addr: SocketAddr,
    },
    /// Replies to an operator's or platform's call.
    Reply {
        /// Number of the call.
        id: CallId,
        /// The reply.
        reply: Reply,
    },
    /// Sends a caller the answer to its request.
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
        /// Why the login is refused, if it is.
        result: Result<(), model::Refusal>,
    },
    /// Ends a caller's session.
    EndSession {
        /// The session.
        session: SessionId,
        /// The reason to report to the caller.
        refusal: model::Refusal,
    },
    /// Opens a pooled connection to an upstream.
    OpenConn {
        /// The number of the new connection.
        conn: ConnId,
        /// The upstream.
        upstream: UpstreamId,
        /// The upstream's address.
        addr: SocketAddr,
        /// The service that the upstream must serve.
        service: ServiceId,
        /// The workspace whose requests it is for; `None` if workspaces share connections.
        workspace: Option<WorkspaceId>,
    },
    /// Runs a request on a pooled connection.
    RunOnConn {
        /// The connection.
        conn: ConnId,
        /// The encoded request.
        payload: Bytes,
        /// Log position that the upstream must have reached first, and how long to wait for it; the
        /// outcome says whether it was reached.
        wait_for: Option<(Position, Duration)>,
        /// Whether the upstream must refuse the request unless it is the primary.
        require_primary: bool,
        /// Whether to ask for the upstream's status after the request.
        want_status: bool,
        /// Time after which the connection is closed if the answer is not complete.
        timeout: Duration,
    },
    /// Closes a pooled connection.
    CloseConn(ConnId),
    /// Sends a query to an upstream on a connection outside of the pool.
    QueryUpstream {
        /// Number of the query, which the answer repeats.
        id: QueryId,
        /// The upstream.
        upstream: UpstreamId,
        /// The service that the upstream must serve.
        service: ServiceId,
        /// The upstream's address.
        addr: SocketAddr,
        /// The query.
        query: UpstreamQuery,
        /// Whether to open a new connection even if one is open, which may have broken unnoticed.
        new_connection: bool,
        /// Whether no statement of the host's own may be sent beside it, since the data centre is
        /// evacuated.
        alone: bool,
        /// Time after which the query fails, including that to connect.
        timeout: Duration,
    },
    /// Orders the platform to promote an upstream to primary.
    OrderPromotion(PromotionOrder),
    /// Writes consensus state to disk and syncs it; [`Event::Persisted`] follows.
    Persist(Persist),
    /// Writes a log line.
    Log(LogEvent),
    /// The part is leaving and has no work left, so that its thread can end.
    PartDrained,
}
