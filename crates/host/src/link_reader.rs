//! Incoming links from other hosts: reads the hello and then messages, which it passes on to parts.

use std::time::Duration;

use budget::Charge;
use bytes::{Buf, Bytes, BytesMut};
use decide::relay::RelayMsg;
use decide::{Event, Msg};
use futures::StreamExt;
use model::PartAddr;
use peer::frame::{self, Frame, LinkHello};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts};

use crate::conn_budget::Budget;
use crate::inbox::Inboxes;

/// How long an accepted link may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an incoming link may be silent before it counts as broken; 4 pings.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Free buffer space in bytes that is provided for a read.
const READ_BYTES: usize = 8 << 10;
/// Size of a frame in bytes above which it waits for the byte budget before it is read.
const LARGE_FRAME_BYTES: usize = 64 << 10;
/// Number of bytes in front of each frame that hold its length.
const LENGTH_BYTES: usize = 4;

/// Reads the hello of an accepted link.
///
/// Returns it with the stream and the bytes that were read after it, or `None` if it doesn't come
/// in time or can't be decoded.
pub(crate) async fn read_hello(stream: TcpStream) -> Option<(LinkHello, TcpStream, BytesMut)> {
    let mut stream = Framed::new(stream, frame::hello_codec());
    let hello = timeout(HELLO_TIMEOUT, stream.next()).await;
    let hello = hello.ok()??.ok()?;
    let hello = frame::decode(&hello).ok()?;
    let FramedParts { io, read_buf, .. } = stream.into_parts();
    Some((hello, io, read_buf))
}

/// Reads an accepted link until it breaks, then sends `Event::LinkDown` to every part.
pub(crate) async fn read_link(
    stream: std::net::TcpStream,
    unread: BytesMut,
    from: PartAddr,
    budget: Budget,
    inboxes: Inboxes,
) {
    read_frames(stream, unread, &from, &budget, &inboxes).await;
    inboxes.send_event_to_all(&Event::LinkDown(from.host));
}

/// Passes messages on to their parts; returns `None` when the link is broken or silent.
async fn read_frames(
    stream: std::net::TcpStream,
    unread: BytesMut,
    from: &PartAddr,
    budget: &Budget,
    inboxes: &Inboxes,
) -> Option<()> {
    let mut stream = TcpStream::from_std(stream).ok()?;
    let mut buf = unread;
    let mut buffered = budget.charge();
    loop {
        while let Some(frame) = split_frame(&mut buf)? {
            if let Frame::Msg { to, mut msg } = frame::decode(&frame).ok()? {
                attach_charge(&mut msg, budget);
                let from = from.clone();
                inboxes.send_event(to, Event::Peer { from, msg });
            }
        }
        if buf.is_empty() {
            // The buffer of a large frame would stay with the link.
            buf = BytesMut::new();
        }
        let size = frame_size(&buf);
        if size > LARGE_FRAME_BYTES {
            // The sender closes a link that is not read, so the wait is short.
            let wait = budget.cfg().link_wait;
            let _ = timeout(wait, buffered.set(size)).await;
        }
        buffered.force(size);
        buf.reserve(size.saturating_sub(buf.len()).max(READ_BYTES));
        let read = timeout(SILENCE_TIMEOUT, stream.read_buf(&mut buf)).await;
        if read.ok()?.ok()? == 0 {
            return None;
        }
    }
}

/// Removes the frame at the start of the buffer, `Some(None)` until all of it has come; `None` if
/// it is longer than a link carries.
fn split_frame(buf: &mut BytesMut) -> Option<Option<BytesMut>> {
    let size = frame_size(buf);
    if size > frame::MAX_FRAME_BYTES + LENGTH_BYTES {
        return None;
    }
    if size == 0 || buf.len() < size {
        return Some(None);
    }
    let mut frame = buf.split_to(size);
    frame.advance(LENGTH_BYTES);
    Some(Some(frame))
}

/// Returns the size of the frame that the buffer begins with, or 0 if its length has not come.
fn frame_size(buf: &[u8]) -> usize {
    let length = buf.first_chunk::<LENGTH_BYTES>();
    length.map_or(0, |length| {
        LENGTH_BYTES + u32::from_be_bytes(*length) as usize
    })
}

/// Counts the payload of a message until its last copy is dropped.
fn attach_charge(msg: &mut Msg, budget: &Budget) {
    let payload: &mut Bytes = match msg {
        Msg::Relay(RelayMsg::Run(run)) => &mut run.req.payload,
        Msg::Relay(RelayMsg::Answer { answer, .. } | RelayMsg::Failed { answer, .. }) => {
            &mut answer.payload
        }
        _ => return,
    };
    if !payload.is_empty() {
        let mut charge: Charge = budget.charge();
        charge.force(payload.len());
        *payload = charge.attach(std::mem::take(payload));
    }
}
