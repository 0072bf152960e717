//! The events that the reducer takes.

use std::sync::Arc;
use std::time::Instant;

use model::{CallId, Claim, HostId, InstanceStatus, PartAddr, Position, ServiceId, UpstreamId};

use crate::ack_lease::AckLease;
use crate::authority::{PromotionError, PromotionOrder};
use crate::call::Call;
use crate::caller::CallerEvent;
use crate::conn::ConnEvent;
use crate::entry::explanation::Explanation;
use crate::grant::{PartTokenDemand, PartTokenGrant};
use crate::raft::Persisted;
use crate::replicated_state::Committed;
use crate::spread::{Fact, Seed};
use crate::upstream_query::{QueryError, QueryId, QueryReply};
use crate::{Msg, View};

/// Something that has happened to a part of a host, for [`reduce`](crate::reduce).
#[derive(Clone, Debug)]
pub enum Event {
    /// The moment that the part's `wake_at` returned has come.
    Tick,
    /// A part, of this host or of another, has sent a message.
    Peer {
        /// The part that sent it.
        from: PartAddr,
        /// The message.
        msg: Msg,
    },
    /// The link to a host broke, so that messages sent to it may be lost.
    LinkDown(HostId),
    /// A message could not be sent, and no byte of it has left this host.
    Undelivered {
        /// The receiver that can't be reached.
        to: PartAddr,
        /// The message.
        msg: Msg,
    },
    /// An operator or the platform has made a call to this host; the control part passes on what a
    /// traffic part has to answer.
    Call {
        /// Number of the call, for the reply.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// A traffic part of this host has answered [`Call::Explain`], which the control part passed on.
    Explained {
        /// Number of the call, for the reply.
        id: CallId,
        /// The answer.
        explanation: Box<Explanation>,
    },
    /// A caller has asked for a session, sent a request or gone.
    Caller(CallerEvent),
    /// A pooled connection to an upstream has opened, finished a request or failed.
    Conn(ConnEvent),
    /// An upstream has answered a query made outside of the pool, or the query has failed.
    QueryAnswered {
        /// Number of the query, unique within the part.
        id: QueryId,
        /// The upstream's reply, or why there is none.
        result: Result<QueryReply, QueryError>,
    },
    /// The control part tells a traffic part an upstream's status, and the slots and connections
    /// of it that this host may use (its claim).
    UpstreamProbed(ProbeResult),
    /// A request has run, and its answer waits for the confirmation of its log position.
    AwaitCommit(AwaitCommit),
    /// A traffic part of this host reports the tokens that it has used and those that it needs.
    TokenDemand(PartTokenDemand),
    /// The control part of this host gives tokens to a traffic part.
    TokenGrant(PartTokenGrant),
    /// The platform has answered an order to promote an instance, or has failed to.
    PromotionAnswered {
        /// The order.
        order: PromotionOrder,
        /// `Ok` if the platform has carried it out.
        result: Result<(), PromotionError>,
    },
    /// A write of consensus state has been synced to disk.
    Persisted(Persisted),
    /// The control part of this host has published a new view.
    View(Arc<View>),
    /// A feature of the control part has learned a fact to send to all hosts.
    FactLearned(Fact),
    /// The tables of hosts, upstreams and services have changed, so that a new view is due.
    TablesChanged,
    /// The control part has a new lease by which acknowledgements of commits are passed on.
    AckLease {
        /// The lease.
        lease: AckLease,
        /// Whether the leader had the same facts as this host, so that it knows each instance of
        /// the last view.
        leader_has_same_facts: bool,
    },
    /// Consensus has committed an entry, or confirmed that a configuration is current.
    Committed(Committed),
    /// The settings were reloaded with other seeds, the control hosts by which this host joins.
    SeedsChanged(Vec<Seed>),
    /// This host is asked to finish its work and leave the fleet.
    Leave,
    /// This leaving host stops in a moment, whether or not its work is finished.
    LeaveTimedOut,
    /// All traffic parts of this leaving host have finished their work.
    TrafficDrained,
}

/// An upstream's last known status and this host's claim on it, for the traffic parts.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its status; `None` if it can't be reached.
    pub status: Option<InstanceStatus>,
    /// The moment at which the query for the status was sent.
    pub asked_at: Instant,
    /// How many statements this host may run on the upstream at a time (slots), how many
    /// connections it may hold open, and when its lease on both ends; `None` without a claim.
    pub claim: Option<(Claim, Instant)>,
}

/// A request that has run and whose answer waits until its log position is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AwaitCommit {
    /// Number of the wait, unique within the part, by which its outcome is reported.
    pub ticket: u64,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The primary that it ran on.
    pub upstream: UpstreamId,
    /// The primary's log position after the request, in the term that it ran in.
    pub position: Position,
    /// Whether it is enough to confirm that the primary was not replaced, as for a read on it.
    pub confirm_term_only: bool,
    /// The moment after which the outcome is reported as unknown.
    pub deadline: Instant,
}
