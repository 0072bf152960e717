//! Accepts connections and owns their tasks.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::conn;
use super::engine_thread::Message;

/// The delay before a failed accept or bind is retried.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections while `listening` is true, until the instance ends; then aborts
/// the tasks of all connections.
pub(crate) async fn run(
    listener: TcpListener,
    addr: SocketAddr,
    mut listening: watch::Receiver<bool>,
    engine: Sender<Message>,
) {
    let mut listener = Some(listener);
    let mut conns = JoinSet::new();
    let mut last_conn = 0;
    loop {
        tokio::select! {
            changed = listening.changed() => {
                if changed.is_err() {
                    break;
                }
                let listen = *listening.borrow_and_update();
                listener = match (listen, listener) {
                    (true, None) => Some(bind(addr).await),
                    (true, listener) => listener,
                    (false, _) => None,
                };
            }
            stream = accept(listener.as_ref()) => {
                last_conn += 1;
                conns.spawn(conn::serve(stream, last_conn, engine.clone()));
            }
            Some(_) = conns.join_next() => {}
        }
    }
    drop(listener);
    conns.shutdown().await;
}

async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn bind(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
