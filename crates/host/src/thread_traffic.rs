//! A traffic thread: callers, pooled connections, and links for statements.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::conn::ConnEvent;
use decide::{Effect, Event, View};
use model::{ConnId, HashMap, PartId, SessionId};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::adapter::{Adapter, Caller, RunJob, Target, ToCaller};
use crate::conn;
use crate::input::{Inboxes, Input, Runner, join_in_time};
use crate::link::{self, Links};
use crate::logs;
use crate::settings::{CallerSettings, HostSettings, UpstreamSettings};
use crate::upstream_query::UpstreamQueries;

/// The tables and tasks of a traffic thread.
pub(crate) struct TrafficRunner<A> {
    part: PartId,
    inboxes: Inboxes,
    links: Links,
    callers: HashMap<SessionId, mpsc::UnboundedSender<ToCaller>>,
    next_session: SessionId,
    conns: HashMap<ConnId, mpsc::UnboundedSender<RunJob>>,
    asks: UpstreamQueries<A>,
    tasks: JoinSet<()>,
    caller_cfg: Rc<CallerSettings>,
    upstream_cfg: Rc<UpstreamSettings>,
    request_timeout: Duration,
}

impl<A: Adapter> TrafficRunner<A> {
    /// Returns a runner that has nothing to run yet.
    pub(crate) fn new(part: PartId, cfg: &HostSettings, inboxes: Inboxes) -> Self {
        let upstream_cfg = Rc::new(cfg.upstream.clone());
        let asks = UpstreamQueries::new(part, inboxes.clone(), upstream_cfg.clone());
        Self {
            part,
            links: Links::new(part, cfg.fleet_secret.clone(), inboxes.clone()),
            inboxes,
            callers: HashMap::default(),
            next_session: 0,
            conns: HashMap::default(),
            asks,
            tasks: JoinSet::new(),
            caller_cfg: Rc::new(cfg.caller.clone()),
            upstream_cfg,
            request_timeout: cfg.session.request_timeout,
        }
    }

    fn accept(&mut self, stream: std::net::TcpStream) {
        if self.callers.len() >= self.caller_cfg.max_connections {
            log::warn!("event=121 caller-refused reason=too-many-connections");
            return;
        }
        self.next_session += 1;
        let session = self.next_session;
        let (tx, rx) = mpsc::unbounded_channel();
        self.callers.insert(session, tx);
        let mut caller = Caller::new(
            session,
            self.part,
            self.inboxes.clone(),
            self.caller_cfg.clone(),
            self.request_timeout,
            rx,
        );
        self.tasks.spawn_local(async move {
            match TcpStream::from_std(stream) {
                Ok(stream) => A::serve(&mut caller, stream).await,
                Err(error) => log::warn!("event=122 caller-unusable error={error}"),
            }
            caller.close();
        });
    }

    fn word_to(&mut self, session: SessionId, word: ToCaller) {
        if let Some(tx) = self.callers.get(&session) {
            let _ = tx.send(word);
        }
    }

    fn set_view(&mut self, view: &Arc<View>) {
        self.asks.follow(view);
        for info in view.hosts.values() {
            self.links.set_addr(info.host.clone(), info.peer_addr);
        }
    }

    fn open_conn(&mut self, conn: ConnId, target: Target) {
        let (tx, rx) = mpsc::unbounded_channel();
        self.conns.insert(conn, tx);
        let (cfg, inboxes) = (self.upstream_cfg.clone(), self.inboxes.clone());
        let task = conn::run::<A>(conn, target, rx, cfg, inboxes, self.part);
        self.tasks.spawn_local(task);
    }
}

impl<A: Adapter> Runner for TrafficRunner<A> {
    fn take(&mut self, input: Input) -> Option<Event> {
        // Finished tasks are joined as they are noticed.
        while self.tasks.try_join_next().is_some() {}
        match input {
            Input::Event(event) => {
                match &event {
                    Event::View(view) => self.set_view(view),
                    Event::Caller(decide::caller::CallerEvent::Closed { session }) => {
                        self.callers.remove(session);
                    }
                    Event::Conn(
                        ConnEvent::OpenFailed { conn, .. } | ConnEvent::Lost { conn, .. },
                    ) => {
                        self.conns.remove(conn);
                    }
                    _ => {}
                }
                Some(event)
            }
            Input::Caller(stream) => {
                self.accept(stream);
                None
            }
            Input::Peer { stream, rest, from } => {
                let task = link::read(stream, rest, from, self.inboxes.clone());
                self.tasks.spawn_local(task);
                None
            }
            Input::Call { .. } => None,
        }
    }

    fn run(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.links.send(&mut self.tasks, to, msg),
            Effect::ForwardEvent { part, event } => self.inboxes.event(part, *event),
            Effect::SetPeerAddress { host, addr } => self.links.set_addr(host, addr),
            Effect::Answer {
                session,
                request,
                answer,
            } => self.word_to(session, ToCaller::Answer(request, answer)),
            Effect::FinishLogin { session, result } => {
                self.word_to(session, ToCaller::Admitted(result));
            }
            Effect::EndSession { session, refusal } => {
                self.word_to(session, ToCaller::End(refusal));
            }
            Effect::OpenConn {
                conn,
                upstream,
                addr,
                service,
                workspace,
            } => self.open_conn(
                conn,
                Target {
                    addr,
                    upstream,
                    service,
                    workspace,
                    control: false,
                },
            ),
            Effect::RunOnConn {
                conn,
                payload,
                wait_for,
                require_primary: as_primary,
                want_status,
                timeout,
            } => {
                if let Some(tx) = self.conns.get(&conn) {
                    let job = RunJob {
                        payload,
                        wait_for,
                        as_primary,
                        want_status,
                        timeout,
                    };
                    let _ = tx.send(job);
                }
            }
            Effect::CloseConn(conn) => {
                self.conns.remove(&conn);
            }
            effect @ Effect::QueryUpstream { .. } => self.asks.run(&mut self.tasks, effect),
            Effect::Log(event) => logs::write(&event),
            Effect::PublishView(_)
            | Effect::Reply { .. }
            | Effect::Persist(_)
            | Effect::OrderPromotion(_)
            | Effect::PartDrained => {}
        }
    }

    async fn join(mut self) {
        // Callers that were told to end still get their last words.
        self.callers.clear();
        self.conns.clear();
        self.asks.end();
        join_in_time(self.tasks).await;
    }
}
