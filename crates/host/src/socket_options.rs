//! TCP options by which the system closes connections to peers that have fallen silent.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets no-delay, keepalive and the user timeout, for a connection to a host or an upstream.
///
/// # Errors
///
/// Fails if the system refuses an option.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Sets the options, or logs that they can't be set: the connection works without them.
pub fn set_options_or_warn(stream: &TcpStream) {
    if let Err(error) = set_options(stream) {
        log::warn!("event=702 socket-untuned error={error}");
    }
}
