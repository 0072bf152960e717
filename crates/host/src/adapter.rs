//! What another front end, or another kind of upstream, has to supply.
//!
//! Decisions know no wire format. An adapter translates callers' messages to requests,
//! runs requests and questions on upstreams, and takes calls from and gives orders to the
//! platform. `host::Postgres` is one; the `platform` crate is another.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use decide::Event;
use decide::authority::{PromotionError, PromotionOrder};
use decide::call::{Call, Reply};
use decide::caller::{CallerEvent, Login};
use decide::conn::RunOutcome;
use decide::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use model::{
    Answer, CONTROL_PART, PartId, Position, Refusal, Request, RequestId, ServiceId, SessionId,
    UpstreamId, WorkspaceId,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use crate::input::{Inboxes, Input};
use crate::settings::{CallerSettings, OrderSettings, UpstreamSettings};

/// How long the control thread may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Translates between decisions and one kind of callers, upstreams and platform.
pub trait Adapter: 'static {
    /// An open connection to an upstream.
    type Conn: UpstreamConn;

    /// Serves a caller until either side ends the session.
    fn serve(caller: &mut Caller, stream: TcpStream) -> impl Future<Output = ()>;

    /// Connects to an upstream and logs in, in bounded time.
    ///
    /// # Errors
    ///
    /// Fails if the upstream can't be reached or refuses.
    fn connect(
        target: &Target,
        cfg: &UpstreamSettings,
        timeout: Duration,
    ) -> impl Future<Output = Result<Self::Conn, LoginError>>;

    /// Serves the platform's calls until the host stops.
    fn serve_calls(
        listener: TcpListener,
        calls: Calls,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> + Send;

    /// Gives the platform an order, in bounded time.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the order or does not answer.
    fn order(
        cfg: &OrderSettings,
        order: &PromotionOrder,
    ) -> impl Future<Output = Result<(), PromotionError>>;
}

/// An open connection to an upstream, which runs one request or question at a time.
pub trait UpstreamConn {
    /// Runs a request, and returns nothing if its answer does not come whole.
    ///
    /// `sent` is set before the first byte leaves by which the request could run.
    fn run(
        &mut self,
        job: &RunJob,
        limit: usize,
        sent: &mut bool,
    ) -> impl Future<Output = Option<RunOutcome>>;

    /// Asks a question.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the upstream refuses.
    fn ask(&mut self, ask: &UpstreamQuery) -> impl Future<Output = Result<QueryReply, QueryError>>;

    /// Waits until the upstream ends the connection, while nothing runs on it.
    fn ended(&mut self) -> impl Future<Output = ()>;
}

/// An upstream to connect to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The upstream that is expected there.
    pub upstream: UpstreamId,
    /// The service that it must serve.
    pub service: ServiceId,
    /// The workspace whose requests will run, where connections are not shared.
    pub workspace: Option<WorkspaceId>,
    /// Whether the connection is for questions only.
    pub control: bool,
}

/// A request for a connection to an upstream.
#[derive(Debug)]
pub struct RunJob {
    /// The encoded request.
    pub payload: Bytes,
    /// Waits for a position first.
    pub wait_for: Option<(Position, Duration)>,
    /// The upstream must refuse the request unless it is the primary.
    pub as_primary: bool,
    /// Asks for the status afterwards.
    pub want_status: bool,
    /// How long the whole may take.
    pub timeout: Duration,
}

/// Why an upstream gave no connection.
#[derive(Debug, thiserror::Error)]
pub enum LoginError {
    /// It can't be reached, or is silent.
    #[error("the upstream can't be reached")]
    Unreachable,
    /// It has no connection to spare.
    #[error("the upstream has no connection to spare")]
    Exhausted,
    /// It refused for another reason.
    #[error("the upstream refused the login: {0}")]
    Refused(String),
}

impl From<LoginError> for QueryError {
    fn from(error: LoginError) -> Self {
        match error {
            LoginError::Unreachable => Self::Unreachable,
            LoginError::Exhausted | LoginError::Refused(_) => Self::Refused,
        }
    }
}

/// What the reducer has for a caller.
#[derive(Debug)]
pub enum ToCaller {
    /// The login was admitted or turned away.
    Admitted(Result<(), Refusal>),
    /// The answer to a request.
    Answer(RequestId, Answer),
    /// The session ends.
    End(Refusal),
}

/// One caller's way to the reducer and back.
pub struct Caller {
    /// The session's number.
    pub session: SessionId,
    /// Bounds on what the caller may cost.
    pub cfg: Rc<CallerSettings>,
    /// How long a request may take that states nothing else.
    pub request_timeout: Duration,
    part: PartId,
    inboxes: Inboxes,
    rx: mpsc::UnboundedReceiver<ToCaller>,
    last_id: RequestId,
}

impl Caller {
    pub(crate) fn new(
        session: SessionId,
        part: PartId,
        inboxes: Inboxes,
        cfg: Rc<CallerSettings>,
        request_timeout: Duration,
        rx: mpsc::UnboundedReceiver<ToCaller>,
    ) -> Self {
        Self {
            session,
            cfg,
            request_timeout,
            part,
            inboxes,
            rx,
            last_id: 0,
        }
    }

    fn tell(&self, event: CallerEvent) {
        self.inboxes.event(self.part, Event::Caller(event));
    }

    /// Asks for a session.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the caller is turned away.
    pub async fn log_in(&mut self, login: Login) -> Result<(), Refusal> {
        let session = self.session;
        self.tell(CallerEvent::Login { session, login });
        loop {
            match self.rx.recv().await {
                Some(ToCaller::Admitted(result)) => return result,
                Some(ToCaller::End(refusal)) => return Err(refusal),
                Some(ToCaller::Answer(..)) => {}
                None => return Err(Refusal::NotReady),
            }
        }
    }

    /// Submits a request; its answer comes from [`Self::next`].
    pub fn submit(&mut self, req: Request) -> RequestId {
        self.last_id += 1;
        let (session, id) = (self.session, self.last_id);
        self.tell(CallerEvent::Request { session, id, req });
        id
    }

    /// Waits for what the reducer has for the caller; none once the host stops.
    pub async fn next(&mut self) -> Option<ToCaller> {
        self.rx.recv().await
    }

    pub(crate) fn close(self) {
        let session = self.session;
        self.tell(CallerEvent::Closed { session });
    }
}

/// The way of the platform's and operators' calls to the control thread.
#[derive(Clone, Debug)]
pub struct Calls {
    inboxes: Inboxes,
}

impl Calls {
    pub(crate) fn new(inboxes: Inboxes) -> Self {
        Self { inboxes }
    }

    /// Returns the reply to a call; one that does not come in time is unconfirmed.
    pub async fn call(&self, call: Call) -> Reply {
        let (reply, answer) = oneshot::channel();
        self.inboxes.put(CONTROL_PART, Input::Call { call, reply });
        let answer = tokio::time::timeout(REPLY_TIMEOUT, answer).await;
        answer
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Reply::Unconfirmed)
    }
}
