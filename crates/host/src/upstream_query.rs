//! Sends queries to upstreams outside of the pool, over one connection to each upstream.

use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use decide::upstream_query::{QueryError, QueryId, QueryReply, UpstreamQuery};
use decide::{Effect, Event, View};
use model::{HashMap, PartId, UpstreamId};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::adapter::{Adapter, ConnQueryError, UpstreamConn, UpstreamTarget};
use crate::inbox::Inboxes;
use crate::settings::UpstreamSettings;

/// A query for an upstream.
#[derive(Debug)]
struct QueryJob {
    /// Identifies the reply.
    id: QueryId,
    /// The upstream, in case a connection must be opened.
    target: UpstreamTarget,
    /// The query.
    query: UpstreamQuery,
    /// Whether to close the open connection first and use a new one.
    new_connection: bool,
    /// Whether it is to be sent alone on a connection, as the data centre is evacuated.
    alone: bool,
    /// How long connecting and the reply may take together.
    timeout: Duration,
}

/// Sends queries to one upstream, one at a time, until the sender of `jobs` is dropped.
async fn run_queries<A: Adapter>(
    mut jobs: mpsc::UnboundedReceiver<QueryJob>,
    cfg: Rc<UpstreamSettings>,
    inboxes: Inboxes,
    part: PartId,
) {
    let mut conn = None;
    while let Some(job) = jobs.recv().await {
        if job.new_connection || job.alone {
            conn = None;
        }
        let id = job.id;
        let result = run_query::<A>(&mut conn, &job, &cfg).await;
        if result.is_err() || job.alone {
            conn = None;
        }
        inboxes.send_event(part, Event::QueryAnswered { id, result });
    }
}

/// Sends a query over the open connection, or over a new one if there is none.
async fn run_query<A: Adapter>(
    conn: &mut Option<A::Conn>,
    job: &QueryJob,
    cfg: &UpstreamSettings,
) -> Result<QueryReply, QueryError> {
    let was_open = conn.is_some();
    let connect_and_query = async {
        let open = match conn.take() {
            Some(open) => open,
            None => A::connect(&job.target, cfg, job.timeout).await?,
        };
        let open = conn.insert(open);
        let result = match job.alone {
            true => open.query_alone(&job.query).await,
            false => open.query(&job.query).await,
        };
        // Only a query without an effect may be sent twice: the first one may run after the second.
        if result == Err(ConnQueryError::OutOfStep)
            && !job.alone
            && matches!(job.query, UpstreamQuery::Status { .. })
        {
            *conn = None;
            let open = A::connect(&job.target, cfg, job.timeout).await?;
            return Ok(conn.insert(open).query(&job.query).await?);
        }
        Ok(result?)
    };
    let result = tokio::time::timeout(job.timeout, connect_and_query).await;
    let timeout_error = if was_open {
        QueryError::Silent
    } else {
        QueryError::Unreachable
    };
    result.unwrap_or(Err(timeout_error))
}

/// The queries of one part: a queue and a task for each upstream.
#[derive(Debug)]
pub(crate) struct UpstreamQueries<A> {
    part: PartId,
    inboxes: Inboxes,
    cfg: Rc<UpstreamSettings>,
    queues: HashMap<UpstreamId, mpsc::UnboundedSender<QueryJob>>,
    adapter: PhantomData<A>,
}

impl<A: Adapter> UpstreamQueries<A> {
    /// Returns the state without any task.
    pub(crate) fn new(part: PartId, inboxes: Inboxes, cfg: Rc<UpstreamSettings>) -> Self {
        Self {
            part,
            inboxes,
            cfg,
            queues: HashMap::default(),
            adapter: PhantomData,
        }
    }

    /// Queues the query of an `Effect::QueryUpstream`; the first one starts the upstream's task.
    pub(crate) fn send(&mut self, tasks: &mut JoinSet<()>, effect: Effect) {
        let Effect::QueryUpstream {
            id,
            upstream,
            service,
            addr,
            query,
            new_connection,
            alone,
            timeout,
        } = effect
        else {
            return;
        };
        let job = QueryJob {
            id,
            target: UpstreamTarget {
                addr,
                upstream: upstream.clone(),
                service,
                workspace: None,
                for_queries: true,
            },
            query,
            new_connection,
            alone,
            timeout,
        };
        let queue = self.queues.entry(upstream).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            tasks.spawn_local(run_queries::<A>(
                rx,
                self.cfg.clone(),
                self.inboxes.clone(),
                self.part,
            ));
            tx
        });
        let _ = queue.send(job);
    }

    /// Closes the queues of upstreams that are no longer in the view; their tasks then end.
    pub(crate) fn retain_known(&mut self, view: &View) {
        self.queues
            .retain(|upstream, _| view.upstreams.contains_key(upstream));
    }

    /// Closes all queues; each task ends once it has sent what is queued.
    pub(crate) fn close(&mut self) {
        self.queues.clear();
    }
}
