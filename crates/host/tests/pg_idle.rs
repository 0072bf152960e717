//! A PostgreSQL connection that gets messages while no request runs.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::time::Duration;

use decide::conn::LossReason;
use host::Postgres;
use host::adapter::{Adapter, UpstreamConn, UpstreamTarget};
use host::settings::UpstreamSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const AUTHENTICATION_OK: &[u8] = b"R\0\0\0\x08\0\0\0\0";
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";
const PARAMETER_STATUS: &[u8] = b"S\0\0\0\x08a\0b\0";
const COMMAND_COMPLETE: &[u8] = b"C\0\0\0\x0dSELECT 1\0";

/// Logs in at a server that then sends `after_login`, and waits on the idle connection.
async fn wait_idle(after_login: &[u8]) -> Option<LossReason> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let bytes = [AUTHENTICATION_OK, READY_FOR_QUERY, after_login].concat();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut startup = [0; 256];
        assert_ne!(stream.read(&mut startup).await.unwrap(), 0);
        stream.write_all(&bytes).await.unwrap();
        stream
    });
    let target = UpstreamTarget {
        addr,
        upstream: "i-1".into(),
        service: "pots".into(),
        workspace: None,
        for_queries: false,
    };
    let cfg = UpstreamSettings::default();
    let conn = Postgres::connect(&target, &cfg, Duration::from_secs(5)).await;
    let mut conn = conn.unwrap();
    let _stream = server.await.unwrap();
    let idle = tokio::time::timeout(Duration::from_millis(300), conn.closed());
    idle.await.ok()
}

/// Guards against an answer that no request waits for and that the next one gets a part of.
#[tokio::test]
async fn an_answer_on_an_idle_connection_ends_it_and_a_notice_does_not() {
    assert_eq!(wait_idle(PARAMETER_STATUS).await, None);
    let answer = [COMMAND_COMPLETE, READY_FOR_QUERY].concat();
    assert_eq!(wait_idle(&answer).await, Some(LossReason::OutOfStep));
}
