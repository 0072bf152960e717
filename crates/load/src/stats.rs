//! Accumulates outcomes: one reducer over all events of a run, with effects as data.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use model::{HashMap, Kind, ServiceId};

use crate::ledger::{DepositVerdict, Mismatch, find_mismatches};
use crate::outcome::{Complaint, ErrorCode, FinishedRequest, Outcome};
use crate::plan::{Arrival, ArrivalId, Plan, SessionPlan, WorkspaceLoad};
use crate::session::deposit_id;
use crate::write_gap::{WriteGap, longest_write_gap};

/// The highest latency that the histograms record; higher ones count as this value.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Decimal digits of precision that the histograms keep of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// An event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The scheduled time of a request came, and it was handed to its session.
    Arrived(Arrival),
    /// A request got its outcome.
    Finished(FinishedRequest),
    /// The ledger table of a service was read after the run.
    ReadBack {
        /// Index into `PlanSettings::services`.
        service_index: usize,
        /// The id of each ledger row, repeated ids included.
        deposit_ids: Vec<String>,
    },
}

/// What the run does in response to an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Print a read that broke a consistency promise.
    ShowComplaint {
        /// Number of the read's arrival.
        arrival_id: ArrivalId,
        /// Index of the session in the plan.
        session_index: usize,
        /// The count that the read returned and the range that is correct.
        complaint: Complaint,
    },
    /// Print a deposit whose ledger rows contradict the answer that its caller got.
    ShowMismatch(Mismatch),
}

/// Counts and latencies of one workspace's requests.
#[derive(Debug)]
pub struct WorkspaceStats {
    /// The workspace's rate limit and the rate at which it sends.
    pub load: WorkspaceLoad,
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Of these, the requests that a token bucket with the workspace's rate and burst admits.
    pub within_rate: u64,
    /// Number of requests that ran and succeeded.
    pub ran: u64,
    /// Number of requests whose error said that they did not run.
    pub not_run: u64,
    /// Time from scheduled arrival to answer of requests that ran, in microseconds.
    pub latency_us: Histogram<u64>,
}

/// The writes of one service. Times are counted from the start of the run.
#[derive(Debug, Default)]
struct ServiceWrites {
    /// Scheduled arrivals.
    offered_at: Vec<Duration>,
    /// Times of acknowledgements.
    acknowledged_at: Vec<Duration>,
    /// What the answer to each deposit said, by deposit id; `Unknown` until it is answered.
    verdicts: HashMap<String, DepositVerdict>,
    /// Whether the ledger table could be read after the run.
    ledger_read: bool,
}

/// Counts, latencies and broken promises of a run.
#[derive(Debug)]
pub struct RunStats {
    run_name: String,
    /// In the order of `PlanSettings::services`.
    services: Vec<(ServiceId, ServiceWrites)>,
    sessions: Vec<SessionPlan>,
    /// In the order of `PlanSettings::workspaces`.
    pub workspaces: Vec<WorkspaceStats>,
    /// Time from scheduled arrival to answer of requests that ran, in microseconds, by kind of
    /// request: `write`, `read`, or `read-stated-age` (a read with a maximum age).
    pub latency_us: BTreeMap<&'static str, Histogram<u64>>,
    /// Number of requests that did not run, by error code.
    pub not_run: BTreeMap<ErrorCode, u64>,
    /// Number of requests that may have run, by error code.
    pub may_have_run: BTreeMap<ErrorCode, u64>,
    /// Number of requests that failed at an upstream, by SQLSTATE.
    pub failed: BTreeMap<ErrorCode, u64>,
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests that have an outcome.
    pub finished: u64,
    /// When the last outcome came, from the start of the run.
    pub last_answered_at: Duration,
    /// Reads that broke a consistency promise.
    pub complaints: Vec<Complaint>,
    /// Deposits whose ledger rows contradict the answer that their callers got.
    pub mismatches: Vec<Mismatch>,
}

/// Returns an empty histogram of latencies in microseconds.
fn histogram() -> Histogram<u64> {
    // Creation fails only for bounds or digits out of range, and these are constants within it.
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!())
}

fn kind_name(arrival: &Arrival) -> &'static str {
    match (arrival.kind, arrival.sets_max_age) {
        (Kind::Write, _) => "write",
        (Kind::Read, false) => "read",
        (Kind::Read, true) => "read-stated-age",
    }
}

impl RunStats {
    /// Returns the empty statistics of a run that has not started.
    pub fn new(run: &str, plan: &Plan) -> Self {
        let cfg = plan.settings();
        let workspace = |load: &WorkspaceLoad| WorkspaceStats {
            load: load.clone(),
            arrived: 0,
            within_rate: 0,
            ran: 0,
            not_run: 0,
            latency_us: histogram(),
        };
        let service = |name: &ServiceId| (name.clone(), ServiceWrites::default());
        Self {
            run_name: run.to_owned(),
            services: cfg.services.iter().map(service).collect(),
            sessions: plan.sessions().to_vec(),
            workspaces: cfg.workspaces.iter().map(workspace).collect(),
            latency_us: BTreeMap::new(),
            not_run: BTreeMap::new(),
            may_have_run: BTreeMap::new(),
            failed: BTreeMap::new(),
            arrived: 0,
            finished: 0,
            last_answered_at: Duration::ZERO,
            complaints: Vec::new(),
            mismatches: Vec::new(),
        }
    }

    /// Adds an event to the statistics and returns the broken promises to print.
    pub fn reduce(&mut self, event: Event) -> Vec<Effect> {
        match event {
            Event::Arrived(arrival) => {
                self.on_arrival(&arrival);
                Vec::new()
            }
            Event::Finished(request) => self.on_finished(request),
            Event::ReadBack {
                service_index,
                deposit_ids,
            } => self.on_read_back(service_index, &deposit_ids),
        }
    }

    fn on_arrival(&mut self, arrival: &Arrival) {
        self.arrived += 1;
        let workspace = &mut self.workspaces[arrival.workspace_index];
        workspace.arrived += 1;
        workspace.within_rate += u64::from(arrival.within_rate);
        if arrival.kind == Kind::Write {
            let id = deposit_id(&self.run_name, arrival);
            let service = self.service_of(arrival);
            service.offered_at.push(arrival.scheduled_at);
            service.verdicts.insert(id, DepositVerdict::Unknown);
        }
    }

    fn service_of(&mut self, arrival: &Arrival) -> &mut ServiceWrites {
        let service_index = self.sessions[arrival.session_index].service_index;
        &mut self.services[service_index].1
    }

    fn on_finished(&mut self, request: FinishedRequest) -> Vec<Effect> {
        self.finished += 1;
        self.last_answered_at = self.last_answered_at.max(request.answered_at);
        let (arrival, answered_at) = (&request.arrival, request.answered_at);
        let latency_us = answered_at.saturating_sub(arrival.scheduled_at).as_micros() as u64;
        let workspace = &mut self.workspaces[arrival.workspace_index];
        match &request.outcome {
            Outcome::Ran { .. } => {
                workspace.ran += 1;
                workspace.latency_us.saturating_record(latency_us);
                let by_kind = self.latency_us.entry(kind_name(arrival));
                by_kind
                    .or_insert_with(histogram)
                    .saturating_record(latency_us);
            }
            Outcome::NotRun(code) => {
                workspace.not_run += 1;
                *self.not_run.entry(code.clone()).or_default() += 1;
            }
            Outcome::MayHaveRun(code) => {
                *self.may_have_run.entry(code.clone()).or_default() += 1;
            }
            Outcome::Failed(code) => *self.failed.entry(code.clone()).or_default() += 1,
        }
        if arrival.kind == Kind::Write {
            self.record_verdict(&request);
        }
        let Some(complaint) = request.complaint else {
            return Vec::new();
        };
        self.complaints.push(complaint.clone());
        vec![Effect::ShowComplaint {
            arrival_id: request.arrival.id,
            session_index: request.arrival.session_index,
            complaint,
        }]
    }

    /// Records what the answer to a write said about its deposit.
    fn record_verdict(&mut self, request: &FinishedRequest) {
        let id = deposit_id(&self.run_name, &request.arrival);
        let service = self.service_of(&request.arrival);
        let verdict = match request.outcome {
            Outcome::Ran { .. } => {
                service.acknowledged_at.push(request.answered_at);
                DepositVerdict::Acknowledged
            }
            Outcome::NotRun(_) => DepositVerdict::NotRun,
            Outcome::MayHaveRun(_) | Outcome::Failed(_) => DepositVerdict::Unknown,
        };
        service.verdicts.insert(id, verdict);
    }

    fn on_read_back(&mut self, service_index: usize, deposit_ids: &[String]) -> Vec<Effect> {
        let (name, writes) = &mut self.services[service_index];
        writes.ledger_read = true;
        let verdicts = writes.verdicts.iter().map(|(id, verdict)| (id, *verdict));
        let mismatches = find_mismatches(name, verdicts, deposit_ids);
        self.mismatches.extend(mismatches.iter().cloned());
        mismatches.into_iter().map(Effect::ShowMismatch).collect()
    }

    /// Returns each service's longest period in which writes waited and none was acknowledged.
    ///
    /// `end` is when requests stop arriving, from the start of the run.
    pub fn gaps(&self, end: Duration) -> Vec<(ServiceId, WriteGap)> {
        let gap = |writes: &ServiceWrites| {
            longest_write_gap(&writes.offered_at, &writes.acknowledged_at, end)
        };
        let services = self.services.iter();
        services
            .map(|(name, writes)| (name.clone(), gap(writes)))
            .collect()
    }

    /// Returns the services whose ledger could not be read after the run, so whose deposits are
    /// unchecked.
    pub fn not_read_back(&self) -> Vec<ServiceId> {
        let missing = self
            .services
            .iter()
            .filter(|(_, writes)| !writes.ledger_read);
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the numbers of deposits that were acknowledged, did not run, and may have run.
    pub fn verdict_counts(&self) -> [usize; 3] {
        let count = |wanted: DepositVerdict| {
            let verdicts = self.services.iter().flat_map(|(_, s)| s.verdicts.values());
            verdicts.filter(|verdict| **verdict == wanted).count()
        };
        [
            DepositVerdict::Acknowledged,
            DepositVerdict::NotRun,
            DepositVerdict::Unknown,
        ]
        .map(count)
    }
}
