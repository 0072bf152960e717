//! Logging in to a PostgreSQL upstream.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::time::Duration;

use host::Postgres;
use host::adapter::{Adapter, LoginError, UpstreamTarget};
use host::settings::UpstreamSettings;
use tokio::net::TcpListener;

/// Guards against a service's name that adds parameters to the start-up message.
#[tokio::test]
async fn a_service_name_with_a_nul_is_refused_before_a_connection_is_made() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = UpstreamTarget {
        addr: listener.local_addr().unwrap(),
        upstream: "kv-1".into(),
        service: "kv\0user\0other".into(),
        workspace: None,
        for_queries: false,
    };
    let cfg = UpstreamSettings::default();
    let login = Postgres::connect(&target, &cfg, Duration::from_millis(300)).await;
    assert!(matches!(login, Err(LoginError::Refused(_))));
    let accepted = tokio::time::timeout(Duration::from_millis(100), listener.accept()).await;
    assert!(accepted.is_err());
}
