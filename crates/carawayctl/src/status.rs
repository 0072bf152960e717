//! `carawayctl status`: the state of the fleet as one host knows it.

use decide::view::{FleetStatus, ServiceStatus};
use peer::api::ApiClient;

use crate::args::Output;
use crate::client::Cx;
use crate::output::print_table;

/// Prints the state of the fleet as the asked host knows it.
pub(crate) async fn status(cx: &Cx) -> eyre::Result<()> {
    let status = cx.client()?.status().await;
    let status = status.map_err(|error| cx.call_error(error))?;
    match cx.output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&status)?),
        Output::Table => show(&status),
    }
    Ok(())
}

fn show(status: &FleetStatus) {
    let age = status.confirmed_age;
    let age = age.map_or("never".to_owned(), |age| format!("{age:.1} s ago"));
    let (host, version) = (&status.host, status.version);
    println!("asked {host}: configuration {version} in force, confirmed {age}");
    show_evacuations(status);
    show_hosts(status);
    show_services(status);
    if let Some(raft) = &status.raft {
        let leader = raft.leader.as_deref().unwrap_or("none");
        let voters = raft.voters.join(", ");
        println!();
        println!(
            "consensus term {}, leader {leader}, voters {voters}",
            raft.term
        );
        println!("entries committed {}, written {}", raft.commit, raft.last);
        if !raft.learners.is_empty() {
            println!("learners {}", raft.learners.join(", "));
        }
    }
}

fn show_evacuations(status: &FleetStatus) {
    if status.evacuations > 0 {
        let evacuated = match status.evacuated.is_empty() {
            true => "none".to_owned(),
            false => status.evacuated.join(", "),
        };
        let version = status.evacuations;
        println!("evacuated data centres (version {version}): {evacuated}");
    }
}

fn show_hosts(status: &FleetStatus) {
    let rows: Vec<Vec<String>> = status
        .hosts
        .iter()
        .map(|host| {
            let state = match (host.alive, host.leaving) {
                (false, _) => "cut off or dead",
                (true, true) => "leaving",
                (true, false) => "alive",
            };
            let version = host
                .version
                .map_or("-".to_owned(), |version| version.to_string());
            vec![
                host.host.clone(),
                host.data_centre.clone(),
                state.to_owned(),
                version,
            ]
        })
        .collect();
    println!();
    print_table(&["HOST", "DATA CENTRE", "STATE", "CONFIGURATION"], &rows);
}

fn show_services(status: &FleetStatus) {
    let rows = status.services.iter();
    let rows: Vec<Vec<String>> = rows
        .flat_map(|service| service_rows(service, &status.evacuated))
        .collect();
    println!();
    let headings = [
        "SERVICE",
        "TERM",
        "UPSTREAM",
        "DATA CENTRE",
        "ROLE",
        "STATE",
        "OWNERS",
    ];
    print_table(&headings, &rows);
}

fn service_rows(service: &ServiceStatus, evacuated: &[String]) -> Vec<Vec<String>> {
    let row = |upstream: &decide::view::UpstreamStatus| {
        let primary = service.primary.as_deref() == Some(&upstream.upstream);
        let state = match (upstream.live, evacuated.contains(&upstream.data_centre)) {
            (false, _) => "lapsed",
            (true, true) => "evacuated",
            (true, false) => "live",
        };
        vec![
            service.service.clone(),
            service.term.to_string(),
            upstream.upstream.clone(),
            upstream.data_centre.clone(),
            if primary { "primary" } else { "replica" }.to_owned(),
            state.to_owned(),
            upstream.owners.join(", "),
        ]
    };
    service.upstreams.iter().map(row).collect()
}
