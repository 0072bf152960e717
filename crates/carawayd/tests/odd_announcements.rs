//! Another writer announces odd instances to a host of the platform: the process goes on, and the
//! instances that announce themselves properly stay known.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use fleet::client::api_client;
use fleet::process::Process;
use fleet::{eventually, free_addr};
use peer::api::ApiClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than the lease of an announcement, as the deployment sets it.
const LONGER_THAN_LEASE: Duration = Duration::from_secs(5);
/// A heartbeat of a primary, with words in the place of its numbers.
const HEARTBEAT_BODY: &str = include_str!("../../../platform/tests/data/heartbeat.json");
/// How often an instance announces itself.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Sends a body to the path of an instance, and returns the status line of the response.
async fn put(addr: SocketAddr, id: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "PUT {}{id} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        platform::http::INSTANCES_PATH,
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    response.lines().next().unwrap_or_default().to_owned()
}

/// Returns a heartbeat of the instance, with other text in the place of a part of it.
fn beat(born: u128, sequence: u64, replace: &str, by: &str) -> Vec<u8> {
    let text = HEARTBEAT_BODY
        .replace("SEQUENCE", &sequence.to_string())
        .replace("BORN", &born.to_string());
    text.replacen(replace, by, 1).into_bytes()
}

#[tokio::test]
async fn odd_announcements_end_no_process_and_hide_no_instance() {
    let folder = tempfile::tempdir().unwrap();
    let (platform, peers, api) = (free_addr(), free_addr(), free_addr());
    let settings = format!(
        "host = \"h1\"\ndata_centre = \"dc\"\nprotocol = \"platform\"\nentry = true\n\
         control = true\nfleet_secret = \"test\"\nseeds = [\"{platform}\"]\ndata_dir = {:?}\n\
         [listen]\npeers = \"{peers}\"\napi = \"{api}\"\ncallers = \"127.0.0.1:0\"\n\
         metrics = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n\
         [group]\nauthority = \"quorum\"\n[owner]\ncapacity = \"announced\"\n\
         [raft]\nfound = true\nauto_members = true\n[spread]\nannounce_lease = \"4s\"\n",
        folder.path().join("data")
    );
    let path = folder.path().join("h1.toml");
    std::fs::write(&path, settings).unwrap();
    let mut process = Process::start(&["run", "--settings", path.to_str().unwrap()]);
    let client = api_client(process.addr("api"));
    let is_live = async || {
        let status = client.status().await.unwrap();
        let upstreams = status
            .services
            .iter()
            .flat_map(|service| &service.upstreams);
        upstreams
            .into_iter()
            .any(|up| up.upstream == "i-1" && up.live)
    };
    let unix_now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap();
    let born = unix_now.as_millis();
    eventually(
        "the first heartbeat is taken",
        fleet::WAIT_TIMEOUT,
        async || {
            put(platform, "i-1", &beat(born, 1, "", ""))
                .await
                .contains("200")
                && is_live().await
        },
    )
    .await;

    let nested = format!("{{\"a\":{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let odd: [(&str, Vec<u8>); 9] = [
        ("i-1", nested.into_bytes()),
        ("i-1", beat(born, 1, "127.0.0.1:9", "127.0.0.1:70000")),
        ("i-1", beat(born, 1, "127.0.0.1:9", "127.0.0.1:0")),
        ("i-1", beat(born, u64::MAX, "", "")),
        ("i-1", beat(born, 1, "\"sequence\":1", "\"sequence\":1e300")),
        ("i-1", beat(u128::from(u64::MAX), 1, "", "")),
        (
            "i-1",
            beat(
                born,
                1,
                "\"capacity\":2",
                "\"capacity\":99999999999999999999",
            ),
        ),
        ("i-1", vec![0xff; 300]),
        ("i-2", beat(born, u64::MAX, "", "")),
    ];
    for (id, body) in &odd {
        let status = put(platform, id, body).await;
        let start = String::from_utf8_lossy(&body[..body.len().min(60)]);
        assert!(status.contains(" 400 "), "{status} for {start}");
    }
    // The instance goes on announcing itself, and must be known all the while.
    let heartbeats = LONGER_THAN_LEASE.as_millis() / HEARTBEAT.as_millis();
    for sequence in 0..heartbeats as u64 {
        tokio::time::sleep(HEARTBEAT).await;
        let status = put(platform, "i-1", &beat(born, sequence + 2, "", "")).await;
        assert!(status.contains(" 200 "), "{status}");
        assert!(is_live().await, "the instance is not known any more");
    }
    assert!(process.is_running(), "the process has ended");
}
