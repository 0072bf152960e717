//! Frames on a link, the one-way connection from one part of a host to another host.

use bytes::Bytes;
use decide::Msg;
use model::{PartAddr, PartId};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame that a link carries, in bytes: an answer of 64 MiB, the default limit, and the
/// fields around it.
pub const MAX_FRAME_BYTES: usize = 72 << 20;

/// The largest first frame of a link, in bytes: a secret and three names.
///
/// It is read before the sender has shown the secret, so anyone may send it.
pub const MAX_HELLO_BYTES: usize = 4 << 10;

/// The first frame on a link, by which the receiver accepts or refuses it.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkHello {
    /// Version of the encoding of the frames that follow; the receiver must have the same.
    pub version: u32,
    /// The secret that all hosts of the fleet share; hidden in `Debug` output.
    pub secret: String,
    /// The part that sends on this link.
    pub from: PartAddr,
    /// The host that the sender means to reach, refused if the address belongs to another host.
    pub to: model::HostId,
}

/// Version of the encoding of [`LinkHello`] and [`Frame`].
pub const FRAME_VERSION: u32 = 1;

impl std::fmt::Debug for LinkHello {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LinkHello")
            .field("version", &self.version)
            .field("from", &self.from)
            .field("to", &self.to)
            .finish_non_exhaustive()
    }
}

/// A frame on a link after the first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A message for one part of the receiving host.
    Msg {
        /// The part that the message is for.
        to: PartId,
        /// The message.
        msg: Msg,
    },
    /// Shows that the link is alive while there are no messages.
    Ping,
}

/// Error of a frame that can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("malformed frame: {0}")]
pub struct BadFrame(#[from] postcard::Error);

/// Returns the codec that splits a byte stream into frames, each with its length before it.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Returns the codec for the first frame of a link.
pub fn hello_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO_BYTES)
        .new_codec()
}

/// Encodes a [`LinkHello`] or a [`Frame`].
///
/// # Errors
///
/// Fails if the value can't be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, BadFrame> {
    Ok(postcard::to_stdvec(value)?.into())
}

/// Decodes a [`LinkHello`] or a [`Frame`].
///
/// # Errors
///
/// Fails if the bytes aren't an encoded value of the type.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, BadFrame> {
    Ok(postcard::from_bytes(bytes)?)
}
