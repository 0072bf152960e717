//! Options of sockets, by which a peer that has fallen silent is noticed.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a connection may be idle before it is probed, and between two probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// How many probes may stay unanswered.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Sets the options of a connection to another host or to an upstream.
///
/// # Errors
///
/// Fails if the system refuses an option.
pub fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Sets the options of a connection; one without them still works.
pub fn tune_or_warn(stream: &TcpStream) {
    if let Err(error) = tune(stream) {
        log::warn!("event=702 socket-untuned error={error}");
    }
}
