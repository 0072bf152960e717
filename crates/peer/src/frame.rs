//! Frames on a link from one part of a host to another host.

use bytes::Bytes;
use decide::Msg;
use model::{PartAddr, PartId};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 72 << 20;

/// The first frame on a link.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkHello {
    /// The version of the frames that follow.
    pub version: u32,
    /// The fleet's secret.
    pub secret: String,
    /// The part that sends on this link.
    pub from: PartAddr,
    /// The host that it wants to reach.
    pub to: model::HostId,
}

/// The version of the frames.
pub const FRAME_VERSION: u32 = 1;

impl std::fmt::Debug for LinkHello {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hello")
            .field("version", &self.version)
            .field("from", &self.from)
            .field("to", &self.to)
            .finish_non_exhaustive()
    }
}

/// Every later frame on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A message for one part of the receiving host.
    Msg {
        /// The part.
        to: PartId,
        /// The message.
        msg: Msg,
    },
    /// Shows that the link is alive.
    Ping,
}

/// A frame can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("malformed frame: {0}")]
pub struct BadFrame(#[from] postcard::Error);

/// Returns the codec that cuts a stream into frames.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a hello or a frame.
///
/// # Errors
///
/// Fails if the value can't be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, BadFrame> {
    Ok(postcard::to_stdvec(value)?.into())
}

/// Decodes a hello or a frame.
///
/// # Errors
///
/// Fails if the bytes are no such value.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, BadFrame> {
    Ok(postcard::from_bytes(bytes)?)
}
