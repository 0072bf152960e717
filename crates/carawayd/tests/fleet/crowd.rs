//! A crowd of connections that send bytes, and don't read what is sent to them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Receive buffer of each connection in bytes, so that unread answers stay in the host.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// How long each connection goes on trying to send: the host may stop reading, and be right.
const SEND_TIME: Duration = Duration::from_secs(5);

/// Opens a connection with a small receive buffer.
pub(crate) async fn open(addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    socket.connect(addr).await.ok()
}

/// Sends bytes on each connection at the same time, until they are sent, the host closes the
/// connection or `SEND_TIME` is over; returns the connections, still open.
pub(crate) async fn send_all(streams: Vec<TcpStream>, bytes: Vec<u8>) -> Vec<TcpStream> {
    let bytes: std::sync::Arc<[u8]> = bytes.into();
    let mut senders = JoinSet::new();
    for mut stream in streams {
        let bytes = bytes.clone();
        senders.spawn(async move {
            let _ = tokio::time::timeout(SEND_TIME, stream.write_all(&bytes)).await;
            stream
        });
    }
    senders.join_all().await
}

/// Opens `count` connections that send the same bytes, as [`send_all`] does.
pub(crate) async fn connect_and_send(
    addr: SocketAddr,
    count: usize,
    bytes: Vec<u8>,
) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.extend(open(addr).await);
    }
    send_all(streams, bytes).await
}

/// Returns the start of an HTTP request with a body of which only a part is sent.
pub(crate) fn unfinished_call(method: &str, path: &str, body_bytes: usize) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        body_bytes + 1
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_bytes, b' ');
    bytes
}
