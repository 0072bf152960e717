//! `carawayctl load`: sends open-loop load, and reports latencies, availability and broken guarantees.
//!
//! Checked guarantees: a read sees its session's acknowledged writes; the ledger holds each
//! acknowledged write once and no write that was reported as not run; no workspace gets more
//! requests served than its rate and burst allow.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::WrapErr;
use load::plan::{Plan, PlanSettings, WorkspaceLoad};
use load::report::Report;
use load::run::{Target, run};
use serde::Deserialize;

use crate::args::Output;
use crate::client::{Cx, Failure};

/// Options of `load`.
#[derive(Debug, clap::Args)]
pub(crate) struct LoadOptions {
    /// An address at which a host listens for callers; may be given several times.
    #[arg(long = "addr", required = true, value_name = "ADDR")]
    addrs: Vec<SocketAddr>,
    /// The chance, from 0 to 1, that a session starts at the first --addr; the other sessions start
    /// at the hosts in turn, as all sessions do without this option.
    #[arg(long, value_name = "SHARE", value_parser = parse_share)]
    skew: Option<f64>,
    /// A service whose upstreams have the table `ledger(id text primary key, account text, amount
    /// bigint)`, as stand-ins have; may be given several times.
    #[arg(long = "service", required = true)]
    services: Vec<String>,
    /// A workspace as NAME,KEYID.SECRET,RATE[,BURST]; may be given several times. RATE is its rate
    /// limit in requests per second as configured, BURST its burst in requests (RATE by default);
    /// the offered load is set by --rate.
    #[arg(long = "workspace", value_name = "SPEC", value_parser = parse_workspace)]
    workspaces: Vec<WorkspaceSpec>,
    /// A TOML file with a list `workspaces` of name, key, rate and burst, as in --workspace.
    #[arg(long = "workspaces", value_name = "FILE")]
    file: Option<PathBuf>,
    /// A workspace that sends FACTOR times its share of --rate, as NAME=FACTOR.
    #[arg(long, value_name = "NAME=FACTOR", value_parser = parse_loud)]
    loud: Option<(String, f64)>,
    /// The offered load in requests per second, divided among the workspaces in proportion to their
    /// rate limits.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// How long requests are sent, in seconds.
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    duration: f64,
    /// The seed of the random schedule of requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The share of reads among the requests, from 0 to 1; the others are writes.
    #[arg(long, default_value_t = 0.8, value_name = "SHARE", value_parser = parse_share)]
    reads: f64,
    /// The share of reads, from 0 to 1, that accept data up to --max-age old.
    #[arg(long, default_value_t = 0.2, value_name = "SHARE", value_parser = parse_share)]
    max_age_share: f64,
    /// The maximum age of data that those reads accept, with its unit, such as 5s or 250ms.
    #[arg(long, default_value = "5s", value_name = "AGE")]
    max_age: String,
    /// The number of sessions, of all workspaces together; each workspace has one for each service at
    /// least.
    #[arg(long, default_value_t = 50)]
    sessions: usize,
    /// The chance, from 0 to 1, that a session moves to a random host before a request.
    #[arg(long, default_value_t = 0.02, value_name = "CHANCE", value_parser = parse_share)]
    roam: f64,
    /// A file to write the report to, in JSON.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

/// A workspace to send requests as.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceSpec {
    name: String,
    /// The key in the form `KEYID.SECRET`.
    key: String,
    /// The rate limit of the workspace in requests per second.
    rate: f64,
    /// The burst of the workspace in requests; the rate if it is left out.
    burst: Option<f64>,
}

/// The contents of a file for `--workspaces`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceFile {
    workspaces: Vec<WorkspaceSpec>,
}

fn parse_share(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(share) if (0.0..=1.0).contains(&share) => Ok(share),
        _ => Err("a number from 0 to 1 is needed".to_owned()),
    }
}

/// Parses a number above 0; trailing `x` are ignored, as in `3x`.
fn parse_positive(text: &str) -> Result<f64, String> {
    match text.trim_end_matches('x').parse() {
        Ok(number) if number > 0.0 => Ok(number),
        _ => Err(format!("`{text}` is no positive number")),
    }
}

fn parse_workspace(text: &str) -> Result<WorkspaceSpec, String> {
    let words: Vec<&str> = text.split(',').collect();
    let (name, key, rate, burst) = match words.as_slice() {
        [name, key, rate] => (name, key, rate, None),
        [name, key, rate, burst] => (name, key, rate, Some(burst)),
        _ => return Err("NAME,KEYID.SECRET,RATE[,BURST] is needed".to_owned()),
    };
    Ok(WorkspaceSpec {
        name: (*name).to_owned(),
        key: (*key).to_owned(),
        rate: parse_positive(rate)?,
        burst: burst.map(|burst| parse_positive(burst)).transpose()?,
    })
}

fn parse_loud(text: &str) -> Result<(String, f64), String> {
    let (name, factor) = text.split_once('=').ok_or("NAME=FACTOR is needed")?;
    Ok((name.to_owned(), parse_positive(factor)?))
}

/// Sends load, prints the report, and fails if a guarantee was broken.
pub(crate) async fn load(cx: &Cx, options: &LoadOptions) -> eyre::Result<()> {
    let workspaces = read_workspaces(options)?;
    let duration = Duration::try_from_secs_f64(options.duration);
    let duration = duration.map_err(|error| Failure::Input(format!("--duration: {error}")))?;
    let plan = Plan::new(PlanSettings {
        host_count: options.addrs.len(),
        first_host_share: options.skew,
        services: options.services.iter().map(|s| s.as_str().into()).collect(),
        workspaces: offers(options, &workspaces)?,
        duration,
        seed: options.seed,
        read_share: options.reads,
        max_age_share: options.max_age_share,
        session_count: options.sessions,
        move_chance: options.roam,
    });
    let target = Target {
        run_name: run_name(options.seed),
        hosts: options.addrs.clone(),
        keys: workspaces.into_iter().map(|spec| spec.key).collect(),
        max_age: options.max_age.clone(),
    };
    // The callback gets the start time of the run, which is not needed here.
    let score = run(&target, plan, |_| {}).await;
    // `None`: the numbers of reads at replicas and at primaries are not known here.
    let report = Report::new(&score, options.seed, duration, None);
    let json = serde_json::to_string_pretty(&report)?;
    if let Some(path) = &options.report {
        write_report(path, &json)?;
    }
    match cx.output {
        Output::Json => println!("{json}"),
        Output::Table => println!("{report}"),
    }
    match report.violations() {
        0 => Ok(()),
        violations => Err(eyre::eyre!(
            "{violations} broken guarantees: see broken promises (complaints, mismatches) and \
             requests that ran beyond rate and burst (ran_over_rate) in the report"
        )),
    }
}

fn write_report(path: &Path, json: &str) -> eyre::Result<()> {
    std::fs::write(path, json).wrap_err_with(|| path.display().to_string())
}

fn read_workspaces(options: &LoadOptions) -> eyre::Result<Vec<WorkspaceSpec>> {
    let mut workspaces = options.workspaces.clone();
    if let Some(path) = &options.file {
        let invalid = |error: String| Failure::Input(format!("{}: {error}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
        let file: Result<WorkspaceFile, _> = toml::from_str(&text);
        workspaces.extend(file.map_err(|error| invalid(error.to_string()))?.workspaces);
    }
    if workspaces.is_empty() {
        let text = "give --workspace or --workspaces".to_owned();
        return Err(Failure::Input(text).into());
    }
    Ok(workspaces)
}

/// Returns the offered load of each workspace.
fn offers(options: &LoadOptions, workspaces: &[WorkspaceSpec]) -> eyre::Result<Vec<WorkspaceLoad>> {
    if let Some((name, _)) = &options.loud
        && !workspaces.iter().any(|spec| spec.name == *name)
    {
        return Err(Failure::Input(format!("--loud: no workspace `{name}`")).into());
    }
    let total: f64 = workspaces.iter().map(|spec| spec.rate).sum();
    let factor = |spec: &WorkspaceSpec| match &options.loud {
        Some((name, factor)) if *name == spec.name => *factor,
        _ => 1.0,
    };
    let offer = |spec: &WorkspaceSpec| WorkspaceLoad {
        workspace: spec.name.as_str().into(),
        rate_limit: spec.rate,
        burst: spec.burst.unwrap_or(spec.rate),
        offered_rate: options.rate * spec.rate / total * factor(spec),
    };
    Ok(workspaces.iter().map(offer).collect())
}

/// Returns a name for the run, unique by its start time, which its ids in the ledger begin with.
fn run_name(seed: u64) -> String {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("r{seed}-{:x}", age.unwrap_or_default().as_millis())
}
