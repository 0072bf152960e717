//! Serves the connection of one PostgreSQL caller.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use decide::caller::Login;
use model::{RequestId, SessionId, TxStatus};
use pg::caller_session::{CallerAction, CallerSession, StartupRequest, read_startup};
use pg::codec::{CallerCodec, CodecError, encode_backend};
use pg::reply;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Decoder;

use crate::adapter::{CallerChannel, ToCaller};
use crate::caller_stream::{CallerStream, Split, StreamError};
use crate::conn_budget::CloseReason;

/// Maximum number of messages that are read ahead while a request runs.
const MAX_READ_AHEAD: usize = 64;
/// How long it may take to send the error that ends a session.
const FINAL_ERROR_TIMEOUT: Duration = Duration::from_millis(500);

/// The task of one PostgreSQL caller.
pub(crate) struct PgCaller<'a> {
    caller: &'a mut CallerChannel,
}

type Stream = CallerStream<CallerCodec>;

impl Split for CallerCodec {
    type Item = PgWireFrontendMessage;
    type Error = CodecError;

    fn split(&mut self, buf: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        self.decode(buf)
    }

    fn size(&self, buf: &[u8]) -> Option<usize> {
        self.message_size(buf)
    }
}

/// The session has ended: the caller has closed it, or has been sent a final error.
struct CallerGone {
    /// Why the host closes the connection, if its limits say so.
    reason: Option<CloseReason>,
}

impl From<CodecError> for CallerGone {
    fn from(_: CodecError) -> Self {
        Self { reason: None }
    }
}

impl From<StreamError<CodecError>> for CallerGone {
    fn from(error: StreamError<CodecError>) -> Self {
        let reason = match error {
            StreamError::Stalled(reason) => Some(reason),
            _ => None,
        };
        Self { reason }
    }
}

impl<'a> PgCaller<'a> {
    /// Returns the task of a caller.
    pub(crate) fn new(caller: &'a mut CallerChannel) -> Self {
        Self { caller }
    }

    /// Serves the caller until either side ends the session.
    pub(crate) async fn run(mut self, stream: TcpStream) {
        // A message that the byte budget never allows would be waited for without end.
        let largest = self.caller.budget.budget().pool().largest();
        let codec = CallerCodec::new(self.caller.cfg.max_message_bytes.min(largest));
        let (cfg, budget) = (&self.caller.cfg, &self.caller.budget);
        let mut stream = CallerStream::new(stream, codec, MAX_READ_AHEAD, cfg, budget);
        let login_timeout = self.caller.cfg.login_timeout;
        let reason = match timeout(login_timeout, self.log_in(&mut stream)).await {
            Ok(Ok(startup)) => {
                let served = self.serve(&mut stream, &startup).await;
                served.err().and_then(|gone| gone.reason)
            }
            Ok(Err(gone)) => gone.reason,
            Err(_) => Some(CloseReason::LoginTimeout),
        };
        if let Some(reason) = reason {
            self.caller.budget.note_closed(reason);
        }
    }

    async fn log_in(&mut self, stream: &mut Stream) -> Result<StartupRequest, CallerGone> {
        let startup_message = loop {
            match stream.next().await? {
                PgWireFrontendMessage::Startup(message) => break message,
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {}
                PgWireFrontendMessage::SslNegotiation(_) => {
                    let refuse = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                    stream.send(&encode_backend(&[refuse])?).await?;
                    stream.split_mut().ssl_negotiated();
                }
                // Cancel requests are ignored, since statements are short.
                _ => return Err(CallerGone { reason: None }),
            }
        };
        let startup = match read_startup(&startup_message) {
            Ok(startup) => startup,
            Err(text) => {
                let error = reply::not_run_error("08P01", &text);
                return send_final_error(stream, error).await;
            }
        };
        let password = match &startup.workspace {
            Some(_) => read_password(stream).await?,
            None => String::new(),
        };
        let login = Login {
            workspace: startup.workspace.as_deref().map(Into::into),
            service: startup.service.as_str().into(),
            route: None,
            password: password.into(),
            floor: startup.session_position,
        };
        if let Err(refusal) = self.caller.log_in(login).await {
            return send_final_error(stream, reply::fatal_error(refusal)).await;
        }
        stream.send(&login_messages(self.caller.session)?).await?;
        Ok(startup)
    }

    /// Passes the caller's messages to its session and submits the requests that these make, one at
    /// a time.
    async fn serve(
        &mut self,
        stream: &mut Stream,
        startup: &StartupRequest,
    ) -> Result<(), CallerGone> {
        // An answer may be larger than any message that the caller may send.
        let max_answer_bytes = self.caller.cfg.max_message_bytes.max(64 << 20);
        let mut session =
            CallerSession::new(startup, self.caller.request_timeout, max_answer_bytes);
        let mut kept = self.caller.budget.charge();
        let mut running: Option<RequestId> = None;
        loop {
            if running.is_none()
                && let Some(msg) = stream.pop()
            {
                match session.on_message(msg)? {
                    CallerAction::AwaitMore => {}
                    CallerAction::Reply(bytes) => stream.send(&bytes).await?,
                    CallerAction::Close => return Ok(()),
                    CallerAction::Submit(req) => running = Some(self.caller.submit(req).await),
                }
                stream.set_unfinished(session.in_batch());
                let bytes = session.kept_bytes();
                if bytes != kept.bytes() && !self.caller.keep(&mut kept, bytes).await {
                    let text = "the session keeps more than the host has memory for";
                    let error = reply::not_run_error("53200", text);
                    return send_final_error(stream, error).await;
                }
                continue;
            }
            let may_read = stream.may_read_ahead();
            tokio::select! {
                read = stream.read_ahead(), if may_read => if let Err(error) = read {
                    return self.on_read_error(stream, error).await;
                },
                msg = self.caller.recv() => match msg {
                    Some(ToCaller::Answer(id, answer)) => {
                        if running == Some(id) {
                            running = None;
                            stream.send(&session.on_answer(answer)?).await?;
                        }
                    }
                    Some(ToCaller::EndSession(refusal)) if running.is_none() => {
                        return send_final_error(stream, reply::fatal_error(refusal)).await;
                    }
                    // A request was on its way to the part, which ends the session after its answer.
                    Some(ToCaller::EndSession(_) | ToCaller::LoginFinished(_)) => {}
                    None => return Ok(()),
                },
            }
        }
    }

    /// Ends the session after a failed read, with an error if the caller sent a malformed message.
    async fn on_read_error(
        &self,
        stream: &mut Stream,
        error: StreamError<CodecError>,
    ) -> Result<(), CallerGone> {
        match error {
            StreamError::Ended | StreamError::Io(_) => Ok(()),
            StreamError::Stalled(_) => Err(error.into()),
            StreamError::Malformed(error) => {
                log::warn!(
                    "event=120 bad-message session={} error={error}",
                    self.caller.session
                );
                send_final_error(stream, reply::not_run_error("08P01", &error.to_string())).await
            }
        }
    }
}

async fn read_password(stream: &mut Stream) -> Result<String, CallerGone> {
    let request = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
    stream.send(&encode_backend(&[request])?).await?;
    match stream.next().await? {
        PgWireFrontendMessage::PasswordMessageFamily(family) => {
            Ok(pg::codec::read_password(family)?)
        }
        _ => Err(CallerGone { reason: None }),
    }
}

/// Returns the messages that complete an accepted login, up to the first ready-for-query.
fn login_messages(session: SessionId) -> Result<Bytes, CodecError> {
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

/// Sends the error that ends the session, and waits until the caller has closed the connection, in
/// bounded time.
async fn send_final_error<T>(
    stream: &mut Stream,
    error: PgWireBackendMessage,
) -> Result<T, CallerGone> {
    let bytes = encode_backend(&[error])?;
    stream.finish(&bytes, FINAL_ERROR_TIMEOUT).await;
    Err(CallerGone { reason: None })
}
