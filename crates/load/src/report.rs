//! The report of a run: its four measures (share of reads at replicas, failover gap, worst-served
//! workspace, requests refused within the rate), latencies, outcomes and broken promises.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::ledger::Mismatch;
use crate::outcome::{Complaint, ErrorCode};
use crate::stats::{RunStats, WorkspaceStats};

/// How many read statements ran at replicas and at primaries, by the upstreams' own counts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReadCounts {
    /// Number of read statements that ran at replicas.
    pub replicas: u64,
    /// Number of read statements that ran at primaries.
    pub primaries: u64,
}

/// The measures of a finished run; its fields are the keys of the JSON report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the schedule.
    pub seed: u64,
    /// How long requests kept arriving, in seconds.
    pub seconds: f64,
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests that have an outcome; the others were still open when the run ended.
    pub done: u64,
    /// The share of read statements, from 0 to 1, that ran at replicas; `None` if the upstreams'
    /// counts are unknown.
    pub replica_reads: Option<f64>,
    /// The upstreams' counts of reads; `None` if they are unknown.
    pub read_counts: Option<ReadCounts>,
    /// The longest period at any service in which writes waited and none was acknowledged, in
    /// seconds.
    pub failover_gap: f64,
    /// The longest such period of each service.
    pub gaps: Vec<GapReport>,
    /// The workspace with the lowest `served_share`, and among equals with the highest 99th
    /// percentile of latency; `None` if there are no workspaces.
    pub worst_workspace: Option<WorkspaceReport>,
    /// Number of requests that did not run although their workspace was within its rate and burst:
    /// the sum of `refused_inside`.
    pub refused_inside_rate: u64,
    /// Number of requests that ran beyond their workspace's rate and burst: the sum of `over_rate`.
    pub ran_over_rate: u64,
    /// The measures of each workspace.
    pub workspaces: Vec<WorkspaceReport>,
    /// Latencies of requests that ran, by kind: `write`, `read`, or `read-stated-age` (a read with a
    /// maximum age).
    pub latency: BTreeMap<&'static str, Percentiles>,
    /// Number of requests that did not run, by SQLSTATE or the word that replaces it.
    pub not_run: BTreeMap<ErrorCode, u64>,
    /// Number of requests that may have run, by SQLSTATE or the word that replaces it.
    pub may_have_run: BTreeMap<ErrorCode, u64>,
    /// Number of requests that failed at an upstream, by SQLSTATE.
    pub failed: BTreeMap<ErrorCode, u64>,
    /// Numbers of deposits that were acknowledged, did not run, and may have run, in this order.
    pub deposits: [usize; 3],
    /// Services whose ledger could not be read after the run, so whose deposits are unchecked.
    pub not_read_back: Vec<model::ServiceId>,
    /// Reads that broke a consistency promise.
    pub complaints: Vec<Complaint>,
    /// Deposits whose ledger rows contradict the answer that their callers got.
    pub mismatches: Vec<Mismatch>,
}

/// A period in which writes waited and none was acknowledged, in seconds from the start of the run.
#[derive(Clone, Debug, Serialize)]
pub struct GapReport {
    /// The service that the writes were for.
    pub service: model::ServiceId,
    /// Scheduled arrival of the first write that had to wait.
    pub from: f64,
    /// Time of the next acknowledgement, or the end of the run if there was none.
    pub to: f64,
}

/// Percentiles of latency in milliseconds, from scheduled arrival to answer.
#[derive(Clone, Debug, Serialize)]
pub struct Percentiles {
    /// The number of requests measured.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The highest latency.
    pub max: f64,
}

/// The measures of one workspace.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceReport {
    /// Name of the workspace.
    pub name: model::WorkspaceId,
    /// Requests a second that its limit admits.
    pub rate: f64,
    /// Mean number of requests a second that the schedule sends for it.
    pub offered: f64,
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Of these, the requests that a token bucket with its rate and burst admits.
    pub inside: u64,
    /// Number of requests that ran and succeeded.
    pub ran: u64,
    /// Number of requests whose error said that they did not run.
    pub not_run: u64,
    /// Number of requests by which those not refused fall short of `inside`.
    pub refused_inside: u64,
    /// Number of requests that ran beyond burst + rate x length of the run.
    pub over_rate: u64,
    /// `ran` divided by `inside`, at most 1.
    pub served_share: f64,
    /// Latencies of the requests that ran.
    pub latency: Percentiles,
}

impl From<&Histogram<u64>> for Percentiles {
    fn from(histogram: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1e3;
        let at = |quantile| millis(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: millis(histogram.max()),
        }
    }
}

impl WorkspaceReport {
    fn new(stats: &WorkspaceStats, run_duration: Duration) -> Self {
        // When a workspace sends more than its rate, the fleet may admit any of its requests, not just
        // those that the plan marks, so numbers are compared rather than single requests.
        let admitted = stats.arrived - stats.not_run;
        let inside = stats.within_rate.max(1) as f64;
        let allowed = stats.load.burst + stats.load.rate_limit * run_duration.as_secs_f64();
        Self {
            name: stats.load.workspace.clone(),
            rate: stats.load.rate_limit,
            offered: stats.load.offered_rate,
            arrived: stats.arrived,
            inside: stats.within_rate,
            ran: stats.ran,
            not_run: stats.not_run,
            refused_inside: stats.within_rate.saturating_sub(admitted),
            over_rate: stats.ran.saturating_sub(allowed.ceil() as u64),
            served_share: (stats.ran as f64 / inside).min(1.0),
            latency: Percentiles::from(&stats.latency_us),
        }
    }
}

impl Report {
    /// Returns the report of a finished run.
    ///
    /// `duration` is how long requests kept arriving; `reads` are the upstreams' counts, if known.
    pub fn new(stats: &RunStats, seed: u64, duration: Duration, reads: Option<ReadCounts>) -> Self {
        let run_duration = duration.max(stats.last_answered_at);
        let workspaces = stats.workspaces.iter();
        let workspaces: Vec<WorkspaceReport> = workspaces
            .map(|workspace| WorkspaceReport::new(workspace, run_duration))
            .collect();
        let gaps: Vec<GapReport> = stats
            .gaps(duration)
            .into_iter()
            .map(|(service, gap)| GapReport {
                service,
                from: gap.from.as_secs_f64(),
                to: gap.to.as_secs_f64(),
            })
            .collect();
        let share = |counts: ReadCounts| {
            counts.replicas as f64 / (counts.replicas + counts.primaries).max(1) as f64
        };
        let latency = stats.latency_us.iter();
        Self {
            seed,
            seconds: duration.as_secs_f64(),
            arrived: stats.arrived,
            done: stats.finished,
            replica_reads: reads.map(share),
            read_counts: reads,
            failover_gap: gaps.iter().map(GapReport::length_s).fold(0.0, f64::max),
            gaps,
            worst_workspace: workspaces.iter().min_by(worst_first).cloned(),
            refused_inside_rate: workspaces.iter().map(|w| w.refused_inside).sum(),
            ran_over_rate: workspaces.iter().map(|w| w.over_rate).sum(),
            workspaces,
            latency: latency.map(|(kind, h)| (*kind, h.into())).collect(),
            not_run: stats.not_run.clone(),
            may_have_run: stats.may_have_run.clone(),
            failed: stats.failed.clone(),
            deposits: stats.verdict_counts(),
            not_read_back: stats.not_read_back(),
            complaints: stats.complaints.clone(),
            mismatches: stats.mismatches.clone(),
        }
    }

    /// Returns the number of broken promises: wrong reads, wrong deposits, and 1 if any request ran
    /// over its workspace's rate.
    pub fn violations(&self) -> usize {
        let over_rate = usize::from(self.ran_over_rate > 0);
        self.complaints.len() + self.mismatches.len() + over_rate
    }
}

impl GapReport {
    /// Returns the duration of the gap in seconds.
    pub fn length_s(&self) -> f64 {
        self.to - self.from
    }
}

/// Orders the worse-served workspace first: lower `served_share`, then higher 99th percentile.
fn worst_first(a: &&WorkspaceReport, b: &&WorkspaceReport) -> std::cmp::Ordering {
    let share = a.served_share.total_cmp(&b.served_share);
    share.then(b.latency.p99.total_cmp(&a.latency.p99))
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            p50,
            p90,
            p99,
            p999,
            max,
        } = self;
        write!(
            f,
            "n={count:<6} p50={p50:.1} p90={p90:.1} p99={p99:.1} p99.9={p999:.1} max={max:.1} ms"
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (arrived, seconds, seed) = (self.arrived, self.seconds, self.seed);
        writeln!(
            f,
            "seed {seed}: {arrived} requests arrived in {seconds:.0} s, {} have an outcome",
            self.done
        )?;
        match self.replica_reads {
            Some(share) => writeln!(f, "reads served by replicas   {:.1} %", share * 100.0)?,
            None => writeln!(f, "reads served by replicas   unknown")?,
        }
        writeln!(f, "failover gap               {:.3} s", self.failover_gap)?;
        if let Some(worst) = &self.worst_workspace {
            let share = worst.served_share * 100.0;
            let (name, p99) = (&worst.name, worst.latency.p99);
            writeln!(
                f,
                "worst-served workspace     {name}: {share:.2} % inside its rate ran, p99 {p99:.1} ms"
            )?;
        }
        writeln!(f, "refused inside the rate    {}", self.refused_inside_rate)?;
        writeln!(f, "ran beyond rate and burst  {}", self.ran_over_rate)?;
        writeln!(f)?;
        for gap in &self.gaps {
            let (name, from, to) = (&gap.service, gap.from, gap.to);
            writeln!(
                f,
                "gap {name:<22} {:.3} s, {from:.3} to {to:.3}",
                gap.length_s()
            )?;
        }
        for (kind, latency) in &self.latency {
            writeln!(f, "{kind:<26} {latency}")?;
        }
        for workspace in &self.workspaces {
            let share = workspace.served_share * 100.0;
            let WorkspaceReport {
                name,
                offered,
                rate,
                latency,
                ..
            } = workspace;
            writeln!(
                f,
                "{name:<12} {offered:.0}/s of {rate:.0}/s {share:>6.2} % {latency}"
            )?;
        }
        writeln!(
            f,
            "not run: {:?}, may have run: {:?}, failed: {:?}",
            self.not_run, self.may_have_run, self.failed
        )?;
        let [acknowledged, not_run, unknown] = self.deposits;
        writeln!(
            f,
            "deposits: {acknowledged} acknowledged, {not_run} not run, {unknown} unknown"
        )?;
        writeln!(f, "ledgers not read back: {:?}", self.not_read_back)?;
        write!(
            f,
            "broken promises: {} reads, {} deposits",
            self.complaints.len(),
            self.mismatches.len()
        )
    }
}
