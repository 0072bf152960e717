//! Connects to a PostgreSQL upstream and logs in as the user of the `upstream` settings.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pg::codec::{CodecError, UpstreamCodec, encode_frontend, stated_size};
use pgwire::messages::startup::{Authentication, Password, PasswordMessageFamily, Startup};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

use crate::adapter::{AnswerMeter, LoginError};
use crate::settings::UpstreamSettings;
use crate::socket_options;

/// A connection to an upstream, logged in and ready for statements.
#[derive(Debug)]
pub(crate) struct UpstreamStream {
    stream: TcpStream,
    codec: UpstreamCodec,
    buf: BytesMut,
}

/// Free buffer space in bytes that is provided for a read.
const READ_BYTES: usize = 8 << 10;

impl UpstreamStream {
    /// Wraps a connection from which nothing has been read.
    fn new(stream: TcpStream, codec: UpstreamCodec) -> Self {
        let buf = BytesMut::new();
        Self { stream, codec, buf }
    }

    /// Returns the next message, or `None` once the connection has ended; loses no bytes if the
    /// future is dropped.
    pub(crate) async fn next(&mut self) -> Option<Result<PgWireBackendMessage, CodecError>> {
        let mut uncounted = AnswerMeter::of_limit(usize::MAX);
        self.next_of_answer(0, &mut uncounted).await
    }

    /// Returns the next message of an answer of which `before` bytes were received, as
    /// [`Self::next`] does; waits until `meter` has counted the message's bytes.
    pub(crate) async fn next_of_answer(
        &mut self,
        before: usize,
        meter: &mut AnswerMeter,
    ) -> Option<Result<PgWireBackendMessage, CodecError>> {
        loop {
            match self.codec.decode(&mut self.buf) {
                Ok(None) => {}
                Ok(Some(msg)) => {
                    if self.buf.is_empty() {
                        // The buffer of a large message would stay with an idle connection.
                        self.buf = BytesMut::new();
                    }
                    return Some(Ok(msg));
                }
                Err(error) => return Some(Err(error)),
            }
            let size = stated_size(&self.buf).unwrap_or_default();
            meter.reserve(before + size).await;
            let missing = size.saturating_sub(self.buf.len());
            self.buf.reserve(missing.max(READ_BYTES));
            match self.stream.read_buf(&mut self.buf).await {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(Err(error.into())),
            }
        }
    }

    /// Sends messages that are encoded already.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> Result<(), CodecError> {
        Ok(self.stream.write_all(&bytes).await?)
    }
}

/// The SQLSTATE `too_many_connections`.
const TOO_MANY_CONNECTIONS: &str = "53300";

impl From<CodecError> for LoginError {
    fn from(_: CodecError) -> Self {
        Self::Unreachable
    }
}

/// Connects and logs in to a database, within `timeout`.
pub(crate) async fn login(
    addr: SocketAddr,
    database: &str,
    cfg: &UpstreamSettings,
    timeout: Duration,
) -> Result<UpstreamStream, LoginError> {
    let attempt = login_without_timeout(addr, database, cfg);
    let result = tokio::time::timeout(timeout, attempt).await;
    result.unwrap_or(Err(LoginError::Unreachable))
}

async fn login_without_timeout(
    addr: SocketAddr,
    database: &str,
    cfg: &UpstreamSettings,
) -> Result<UpstreamStream, LoginError> {
    // The start-up message ends each name and value with a NUL.
    if database.contains('\0') {
        return Err(LoginError::Refused(
            "the service's name holds a NUL".to_owned(),
        ));
    }
    let stream = TcpStream::connect(addr).await?;
    socket_options::set_options_or_warn(&stream);
    let codec = UpstreamCodec::new(cfg.max_answer_bytes);
    let mut stream = UpstreamStream::new(stream, codec);
    let mut startup = Startup::new();
    let params = [
        ("user", cfg.user.as_str()),
        ("database", database),
        ("application_name", "carawaycourse"),
    ];
    for (name, value) in params {
        startup.parameters.insert(name.to_owned(), value.to_owned());
    }
    let msg = PgWireFrontendMessage::Startup(startup);
    stream.send(encode_frontend(&[msg])?).await?;
    loop {
        let msg = stream.next().await.ok_or(LoginError::Unreachable)??;
        match msg {
            PgWireBackendMessage::Authentication(Authentication::CleartextPassword) => {
                let password = Password::new(cfg.password.0.clone());
                let family = PasswordMessageFamily::Password(password);
                let msg = PgWireFrontendMessage::PasswordMessageFamily(family);
                stream.send(encode_frontend(&[msg])?).await?;
            }
            PgWireBackendMessage::Authentication(Authentication::Ok) => {}
            PgWireBackendMessage::Authentication(_) => {
                let text = "it asks for an authentication method other than a cleartext password";
                return Err(LoginError::Refused(text.to_owned()));
            }
            PgWireBackendMessage::ErrorResponse(error) => {
                let field = |code| error.fields.iter().find(|(field, _)| *field == code);
                let state = field(b'C').map(|(_, text)| text.as_str());
                if state == Some(TOO_MANY_CONNECTIONS) {
                    return Err(LoginError::Exhausted);
                }
                let text = field(b'M').map(|(_, text)| text.clone());
                return Err(LoginError::Refused(text.unwrap_or_default()));
            }
            PgWireBackendMessage::ReadyForQuery(_) => return Ok(stream),
            _ => {}
        }
    }
}
