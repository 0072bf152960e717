//! Requests log entries from a primary with `caraway.log`, over the PostgreSQL protocol.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use model::{Position, Term};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, SimpleQueryRow};

use super::engine_thread::Message;
use crate::config::Credentials;
use crate::engine::event::{Event, LogBatch, Pull, REPLICA_APPLICATION};
use crate::engine::log::Entry;

/// A connection to a primary; its task ends once the client is dropped.
struct PrimaryConn {
    addr: SocketAddr,
    client: Client,
}

/// The connection in use, and the tasks of all connections that have not ended.
struct Puller {
    credentials: Credentials,
    conn: Option<PrimaryConn>,
    conn_tasks: JoinSet<()>,
}

/// Carries out pulls until the instance ends; a newer pull cancels the one under way.
pub(crate) async fn run(
    mut pulls: UnboundedReceiver<Pull>,
    credentials: Credentials,
    engine: Sender<Message>,
) {
    let mut puller = Puller {
        credentials,
        conn: None,
        conn_tasks: JoinSet::new(),
    };
    let mut next = pulls.recv().await;
    while let Some(pull) = next {
        let answer = timeout(pull.timeout, puller.fetch(&pull));
        tokio::select! {
            answer = answer => {
                let batch = answer.ok().flatten();
                if batch.is_none() {
                    puller.conn = None;
                }
                let event = Event::PullEnded(pull.pull_id, batch);
                if engine.send(Message::Event(event)).is_err() {
                    break;
                }
                next = pulls.recv().await;
            }
            newer = pulls.recv() => {
                puller.conn = None;
                next = newer;
            }
        }
    }
    puller.conn_tasks.shutdown().await;
}

impl Puller {
    async fn fetch(&mut self, pull: &Pull) -> Option<LogBatch> {
        while self.conn_tasks.try_join_next().is_some() {}
        if self.conn.as_ref().is_none_or(|conn| conn.addr != pull.addr) {
            self.conn = Some(self.connect(pull.addr).await?);
        }
        let client = &self.conn.as_ref()?.client;
        let sql = format!(
            "SELECT * FROM caraway.log({}, {}, {})",
            pull.after.term, pull.after.offset, pull.limit
        );
        let requested_at = Instant::now();
        let messages = client.simple_query(&sql).await.ok()?;
        parse_batch(requested_at, &messages)
    }

    async fn connect(&mut self, addr: SocketAddr) -> Option<PrimaryConn> {
        let (client, connection) = Config::new()
            .host(addr.ip().to_string())
            .port(addr.port())
            .user(&*self.credentials.user)
            .password(self.credentials.password.as_bytes())
            .application_name(REPLICA_APPLICATION)
            .connect(NoTls)
            .await
            .ok()?;
        self.conn_tasks.spawn(async move {
            // An error of the connection also fails the pull that uses it.
            let _ = connection.await;
        });
        Some(PrimaryConn { addr, client })
    }
}

fn parse_batch(requested_at: Instant, messages: &[SimpleQueryMessage]) -> Option<LogBatch> {
    let now = Instant::now();
    let mut entries = Vec::new();
    for message in messages {
        let SimpleQueryMessage::Row(row) = message else {
            continue;
        };
        let term: Term = field(row, "term")?;
        let position = Position::new(field(row, "log_term")?, field(row, "log_offset")?);
        let age = Duration::from_micros(field(row, "age_us")?);
        match row.get("kind")? {
            "entry" => {
                let written = now.checked_sub(age).unwrap_or(now);
                entries.push(Entry::decode(position, written, row.get("data")?)?);
            }
            "cut" => {
                return Some(LogBatch {
                    requested_at,
                    term,
                    entries: Err(position),
                    primary_end: position,
                });
            }
            _ => {
                return Some(LogBatch {
                    requested_at,
                    term,
                    entries: Ok(entries),
                    primary_end: position,
                });
            }
        }
    }
    None
}

fn field<T: std::str::FromStr>(row: &SimpleQueryRow, name: &str) -> Option<T> {
    row.get(name)?.parse().ok()
}
