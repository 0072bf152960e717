//! A TCP relay that can cut, freeze or delay the connections through it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What a relay does with the connections through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayMode {
    /// Forwards all bytes.
    Pass,
    /// Closes open connections and new ones.
    Cut,
    /// Keeps connections open but forwards nothing.
    Freeze,
    /// Forwards all bytes after this delay.
    Delay(Duration),
}

/// A running relay; dropping it stops it and closes its connections.
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    mode: watch::Sender<RelayMode>,
    target: watch::Sender<SocketAddr>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay to an address.
    pub(crate) async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (mode, mode_receiver) = watch::channel(RelayMode::Pass);
        let mut tasks = JoinSet::new();
        let (to, target) = watch::channel(to);
        tasks.spawn(accept(listener, target, mode_receiver));
        Self {
            addr,
            mode,
            target: to,
            _tasks: tasks,
        }
    }

    /// Changes the address to which new connections are forwarded.
    pub(crate) fn set_target(&self, to: SocketAddr) {
        self.target.send_replace(to);
    }

    /// Changes the mode, for open connections too.
    pub(crate) fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections, and forwards each to the target, unless the mode is `Cut`.
async fn accept(
    listener: TcpListener,
    to: watch::Receiver<SocketAddr>,
    mode: watch::Receiver<RelayMode>,
) {
    let mut copies = JoinSet::new();
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            return;
        };
        if *mode.borrow() == RelayMode::Cut {
            continue;
        }
        let to = *to.borrow();
        let Ok(target) = TcpStream::connect(to).await else {
            continue;
        };
        let (caller_read, caller_write) = caller.into_split();
        let (target_read, target_write) = target.into_split();
        copies.spawn(copy_one_way(caller_read, target_write, mode.clone()));
        copies.spawn(copy_one_way(target_read, caller_write, mode.clone()));
    }
}

/// Copies bytes in one direction until either end closes or the mode is `Cut`.
async fn copy_one_way(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<RelayMode>,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let now = *mode.borrow_and_update();
        match now {
            RelayMode::Cut => return,
            RelayMode::Freeze => {
                if mode.changed().await.is_err() {
                    return;
                }
            }
            RelayMode::Pass | RelayMode::Delay(_) => {
                let read = tokio::select! {
                    read = from.read(&mut buf) => read.unwrap_or(0),
                    changed = mode.changed() => match changed {
                        Ok(()) => continue,
                        Err(_) => return,
                    },
                };
                if read == 0 {
                    return;
                }
                if let RelayMode::Delay(delay) = now {
                    tokio::time::sleep(delay).await;
                }
                if to.write_all(&buf[..read]).await.is_err() {
                    return;
                }
            }
        }
    }
}
