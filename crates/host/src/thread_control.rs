//! Runs the effects of the control part: messages to other hosts, queries to upstreams, replies
//! to calls, promotion orders and writes to disk.

use std::rc::Rc;

use decide::call::Reply;
use decide::{Effect, Event};
use model::{CONTROL_PART, CallId, HashMap, PartId};
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::adapter::Adapter;
use crate::conn_budget::Budget;
use crate::disk::DiskThread;
use crate::inbox::{EffectRunner, Inboxes, Input, join_or_abort};
use crate::link::Links;
use crate::link_reader;
use crate::logs;
use crate::settings::{HostSettings, OrderSettings};
use crate::upstream_query::UpstreamQueries;

/// The links, queries, pending calls and tasks of the control thread.
pub(crate) struct ControlRunner<A> {
    inboxes: Inboxes,
    links: Links,
    queries: UpstreamQueries<A>,
    /// Where the reply to each unanswered call goes.
    pending_calls: HashMap<CallId, oneshot::Sender<Reply>>,
    last_call: CallId,
    disk: DiskThread,
    budget: Budget,
    tasks: JoinSet<()>,
    order_cfg: Rc<OrderSettings>,
}

/// The part whose effects run on this thread.
const PART: PartId = CONTROL_PART;

impl<A: Adapter> ControlRunner<A> {
    /// Returns a runner that knows the addresses of the control hosts in the settings.
    pub(crate) fn new(
        cfg: &HostSettings,
        inboxes: Inboxes,
        disk: DiskThread,
        budget: Budget,
    ) -> Self {
        let secret = cfg.fleet_secret.clone();
        let mut links = Links::new(
            PART,
            secret,
            inboxes.clone(),
            budget.charge().account().clone(),
        );
        for control in &cfg.control_hosts {
            links.set_addr(control.host.clone(), control.peers);
        }
        let queries = UpstreamQueries::new(PART, inboxes.clone(), Rc::new(cfg.upstream.clone()));
        Self {
            inboxes,
            links,
            queries,
            pending_calls: HashMap::default(),
            last_call: 0,
            disk,
            budget,
            tasks: JoinSet::new(),
            order_cfg: Rc::new(cfg.orders.clone()),
        }
    }
}

impl<A: Adapter> EffectRunner for ControlRunner<A> {
    fn handle_input(&mut self, input: Input) -> Option<Event> {
        // Removes finished tasks from the set, which would otherwise keep their results.
        while self.tasks.try_join_next().is_some() {}
        match input {
            Input::Event(event) => Some(event),
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
            Input::Call { call, reply } => {
                self.last_call += 1;
                let id = self.last_call;
                self.pending_calls.retain(|_, reply| !reply.is_closed());
                self.pending_calls.insert(id, reply);
                Some(Event::Call { id, call })
            }
            Input::CallerConnected(..) => None,
        }
    }

    fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.links.send(&mut self.tasks, to, msg),
            Effect::ForwardEvent { part, event } => self.inboxes.send_event(part, *event),
            Effect::PublishView(view) => {
                self.queries.retain_known(&view);
                for part in 1..self.inboxes.part_count() {
                    self.inboxes.send_event(part, Event::View(view.clone()));
                }
            }
            Effect::SetPeerAddress { host, addr } => self.links.set_addr(host, addr),
            Effect::Reply { id, reply } => {
                if let Some(tx) = self.pending_calls.remove(&id) {
                    let _ = tx.send(reply);
                }
            }
            effect @ Effect::QueryUpstream { .. } => self.queries.send(&mut self.tasks, effect),
            Effect::OrderPromotion(order) => {
                let (cfg, inboxes) = (self.order_cfg.clone(), self.inboxes.clone());
                self.tasks.spawn_local(async move {
                    let result = A::order_promotion(&cfg, &order).await;
                    inboxes.send_event(PART, Event::PromotionAnswered { order, result });
                });
            }
            Effect::Persist(persist) => self.disk.persist(persist),
            Effect::Log(event) => logs::write_event(&event),
            Effect::Answer { .. }
            | Effect::FinishLogin { .. }
            | Effect::EndSession { .. }
            | Effect::OpenConn { .. }
            | Effect::RunOnConn { .. }
            | Effect::CloseConn(_)
            | Effect::PartDrained => {}
        }
    }

    async fn join_tasks(mut self) {
        // The queries that are still queued return this host's claims to the upstreams.
        self.queries.close();
        join_or_abort(self.tasks).await;
        self.disk.join();
    }
}
