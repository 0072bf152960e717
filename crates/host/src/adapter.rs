//! The interface between a host and the protocol that its callers and upstreams speak.
//!
//! The reducer knows no wire format. An adapter translates callers' messages to requests, runs
//! requests and queries on upstreams, serves the calls of the platform that the host runs on,
//! and sends that platform orders to promote an upstream. `host::Postgres` is one adapter (it
//! has no platform); the `platform` crate has another.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use budget::Charge;
use bytes::Bytes;
use decide::Event;
use decide::authority::{PromotionError, PromotionOrder};
use decide::call::{Call, Reply};
use decide::caller::{CallerEvent, Login};
use decide::conn::{LossReason, RunOutcome};
use decide::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use model::{
    Answer, CONTROL_PART, PartId, Position, Refusal, Request, RequestId, ServiceId, SessionId,
    UpstreamId, Verdict, WorkspaceId,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use crate::conn_budget::{Budget, CloseReason, ConnBudget};
use crate::inbox::{Inboxes, Input};
use crate::logs;
use crate::settings::{CallerSettings, OrderSettings, UpstreamSettings};

/// How long a caller's request, or what a session keeps, may wait for memory.
const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// How long the control part may take to reply to a call.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Translates between the reducer's types and the protocols of callers, upstreams and platform.
pub trait Adapter: 'static {
    /// An open connection to an upstream.
    type Conn: UpstreamConn;

    /// Serves a caller's connection until either side ends the session.
    fn serve_caller(caller: &mut CallerChannel, stream: TcpStream) -> impl Future<Output = ()>;

    /// Connects to an upstream and logs in, within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the upstream can't be reached or refuses the login.
    fn connect(
        target: &UpstreamTarget,
        cfg: &UpstreamSettings,
        timeout: Duration,
    ) -> impl Future<Output = Result<Self::Conn, LoginError>>;

    /// Serves the platform's calls on `listen.platform` until `stop` becomes true.
    fn serve_platform_calls(
        listener: TcpListener,
        calls: CallSender,
        budget: Budget,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + Send;

    /// Sends the platform an order to promote an upstream, and waits at most `cfg.timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the order or doesn't answer.
    fn order_promotion(
        cfg: &OrderSettings,
        order: &PromotionOrder,
    ) -> impl Future<Output = Result<(), PromotionError>>;
}

/// An open connection to an upstream, which runs one request or query at a time.
pub trait UpstreamConn {
    /// Runs a request and returns its answer, whose bytes are counted by `meter`.
    ///
    /// `sent` is set before the first byte is sent that could make the request run: while it is
    /// false, the request has certainly not run.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer that is certainly the request's own; the connection is then
    /// of no more use.
    fn run(
        &mut self,
        job: &RunJob,
        meter: &mut AnswerMeter,
        sent: &mut bool,
    ) -> impl Future<Output = Result<RunOutcome, LossReason>>;

    /// Sends a query and returns the upstream's reply.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, the upstream refuses, or the reply may be another query's.
    fn query(
        &mut self,
        query: &UpstreamQuery,
    ) -> impl Future<Output = Result<QueryReply, ConnQueryError>>;

    /// Sends a query to an upstream of an evacuated data centre, with no statement of the host's own
    /// beside it; the connection is new and is closed afterwards.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::query`] does.
    fn query_alone(
        &mut self,
        query: &UpstreamQuery,
    ) -> impl Future<Output = Result<QueryReply, ConnQueryError>> {
        self.query(query)
    }

    /// Waits until the idle connection is of no more use, and returns why; loses no bytes if the
    /// future is dropped.
    fn closed(&mut self) -> impl Future<Output = LossReason>;
}

/// Counts the bytes of an answer while an upstream sends it.
#[derive(Debug)]
pub struct AnswerMeter {
    limit: usize,
    charge: Option<Charge>,
}

impl AnswerMeter {
    /// Returns a meter for an answer of at most `limit` bytes that are not counted.
    pub fn of_limit(limit: usize) -> Self {
        Self {
            limit,
            charge: None,
        }
    }

    /// Returns a meter for an answer of at most `limit` bytes that are counted by `charge`.
    pub(crate) fn new(limit: usize, charge: Charge) -> Self {
        let charge = Some(charge);
        Self { limit, charge }
    }

    /// Returns the largest answer in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Counts the answer as having this many bytes; waits while the budget does not allow them.
    ///
    /// Bytes over the limit aren't waited for, since the budget may never allow them.
    pub async fn reserve(&mut self, bytes: usize) {
        if let Some(charge) = &mut self.charge {
            charge.set(bytes.min(self.limit)).await;
        }
    }

    /// Returns the whole answer, whose bytes stay counted until its last copy is dropped.
    pub(crate) fn attach(self, answer: Bytes) -> Bytes {
        match self.charge {
            Some(mut charge) if !answer.is_empty() => {
                charge.force(answer.len());
                charge.attach(answer)
            }
            _ => answer,
        }
    }
}

/// Why a query on an open connection got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnQueryError {
    /// The query failed.
    Failed(QueryError),
    /// The upstream answers, but its answers can't be matched to queries any more.
    OutOfStep,
}

impl From<QueryError> for ConnQueryError {
    fn from(error: QueryError) -> Self {
        Self::Failed(error)
    }
}

impl From<ConnQueryError> for QueryError {
    fn from(error: ConnQueryError) -> Self {
        match error {
            ConnQueryError::Failed(error) => error,
            ConnQueryError::OutOfStep => Self::Broken,
        }
    }
}

/// The upstream that a new connection goes to.
#[derive(Clone, Debug)]
pub struct UpstreamTarget {
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// The upstream that is expected there.
    pub upstream: UpstreamId,
    /// The service that it must serve.
    pub service: ServiceId,
    /// The workspace whose requests will run, or `None` if the connection is shared by all.
    pub workspace: Option<WorkspaceId>,
    /// Whether the connection is for queries only, outside of the pool.
    pub for_queries: bool,
}

/// A request to be run on a pooled connection.
#[derive(Debug)]
pub struct RunJob {
    /// The encoded request.
    pub payload: Bytes,
    /// A log position that the upstream must reach first, and how long to wait for it.
    pub wait_for: Option<(Position, Duration)>,
    /// Whether the upstream must refuse the request unless it is the primary.
    pub require_primary: bool,
    /// Whether to ask for the upstream's status after the request.
    pub want_status: bool,
    /// How long the wait, the request and the query for the status may take together before the
    /// connection is closed.
    pub timeout: Duration,
}

/// Why a connection to an upstream could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum LoginError {
    /// It can't be reached, or did not answer in time.
    #[error("the upstream can't be reached")]
    Unreachable,
    /// Its address refuses connections.
    #[error("the upstream's address refuses connections")]
    ConnectionRefused,
    /// Another upstream answers at its address.
    #[error("another upstream answers at its address: {0}")]
    OtherUpstream(String),
    /// All its connections are in use.
    #[error("the upstream has no connection to spare")]
    Exhausted,
    /// It refused for another reason.
    #[error("the upstream refused the login: {0}")]
    Refused(String),
}

impl From<io::Error> for LoginError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::ConnectionRefused,
            _ => Self::Unreachable,
        }
    }
}

impl From<LoginError> for QueryError {
    fn from(error: LoginError) -> Self {
        match error {
            LoginError::Unreachable => Self::Unreachable,
            LoginError::ConnectionRefused => Self::ConnectionRefused,
            LoginError::OtherUpstream(_) => Self::OtherUpstream,
            LoginError::Exhausted | LoginError::Refused(_) => Self::Refused,
        }
    }
}

/// A message from the reducer to a caller's task.
#[derive(Debug)]
pub enum ToCaller {
    /// The login was accepted or refused.
    LoginFinished(Result<(), Refusal>),
    /// The answer to a request.
    Answer(RequestId, Answer),
    /// The host ends the session for this reason.
    EndSession(Refusal),
}

/// The channel between a caller's task and the reducer of its traffic part.
pub struct CallerChannel {
    /// The session's number, unique within the traffic part.
    pub session: SessionId,
    /// Limits for the caller.
    pub cfg: Rc<CallerSettings>,
    /// How long a request may take that states no timeout of its own.
    pub request_timeout: Duration,
    /// The connection's share of the byte budget.
    pub budget: ConnBudget,
    part: PartId,
    inboxes: Inboxes,
    rx: mpsc::UnboundedReceiver<ToCaller>,
    last_request: RequestId,
    /// A request that was refused before it was submitted, with its answer.
    refused: Option<(RequestId, Answer)>,
}

impl CallerChannel {
    pub(crate) fn new(
        session: SessionId,
        part: PartId,
        inboxes: Inboxes,
        cfg: Rc<CallerSettings>,
        request_timeout: Duration,
        budget: ConnBudget,
        rx: mpsc::UnboundedReceiver<ToCaller>,
    ) -> Self {
        Self {
            session,
            cfg,
            request_timeout,
            budget,
            part,
            inboxes,
            rx,
            last_request: 0,
            refused: None,
        }
    }

    fn send_event(&self, event: CallerEvent) {
        self.inboxes.send_event(self.part, Event::Caller(event));
    }

    /// Asks the reducer for a session and waits for the outcome.
    ///
    /// # Errors
    ///
    /// Returns the reason if the login is refused, or `NotReady` if the host stops.
    pub async fn log_in(&mut self, login: Login) -> Result<(), Refusal> {
        let session = self.session;
        self.budget.closing().note_login_sent();
        self.send_event(CallerEvent::Login { session, login });
        loop {
            match self.rx.recv().await {
                Some(ToCaller::LoginFinished(result)) => return result,
                Some(ToCaller::EndSession(refusal)) => return Err(refusal),
                Some(ToCaller::Answer(..)) => {}
                None => return Err(Refusal::NotReady),
            }
        }
    }

    /// Submits a request; its answer comes from [`Self::recv`].
    ///
    /// The request's bytes are counted until its last copy is dropped. If the budget does not allow
    /// them within [`MEMORY_WAIT`], the request is answered as refused.
    pub async fn submit(&mut self, mut req: Request) -> RequestId {
        self.last_request += 1;
        let (session, id) = (self.session, self.last_request);
        let mut charge = self.budget.charge();
        let bytes = req.payload.len();
        let allowed = tokio::time::timeout(MEMORY_WAIT, charge.set(bytes)).await;
        // The end of a transaction must not be refused: it would leave the transaction open.
        if allowed.is_err() && !req.in_transaction {
            let answer = Answer::without_result(Verdict::NotRun(Refusal::Overloaded));
            self.refused = Some((id, answer));
            if logs::may_write(141) {
                log::warn!("event=141 request-refused session={session} bytes={bytes}");
            }
            return id;
        }
        charge.force(bytes);
        req.payload = charge.attach(req.payload);
        self.send_event(CallerEvent::Request { session, id, req });
        id
    }

    /// Counts what a session keeps between its requests; returns whether the budget allows it.
    pub async fn keep(&self, kept: &mut Charge, bytes: usize) -> bool {
        let allowed = tokio::time::timeout(MEMORY_WAIT, kept.set(bytes)).await;
        if allowed.is_err() {
            self.budget.note_closed(CloseReason::KeptTooMuch);
        }
        allowed.is_ok()
    }

    /// Waits for the next message to the caller; `None` means that the host stops.
    pub async fn recv(&mut self) -> Option<ToCaller> {
        if let Some((id, answer)) = self.refused.take() {
            return Some(ToCaller::Answer(id, answer));
        }
        self.rx.recv().await
    }

    pub(crate) fn report_closed(self) {
        let session = self.session;
        self.send_event(CallerEvent::Closed { session });
    }
}

/// Sends calls of operators, upstreams and the platform to the control part.
#[derive(Clone, Debug)]
pub struct CallSender {
    inboxes: Inboxes,
}

impl CallSender {
    pub(crate) fn new(inboxes: Inboxes) -> Self {
        Self { inboxes }
    }

    /// Sends a call and returns its reply, or `Reply::Unconfirmed` if none comes in time.
    pub async fn call(&self, call: Call) -> Reply {
        let (reply, answer) = oneshot::channel();
        self.inboxes.send(CONTROL_PART, Input::Call { call, reply });
        let answer = tokio::time::timeout(REPLY_TIMEOUT, answer).await;
        answer
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Reply::Unconfirmed)
    }
}
