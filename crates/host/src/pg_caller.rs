//! One PostgreSQL caller's connection.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use decide::caller::Login;
use futures::{SinkExt, StreamExt};
use model::{RequestId, SessionId, TxStatus};
use pg::caller_session::{CallerAction, CallerSession, StartupRequest, read_startup};
use pg::codec::{CallerCodec, CodecError, encode_backend};
use pg::reply;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::adapter::{Caller, ToCaller};

/// How many messages are read ahead while a request runs.
const READ_AHEAD: usize = 64;
/// How long a last word to a caller may take.
const GOODBYE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a PostgreSQL caller's task needs.
pub(crate) struct PgCaller<'a> {
    caller: &'a mut Caller,
}

type Stream = Framed<TcpStream, CallerCodec>;

/// The caller is gone or has been sent away.
struct Gone;

impl From<CodecError> for Gone {
    fn from(_: CodecError) -> Self {
        Self
    }
}

impl<'a> PgCaller<'a> {
    /// Returns the task of a caller.
    pub(crate) fn new(caller: &'a mut Caller) -> Self {
        Self { caller }
    }

    /// Serves the caller until either side ends the session.
    pub(crate) async fn run(mut self, stream: TcpStream) {
        let codec = CallerCodec::new(self.caller.cfg.max_message_bytes);
        let mut stream = Framed::new(stream, codec);
        let limit = self.caller.cfg.login_timeout;
        if let Ok(Ok(hello)) = timeout(limit, self.log_in(&mut stream)).await {
            let _ = self.serve(&mut stream, &hello).await;
        }
    }

    async fn log_in(&mut self, stream: &mut Stream) -> Result<StartupRequest, Gone> {
        let startup = loop {
            match next(stream).await? {
                PgWireFrontendMessage::Startup(startup) => break startup,
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {}
                PgWireFrontendMessage::SslNegotiation(_) => {
                    let refuse = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                    stream.send(encode_backend(&[refuse])?).await?;
                    stream.codec_mut().ssl_negotiated();
                }
                // A cancel request changes nothing, since statements are short.
                _ => return Err(Gone),
            }
        };
        let hello = match read_startup(&startup) {
            Ok(hello) => hello,
            Err(text) => {
                let error = reply::not_run_error("08P01", &text);
                return goodbye(stream, error).await;
            }
        };
        let password = match &hello.workspace {
            Some(_) => read_password(stream).await?,
            None => String::new(),
        };
        let login = Login {
            workspace: hello.workspace.as_deref().map(Into::into),
            service: hello.service.as_str().into(),
            route: None,
            password: password.into(),
            token: hello.session_position,
        };
        if let Err(refusal) = self.caller.log_in(login).await {
            return goodbye(stream, reply::fatal_error(refusal)).await;
        }
        stream.send(welcome(self.caller.session)?).await?;
        Ok(hello)
    }

    async fn serve(&mut self, stream: &mut Stream, hello: &StartupRequest) -> Result<(), Gone> {
        let limit = self.caller.cfg.max_message_bytes.max(64 << 20);
        let mut front = CallerSession::new(hello, self.caller.request_timeout, limit);
        let mut ahead = VecDeque::new();
        let mut running: Option<RequestId> = None;
        loop {
            if running.is_none()
                && let Some(msg) = ahead.pop_front()
            {
                match front.on_message(msg)? {
                    CallerAction::AwaitMore => {}
                    CallerAction::Reply(bytes) => stream.send(bytes).await?,
                    CallerAction::Close => return Ok(()),
                    CallerAction::Submit(req) => running = Some(self.caller.submit(req)),
                }
                continue;
            }
            let may_read = ahead.len() < READ_AHEAD;
            tokio::select! {
                msg = next(stream), if may_read => match msg {
                    Ok(msg) => ahead.push_back(msg),
                    Err(error) => return self.broken(stream, error).await,
                },
                word = self.caller.next() => match word {
                    Some(ToCaller::Answer(id, answer)) => {
                        if running == Some(id) {
                            running = None;
                            stream.send(front.on_answer(answer)?).await?;
                        }
                    }
                    Some(ToCaller::End(refusal)) => {
                        return goodbye(stream, reply::fatal_error(refusal)).await;
                    }
                    Some(ToCaller::Admitted(_)) => {}
                    None => return Ok(()),
                },
            }
        }
    }

    /// Tells a caller why its messages can't be read on.
    async fn broken(&self, stream: &mut Stream, error: ReadError) -> Result<(), Gone> {
        match error {
            ReadError::Gone => Ok(()),
            ReadError::Bad(error) => {
                log::warn!(
                    "event=120 bad-message session={} error={error}",
                    self.caller.session
                );
                goodbye(stream, reply::not_run_error("08P01", &error.to_string())).await
            }
        }
    }
}

/// Why no further message can be read.
enum ReadError {
    Gone,
    Bad(CodecError),
}

impl From<ReadError> for Gone {
    fn from(_: ReadError) -> Self {
        Self
    }
}

async fn next(stream: &mut Stream) -> Result<PgWireFrontendMessage, ReadError> {
    match stream.next().await {
        Some(Ok(msg)) => Ok(msg),
        Some(Err(CodecError::Io(_))) | None => Err(ReadError::Gone),
        Some(Err(error)) => Err(ReadError::Bad(error)),
    }
}

async fn read_password(stream: &mut Stream) -> Result<String, Gone> {
    let ask = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
    stream.send(encode_backend(&[ask])?).await?;
    match next(stream).await? {
        PgWireFrontendMessage::PasswordMessageFamily(family) => {
            Ok(pg::codec::read_password(family)?)
        }
        _ => Err(Gone),
    }
}

/// Returns the messages that follow an admitted login.
fn welcome(session: SessionId) -> Result<Bytes, CodecError> {
    let params = [
        ("server_version", "16.0 (carawaycourse)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    let mut msgs = vec![PgWireBackendMessage::Authentication(Authentication::Ok)];
    msgs.extend(params.map(|(name, value)| {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        PgWireBackendMessage::ParameterStatus(status)
    }));
    let pid = i32::try_from(session & 0x7fff_ffff).unwrap_or_default();
    let key = BackendKeyData::new(pid, SecretKey::I32(0));
    msgs.push(PgWireBackendMessage::BackendKeyData(key));
    msgs.push(reply::ready_for_query(TxStatus::Idle));
    encode_backend(&msgs)
}

/// Sends a last word in bounded time.
async fn goodbye<T>(stream: &mut Stream, error: PgWireBackendMessage) -> Result<T, Gone> {
    let bytes = encode_backend(&[error])?;
    let _ = timeout(GOODBYE_TIMEOUT, stream.send(bytes)).await;
    Err(Gone)
}
