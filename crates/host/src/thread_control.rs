//! The control thread: links for control, questions to upstreams, calls and the disk.

use std::rc::Rc;

use decide::call::Reply;
use decide::{Effect, Event};
use model::{CONTROL_PART, CallId, HashMap, PartId};
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::adapter::Adapter;
use crate::disk::Disk;
use crate::input::{Inboxes, Input, Runner, join_in_time};
use crate::link::{self, Links};
use crate::logs;
use crate::settings::{HostSettings, OrderSettings};
use crate::upstream_query::UpstreamQueries;

/// The tables and tasks of the control thread.
pub(crate) struct ControlRunner<A> {
    inboxes: Inboxes,
    links: Links,
    asks: UpstreamQueries<A>,
    calls: HashMap<CallId, oneshot::Sender<Reply>>,
    next_call: CallId,
    disk: Disk,
    tasks: JoinSet<()>,
    order_cfg: Rc<OrderSettings>,
}

/// The control thread's part.
const PART: PartId = CONTROL_PART;

impl<A: Adapter> ControlRunner<A> {
    /// Returns a runner that has nothing to run yet.
    pub(crate) fn new(cfg: &HostSettings, inboxes: Inboxes, disk: Disk) -> Self {
        let mut links = Links::new(PART, cfg.fleet_secret.clone(), inboxes.clone());
        for control in &cfg.control_hosts {
            links.set_addr(control.host.clone(), control.peers);
        }
        let asks = UpstreamQueries::new(PART, inboxes.clone(), Rc::new(cfg.upstream.clone()));
        Self {
            inboxes,
            links,
            asks,
            calls: HashMap::default(),
            next_call: 0,
            disk,
            tasks: JoinSet::new(),
            order_cfg: Rc::new(cfg.orders.clone()),
        }
    }
}

impl<A: Adapter> Runner for ControlRunner<A> {
    fn take(&mut self, input: Input) -> Option<Event> {
        while self.tasks.try_join_next().is_some() {}
        match input {
            Input::Event(event) => Some(event),
            Input::Peer { stream, rest, from } => {
                let task = link::read(stream, rest, from, self.inboxes.clone());
                self.tasks.spawn_local(task);
                None
            }
            Input::Call { call, reply } => {
                self.next_call += 1;
                let id = self.next_call;
                self.calls.retain(|_, reply| !reply.is_closed());
                self.calls.insert(id, reply);
                Some(Event::Call { id, call })
            }
            Input::Caller(_) => None,
        }
    }

    fn run(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, msg } => self.links.send(&mut self.tasks, to, msg),
            Effect::ForwardEvent { part, event } => self.inboxes.event(part, *event),
            Effect::PublishView(view) => {
                self.asks.follow(&view);
                for part in 1..self.inboxes.count() {
                    self.inboxes.event(part, Event::View(view.clone()));
                }
            }
            Effect::SetPeerAddress { host, addr } => self.links.set_addr(host, addr),
            Effect::Reply { id, reply } => {
                if let Some(tx) = self.calls.remove(&id) {
                    let _ = tx.send(reply);
                }
            }
            effect @ Effect::QueryUpstream { .. } => self.asks.run(&mut self.tasks, effect),
            Effect::OrderPromotion(order) => {
                let (cfg, inboxes) = (self.order_cfg.clone(), self.inboxes.clone());
                self.tasks.spawn_local(async move {
                    let result = A::order(&cfg, &order).await;
                    inboxes.event(PART, Event::PromotionAnswered { order, result });
                });
            }
            Effect::Persist(persist) => self.disk.put(persist),
            Effect::Log(event) => logs::write(&event),
            Effect::Answer { .. }
            | Effect::FinishLogin { .. }
            | Effect::EndSession { .. }
            | Effect::OpenConn { .. }
            | Effect::RunOnConn { .. }
            | Effect::CloseConn(_)
            | Effect::PartDrained => {}
        }
    }

    async fn join(mut self) {
        // Claims are given back with the last questions.
        self.asks.end();
        join_in_time(self.tasks).await;
        self.disk.join();
    }
}
