//! Measures a whole fleet on loopback, with hosts as child processes and stand-in databases in this
//! process.

mod args;
mod fleet;
mod prepare;
mod sizes;
mod upstreams;

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use args::{Args, Fault, FaultKind};
use clap::Parser;
use eyre::eyre;
use fleet::Fleet;
use load::plan::{Plan, PlanSettings, WorkspaceLoad};
use load::report::Report;
use load::run::{Target, run};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout};
use upstreams::Upstreams;

/// How long the measurement may take beyond the time in which requests arrive.
const MAX_OVERHEAD: Duration = Duration::from_secs(180);
/// The interval at which the upstreams' counts of reads are polled.
const READ_COUNT_PERIOD: Duration = Duration::from_secs(1);
/// A workspace's burst, as the number of seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let args = Args::parse();
    let limit = Duration::from_secs(args.duration) + MAX_OVERHEAD;
    // However it ends, the measurement and its hosts are dropped, which kills the host processes.
    let report = tokio::select! {
        report = timeout(limit, measure(&args)) => {
            report.unwrap_or_else(|_| Err(eyre!("the measurement did not end within {limit:?}")))
        }
        signal = stop_signal() => Err(signal.err().unwrap_or_else(|| eyre!("stopped by a signal"))),
    };
    match report {
        Ok(report) if report.violations() == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lab: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Starts the fleet and the databases, runs the plan with its fault, and prints the report.
async fn measure(args: &Args) -> eyre::Result<Report> {
    let temp = tempfile::tempdir()?;
    let folder = args.keep.as_deref().unwrap_or(temp.path());
    std::fs::create_dir_all(folder)?;
    let deployment = args.size.deployment();
    let mut fleet = Fleet::start(args, folder, deployment.data_centres)?;
    let api: Vec<_> = fleet.hosts().map(|host| host.api).collect();
    let mut upstreams = Upstreams::start(&deployment, &api).await?;
    let services = upstreams::services(&deployment);
    let loads = workspace_loads(args)?;
    let ready = prepare::prepare(&fleet, &services, &loads).await?;
    println!("every host serves after {:.1} s", ready.as_secs_f64());

    let plan = Plan::new(PlanSettings {
        host_count: args.hosts,
        first_host_share: args.skew,
        services,
        workspaces: loads.clone(),
        duration: Duration::from_secs(args.duration),
        seed: args.seed,
        read_share: args.reads,
        max_age_share: args.max_age_share,
        session_count: args.sessions,
        move_chance: args.roam,
    });
    let age = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let target = Target {
        run_name: format!("lab{}-{:x}", args.seed, age.as_millis()),
        hosts: fleet.entry.iter().map(|host| host.callers).collect(),
        keys: loads
            .iter()
            .map(|_| prepare::WORKSPACE_KEY.to_owned())
            .collect(),
        max_age: "5s".to_owned(),
    };
    let (start_tx, start_rx) = oneshot::channel();
    let on_start = |at| start_tx.send(at).unwrap_or_default();
    let stats = tokio::select! {
        stats = run(&target, plan, on_start) => stats,
        () = count_reads_and_inject(args.fault, start_rx, &mut fleet, &mut upstreams) =>
            unreachable!(),
    };
    upstreams.count_new_reads().await;
    let reads = upstreams.reads();
    let duration = Duration::from_secs(args.duration);
    let report = Report::new(&stats, args.seed, duration, Some(reads));
    println!("{report}");
    print!("{}", upstreams.instance_lines().await?);
    if let Some(path) = &args.report {
        write(path, &report)?;
    }
    upstreams.stop().await;
    Ok(report)
}

fn write(path: &Path, report: &Report) -> eyre::Result<()> {
    std::fs::write(path, serde_json::to_string_pretty(report)?)?;
    Ok(())
}

/// Returns each workspace's rate limit and sending rate: its shares of `--limit` and `--rate`.
fn workspace_loads(args: &Args) -> eyre::Result<Vec<WorkspaceLoad>> {
    let loud = match &args.loud {
        Some(text) => {
            let (name, factor) = text
                .split_once('=')
                .ok_or(eyre!("--loud must be NAME=FACTOR"))?;
            Some((name, factor.trim_end_matches('x').parse::<f64>()?))
        }
        None => None,
    };
    let load = |(name, share): &(&str, f64)| {
        let factor = loud.filter(|(loud, _)| loud == name);
        let factor = factor.map_or(1.0, |(_, factor)| factor);
        let rate = (args.limit * share).round();
        WorkspaceLoad {
            workspace: (*name).into(),
            rate_limit: rate,
            burst: rate * BURST_SECONDS,
            offered_rate: args.rate * share * factor,
        }
    };
    Ok(sizes::WORKSPACE_SHARES.iter().map(load).collect())
}

/// Polls the upstreams' counts of reads and injects the fault when it is due; never returns.
async fn count_reads_and_inject(
    fault: Option<Fault>,
    start_rx: oneshot::Receiver<Instant>,
    fleet: &mut Fleet,
    upstreams: &mut Upstreams,
) {
    let run_start = start_rx.await.unwrap_or_else(|_| Instant::now());
    let mut pending = fault;
    loop {
        upstreams.count_new_reads().await;
        let due = pending.map(|fault| run_start + fault.after);
        let next = Instant::now() + READ_COUNT_PERIOD;
        sleep_until(due.map_or(next, |due| due.min(next)).into()).await;
        if due.is_some_and(|due| Instant::now() >= due)
            && let Some(fault) = pending.take()
        {
            upstreams.count_new_reads().await;
            let injected = inject(fault.kind, fleet, upstreams).await;
            let at_s = run_start.elapsed().as_secs_f64();
            match injected {
                Ok(name) => println!("{at_s:.3} s: {:?} of {name}", fault.kind),
                Err(error) => println!("{at_s:.3} s: {:?} failed: {error:#}", fault.kind),
            }
        }
    }
}

/// Causes a failure, and returns the name of the upstream or host that it hit.
async fn inject(
    kind: FaultKind,
    fleet: &mut Fleet,
    upstreams: &mut Upstreams,
) -> eyre::Result<String> {
    match kind {
        FaultKind::PrimaryKill => upstreams.kill_primary().await,
        FaultKind::PrimaryFreeze => upstreams.freeze_primary().await,
        FaultKind::HostKill => kill_last(&mut fleet.entry),
        FaultKind::ControlKill => kill_last(&mut fleet.control),
    }
}

/// Kills the last of the hosts, and returns its name.
fn kill_last(hosts: &mut [fleet::Host]) -> eyre::Result<String> {
    let host = hosts
        .last_mut()
        .ok_or(eyre!("no host of this kind to kill"))?;
    host.kill();
    Ok(host.name.clone())
}
