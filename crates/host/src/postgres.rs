//! The PostgreSQL protocol towards callers and upstreams.

use std::time::Duration;

use decide::authority::{PromotionError, PromotionOrder};
use decide::conn::{RunOutcome, UpstreamRejection};
use decide::upstream_query::{QueryError, QueryReply, UpstreamQuery};
use futures::{SinkExt, StreamExt};
use model::Claim;
use pg::status_row::{StatusRow, parse_status_row, status_sql};
use pg::upstream::{AnswerCollector, encode_query, encode_run};
use pgwire::messages::PgWireBackendMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::adapter::{Adapter, Caller, Calls, LoginError, RunJob, Target, UpstreamConn};
use crate::pg_caller::PgCaller;
use crate::pg_upstream::{UpstreamStream, login};
use crate::settings::{OrderSettings, UpstreamSettings};

/// The database that questions are asked in.
const CONTROL_DATABASE: &str = "postgres";

/// The adapter for PostgreSQL callers and upstreams, without a platform.
#[derive(Debug)]
pub struct Postgres;

impl Adapter for Postgres {
    type Conn = PgConn;

    async fn serve(caller: &mut Caller, stream: TcpStream) {
        PgCaller::new(caller).run(stream).await;
    }

    async fn connect(
        target: &Target,
        cfg: &UpstreamSettings,
        timeout: Duration,
    ) -> Result<PgConn, LoginError> {
        let database = match target.control {
            true => CONTROL_DATABASE,
            false => &target.service,
        };
        let stream = login(target.addr, database, cfg, timeout).await?;
        Ok(PgConn { stream })
    }

    async fn serve_calls(_: TcpListener, _: Calls, mut stop: watch::Receiver<bool>) {
        // The platform's calls come over the JSON-RPC API.
        let _ = stop.wait_for(|stop| *stop).await;
    }

    async fn order(_: &OrderSettings, _: &PromotionOrder) -> Result<(), PromotionError> {
        Err(PromotionError::Refused)
    }
}

/// A connection to a PostgreSQL upstream.
#[derive(Debug)]
pub struct PgConn {
    stream: UpstreamStream,
}

impl UpstreamConn for PgConn {
    async fn run(&mut self, job: &RunJob, limit: usize, sent: &mut bool) -> Option<RunOutcome> {
        let bytes = encode_run(&job.payload, job.wait_for, job.want_status).ok()?;
        *sent = true;
        self.stream.send(bytes).await.ok()?;
        let mut collector = AnswerCollector::new(job.wait_for.is_some(), job.want_status, limit);
        loop {
            let msg = self.stream.next().await?.ok()?;
            if let Some(collected) = collector.on_message(msg).ok()? {
                return Some(RunOutcome {
                    payload: collected.payload,
                    tx: collected.tx,
                    refused: collected
                        .refused_read_only
                        .then_some(UpstreamRejection::NotPrimary),
                    position: None,
                    before: collected.status_before,
                    after: collected.status_after,
                });
            }
        }
    }

    async fn ask(&mut self, ask: &UpstreamQuery) -> Result<QueryReply, QueryError> {
        let sql = sql(ask).ok_or(QueryError::Refused)?;
        let query = encode_query(&sql).map_err(|_| QueryError::Refused)?;
        self.stream
            .send(query)
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
        Ok(told(ask, row))
    }

    async fn ended(&mut self) {
        // Notices between requests are of no interest.
        while matches!(self.stream.next().await, Some(Ok(_))) {}
    }
}

fn told(ask: &UpstreamQuery, row: StatusRow) -> QueryReply {
    let claim = match ask {
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
        held: 0,
        claim,
    }
}

/// Returns a question as SQL, unless these upstreams have no such question.
fn sql(ask: &UpstreamQuery) -> Option<String> {
    Some(match ask {
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
        UpstreamQuery::Pause { .. } | UpstreamQuery::Resume => return None,
    })
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
