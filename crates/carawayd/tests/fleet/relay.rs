//! A small TCP relay that can cut, delay and freeze what goes through it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What a relay does to what goes through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes everything on.
    Pass,
    /// Breaks open connections and takes no new ones.
    Cut,
    /// Keeps connections open but passes nothing on.
    Freeze,
    /// Passes everything on, so much later.
    Delay(Duration),
}

/// A running relay; dropping it ends it.
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    mode: watch::Sender<Mode>,
    to: watch::Sender<SocketAddr>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay to an address.
    pub(crate) async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (mode, seen) = watch::channel(Mode::Pass);
        let mut tasks = JoinSet::new();
        let (to, target) = watch::channel(to);
        tasks.spawn(accept(listener, target, seen));
        Self {
            addr,
            mode,
            to,
            _tasks: tasks,
        }
    }

    /// Changes where new connections go.
    pub(crate) fn lead_to(&self, to: SocketAddr) {
        self.to.send_replace(to);
    }

    /// Changes what the relay does.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    listener: TcpListener,
    to: watch::Receiver<SocketAddr>,
    mode: watch::Receiver<Mode>,
) {
    let mut pairs = JoinSet::new();
    loop {
        let Ok((near, _)) = listener.accept().await else {
            return;
        };
        if *mode.borrow() == Mode::Cut {
            continue;
        }
        let to = *to.borrow();
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        pairs.spawn(pump(near_read, far_write, mode.clone()));
        pairs.spawn(pump(far_read, near_write, mode.clone()));
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let now = *mode.borrow_and_update();
        match now {
            Mode::Cut => return,
            Mode::Freeze => {
                if mode.changed().await.is_err() {
                    return;
                }
            }
            Mode::Pass | Mode::Delay(_) => {
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
                if let Mode::Delay(delay) = now {
                    tokio::time::sleep(delay).await;
                }
                if to.write_all(&buf[..read]).await.is_err() {
                    return;
                }
            }
        }
    }
}
