//! Codecs for the messages of callers and upstreams, with bounds on the size of a message.

use bytes::{Bytes, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::startup::PasswordMessageFamily;
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage};
use pgwire::messages::{ProtocolVersion, SslNegotiationMetaMessage};
use tokio_util::codec::{Decoder, Encoder};

/// The size of a message's header: one byte for its type and four for its length.
const HEADER_BYTES: usize = 5;
/// The size of a message's type, which its length does not include.
const TYPE_BYTES: usize = 1;

/// Why no further message can be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message is larger than the limit.
    #[error("a message of {bytes} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// The size in bytes that the message states in its header.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The message is malformed.
    #[error("malformed message: {0}")]
    Malformed(#[from] PgWireError),
    /// A field of the message extends past the message's end.
    #[error("malformed message: its fields reach past its end")]
    Truncated,
    /// Reading from or writing to the connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
}

/// Returns the size in bytes that the next message states in its header, its type byte included;
/// `None` until the header has come.
pub fn stated_size(src: &[u8]) -> Option<usize> {
    let length = src.get(TYPE_BYTES..HEADER_BYTES)?;
    let length = length
        .iter()
        .fold(0, |sum, byte| sum << 8 | usize::from(*byte));
    Some(TYPE_BYTES + length)
}

/// Fails if the next message states a size over the limit, before its body is buffered.
fn check_size(src: &BytesMut, limit: usize) -> Result<(), CodecError> {
    let Some(size) = stated_size(src) else {
        return Ok(());
    };
    let bytes = size - TYPE_BYTES;
    if bytes > limit {
        return Err(CodecError::TooLarge { bytes, limit });
    }
    Ok(())
}

/// Decodes a message and turns a panic of the decoder into [`CodecError::Truncated`].
///
/// `pgwire` reads some fields without checking how many bytes of the message are left, and panics
/// if there are too few. Asserting unwind safety is sound here: the error closes the connection, so
/// nobody reads the buffer again.
fn catch_decode_panic<T>(
    decode: impl FnOnce() -> Result<Option<T>, PgWireError>,
) -> Result<Option<T>, CodecError> {
    let decoded = std::panic::catch_unwind(std::panic::AssertUnwindSafe(decode));
    let decoded = decoded.map_err(|_| CodecError::Truncated)?;
    Ok(decoded?)
}

/// Decodes callers' messages and writes answers that are encoded already.
#[derive(Debug)]
pub struct CallerCodec {
    cx: DecodeContext,
    max_message_bytes: usize,
}

impl CallerCodec {
    /// Returns a codec for a new connection; larger messages than `max_message_bytes` are refused.
    pub fn new(max_message_bytes: usize) -> Self {
        Self {
            cx: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            max_message_bytes,
        }
    }

    /// Expects a start-up message next, since the caller's TLS request has been answered.
    pub fn ssl_negotiated(&mut self) {
        self.cx.awaiting_frontend_ssl = false;
    }

    /// Returns the size in bytes of the message that `src` begins with; `None` while it is unknown.
    pub fn message_size(&self, src: &[u8]) -> Option<usize> {
        // The messages before the start-up message are short and have no type byte.
        let has_type = !self.cx.awaiting_frontend_startup;
        stated_size(src).filter(|_| has_type)
    }

    /// Expects messages with a type byte from now on, since the start-up message has been read.
    pub fn startup_received(&mut self) {
        self.cx.awaiting_frontend_ssl = false;
        self.cx.awaiting_frontend_startup = false;
    }
}

impl Decoder for CallerCodec {
    type Item = PgWireFrontendMessage;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        if !self.cx.awaiting_frontend_startup {
            check_size(src, self.max_message_bytes)?;
        }
        let msg = catch_decode_panic(|| PgWireFrontendMessage::decode(src, &self.cx))?;
        match &msg {
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                self.ssl_negotiated();
                return self.decode(src);
            }
            Some(PgWireFrontendMessage::Startup(_)) => self.startup_received(),
            _ => {}
        }
        Ok(msg)
    }
}

impl Encoder<Bytes> for CallerCodec {
    type Error = CodecError;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> Result<(), CodecError> {
        dst.extend_from_slice(&item);
        Ok(())
    }
}

/// Decodes upstreams' messages and writes requests that are encoded already.
#[derive(Debug)]
pub struct UpstreamCodec {
    cx: DecodeContext,
    max_message_bytes: usize,
}

impl UpstreamCodec {
    /// Returns a codec for a new connection; larger messages than `max_message_bytes` are refused.
    pub fn new(max_message_bytes: usize) -> Self {
        Self {
            cx: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            max_message_bytes,
        }
    }
}

impl Decoder for UpstreamCodec {
    type Item = PgWireBackendMessage;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, CodecError> {
        check_size(src, self.max_message_bytes)?;
        catch_decode_panic(|| PgWireBackendMessage::decode(src, &self.cx))
    }
}

impl Encoder<Bytes> for UpstreamCodec {
    type Error = CodecError;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> Result<(), CodecError> {
        dst.extend_from_slice(&item);
        Ok(())
    }
}

/// Decodes a caller's password message.
///
/// # Errors
///
/// Fails if the message isn't a password message.
pub fn read_password(family: PasswordMessageFamily) -> Result<String, CodecError> {
    let password = catch_decode_panic(|| family.into_password().map(Some))?;
    Ok(password.map(|msg| msg.password).unwrap_or_default())
}

/// Encodes messages that a client sends to a server.
///
/// # Errors
///
/// Fails if a message is larger than the protocol allows.
pub fn encode_frontend(msgs: &[PgWireFrontendMessage]) -> Result<Bytes, CodecError> {
    let mut buf = BytesMut::new();
    for msg in msgs {
        msg.encode(&mut buf)?;
    }
    Ok(buf.freeze())
}

/// Encodes messages that a server sends to a client.
///
/// # Errors
///
/// Fails if a message is larger than the protocol allows.
pub fn encode_backend(msgs: &[PgWireBackendMessage]) -> Result<Bytes, CodecError> {
    let mut buf = BytesMut::new();
    for msg in msgs {
        msg.encode(&mut buf)?;
    }
    Ok(buf.freeze())
}
