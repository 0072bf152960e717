//! One PostgreSQL connection to an entry host, polled by the task that uses it.

use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;

use model::{ServiceId, WorkspaceId};
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{Client, Connection, Error, NoTls, SimpleQueryMessage, Socket};

use crate::outcome::{BROKEN_CONNECTION_CODE, NO_CONNECTION_CODE, Outcome};

/// The run-time parameter that carries the session token (the position of the session's writes).
const SESSION_SETTING: &str = "caraway.session";

/// Database, user and password of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Login {
    /// Sent as the database name.
    pub(crate) service: ServiceId,
    /// Sent as the user name.
    pub(crate) workspace: WorkspaceId,
    /// The workspace's API key, sent as the password.
    pub(crate) key: String,
}

/// An open connection to a host.
pub(crate) struct HostConnection {
    client: Client,
    connection: Connection<Socket, NoTlsStream>,
}

impl HostConnection {
    /// Opens a connection, which continues an earlier session if a session token is given.
    pub(crate) async fn open(
        addr: SocketAddr,
        login: &Login,
        session_token: Option<&str>,
    ) -> Result<Self, Outcome> {
        let mut cfg = tokio_postgres::Config::new();
        cfg.host(addr.ip().to_string())
            .port(addr.port())
            .dbname(&*login.service)
            .user(&*login.workspace)
            .password(&login.key);
        if let Some(session_token) = session_token {
            cfg.options(format!("-c {SESSION_SETTING}={session_token}"));
        }
        // The request is sent only once a connection is open, so it has not run.
        let not_run = |error: Error| {
            let code = error.code().map_or(NO_CONNECTION_CODE, |code| code.code());
            Outcome::NotRun(code.into())
        };
        let (client, connection) = cfg.connect(NoTls).await.map_err(not_run)?;
        Ok(Self { client, connection })
    }

    /// Returns the session token that the host reported last; `None` before the first.
    pub(crate) fn session_token(&self) -> Option<String> {
        self.connection
            .parameter(SESSION_SETTING)
            .map(str::to_owned)
    }

    /// Returns whether the connection is closed, so that nothing more can be sent.
    pub(crate) fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Polls the connection and a future until the future is ready. Returns `None` if the connection
    /// closes first.
    pub(crate) async fn drive<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        drive(&mut self.connection, future).await
    }

    /// Runs a statement by the simple query protocol and returns the messages of its answer.
    pub(crate) async fn query(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, Outcome> {
        let answer = self.client.simple_query(sql);
        match drive(&mut self.connection, answer).await {
            Some(Ok(msgs)) => Ok(msgs),
            Some(Err(error)) => Err(query_outcome(&error)),
            None => Err(Outcome::MayHaveRun(BROKEN_CONNECTION_CODE.into())),
        }
    }
}

fn query_outcome(error: &Error) -> Outcome {
    match error.as_db_error() {
        Some(db) => Outcome::from_db_error(db.code().code(), db.detail()),
        None => Outcome::MayHaveRun(BROKEN_CONNECTION_CODE.into()),
    }
}

async fn drive<T>(
    connection: &mut Connection<Socket, NoTlsStream>,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    std::future::poll_fn(|cx| {
        let closed = loop {
            match connection.poll_message(cx) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(_) => break true,
                Poll::Pending => break false,
            }
        };
        match future.as_mut().poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending if closed => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}
