//! Runs the effects of a traffic part: answers to callers, requests on pooled connections,
//! queries to upstreams and messages to other hosts.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::conn::ConnEvent;
use decide::{Effect, Event, View};
use model::{ConnId, HashMap, PartId, SessionId};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::adapter::{Adapter, CallerChannel, RunJob, ToCaller, UpstreamTarget};
use crate::inbox::{EffectRunner, Inboxes, Input, join_or_abort};
use crate::link::{self, Links};
use crate::logs;
use crate::pooled_conn;
use crate::settings::{CallerSettings, HostSettings, UpstreamSettings};
use crate::upstream_query::UpstreamQueries;

/// The callers, pooled connections, links and tasks of a traffic thread.
pub(crate) struct TrafficRunner<A> {
    part: PartId,
    inboxes: Inboxes,
    links: Links,
    /// The channel to the task of each connected caller.
    caller_senders: HashMap<SessionId, mpsc::UnboundedSender<ToCaller>>,
    last_session: SessionId,
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
    pub(crate) fn new(part: PartId, cfg: &HostSettings, inboxes: Inboxes) -> Self {
        let upstream_cfg = Rc::new(cfg.upstream.clone());
        let queries = UpstreamQueries::new(part, inboxes.clone(), upstream_cfg.clone());
        Self {
            part,
            links: Links::new(part, cfg.fleet_secret.clone(), inboxes.clone()),
            inboxes,
            caller_senders: HashMap::default(),
            last_session: 0,
            conn_senders: HashMap::default(),
            queries,
            tasks: JoinSet::new(),
            caller_cfg: Rc::new(cfg.caller.clone()),
            upstream_cfg,
            request_timeout: cfg.session.request_timeout,
        }
    }

    /// Serves a new caller in a task of its own, unless the thread has too many.
    fn start_session(&mut self, stream: std::net::TcpStream) {
        if self.caller_senders.len() >= self.caller_cfg.max_connections {
            log::warn!("event=121 caller-refused reason=too-many-connections");
            return;
        }
        self.last_session += 1;
        let session = self.last_session;
        let (tx, rx) = mpsc::unbounded_channel();
        self.caller_senders.insert(session, tx);
        let mut caller = CallerChannel::new(
            session,
            self.part,
            self.inboxes.clone(),
            self.caller_cfg.clone(),
            self.request_timeout,
            rx,
        );
        self.tasks.spawn_local(async move {
            match TcpStream::from_std(stream) {
                Ok(stream) => A::serve_caller(&mut caller, stream).await,
                Err(error) => log::warn!("event=122 caller-unusable error={error}"),
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
        let task = pooled_conn::run::<A>(conn, target, rx, cfg, inboxes, self.part);
        self.tasks.spawn_local(task);
    }
}

impl<A: Adapter> EffectRunner for TrafficRunner<A> {
    fn handle_input(&mut self, input: Input) -> Option<Event> {
        // Removes finished tasks from the set, which would otherwise keep their results.
        while self.tasks.try_join_next().is_some() {}
        match input {
            Input::Event(event) => {
                match &event {
                    Event::View(view) => self.apply_view(view),
                    Event::Caller(decide::caller::CallerEvent::Closed { session }) => {
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
            Input::CallerConnected(stream) => {
                self.start_session(stream);
                None
            }
            Input::PeerConnected {
                stream,
                unread,
                from,
            } => {
                let task = link::read_link(stream, unread, from, self.inboxes.clone());
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
