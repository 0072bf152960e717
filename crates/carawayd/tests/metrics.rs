//! The metrics and the readiness endpoint of a host that runs as a process.

mod fleet;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fleet::client::{PASSWORD, configure, connect, first_value};
use fleet::{Fleet, WAIT_TIMEOUT, eventually, free_addr, plan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends an HTTP request, such as `GET /ready`, and returns the status code and the whole answer.
async fn get(addr: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let text = format!("{request} HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer))
}

/// Sends an HTTP request and returns the status code.
async fn status(addr: SocketAddr, request: &str) -> Option<u16> {
    get(addr, request).await.map(|(status, _)| status)
}

/// Returns the value of a metric, given by its name and labels as served.
async fn metric(addr: SocketAddr, name: &str) -> Option<u64> {
    let (_, text) = get(addr, "GET /metrics").await?;
    let values = text.lines().filter_map(|line| line.rsplit_once(' '));
    let mut found = values.filter(|(left, _)| *left == name);
    found.next()?.1.parse().ok()
}

/// Returns the name and labels of the metric that counts reads by upstreams of a role.
fn reads_by(upstream: &str) -> String {
    format!("caraway_requests_total{{kind=\"read\",upstream=\"{upstream}\",verdict=\"ran\"}}")
}

/// Checks that the served metrics are exactly those that `docs/EVENTS.md` lists.
fn assert_all_documented(text: &str) {
    let kinds = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let served = kinds.map(|line| match line.split_once(' ') {
        Some((name, "counter")) => format!("{name}_total"),
        Some((name, _)) => name.to_owned(),
        None => panic!("a metric has no type: {line}"),
    });
    let document = include_str!("../../../docs/EVENTS.md").lines();
    let listed = document.filter_map(|line| line.strip_prefix("- `")?.split('`').next());
    let served: BTreeSet<String> = served.collect();
    let listed: BTreeSet<String> = listed.map(str::to_owned).collect();
    assert_eq!(served, listed);
}

#[tokio::test]
async fn metrics_count_requests_sessions_connections_and_refusals() {
    let plans = [
        plan("control-1", "spn", false, true),
        plan("entry-1", "spn", true, false),
    ];
    let mut fleet = Fleet::start(&plans, "");
    fleet.start_group(["spn"; 3], "lag = \"10ms\"");
    configure(&fleet).await;
    let addr = fleet.host("entry-1").metrics;
    eventually(
        "the sessions of the preparation are over",
        WAIT_TIMEOUT,
        async || metric(addr, "caraway_sessions").await == Some(0),
    )
    .await;
    let written = "caraway_requests_total{kind=\"write\",upstream=\"primary\",verdict=\"ran\"}";
    let before = metric(addr, written).await.unwrap();

    let client = connect(fleet.host("entry-1").callers, PASSWORD, "").await;
    let client = client.unwrap();
    client
        .simple_query("INSERT INTO kv VALUES ('a', '1')")
        .await
        .unwrap();
    for _ in 0..5 {
        first_value(&client, "SELECT v FROM kv WHERE k = 'a'")
            .await
            .unwrap();
    }
    assert_eq!(metric(addr, written).await, Some(before + 1));
    let by_replicas = metric(addr, &reads_by("replica")).await.unwrap();
    let by_primary = metric(addr, &reads_by("primary")).await.unwrap();
    assert_eq!(by_replicas + by_primary, 5);
    assert_eq!(metric(addr, "caraway_sessions").await, Some(1));
    assert_eq!(metric(addr, "caraway_config_version").await, Some(1));
    assert_eq!(metric(addr, "caraway_config_usable").await, Some(1));
    assert_eq!(metric(addr, "caraway_leaving").await, Some(0));
    let at_least = [
        ("caraway_pooled_connections", 1),
        ("caraway_routed_total{reason=\"write\"}", 1),
        (
            "caraway_upstream_queries_total{kind=\"statement\"}",
            by_replicas + by_primary + 1,
        ),
        ("caraway_upstream_queries_total{kind=\"claim\"}", 1),
    ];
    for (name, least) in at_least {
        let value = metric(addr, name).await;
        assert!(
            value.is_some_and(|value| value >= least),
            "{name}: {value:?}"
        );
    }

    let refused = connect(fleet.host("entry-1").callers, "desk.wrong", "").await;
    assert!(refused.is_err());
    let bad_key = "caraway_refusals_total{of=\"login\",reason=\"bad_key\"}";
    assert_eq!(metric(addr, bad_key).await, Some(1));
    drop(client);
    eventually("no session is left", WAIT_TIMEOUT, async || {
        metric(addr, "caraway_sessions").await == Some(0)
    })
    .await;
    let links_down = metric(addr, "caraway_links_down_total").await.unwrap();
    fleet.kill("control-1");
    eventually("the link counts as broken", WAIT_TIMEOUT, async || {
        let now = metric(addr, "caraway_links_down_total").await;
        now.is_some_and(|now| now > links_down)
    })
    .await;
    let (_, text) = get(addr, "GET /metrics").await.unwrap();
    assert!(text.contains("application/openmetrics-text"), "{text}");
    assert!(text.ends_with("# EOF\n"), "{text}");
    assert_all_documented(&text);
}

#[tokio::test]
async fn a_host_is_ready_once_it_can_serve_and_until_it_leaves() {
    let plans = [
        plan("control-1", "spn", false, true),
        plan("entry-1", "spn", true, false),
    ];
    let mut fleet = Fleet::start(&plans, "");
    fleet.start_group(["spn"; 3], "lag = \"10ms\"");
    configure(&fleet).await;
    let entry = fleet.host("entry-1");
    let (addr, callers) = (entry.metrics, entry.callers);
    assert_eq!(status(addr, "GET /ready").await, Some(200));
    assert_eq!(status(addr, "HEAD /ready").await, Some(200));
    assert_eq!(status(addr, "GET /other").await, Some(404));
    assert_eq!(status(addr, "POST /ready").await, Some(405));

    // A leaving host stays up while a transaction is open, so that its readiness can be asked.
    let client = connect(callers, PASSWORD, "").await.unwrap();
    client.simple_query("BEGIN").await.unwrap();
    let sql = "INSERT INTO kv VALUES ('a', '1')";
    client.simple_query(sql).await.unwrap();
    entry.process.signal("TERM");
    eventually("the leaving host is not ready", WAIT_TIMEOUT, async || {
        status(addr, "GET /ready").await == Some(503)
    })
    .await;
    assert_eq!(metric(addr, "caraway_leaving").await, Some(1));
    client.simple_query("COMMIT").await.unwrap();
    assert!(fleet.host_mut("entry-1").process.wait());
}

#[tokio::test]
async fn a_host_without_a_configuration_is_not_ready() {
    // Nothing listens at the address of its only control host.
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.toml");
    let text = format!(
        "host = \"entry-1\"\ndata_centre = \"spn\"\nfleet_secret = \"test\"\n\
         [[control_hosts]]\nhost = \"control-1\"\npeers = \"{}\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         api = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n",
        free_addr()
    );
    std::fs::write(&file, text).unwrap();
    let args = ["run", "--settings", file.to_str().unwrap()];
    let process = fleet::process::Process::start(&args);
    let addr = process.addr("metrics");
    assert_eq!(status(addr, "GET /ready").await, Some(503));
    assert_eq!(metric(addr, "caraway_config_usable").await, Some(0));
}
