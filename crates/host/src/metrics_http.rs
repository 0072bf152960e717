//! Serves the metrics and the readiness of a host over HTTP.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::metrics::Metrics;

/// The media type of the metrics.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The media type of everything else.
const PLAIN: &str = "text/plain; charset=utf-8";
/// How long a connection may last, which carries one request.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// How many connections are served at a time.
const MAX_CONNECTIONS: usize = 64;
/// How long to wait after an accept has failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves until the host has stopped.
pub(crate) async fn serve(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    ready_path: Arc<str>,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                connections.spawn(connection(stream, metrics.clone(), ready_path.clone()));
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    connections.shutdown().await;
}

async fn connection(stream: TcpStream, metrics: Arc<Metrics>, ready_path: Arc<str>) {
    let service = service_fn(|req| {
        let response = respond(&req, &metrics, &ready_path);
        async { Ok::<_, Infallible>(response) }
    });
    let serving = http1::Builder::new()
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    // A caller that is too slow or speaks no HTTP only loses its connection.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, serving).await;
}

fn respond(req: &Request<Incoming>, metrics: &Metrics, ready_path: &str) -> Response<Full<Bytes>> {
    if !matches!(*req.method(), Method::GET | Method::HEAD) {
        return response(StatusCode::METHOD_NOT_ALLOWED, PLAIN, "only GET\n");
    }
    match req.uri().path() {
        "/metrics" => match metrics.text() {
            Ok(text) => response(StatusCode::OK, OPEN_METRICS, text),
            Err(_) => response(StatusCode::INTERNAL_SERVER_ERROR, PLAIN, "no metrics\n"),
        },
        path if path == ready_path && metrics.ready() => response(StatusCode::OK, PLAIN, "ready\n"),
        path if path == ready_path => {
            response(StatusCode::SERVICE_UNAVAILABLE, PLAIN, "not ready\n")
        }
        _ => response(
            StatusCode::NOT_FOUND,
            PLAIN,
            format!("/metrics or {ready_path}\n"),
        ),
    }
}

fn response(
    status: StatusCode,
    kind: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
