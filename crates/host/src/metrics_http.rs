//! Serves the metrics and the readiness check of a host over HTTP.

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
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::conn_budget::Budget;
use crate::http_listener;
use crate::metered_io::MeteredIo;
use crate::metrics::Metrics;

/// The media type of the metrics.
const OPENMETRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The media type of all other responses.
const PLAIN_TEXT_TYPE: &str = "text/plain; charset=utf-8";
/// How long a connection may last; each carries one request.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of a request's head in bytes, the smallest that the HTTP library allows.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Serves `/metrics` and `ready_path` until the host has stopped.
pub(crate) async fn serve(
    listener: TcpListener,
    budget: Budget,
    metrics: Arc<Metrics>,
    ready_path: Arc<str>,
    stop: watch::Receiver<bool>,
) {
    let handle = |io| serve_connection(io, metrics.clone(), ready_path.clone());
    // A client that is too slow or speaks no HTTP is disconnected, without a log line.
    http_listener::serve(listener, budget, CONNECTION_TIMEOUT, stop, handle).await;
}

async fn serve_connection(io: MeteredIo, metrics: Arc<Metrics>, ready_path: Arc<str>) {
    let service = service_fn(|req| {
        let response = respond(&req, &metrics, &ready_path);
        async { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let _ = connection.await;
}

fn respond(req: &Request<Incoming>, metrics: &Metrics, ready_path: &str) -> Response<Full<Bytes>> {
    if !matches!(*req.method(), Method::GET | Method::HEAD) {
        return build_response(
            StatusCode::METHOD_NOT_ALLOWED,
            PLAIN_TEXT_TYPE,
            "only GET\n",
        );
    }
    match req.uri().path() {
        "/metrics" => match metrics.to_openmetrics() {
            Ok(text) => build_response(StatusCode::OK, OPENMETRICS_TYPE, text),
            Err(_) => build_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                PLAIN_TEXT_TYPE,
                "no metrics\n",
            ),
        },
        path if path == ready_path && metrics.is_ready() => {
            build_response(StatusCode::OK, PLAIN_TEXT_TYPE, "ready\n")
        }
        path if path == ready_path => build_response(
            StatusCode::SERVICE_UNAVAILABLE,
            PLAIN_TEXT_TYPE,
            "not ready\n",
        ),
        _ => build_response(
            StatusCode::NOT_FOUND,
            PLAIN_TEXT_TYPE,
            format!("/metrics or {ready_path}\n"),
        ),
    }
}

fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
