//! Accepts connections and hands each to the thread that it is for.

use std::time::Duration;

use model::{CONTROL_PART, FIRST_TRAFFIC_PART, PartId};
use peer::frame::{FRAME_VERSION, LinkHello};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::input::{Inboxes, Input};
use crate::link::read_hello;
use crate::settings::Secret;
use crate::sockets;

/// How long to wait after an accept has failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the host stops, and hands them to the traffic threads in turn.
pub(crate) async fn callers(
    listener: TcpListener,
    inboxes: Inboxes,
    mut stop: watch::Receiver<bool>,
) {
    let mut next = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Some(stream) = accepted.ok().and_then(|(stream, _)| stream.into_std().ok()) else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let part = FIRST_TRAFFIC_PART + next % (inboxes.count() - 1);
        next = next.wrapping_add(1);
        inboxes.put(part, Input::Caller(stream));
    }
}

/// Accepts links from other hosts until the host stops.
pub(crate) async fn peers(
    listener: TcpListener,
    inboxes: Inboxes,
    secret: Secret,
    mut stop: watch::Receiver<bool>,
) {
    let mut hellos = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = hellos.join_next() => continue,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, addr)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (inboxes, secret) = (inboxes.clone(), secret.clone());
        hellos.spawn(async move {
            sockets::tune_or_warn(&stream);
            let Some((hello, stream, rest)) = read_hello(stream).await else {
                log::warn!("event=521 link-refused addr={addr} reason=bad-hello");
                return;
            };
            if let Err(reason) = check(&hello, &secret, &inboxes) {
                log::warn!("event=521 link-refused addr={addr} reason={reason}");
                return;
            }
            let Ok(stream) = stream.into_std() else {
                return;
            };
            let part = receiving_part(hello.from.part, &inboxes);
            let from = hello.from;
            inboxes.put(part, Input::Peer { stream, rest, from });
        });
    }
    hellos.shutdown().await;
}

fn check(hello: &LinkHello, secret: &Secret, inboxes: &Inboxes) -> Result<(), &'static str> {
    if hello.version != FRAME_VERSION {
        return Err("version");
    }
    let same: bool = hello.secret.as_bytes().ct_eq(secret.0.as_bytes()).into();
    if !same {
        return Err("secret");
    }
    if hello.to != *inboxes.host() {
        return Err("other-host");
    }
    Ok(())
}

/// Control links are read by the control thread, the others by a traffic thread.
fn receiving_part(from: PartId, inboxes: &Inboxes) -> PartId {
    let traffic = inboxes.count() - 1;
    if from == CONTROL_PART || traffic == 0 {
        return CONTROL_PART;
    }
    FIRST_TRAFFIC_PART + (from - FIRST_TRAFFIC_PART) % traffic
}
