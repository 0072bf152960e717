//! Asks an upstream questions over one connection of its own.

use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use decide::{Effect, Event, View};
use model::{HashMap, PartId, UpstreamId};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::adapter::{Adapter, Target, UpstreamConn};
use crate::input::Inboxes;
use crate::settings::UpstreamSettings;

/// One question for an upstream.
#[derive(Debug)]
struct QueryJob {
    /// Identifies the answer.
    id: QueryId,
    /// The upstream.
    target: Target,
    /// The question.
    query: UpstreamQuery,
    /// Takes a new connection rather than the open one.
    fresh: bool,
    /// How long the answer may take.
    timeout: Duration,
}

/// Asks one upstream, a question at a time, until the other end of the queue is dropped.
async fn run<A: Adapter>(
    mut jobs: mpsc::UnboundedReceiver<QueryJob>,
    cfg: Rc<UpstreamSettings>,
    inboxes: Inboxes,
    part: PartId,
) {
    let mut conn = None;
    while let Some(job) = jobs.recv().await {
        if job.fresh {
            conn = None;
        }
        let id = job.id;
        let result = answer::<A>(&mut conn, &job, &cfg).await;
        if result.is_err() {
            conn = None;
        }
        inboxes.event(part, Event::QueryAnswered { id, result });
    }
}

async fn answer<A: Adapter>(
    conn: &mut Option<A::Conn>,
    job: &QueryJob,
    cfg: &UpstreamSettings,
) -> Result<QueryReply, QueryError> {
    let known = conn.is_some();
    let whole = async {
        let open = match conn.take() {
            Some(open) => open,
            None => A::connect(&job.target, cfg, job.timeout).await?,
        };
        conn.insert(open).ask(&job.query).await
    };
    let result = tokio::time::timeout(job.timeout, whole).await;
    let silent = if known {
        QueryError::Silent
    } else {
        QueryError::Unreachable
    };
    result.unwrap_or(Err(silent))
}

/// The questions of one thread, with a task for each upstream.
#[derive(Debug)]
pub(crate) struct UpstreamQueries<A> {
    part: PartId,
    inboxes: Inboxes,
    cfg: Rc<UpstreamSettings>,
    queues: HashMap<UpstreamId, mpsc::UnboundedSender<QueryJob>>,
    adapter: PhantomData<A>,
}

impl<A: Adapter> UpstreamQueries<A> {
    /// Returns the questions of a thread, none so far.
    pub(crate) fn new(part: PartId, inboxes: Inboxes, cfg: Rc<UpstreamSettings>) -> Self {
        Self {
            part,
            inboxes,
            cfg,
            queues: HashMap::default(),
            adapter: PhantomData,
        }
    }

    /// Runs an effect that asks an upstream; the first one starts the upstream's task.
    pub(crate) fn run(&mut self, tasks: &mut JoinSet<()>, effect: Effect) {
        let Effect::QueryUpstream {
            id,
            upstream,
            service,
            addr,
            query,
            new_connection: fresh,
            timeout,
        } = effect
        else {
            return;
        };
        let job = QueryJob {
            id,
            target: Target {
                addr,
                upstream: upstream.clone(),
                service,
                workspace: None,
                control: true,
            },
            query,
            fresh,
            timeout,
        };
        let queue = self.queues.entry(upstream).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            tasks.spawn_local(run::<A>(
                rx,
                self.cfg.clone(),
                self.inboxes.clone(),
                self.part,
            ));
            tx
        });
        let _ = queue.send(job);
    }

    /// Lets the tasks of upstreams end that the view does not show any more.
    pub(crate) fn follow(&mut self, view: &View) {
        self.queues
            .retain(|upstream, _| view.upstreams.contains_key(upstream));
    }

    /// Lets every task end once it has asked what is queued.
    pub(crate) fn end(&mut self) {
        self.queues.clear();
    }
}
