//! The adapter for PostgreSQL callers and upstreams.

use std::time::Duration;

use decide::authority::{PromotionError, PromotionOrder};
use decide::conn::{LossReason, RunOutcome, UpstreamRejection};
use decide::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use model::Claim;
use pg::codec::CodecError;
use pg::status_row::{StatusRow, parse_status_row, status_sql};
use pg::upstream::{AnswerCollector, AnswerError, encode_query, encode_run};
use pgwire::messages::PgWireBackendMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::adapter::{
    Adapter, AnswerMeter, CallSender, CallerChannel, ConnQueryError, LoginError, RunJob,
    UpstreamConn, UpstreamTarget,
};
use crate::conn_budget::Budget;
use crate::pg_caller::PgCaller;
use crate::pg_upstream::{UpstreamStream, login};
use crate::settings::{OrderSettings, UpstreamSettings};

/// The database in which queries outside of the pool run.
const QUERY_DATABASE: &str = "postgres";

/// The adapter for PostgreSQL callers and upstreams. It has no platform.
#[derive(Debug)]
pub struct Postgres;

impl Adapter for Postgres {
    type Conn = PgConn;

    async fn serve_caller(caller: &mut CallerChannel, stream: TcpStream) {
        PgCaller::new(caller).run(stream).await;
    }

    async fn connect(
        target: &UpstreamTarget,
        cfg: &UpstreamSettings,
        timeout: Duration,
    ) -> Result<PgConn, LoginError> {
        let database = match target.for_queries {
            true => QUERY_DATABASE,
            false => &target.service,
        };
        let stream = login(target.addr, database, cfg, timeout).await?;
        Ok(PgConn { stream })
    }

    async fn serve_platform_calls(
        _: TcpListener,
        _: CallSender,
        _: Budget,
        mut stop: watch::Receiver<bool>,
    ) {
        // There are no platform calls here: upstreams announce themselves over the JSON-RPC API.
        let _ = stop.wait_for(|stop| *stop).await;
    }

    async fn order_promotion(_: &OrderSettings, _: &PromotionOrder) -> Result<(), PromotionError> {
        Err(PromotionError::Refused)
    }
}

/// A connection to a PostgreSQL upstream.
#[derive(Debug)]
pub struct PgConn {
    stream: UpstreamStream,
}

impl UpstreamConn for PgConn {
    async fn run(
        &mut self,
        job: &RunJob,
        meter: &mut AnswerMeter,
        sent: &mut bool,
    ) -> Result<RunOutcome, LossReason> {
        let bytes = encode_run(&job.payload, job.wait_for, job.want_status)
            .map_err(|_| LossReason::Broken)?;
        *sent = true;
        let broken = |_: CodecError| LossReason::Broken;
        self.stream.send(bytes).await.map_err(broken)?;
        let limit = meter.limit();
        let mut collector = AnswerCollector::new(job.wait_for.is_some(), job.want_status, limit);
        loop {
            let msg = self.stream.next_of_answer(collector.len(), meter).await;
            let msg = msg.ok_or(LossReason::Broken)?;
            let collected = collector.on_message(msg.map_err(broken)?);
            if let Some(collected) = collected.map_err(loss_reason)? {
                return Ok(RunOutcome {
                    payload: collected.payload,
                    tx: collected.tx,
                    rejected: collected
                        .refused_read_only
                        .then_some(UpstreamRejection::NotPrimary),
                    failed: collected.upstream_failed,
                    position: None,
                    status_before: collected.status_before,
                    status_after: collected.status_after,
                });
            }
        }
    }

    async fn query(&mut self, query: &UpstreamQuery) -> Result<QueryReply, ConnQueryError> {
        let sql = query_sql(query).ok_or(QueryError::Refused)?;
        let bytes = encode_query(&sql).map_err(|_| QueryError::Refused)?;
        self.stream
            .send(bytes)
            .await
            .map_err(|_| QueryError::Broken)?;
        let mut row = None;
        let mut refused = false;
        loop {
            let msg = self.stream.next().await.ok_or(QueryError::Broken)?;
            match msg.map_err(|_| QueryError::Broken)? {
                PgWireBackendMessage::DataRow(data) => row = parse_status_row(&data),
                PgWireBackendMessage::ErrorResponse(_) => refused = true,
                PgWireBackendMessage::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        let row = row.filter(|_| !refused).ok_or(QueryError::Refused)?;
        Ok(query_reply(query, row))
    }

    async fn closed(&mut self) -> LossReason {
        loop {
            match self.stream.next().await {
                // An upstream may send these at any time.
                Some(Ok(
                    PgWireBackendMessage::NoticeResponse(_)
                    | PgWireBackendMessage::ParameterStatus(_)
                    | PgWireBackendMessage::NotificationResponse(_),
                )) => {}
                // It says so before it ends a connection.
                Some(Ok(PgWireBackendMessage::ErrorResponse(_)) | Err(_)) | None => {
                    return LossReason::Broken;
                }
                Some(Ok(_)) => return LossReason::OutOfStep,
            }
        }
    }
}

fn loss_reason(error: AnswerError) -> LossReason {
    match error {
        AnswerError::TooLarge { .. } => LossReason::AnswerTooLarge,
        _ => LossReason::Broken,
    }
}

/// Builds the reply to a query from the row that the upstream answered.
fn query_reply(query: &UpstreamQuery, row: StatusRow) -> QueryReply {
    let claim = match query {
        UpstreamQuery::Claim { host, lease } if row.granted => Some(Claim {
            host: host.clone(),
            slots: row.slots,
            connections: row.connections,
            lease: *lease,
        }),
        _ => None,
    };
    QueryReply {
        status: row.status,
        granted: row.granted,
        paused_term: 0,
        claim,
    }
}

/// Returns a query as SQL, or `None` if PostgreSQL upstreams don't support it.
fn query_sql(query: &UpstreamQuery) -> Option<String> {
    Some(match query {
        UpstreamQuery::Status { wait_for } => status_sql(*wait_for),
        UpstreamQuery::Claim { host, lease } => {
            let lease = lease.as_millis();
            format!("SELECT * FROM caraway.claim({}, {lease})", quote(host))
        }
        UpstreamQuery::Unclaim { host } => {
            format!("SELECT * FROM caraway.unclaim({})", quote(host))
        }
        UpstreamQuery::Promise { term, candidate } => {
            format!(
                "SELECT * FROM caraway.promise({term}, {})",
                quote(candidate)
            )
        }
        UpstreamQuery::Promote { term, candidate } => {
            format!(
                "SELECT * FROM caraway.promote({term}, {})",
                quote(candidate)
            )
        }
        UpstreamQuery::Follow {
            term,
            primary,
            addr,
        } => {
            let (primary, addr) = (quote(primary), quote(&addr.to_string()));
            format!("SELECT * FROM caraway.follow({term}, {primary}, {addr})")
        }
        UpstreamQuery::Pause { .. } | UpstreamQuery::Resume | UpstreamQuery::Demote { .. } => {
            return None;
        }
    })
}

/// Quotes a text as an SQL string literal.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
