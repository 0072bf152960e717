//! Connects to a PostgreSQL upstream and logs in as the user of the `upstream` settings.

use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use pg::codec::{CodecError, UpstreamCodec, encode_frontend};
use pgwire::messages::startup::{Authentication, Password, PasswordMessageFamily, Startup};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::adapter::LoginError;
use crate::settings::UpstreamSettings;
use crate::socket_options;

/// A connection to an upstream, logged in and ready for statements.
pub(crate) type UpstreamStream = Framed<TcpStream, UpstreamCodec>;

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
    let mut stream = Framed::new(stream, codec);
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
