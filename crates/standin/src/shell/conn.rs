//! One client connection: its login, its simple queries, and the exchange with the engine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc::Sender;

use futures::{SinkExt, StreamExt};
use model::TxStatus;
use pgwire::messages::response::{EmptyQueryResponse, SslResponse};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use super::engine_thread::Message;
use super::extended::Prepared;
use super::wire::{self, Codec};
use crate::engine::activity::Login;
use crate::engine::event::{ConnId, Event, Reply};
use crate::sql::parse::parse;
use crate::sql::{Output, SqlError, Stmt, sqlstate};

/// The most messages that are read and kept while a statement runs.
const READ_AHEAD: usize = 1024;

/// The server parameters that each client gets after its login.
const PARAMETERS: [(&str, &str); 4] = [
    ("server_version", "17.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
];

/// The connection is closed, by either end or by a protocol error.
#[derive(Debug)]
pub(crate) struct Disconnected;

/// The state of a connection's task.
pub(crate) struct Conn {
    id: ConnId,
    framed: Framed<TcpStream, Codec>,
    engine: Sender<Message>,
    replies: mpsc::UnboundedReceiver<Reply>,
    /// Messages that were read while a statement ran, oldest first.
    read_ahead: VecDeque<PgWireFrontendMessage>,
    /// The state of the transaction after the last statement.
    pub(crate) tx: TxStatus,
    /// The prepared statements and portals of the extended protocol.
    pub(crate) prepared: Prepared,
}

/// Serves a connection until either end closes it.
pub(crate) async fn serve(stream: TcpStream, id: ConnId, engine: Sender<Message>) {
    // Without the option, the connection works but with more latency.
    let _ = stream.set_nodelay(true);
    let (tx, replies) = mpsc::unbounded_channel();
    if engine.send(Message::ConnOpened(id, tx)).is_err() {
        return;
    }
    let mut conn = Conn {
        id,
        framed: Framed::new(stream, Codec::default()),
        engine,
        replies,
        read_ahead: VecDeque::new(),
        tx: TxStatus::Idle,
        prepared: Prepared::default(),
    };
    if conn.log_in().await.is_ok() {
        while conn.handle_message().await.is_ok() {}
    }
    // If the instance has ended, it need not be told.
    let _ = conn.engine.send(Message::Event(Event::ConnClosed(id)));
}

impl Conn {
    /// Runs the startup exchange and has the engine check the credentials.
    async fn log_in(&mut self) -> Result<(), Disconnected> {
        let startup = loop {
            match self.next_message().await? {
                PgWireFrontendMessage::SslNegotiation(_) => {
                    let refuse = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                    self.send(refuse).await?;
                    self.flush().await?;
                }
                PgWireFrontendMessage::Startup(startup) => break startup,
                _ => return Err(Disconnected),
            }
        };
        let request = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
        self.send(request).await?;
        self.flush().await?;
        let PgWireFrontendMessage::PasswordMessageFamily(password) = self.next_message().await?
        else {
            return Err(Disconnected);
        };
        let password = password.into_password().map_err(|_| Disconnected)?.password;
        let (users, params): (Vec<_>, Vec<_>) = startup
            .parameters
            .into_iter()
            .map(|(name, value)| (Arc::from(name), Arc::from(value)))
            .partition(|(name, _): &(Arc<str>, Arc<str>)| &**name == "user");
        let user = users.into_iter().next().map(|(_, user)| user);
        let login = Login {
            user: user.unwrap_or_default(),
            password: password.into(),
            params,
        };
        self.send_event(Event::Login(self.id, login))?;
        match self.next_reply().await? {
            Reply::LoginAccepted => self.finish_login().await,
            Reply::LoginRefused(error) => {
                self.send(wire::error(&error, "FATAL")).await?;
                self.flush().await?;
                Err(Disconnected)
            }
            Reply::StmtDone { .. } => Err(Disconnected),
        }
    }

    /// Sends the messages that follow an accepted login.
    async fn finish_login(&mut self) -> Result<(), Disconnected> {
        let ok = PgWireBackendMessage::Authentication(Authentication::Ok);
        self.send(ok).await?;
        for (name, value) in PARAMETERS {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            self.send(PgWireBackendMessage::ParameterStatus(status))
                .await?;
        }
        let key = BackendKeyData::new(self.id as i32, SecretKey::default());
        self.send(PgWireBackendMessage::BackendKeyData(key)).await?;
        self.ready().await
    }

    async fn handle_message(&mut self) -> Result<(), Disconnected> {
        match self.next_message().await? {
            PgWireFrontendMessage::Query(query) => self.query(&query.query).await,
            PgWireFrontendMessage::Terminate(_) => Err(Disconnected),
            message => self.handle_extended(message).await,
        }
    }

    /// Runs the statements of a simple query in order, up to the first error.
    ///
    /// Several statements run in one implicit transaction, unless one of them is `BEGIN`,
    /// `COMMIT` or `ROLLBACK`, or a transaction is open already.
    async fn query(&mut self, text: &str) -> Result<(), Disconnected> {
        match parse(text) {
            Ok(stmts) if stmts.is_empty() => {
                let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
                self.send(empty).await?;
            }
            Ok(stmts) => {
                let implicit_tx = self.tx == TxStatus::Idle
                    && stmts.len() > 1
                    && !stmts.iter().any(Stmt::is_tx_control);
                if implicit_tx {
                    self.run_stmt(Stmt::Begin).await?.ok();
                }
                for stmt in stmts {
                    if !self.run_and_send(stmt).await? {
                        break;
                    }
                }
                if implicit_tx && let Err(error) = self.run_stmt(Stmt::Commit).await? {
                    self.send(wire::error(&error, "ERROR")).await?;
                }
            }
            Err(error) => {
                let error = self.fail_tx(error).await?;
                self.send(wire::error(&error, "ERROR")).await?;
            }
        }
        self.ready().await
    }

    /// Runs one statement and sends its result; returns whether it succeeded.
    async fn run_and_send(&mut self, stmt: Stmt) -> Result<bool, Disconnected> {
        let columns = stmt.columns();
        match self.run_stmt(stmt).await? {
            Ok(output) => {
                if !columns.is_empty() {
                    self.send(wire::description(&columns, &[])).await?;
                }
                for row in &output.rows {
                    self.send(wire::data_row(&columns, &[], row)).await?;
                }
                self.send(wire::complete(&output.tag)).await?;
                Ok(true)
            }
            Err(error) => {
                self.send(wire::error(&error, "ERROR")).await?;
                Ok(false)
            }
        }
    }

    /// Fails the open transaction, if any, because of an error found in this task, and
    /// returns that error.
    pub(crate) async fn fail_tx(&mut self, error: SqlError) -> Result<SqlError, Disconnected> {
        if self.tx == TxStatus::Idle {
            return Ok(error);
        }
        self.run_stmt(Stmt::FailTransaction).await?.ok();
        Ok(error)
    }

    /// Sends a statement to the engine and waits for its result, or for the client to
    /// disconnect.
    pub(crate) async fn run_stmt(
        &mut self,
        stmt: Stmt,
    ) -> Result<Result<Output, SqlError>, Disconnected> {
        self.send_event(Event::RunStmt(self.id, stmt))?;
        match self.next_reply().await? {
            Reply::StmtDone { result, tx } => {
                self.tx = tx;
                Ok(result)
            }
            Reply::LoginAccepted | Reply::LoginRefused(_) => Ok(Err(SqlError::new(
                sqlstate::PROTOCOL,
                "the instance gave no answer to a statement",
            ))),
        }
    }

    /// Sends `ReadyForQuery` with the state of the transaction, and flushes.
    pub(crate) async fn ready(&mut self) -> Result<(), Disconnected> {
        self.send(wire::ready(self.tx)).await?;
        self.flush().await
    }

    /// Buffers a message to the client.
    pub(crate) async fn send(&mut self, message: PgWireBackendMessage) -> Result<(), Disconnected> {
        self.framed.feed(message).await.map_err(|_| Disconnected)
    }

    /// Sends the buffered messages.
    pub(crate) async fn flush(&mut self) -> Result<(), Disconnected> {
        self.framed.flush().await.map_err(|_| Disconnected)
    }

    /// Returns the next message of the client, those read ahead first.
    async fn next_message(&mut self) -> Result<PgWireFrontendMessage, Disconnected> {
        if let Some(message) = self.read_ahead.pop_front() {
            return Ok(message);
        }
        tokio::select! {
            message = self.framed.next() => match message {
                Some(Ok(message)) => Ok(message),
                _ => Err(Disconnected),
            },
            // No statement is running, so there is no reply to come: the engine has closed
            // the connection.
            _ = self.replies.recv() => Err(Disconnected),
        }
    }

    /// Waits for the engine's reply, while it reads ahead to notice a disconnect.
    async fn next_reply(&mut self) -> Result<Reply, Disconnected> {
        loop {
            tokio::select! {
                biased;
                reply = self.replies.recv() => return reply.ok_or(Disconnected),
                message = self.framed.next(), if self.read_ahead.len() < READ_AHEAD => match message {
                    Some(Ok(message)) => self.read_ahead.push_back(message),
                    _ => return Err(Disconnected),
                },
            }
        }
    }

    fn send_event(&self, event: Event) -> Result<(), Disconnected> {
        self.engine
            .send(Message::Event(event))
            .map_err(|_| Disconnected)
    }
}
