//! Runs the effects of a traffic part: answers to callers, requests on pooled connections,
//! queries to upstreams and messages to other hosts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::caller::CallerEvent;
use decide::conn::ConnEvent;
use decide::{Effect, Event, View};
use model::{ConnId, HashMap, PartId, SessionId};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::task::JoinSet;

use crate::adapter::{Adapter, CallerChannel, RunJob, ToCaller, UpstreamTarget};
use crate::conn_budget::{Budget, CloseReason, Closing};
use crate::inbox::{EffectRunner, Inboxes, Input, join_or_abort};
use crate::link::Links;
use crate::link_reader;
use crate::logs;
use crate::pooled_conn;
use crate::settings::{CallerSettings, HostSettings, UpstreamSettings};
use crate::upstream_query::UpstreamQueries;

/// The part of the process's file descriptors that connections of callers may use.
///
/// The others are for links, pooled connections, the control state and HTTP.
const CALLER_FILES_SHARE: f64 = 0.7;

/// The callers, pooled connections, links and tasks of a traffic thread.
pub(crate) struct TrafficRunner<A> {
    part: PartId,
    inboxes: Inboxes,
    links: Links,
    /// The channel to the task of each connected caller.
    caller_senders: HashMap<SessionId, mpsc::UnboundedSender<ToCaller>>,
    last_session: SessionId,
    /// Callers whose login the host waits for, the oldest first.
    logins: BTreeMap<SessionId, Arc<Closing>>,
    /// Maximum number of callers' connections.
    max_callers: usize,
    budget: Budget,
    /// The channel to the task of each pooled connection, which ends when it is dropped.
    conn_senders: HashMap<ConnId, mpsc::UnboundedSender<RunJob>>,
    queries: UpstreamQueries<A>,
    tasks: JoinSet<()>,
    caller_cfg: Rc<CallerSettings>,
    upstream_cfg: Rc<UpstreamSettings>,
    request_timeout: Duration,
}

impl<A: Adapter> TrafficRunner<A> {
    /// Returns a runner without callers or connections.
    pub(crate) fn new(part: PartId, cfg: &HostSettings, inboxes: Inboxes, budget: Budget) -> Self {
        let upstream_cfg = Rc::new(cfg.upstream.clone());
        let queries = UpstreamQueries::new(part, inboxes.clone(), upstream_cfg.clone());
        Self {
            part,
            links: Links::new(
                part,
                cfg.fleet_secret.clone(),
                inboxes.clone(),
                budget.charge().account().clone(),
            ),
            inboxes,
            caller_senders: HashMap::default(),
            last_session: 0,
            logins: BTreeMap::new(),
            max_callers: max_callers(cfg),
            budget,
            conn_senders: HashMap::default(),
            queries,
            tasks: JoinSet::new(),
            caller_cfg: Rc::new(cfg.caller.clone()),
            upstream_cfg,
            request_timeout: cfg.session.request_timeout,
        }
    }

    /// Serves a new caller in a task of its own, unless the thread has too many.
    fn start_session(&mut self, stream: std::net::TcpStream, permit: OwnedSemaphorePermit) {
        if self.caller_senders.len() >= self.max_callers {
            if logs::may_write(121) {
                log::warn!("event=121 caller-refused reason=too-many-connections");
            }
            return;
        }
        // Clients that open connections and never log in must not keep others from logging in.
        if self.logins.len() >= self.caller_cfg.max_logins {
            // The event of a login that was sent may still be behind those of new connections.
            self.logins.retain(|_, closing| !closing.is_login_sent());
        }
        if self.logins.len() >= self.caller_cfg.max_logins
            && let Some((_, closing)) = self.logins.pop_first()
        {
            closing.close_in_favour_of(CloseReason::LoginsFull, permit);
        }
        self.last_session += 1;
        let session = self.last_session;
        let (tx, rx) = mpsc::unbounded_channel();
        self.caller_senders.insert(session, tx);
        let budget = self.budget.open();
        let closing = budget.closing().clone();
        self.logins.insert(session, closing.clone());
        let mut caller = CallerChannel::new(
            session,
            self.part,
            self.inboxes.clone(),
            self.caller_cfg.clone(),
            self.request_timeout,
            budget,
            rx,
        );
        self.tasks.spawn_local(async move {
            let serve = async {
                match TcpStream::from_std(stream) {
                    Ok(stream) => A::serve_caller(&mut caller, stream).await,
                    Err(error) => log::warn!("event=122 caller-unusable error={error}"),
                }
            };
            let closed = tokio::select! {
                () = serve => None,
                reason = closing.closed() => Some(reason),
            };
            if let Some(reason) = closed {
                caller.budget.note_closed(reason);
            }
            caller.report_closed();
        });
    }

    fn send_to_caller(&mut self, session: SessionId, msg: ToCaller) {
        if let Some(tx) = self.caller_senders.get(&session) {
            let _ = tx.send(msg);
        }
    }

    fn apply_view(&mut self, view: &Arc<View>) {
        self.queries.retain_known(view);
        for info in view.hosts.values() {
            self.links.set_addr(info.host.clone(), info.peer_addr);
        }
    }

    fn open_conn(&mut self, conn: ConnId, target: UpstreamTarget) {
        let (tx, rx) = mpsc::unbounded_channel();
        self.conn_senders.insert(conn, tx);
        let (cfg, inboxes) = (self.upstream_cfg.clone(), self.inboxes.clone());
        let budget = self.budget.clone();
        let task = pooled_conn::run::<A>(conn, target, rx, cfg, budget, inboxes, self.part);
        self.tasks.spawn_local(task);
    }
}

/// Returns how many connections of callers a traffic thread may have.
fn max_callers(cfg: &HostSettings) -> usize {
    let files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let files = files.map_or(usize::MAX, |files| {
        usize::try_from(files).unwrap_or(usize::MAX)
    });
    let for_callers = (files as f64 * CALLER_FILES_SHARE) as usize;
    let threads = usize::from(cfg.traffic_threads.max(1));
    cfg.caller.max_connections.min(for_callers / threads)
}

impl<A: Adapter> EffectRunner for TrafficRunner<A> {
    fn handle_input(&mut self, input: Input) -> Option<Event> {
        // Removes finished tasks from the set, which would otherwise keep their results.
        while self.tasks.try_join_next().is_some() {}
        match input {
            Input::Event(event) => {
                match &event {
                    Event::View(view) => self.apply_view(view),
                    Event::Caller(CallerEvent::Login { session, .. }) => {
                        self.logins.remove(session);
                    }
                    Event::Caller(CallerEvent::Closed { session }) => {
                        self.logins.remove(session);
                        self.caller_senders.remove(session);
                    }
                    Event::Conn(
                        ConnEvent::OpenFailed { conn, .. } | ConnEvent::Lost { conn, .. },
                    ) => {
                        self.conn_senders.remove(conn);
                    }
                    _ => {}
                }
                Some(event)
            }
            Input::CallerConnected(stream, permit) => {
                self.start_session(stream, permit);
                None
            }
            Input::PeerConnected {
                stream,
                unread,
                from,
            } => {
                let (budget, inboxes) = (self.budget.clone(), self.inboxes.clone());
                let task = link_reader::read_link(stream, unread, from, budget, inboxes);
                self.tasks.spawn_local(task);
                None
            }
            Input::Call { .. } => None,
        }
    }

    fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.links.send(&mut self.tasks, to, msg),
            Effect::ForwardEvent { part, event } => self.inboxes.send_event(part, *event),
            Effect::SetPeerAddress { host, addr } => self.links.set_addr(host, addr),
            Effect::Answer {
                session,
                request,
                answer,
            } => self.send_to_caller(session, ToCaller::Answer(request, answer)),
            Effect::FinishLogin { session, result } => {
                self.send_to_caller(session, ToCaller::LoginFinished(result));
            }
            Effect::EndSession { session, refusal } => {
                self.send_to_caller(session, ToCaller::EndSession(refusal));
            }
            Effect::OpenConn {
                conn,
                upstream,
                addr,
                service,
                workspace,
            } => self.open_conn(
                conn,
                UpstreamTarget {
                    addr,
                    upstream,
                    service,
                    workspace,
                    for_queries: false,
                },
            ),
            Effect::RunOnConn {
                conn,
                payload,
                wait_for,
                require_primary,
                want_status,
                timeout,
            } => {
                if let Some(tx) = self.conn_senders.get(&conn) {
                    let job = RunJob {
                        payload,
                        wait_for,
                        require_primary,
                        want_status,
                        timeout,
                    };
                    let _ = tx.send(job);
                }
            }
            Effect::CloseConn(conn) => {
                self.conn_senders.remove(&conn);
            }
            effect @ Effect::QueryUpstream { .. } => self.queries.send(&mut self.tasks, effect),
            Effect::Log(event) => logs::write_event(&event),
            Effect::PublishView(_)
            | Effect::Reply { .. }
            | Effect::Persist(_)
            | Effect::OrderPromotion(_)
            | Effect::PartDrained => {}
        }
    }

    async fn join_tasks(mut self) {
        // Without their senders, tasks send what is queued, such as callers' last errors, and end.
        self.caller_senders.clear();
        self.conn_senders.clear();
        self.queries.close();
        join_or_abort(self.tasks).await;
    }
}
