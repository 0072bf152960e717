//! Announcements to the API of hosts.

use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use model::Announcement;
use standin::{Instance, InstanceConfig};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::client::without_delays;

/// Starts an API server, and returns its address and the announcements that it gets.
async fn start_api() -> (
    std::net::SocketAddr,
    ServerHandle,
    UnboundedReceiver<Announcement>,
) {
    let (tx, rx) = unbounded_channel();
    let mut module: RpcModule<UnboundedSender<Announcement>> = RpcModule::new(tx);
    module
        .register_method("announce", |params, tx, _| {
            tx.send(params.one::<Announcement>().expect("one announcement"))
                .is_ok()
        })
        .expect("the method is new");
    let server = ServerBuilder::default()
        .build("127.0.0.1:0")
        .await
        .expect("the server starts");
    let addr = server.local_addr().expect("it has an address");
    (addr, server.start(module), rx)
}

#[tokio::test]
async fn an_announcement_goes_to_the_next_address_if_one_fails_and_the_last_says_leaving() {
    let (stopped, server, _) = start_api().await;
    server.stop().expect("it runs");
    server.stopped().await;
    let (addr, _server, mut announced) = start_api().await;
    let cfg = InstanceConfig {
        api: vec![stopped, addr],
        announce_every: Duration::from_millis(20),
        ..without_delays()
    };
    let running = Instance::start(cfg).await.unwrap();
    let first = announced.recv().await.unwrap();
    assert_eq!(first.addr, running.addr());
    assert_eq!(
        (first.slots, first.connections, first.leaving),
        (3, 50, false)
    );
    let second = announced.recv().await.unwrap();
    assert!(second.sequence > first.sequence);

    running.announce_leaving();
    let mut last = second;
    while !last.leaving {
        last = announced.recv().await.unwrap();
    }
    assert!(announced.recv().await.unwrap().leaving, "it stays so");
    running.stop().await;
    while let Ok(next) = announced.try_recv() {
        assert!(next.sequence > last.sequence);
        last = next;
    }
    assert!(last.leaving);
}
