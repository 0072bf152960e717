//! A randomized soak test: real processes with injected faults, and guarantees checked from callers.
//!
//! `SOAK_SEEDS=1..51 SOAK_TIME=20s cargo test --release -p carawayd --test soak -- --nocapture`
//! runs more seeds, for longer. The same seed injects the same faults, but their effects also depend
//! on timing. A seed that has failed is added to `REGRESSION_SEEDS`, with its cause.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod fleet;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use decide::call::PatchOutcome;
use fleet::client::{PASSWORD, WORKSPACE, api_client, configure, connect, first_value, patch};
use fleet::relay::{Relay, RelayMode};
use fleet::{Fleet, HostPlan, SERVICE, WAIT_TIMEOUT, eventually, plan};
use model::config::Change;
use peer::api::ApiClient;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio_postgres::Client;

/// How long faults are injected for each seed unless `SOAK_TIME` is set, as in CI.
const DEFAULT_SOAK_TIME: Duration = Duration::from_secs(6);
/// Seeds that have failed; they are run unless `SOAK_SEEDS` is set, as in CI.
///
/// 6: the check itself counted a read answered with "may have run" as a violation.
/// 101: each host had been restarted and had another API address, so that no host received the
/// announcements of the upstreams.
const REGRESSION_SEEDS: [u64; 2] = [6, 101];
/// Another seed that is run unless `SOAK_SEEDS` is set.
const CI_SEED: u64 = 1;
/// The time within which an accepted configuration must be in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller waits for an answer before it drops its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// What the caller was told of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Acknowledged,
    NotRun,
    MayHaveRun,
}

/// A kind of fault to inject, or a patch to submit.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Stops a host's process with SIGSTOP and continues it later.
    PauseHost,
    /// Kills a host with SIGKILL and restarts it later.
    KillHost,
    /// Stops a host gracefully with SIGTERM and restarts it later.
    StopHost,
    /// Stops an upstream's process with SIGSTOP and continues it later.
    PauseUpstream,
    /// Sets the mode of the relay between a caller and its host for a while.
    Link(RelayMode),
    /// Fills the disk of a control host for a while.
    FillDisk,
    /// Submits a patch to the configuration.
    Patch,
}

/// Returns three control hosts and six entry hosts in three data centres.
fn plans() -> Vec<HostPlan> {
    vec![
        plan("control-1", "kgn-a", false, true),
        plan("control-2", "kgn-b", false, true),
        plan("control-3", "spn", false, true),
        plan("entry-1", "kgn-a", true, false),
        plan("entry-2", "kgn-a", true, false),
        plan("entry-3", "kgn-b", true, false),
        plan("entry-4", "kgn-b", true, false),
        plan("entry-5", "spn", true, false),
        plan("entry-6", "spn", true, false),
    ]
}

/// Returns the seeds to run: `SOAK_SEEDS`, a range or one seed, or else those of CI.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        let ci_seeds = REGRESSION_SEEDS.into_iter().chain([CI_SEED]);
        return ci_seeds.collect();
    };
    let number = |text: &str| text.parse().expect("a number");
    match text.split_once("..") {
        Some((first, end)) => (number(first)..number(end)).collect(),
        None => vec![number(&text)],
    }
}

/// Returns how long faults are injected for each seed.
fn soak_time() -> Duration {
    let text = std::env::var("SOAK_TIME").ok();
    text.map_or(DEFAULT_SOAK_TIME, |text| {
        humantime::parse_duration(&text).unwrap()
    })
}

/// Writes deposits and reads back each acknowledged one in the same session, until `stop` is set.
///
/// Returns the outcome of each deposit by its id.
async fn write_and_read_deposits(
    addr: SocketAddr,
    name: String,
    stop: Arc<AtomicBool>,
) -> BTreeMap<String, WriteOutcome> {
    let mut outcomes = BTreeMap::new();
    let mut client: Option<Client> = None;
    for nth in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        // Reuses the connection until it is closed.
        let open = match client.take().filter(|client| !client.is_closed()) {
            Some(open) => open,
            None => match tokio::time::timeout(ANSWER_TIMEOUT, connect(addr, PASSWORD, "")).await {
                Ok(Ok(open)) => open,
                _ => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let id = format!("{name}-{nth}");
        let sql = format!("INSERT INTO ledger VALUES ('{id}', 'pot', 1)");
        let outcome = match tokio::time::timeout(ANSWER_TIMEOUT, open.simple_query(&sql)).await {
            Ok(Ok(_)) => WriteOutcome::Acknowledged,
            Ok(Err(error)) => match error.as_db_error() {
                Some(db) if db.detail() == Some("not run") => WriteOutcome::NotRun,
                _ => WriteOutcome::MayHaveRun,
            },
            Err(_) => {
                outcomes.insert(id, WriteOutcome::MayHaveRun);
                continue;
            }
        };
        outcomes.insert(id.clone(), outcome);
        if outcome == WriteOutcome::Acknowledged {
            let sql = format!("SELECT amount FROM ledger WHERE id = '{id}'");
            let read = tokio::time::timeout(ANSWER_TIMEOUT, first_value(&open, &sql)).await;
            if let Ok(Ok(found)) = read {
                assert_eq!(
                    found.as_deref(),
                    Some("1"),
                    "a session doesn't read its own acknowledged write {id}"
                );
            }
        }
        client = Some(open);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    outcomes
}

/// The fleet under test, with the faults that are in effect.
struct Soak {
    fleet: Fleet,
    /// The relay between each entry host and its caller, in order of the entry hosts.
    relays: Vec<Relay>,
    rng: SmallRng,
    /// When and how each fault in effect is to be repaired.
    repairs: Vec<(Instant, Repair)>,
    /// The newest accepted configuration version.
    version: u64,
    /// The number of patches submitted, which is in the id of the next.
    patch_count: u64,
}

/// How a fault is repaired; the number is the index of the host, upstream or relay.
enum Repair {
    ResumeHost(usize),
    EmptyDisk(usize),
    ResumeUpstream(usize),
    RestoreLink(usize),
    RestartHost(usize),
}

impl Repair {
    /// Returns the index of the host with the fault, if a host has it.
    fn host(&self) -> Option<usize> {
        match self {
            Self::ResumeHost(nth) | Self::EmptyDisk(nth) | Self::RestartHost(nth) => Some(*nth),
            Self::ResumeUpstream(_) | Self::RestoreLink(_) => None,
        }
    }
}

impl Soak {
    /// Returns whether a fault is in effect whose repair matches.
    fn has_fault(&self, wanted: impl Fn(&Repair) -> bool) -> bool {
        self.repairs.iter().any(|(_, end)| wanted(end))
    }

    /// Returns a random host without a fault.
    ///
    /// At most one control host has a fault at a time, so that the quorum keeps a majority.
    fn pick_host(&mut self) -> Option<usize> {
        let control = |nth: usize| plans()[nth].control;
        let faulty = |nth: usize| self.has_fault(|end| end.host() == Some(nth));
        let control_faulty = self.has_fault(|end| end.host().is_some_and(control));
        let hosts = (0..self.fleet.hosts.len()).filter(|nth| !faulty(*nth));
        let hosts: Vec<usize> = hosts
            .filter(|nth| !(control_faulty && control(*nth)))
            .collect();
        hosts.choose(&mut self.rng).copied()
    }

    /// Injects a fault, and schedules its repair; does nothing if no host or upstream may fail now.
    async fn inject(&mut self, fault: Fault) {
        let now = Instant::now();
        let fault_duration = Duration::from_millis(self.rng.random_range(100..2500));
        match fault {
            Fault::PauseHost => {
                let Some(nth) = self.pick_host() else { return };
                self.fleet.hosts[nth].process.signal("STOP");
                self.repairs
                    .push((now + fault_duration, Repair::ResumeHost(nth)));
            }
            Fault::KillHost | Fault::StopHost => {
                let Some(nth) = self.pick_host() else { return };
                match fault {
                    Fault::KillHost => self.fleet.hosts[nth].process.kill(),
                    _ => self.fleet.hosts[nth].process.signal("TERM"),
                }
                self.repairs
                    .push((now + fault_duration, Repair::RestartHost(nth)));
            }
            Fault::FillDisk => {
                let Some(nth) = self.pick_host().filter(|nth| plans()[*nth].control) else {
                    return;
                };
                let host = &self.fleet.hosts[nth];
                let log = self.fleet.data_dir(&host.name).join("raft.log");
                let len = std::fs::metadata(&log).unwrap().len();
                host.process.limit_file_len(Some(len));
                self.repairs
                    .push((now + fault_duration, Repair::EmptyDisk(nth)));
            }
            Fault::PauseUpstream => {
                // A group of three tolerates the loss of one upstream.
                if self.has_fault(|end| matches!(end, Repair::ResumeUpstream(_))) {
                    return;
                }
                let nth = self.rng.random_range(0..self.fleet.upstreams.len());
                self.fleet.upstreams[nth].signal("STOP");
                self.repairs
                    .push((now + fault_duration, Repair::ResumeUpstream(nth)));
            }
            Fault::Link(mode) => {
                let nth = self.rng.random_range(0..self.relays.len());
                self.relays[nth].set_mode(mode);
                self.repairs
                    .push((now + fault_duration, Repair::RestoreLink(nth)));
            }
            Fault::Patch => self.submit_patch().await,
        }
    }

    /// Submits a change of the workspace's rate to a random host, and resends it until its outcome is
    /// known.
    async fn submit_patch(&mut self) {
        let Some(nth) = self.pick_host() else { return };
        let addr = self.fleet.hosts[nth].api;
        let rate = 40_000 + self.rng.random_range(0..1000);
        let change = Change::SetWorkspace {
            name: WORKSPACE.into(),
            rate,
            burst: rate,
            services: vec![SERVICE.into()],
        };
        self.patch_count += 1;
        let patch = patch(
            &format!("soak-{}", self.patch_count),
            self.version,
            vec![change],
        );
        for _ in 0..40 {
            let api = api_client(addr);
            let sent = api.patch(patch.clone());
            match tokio::time::timeout(Duration::from_secs(2), sent).await {
                Ok(Ok(PatchOutcome::Accepted(version))) => {
                    assert_eq!(
                        version,
                        self.version + 1,
                        "an accepted patch was lost or doubled"
                    );
                    self.version = version;
                    return;
                }
                Ok(Ok(outcome)) => panic!("a patch on the newest version was refused: {outcome:?}"),
                _ => self.repair_due(),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the outcome of a patch is still unknown after 40 tries");
    }

    /// Repairs the faults whose time is over.
    fn repair_due(&mut self) {
        let now = Instant::now();
        while let Some(index) = self.repairs.iter().position(|(until, _)| *until <= now) {
            match self.repairs.swap_remove(index).1 {
                Repair::ResumeHost(nth) => self.fleet.hosts[nth].process.signal("CONT"),
                Repair::EmptyDisk(nth) => self.fleet.hosts[nth].process.limit_file_len(None),
                Repair::ResumeUpstream(nth) => self.fleet.upstreams[nth].signal("CONT"),
                Repair::RestoreLink(nth) => self.relays[nth].set_mode(RelayMode::Pass),
                Repair::RestartHost(nth) => {
                    let name = self.fleet.hosts[nth].name.clone();
                    self.fleet.restart(&name);
                    // A restarted host listens on another port.
                    let entries = self.fleet.hosts.iter().filter(|host| host.is_entry);
                    let relay = entries.clone().position(|host| host.name == name);
                    if let Some(relay) = relay {
                        self.relays[relay].set_target(self.fleet.hosts[nth].callers);
                    }
                }
            }
        }
    }
}

fn random_fault(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..12) {
        0 | 1 => Fault::PauseHost,
        2 | 3 => Fault::KillHost,
        4 => Fault::StopHost,
        5 => Fault::PauseUpstream,
        6 => Fault::Link(RelayMode::Cut),
        7 => Fault::Link(RelayMode::Freeze),
        8 => Fault::Link(RelayMode::Delay(Duration::from_millis(
            rng.random_range(1..80),
        ))),
        9 | 10 => Fault::FillDisk,
        _ => Fault::Patch,
    }
}

/// Runs the faults of a seed on a new fleet, then repairs them and checks the guarantees.
async fn run_seed(seed: u64, time: Duration) {
    let mut fleet = Fleet::start(&plans(), "");
    fleet.start_group(["kgn-a", "kgn-b", "spn"], "lag = \"10ms\"");
    configure(&fleet).await;
    let mut relays = Vec::new();
    for host in fleet.hosts.iter().filter(|host| host.is_entry) {
        relays.push(Relay::start(host.callers).await);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for (nth, relay) in relays.iter().enumerate() {
        callers.spawn(write_and_read_deposits(
            relay.addr,
            format!("s{seed}-{nth}"),
            stop.clone(),
        ));
    }
    let mut soak = Soak {
        fleet,
        relays,
        rng: SmallRng::seed_from_u64(seed),
        repairs: Vec::new(),
        version: 1,
        patch_count: 0,
    };
    let start = Instant::now();
    while start.elapsed() < time {
        let fault = random_fault(&mut soak.rng);
        soak.inject(fault).await;
        let pause = Duration::from_millis(soak.rng.random_range(20..500));
        tokio::time::sleep(pause).await;
        soak.repair_due();
    }
    for (until, _) in &mut soak.repairs {
        *until = start;
    }
    soak.repair_due();
    stop.store(true, Ordering::Relaxed);
    let outcomes: BTreeMap<String, WriteOutcome> =
        callers.join_all().await.into_iter().flatten().collect();
    check_guarantees(&soak, seed, &outcomes).await;
}

/// Checks that all hosts have the newest configuration, that callers are served again, and that the
/// ledger holds each acknowledged deposit and none that was reported as not run.
async fn check_guarantees(soak: &Soak, seed: u64, outcomes: &BTreeMap<String, WriteOutcome>) {
    let checks_started = Instant::now();
    for host in &soak.fleet.hosts {
        let api = api_client(host.api);
        eventually(
            "the newest version in force",
            IN_FORCE_TIMEOUT,
            async || {
                let status = api.status().await;
                status.is_ok_and(|status| status.version == soak.version)
            },
        )
        .await;
    }
    let addr = soak.fleet.host("entry-1").callers;
    let mut client = None;
    eventually("a caller is served again", WAIT_TIMEOUT, async || {
        client = connect(addr, PASSWORD, "").await.ok();
        match &client {
            Some(client) => client
                .simple_query("INSERT INTO kv VALUES ('calm', '1')")
                .await
                .is_ok(),
            None => false,
        }
    })
    .await;
    let client = client.unwrap();
    let mut counts = [0; 3];
    for (id, outcome) in outcomes {
        counts[*outcome as usize] += 1;
        let sql = format!("SELECT amount FROM ledger WHERE id = '{id}'");
        // A failover may still be under way; a read that it interrupts fails with "may have run"
        // (seed 6).
        let mut found = None;
        eventually("a read of the ledger", WAIT_TIMEOUT, async || {
            let read = first_value(&client, &sql).await;
            found = read.as_ref().ok().cloned().flatten();
            read.is_ok()
        })
        .await;
        match outcome {
            WriteOutcome::Acknowledged => assert_eq!(
                found.as_deref(),
                Some("1"),
                "the acknowledged write {id} is lost"
            ),
            WriteOutcome::NotRun => {
                assert_eq!(found, None, "{id} was reported as not run, but has run")
            }
            WriteOutcome::MayHaveRun => {}
        }
    }
    let [acknowledged, not_run, unknown] = counts;
    println!(
        "seed {seed}: {acknowledged} acknowledged, {not_run} not run, {unknown} unknown, \
         version {}, calm after {:?}",
        soak.version,
        checks_started.elapsed()
    );
    assert!(
        acknowledged > 10,
        "only {acknowledged} writes were acknowledged, too few for this test"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_while_processes_and_links_fail() {
    for seed in seeds() {
        println!("seed {seed}");
        run_seed(seed, soak_time()).await;
    }
}
