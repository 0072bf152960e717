//! Helpers to connect to an instance and run statements.

use std::net::SocketAddr;
use std::time::Duration;

use standin::{InstanceConfig, Running};
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage, SimpleQueryRow};

/// How long a replica may take to catch up before a test fails.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns settings with no connect time, statement time and replication lag.
pub(crate) fn without_delays() -> InstanceConfig {
    InstanceConfig {
        connect_time: Duration::ZERO,
        statement_time: Duration::ZERO,
        lag: Duration::ZERO,
        ..InstanceConfig::default()
    }
}

/// Opens a connection with the expected credentials.
pub(crate) async fn connect(running: &Running) -> Client {
    let credentials = &running.config().credentials;
    try_connect(running.addr(), &credentials.user, &credentials.password)
        .await
        .expect("the instance takes the connection")
}

/// Opens a connection, or returns the error of the login.
pub(crate) async fn try_connect(
    addr: SocketAddr,
    user: &str,
    password: &str,
) -> Result<Client, Error> {
    let (client, connection) = Config::new()
        .host(addr.ip().to_string())
        .port(addr.port())
        .user(user)
        .password(password)
        .connect(NoTls)
        .await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Runs a simple query and returns its first row.
pub(crate) async fn row(client: &Client, sql: &str) -> SimpleQueryRow {
    client
        .simple_query(sql)
        .await
        .expect("the query runs")
        .into_iter()
        .find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        })
        .expect("the query answers a row")
}

/// Runs a simple query and returns the first value; `None` for `NULL`.
pub(crate) async fn value(client: &Client, sql: &str) -> Option<String> {
    row(client, sql).await.get(0).map(str::to_owned)
}

/// Calls a `caraway.*` function and returns `role term log_term granted slots connections`.
pub(crate) async fn call(client: &Client, call: &str) -> String {
    let row = row(client, &format!("SELECT * FROM caraway.{call}")).await;
    [
        "role",
        "term",
        "log_term",
        "granted",
        "slots",
        "connections",
    ]
    .map(|name| row.get(name).expect("the column is there").to_owned())
    .join(" ")
}

/// Runs a statement that must fail, and returns the SQLSTATE.
pub(crate) async fn sqlstate(client: &Client, sql: &str) -> SqlState {
    let error = client
        .simple_query(sql)
        .await
        .expect_err("the statement fails");
    error.code().expect("the instance answers").clone()
}

/// Waits until a replica's log has reached that of its primary.
pub(crate) async fn wait_until_caught_up(primary: &Client, replica: &Client) {
    let at = row(primary, "SELECT * FROM caraway.status(0, 0, 0)").await;
    let wait = format!(
        "SELECT * FROM caraway.status({}, {}, {})",
        at.get("log_term").expect("a term"),
        at.get("log_offset").expect("an offset"),
        CATCH_UP_TIMEOUT.as_millis()
    );
    assert_eq!(row(replica, &wait).await.get("granted"), Some("t"));
}
