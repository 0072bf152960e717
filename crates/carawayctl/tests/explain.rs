//! What `carawayctl explain` asks a host, and what it prints.
//!
//! The host is a server that answers one call with a given JSON-RPC result.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::thread;

use serde_json::{Value, json};

/// Answers one HTTP request on a listener, and returns its body.
fn answer_once(listener: &TcpListener, answer: &Value) -> Value {
    let (mut stream, _) = listener.accept().unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let mut answer = answer.clone();
    answer["jsonrpc"] = json!("2.0");
    answer["id"] = body["id"].clone();
    let text = answer.to_string();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{text}",
        text.len()
    )
    .unwrap();
    body
}

/// Runs `carawayctl` against a host that gives an answer; returns the call and the output.
fn run(answer: Value, args: &[&str]) -> (Value, Output) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let host = thread::spawn(move || answer_once(&listener, &answer));
    let output = Command::new(env!("CARGO_BIN_EXE_carawayctl"))
        .args(["--api", &addr])
        .args(args)
        .output()
        .unwrap();
    (host.join().unwrap(), output)
}

fn explanation() -> Value {
    let upstream = |name: &str, left_out: Value, owners: Value| {
        json!({
            "upstream": name, "data_centre": "dc-1", "primary": name == "i1",
            "warming": name == "i3", "draining": false, "evacuated": name == "i3",
            "left_out": left_out, "owners": owners,
        })
    };
    let owner = |host: &str, left_out: Value| json!({ "host": host, "left_out": left_out });
    json!({
        "host": "h1", "part": 2, "parts": 4, "service": "ledger",
        "outcome": "waits-for-token", "refusal": null,
        "target": { "upstream": "i2", "owner": "h2", "owner_part": 3, "reason": "near-replica" },
        "rate": { "workspace": "anna", "decision": "waits", "longest_wait": 0.04 },
        "upstreams": [
            upstream("i1", json!([{ "reason": "not-chosen", "ends_in": null }]), json!([])),
            upstream("i2", json!([]), json!([
                owner("h2", json!([])),
                owner("h3", json!([{ "reason": "unavailable", "ends_in": 0.2 }])),
            ])),
            upstream("i3", json!([{ "reason": "evacuated", "ends_in": null }]), json!([])),
        ],
        "version": 4, "confirmed_age": 0.25, "view_age": 3.0,
    })
}

const ASKED: [&str; 9] = [
    "explain",
    "--service",
    "ledger",
    "--workspace",
    "anna",
    "--max-age",
    "2s",
    "--part",
    "2",
];

#[test]
fn the_answer_is_printed_as_text() {
    let (call, output) = run(json!({ "result": explanation() }), &ASKED);
    assert_eq!(call["method"], "explain");
    let request = &call["params"][0];
    assert_eq!(request["service"], "ledger");
    assert_eq!(request["workspace"], "anna");
    assert_eq!(request["max_age"], "2s");
    assert_eq!(
        (&request["kind"], &request["part"]),
        (&json!("Read"), &json!(2))
    );
    let text = String::from_utf8(output.stdout).unwrap();
    let expected = "\
asked h1, traffic part 2 of 4
read of ledger: would wait for a rate token, then sent to i2 through owner h2 (part 3), reason near-replica
rate of anna: no token here now, would ask for one and wait 40 ms at most
configuration 4 in force, confirmed 0.2 s ago; fleet as known: last changed 3.0 s ago

UPSTREAM  DATA CENTRE  ROLE     STATE               CHOICE      OWNERS
i1        dc-1         primary  -                   not-chosen
i2        dc-1         replica  -                   chosen      h2, h3 (unavailable for 200 ms)
i3        dc-1         replica  warming, evacuated  evacuated
";
    assert_eq!(text, expected);
    assert!(output.status.success());
}

#[test]
fn the_answer_is_printed_as_json() {
    let args = [&["--output", "json"][..], &ASKED].concat();
    let (_, output) = run(json!({ "result": explanation() }), &args);
    let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(printed, explanation());
}

/// A host of an earlier version doesn't know the call; it must be reported as failed, not as done.
#[test]
fn a_host_that_does_not_know_the_call_is_reported() {
    let error = json!({ "error": { "code": -32601, "message": "Method not found" } });
    let (_, output) = run(error, &ASKED);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("Method not found"), "{text}");
}

#[test]
fn a_refused_question_has_the_exit_status_of_refusals() {
    let error = json!({ "error": { "code": -32001, "message": "this host serves no callers" } });
    let (_, output) = run(error, &ASKED);
    assert_eq!(output.status.code(), Some(3));
}

/// Guards against an answer that is taken for one about another service.
#[test]
fn a_route_to_another_service_is_wrong_input() {
    let args = ["explain", "--service", "other", "--route", "pots"];
    let (call, output) = run(json!({ "result": explanation() }), &args);
    assert_eq!(call["params"][0]["route"], "pots");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn a_service_or_a_route_is_needed() {
    let output = Command::new(env!("CARGO_BIN_EXE_carawayctl"))
        .arg("explain")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}
