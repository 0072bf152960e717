//! Starts a host with its listeners and threads, reloads its settings, and stops it.
//!
//! A part is the state of one thread: control or traffic. A control host stores the replicated
//! control state and may vote on it. The platform is what runs the hosts and database instances
//! for the operator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use budget::Pool;
use decide::control::ControlPart;
use decide::raft::PersistentState;
use decide::spread::Seed;
use decide::state::PartRole;
use decide::traffic::TrafficPart;
use decide::{Event, PartState};
use eyre::{WrapErr, eyre};
use model::{CONTROL_PART, FIRST_TRAFFIC_PART, HostInfo, PartId};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet};

use crate::adapter::{Adapter, CallSender};
use crate::clock;
use crate::conn_budget::{self, Budget};
use crate::disk::DiskThread;
use crate::inbox::{EffectRunner, Inboxes, Input};
use crate::metrics::Metrics;
use crate::metrics_recorder::MetricsRecorder;
use crate::settings::HostSettings;
use crate::thread_control::ControlRunner;
use crate::thread_traffic::TrafficRunner;
use crate::{listen, metrics_http, part_loop, rpc};

/// How long the control thread of a leaving host may take to end, once traffic has ended.
///
/// In this time it returns its claims (slots and connections) to the upstreams that granted them.
const CONTROL_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long before `leave_timeout` the requests that are still unanswered get their last answers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);

/// Starts a host in this process.
#[derive(Debug)]
pub struct Daemon;

/// A running host, and the addresses that its listeners were bound to.
#[derive(Debug)]
pub struct RunningHost {
    /// The address at which it accepts callers.
    pub caller_addr: SocketAddr,
    /// The address at which it accepts links from other hosts.
    pub peer_addr: SocketAddr,
    /// The address of its JSON-RPC API, for operators and for announcements by upstreams.
    pub api_addr: SocketAddr,
    /// The address of its HTTP server for metrics and readiness.
    pub metrics_addr: SocketAddr,
    inboxes: Inboxes,
    traffic: Vec<PartThread>,
    control: PartThread,
    stop: watch::Sender<bool>,
    listeners: JoinSet<()>,
    shared_metrics: Arc<Metrics>,
    cfg: HostSettings,
    info: HostInfo,
}

/// A thread that runs one part.
#[derive(Debug)]
struct PartThread {
    handle: Option<JoinHandle<()>>,
    /// Resolves when the part has ended; `None` once it has.
    ended: Option<oneshot::Receiver<()>>,
}

impl PartThread {
    /// Waits until the part has ended, or until `deadline`.
    async fn wait_for_end(&mut self, deadline: tokio::time::Instant) {
        if let Some(ended) = &mut self.ended
            && tokio::time::timeout_at(deadline, ended).await.is_ok()
        {
            self.ended = None;
        }
    }
}

type Inbox = mpsc::UnboundedReceiver<Input>;

impl Daemon {
    /// Binds the listeners, recovers the control state and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound, if the data folder of a control host can't be used, or
    /// if a thread can't be started.
    pub async fn start<A: Adapter>(cfg: HostSettings) -> eyre::Result<RunningHost> {
        let callers = bind("listen.callers", cfg.listen.callers).await?;
        let peers = bind("listen.peers", cfg.listen.peers).await?;
        let metrics_listener = bind("listen.metrics", cfg.listen.metrics).await?;
        let api_listener = bind("listen.api", cfg.listen.api).await?;
        let api = api_listener.local_addr()?;
        let (caller_addr, peer_addr) = (callers.local_addr()?, peers.local_addr()?);

        let metrics_addr = metrics_listener.local_addr()?;
        let pool = Arc::new(Pool::new(&cfg.budget, conn_budget::machine_memory()));
        let metrics = Arc::new(Metrics::new(pool.clone()));
        let (budget, keeper_inbox) = Budget::new(&cfg.budget, pool, metrics.clone());

        let (inboxes, mut rxs) = create_inboxes(&cfg);
        let info = host_info(&cfg, peer_addr);
        let control_rx = rxs.remove(0);
        let control = start_control::<A>(&cfg, &info, &inboxes, control_rx, &budget, &metrics)?;
        let mut traffic = Vec::new();
        for (nth, rx) in rxs.into_iter().enumerate() {
            let part = FIRST_TRAFFIC_PART + u16::try_from(nth)?;
            traffic.push(start_traffic::<A>(
                &cfg, &info, &inboxes, part, rx, &budget, &metrics,
            )?);
        }

        let (stop, stopped) = watch::channel(false);
        let mut listeners = JoinSet::new();
        let keeper = conn_budget::run_keeper(budget.clone(), keeper_inbox, stopped.clone());
        listeners.spawn(keeper);
        let secret = cfg.fleet_secret.clone();
        listeners.spawn(listen::accept_peers(
            peers,
            inboxes.clone(),
            secret,
            budget.clone(),
            stopped.clone(),
        ));
        let metrics_server = metrics_http::serve(
            metrics_listener,
            budget.clone(),
            metrics.clone(),
            cfg.listen.ready_path.as_str().into(),
            stopped.clone(),
        );
        listeners.spawn(metrics_server);
        let calls = CallSender::new(inboxes.clone());
        if let Some(addr) = cfg.listen.platform {
            let platform = bind("listen.platform", addr).await?;
            listeners.spawn(A::serve_platform_calls(
                platform,
                calls.clone(),
                budget.clone(),
                stopped.clone(),
            ));
        }
        listeners.spawn(rpc::serve(api_listener, budget, calls, stopped.clone()));
        if cfg.entry {
            listeners.spawn(listen::accept_callers(callers, inboxes.clone(), stopped));
        }
        log::info!(
            "event=700 started host={} data_centre={} callers={caller_addr} peers={peer_addr} api={api} metrics={metrics_addr}",
            cfg.host,
            cfg.data_centre
        );
        Ok(RunningHost {
            caller_addr,
            peer_addr,
            api_addr: api,
            metrics_addr,
            inboxes,
            traffic,
            control,
            stop,
            listeners,
            shared_metrics: metrics,
            cfg,
            info,
        })
    }
}

impl RunningHost {
    /// Applies the settings that may change while the host runs.
    ///
    /// These are `control_hosts`, `seeds`, `log.level` and `leave_timeout`; the log says whether
    /// any other setting differs, which takes effect at a restart only.
    pub fn reload(&mut self, cfg: HostSettings) {
        if cfg == self.cfg {
            log::info!("event=703 reloaded changed=none");
            return;
        }
        let seeds = seeds(&cfg, &self.info);
        let changed = seeds != self::seeds(&self.cfg, &self.info);
        if changed {
            self.inboxes
                .send_event(CONTROL_PART, Event::SeedsChanged(seeds));
        }
        log::set_max_level(cfg.log.level);
        let level = cfg.log.level;
        let mut unreloadable = cfg.clone();
        unreloadable.seeds.clone_from(&self.cfg.seeds);
        unreloadable
            .control_hosts
            .clone_from(&self.cfg.control_hosts);
        unreloadable.log.level = self.cfg.log.level;
        unreloadable.leave_timeout = self.cfg.leave_timeout;
        let restart = unreloadable != self.cfg;
        log::info!(
            "event=704 settings-changed control_hosts={changed} level={level} restart_needed={restart}"
        );
        self.cfg = cfg;
    }

    /// Leaves the fleet and stops the host.
    ///
    /// Running requests and open transactions are finished first, for up to `leave_timeout`; what
    /// isn't finished shortly before is answered without a result. Then
    /// the control part returns its claims to the upstreams, the listeners stop and the threads are
    /// joined. Threads that haven't ended in time aren't waited for: they end with the process.
    pub async fn stop(mut self) {
        self.shared_metrics.leaving.set(1);
        self.inboxes.send_event_to_all(&Event::Leave);
        let deadline = tokio::time::Instant::now() + self.cfg.leave_timeout;
        let last_answers_at = deadline - LAST_ANSWERS_TIME.min(self.cfg.leave_timeout);
        for thread in &mut self.traffic {
            thread.wait_for_end(last_answers_at).await;
        }
        self.inboxes.send_event_to_all(&Event::LeaveTimedOut);
        for thread in &mut self.traffic {
            thread.wait_for_end(deadline).await;
        }
        self.inboxes.send_event(CONTROL_PART, Event::TrafficDrained);
        let deadline = tokio::time::Instant::now() + CONTROL_DRAIN_TIMEOUT;
        self.control.wait_for_end(deadline).await;
        self.stop.send_replace(true);
        while self.listeners.join_next().await.is_some() {}
        for mut thread in self.traffic.into_iter().chain([self.control]) {
            let ended = thread.handle.as_ref().is_some_and(JoinHandle::is_finished);
            if let Some(handle) = thread.handle.take().filter(|_| ended) {
                let _ = handle.join();
            }
        }
    }
}

async fn bind(name: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.wrap_err_with(|| format!("{name}: {addr}"))
}

/// Returns the senders and the receivers of all parts, in the order of the parts.
fn create_inboxes(cfg: &HostSettings) -> (Inboxes, Vec<Inbox>) {
    let traffic = if cfg.entry { cfg.traffic_threads } else { 0 };
    let (txs, rxs) = (0..=traffic).map(|_| mpsc::unbounded_channel()).unzip();
    (Inboxes::new(cfg.host.clone(), txs), rxs)
}

fn host_info(cfg: &HostSettings, peer_addr: SocketAddr) -> HostInfo {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    HostInfo {
        host: cfg.host.clone(),
        data_centre: cfg.data_centre.clone(),
        peer_addr,
        incarnation: u64::try_from(millis).unwrap_or_default(),
        traffic_parts: if cfg.entry { cfg.traffic_threads } else { 0 },
        is_entry_host: cfg.entry,
        is_control_host: cfg.control,
        leaving: false,
    }
}

/// Starts the control thread; a control host recovers its state from the data folder.
fn start_control<A: Adapter>(
    cfg: &HostSettings,
    info: &HostInfo,
    inboxes: &Inboxes,
    rx: Inbox,
    budget: &Budget,
    metrics: &Arc<Metrics>,
) -> eyre::Result<PartThread> {
    let (disk, recovered) = start_disk_thread(cfg, inboxes)?;
    let seeds = seeds(cfg, info);
    let control = ControlPart::new(info, seeds, recovered, clock::now());
    let state = initial_state(
        cfg,
        info,
        CONTROL_PART,
        PartRole::Control(Box::new(control)),
    );
    let (cfg, inboxes, budget) = (cfg.clone(), inboxes.clone(), budget.clone());
    let recorder = MetricsRecorder::new(metrics.clone());
    start_thread("control".to_owned(), state, rx, recorder, move || {
        ControlRunner::<A>::new(&cfg, inboxes, disk, budget)
    })
}

/// Returns the control hosts of the settings, by which the host joins the fleet.
///
/// An entry of `seeds` gives only an address: such a control host must have its IP address as its
/// name (`host`), and its port for links is the same as this host's. The port of the entry is
/// ignored.
pub(crate) fn seeds(cfg: &HostSettings, info: &HostInfo) -> Vec<Seed> {
    let named = cfg.control_hosts.iter().map(|control| Seed {
        host: control.host.clone(),
        addr: control.peers,
    });
    let port = info.peer_addr.port();
    let addressed = cfg.seeds.iter().map(|seed| Seed {
        host: seed.ip().to_string().into(),
        addr: SocketAddr::new(seed.ip(), port),
    });
    named.chain(addressed).collect()
}

/// Opens the data folder of a control host; other hosts store no state.
fn start_disk_thread(
    cfg: &HostSettings,
    inboxes: &Inboxes,
) -> eyre::Result<(DiskThread, Option<PersistentState>)> {
    if !cfg.control {
        return Ok((DiskThread::disabled(), None));
    }
    let dir: &PathBuf = cfg
        .data_dir
        .as_ref()
        .ok_or_else(|| eyre!("data_dir: a control host needs a data folder"))?;
    let (disk, recovered) = DiskThread::open(dir, inboxes.clone())?;
    Ok((disk, Some(recovered)))
}

fn start_traffic<A: Adapter>(
    cfg: &HostSettings,
    info: &HostInfo,
    inboxes: &Inboxes,
    part: PartId,
    rx: Inbox,
    budget: &Budget,
    metrics: &Arc<Metrics>,
) -> eyre::Result<PartThread> {
    let state = initial_state(
        cfg,
        info,
        part,
        PartRole::Traffic(Box::new(TrafficPart::new(&cfg.decide_settings()))),
    );
    let (cfg, inboxes, budget) = (cfg.clone(), inboxes.clone(), budget.clone());
    let recorder = MetricsRecorder::new(metrics.clone());
    start_thread(format!("traffic-{part}"), state, rx, recorder, move || {
        TrafficRunner::<A>::new(part, &cfg, inboxes, budget)
    })
}

fn initial_state(
    cfg: &HostSettings,
    info: &HostInfo,
    part: PartId,
    part_state: PartRole,
) -> PartState {
    let random_seed = info.incarnation ^ u64::from(part);
    PartState::new(
        info.clone(),
        part,
        cfg.decide_settings(),
        random_seed,
        part_state,
    )
}

/// Runs a part on a new thread with a single-threaded runtime of its own.
///
/// The effect runner is created on that thread, since it isn't `Send`.
fn start_thread<R: EffectRunner>(
    name: String,
    state: PartState,
    rx: Inbox,
    recorder: MetricsRecorder,
    runner: impl FnOnce() -> R + Send + 'static,
) -> eyre::Result<PartThread> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the async runtime of a part's thread can't be started")?;
    let (tx, ended) = oneshot::channel();
    let run = move || {
        LocalSet::new().block_on(&runtime, async {
            part_loop::run(state, rx, runner(), recorder).await;
        });
        let _ = tx.send(());
    };
    let handle = std::thread::Builder::new().name(name).spawn(run);
    Ok(PartThread {
        handle: Some(handle.wrap_err("the thread of a part can't be started")?),
        ended: Some(ended),
    })
}
