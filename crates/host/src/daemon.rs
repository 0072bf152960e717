//! Starts a host and stops it again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use decide::control::Control;
use decide::raft::PersistentState;
use decide::spread::Seed;
use decide::state::Part;
use decide::traffic::Traffic;
use decide::{Event, State};
use eyre::{WrapErr, eyre};
use jsonrpsee::server::{Server, ServerHandle};
use model::{CONTROL_PART, FIRST_TRAFFIC_PART, HostInfo, PartId};
use peer::api::ApiServer;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet};

use crate::adapter::{Adapter, Calls};
use crate::clock;
use crate::disk::Disk;
use crate::input::{Inboxes, Input, Runner};
use crate::metrics::Metrics;
use crate::metrics_tally::Tally;
use crate::rpc::Rpc;
use crate::settings::HostSettings;
use crate::thread_control::ControlRunner;
use crate::thread_traffic::TrafficRunner;
use crate::{listen, metrics_http, part};

/// How long the control thread of a leaving host may take to give everything back.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts hosts.
#[derive(Debug)]
pub struct Daemon;

/// A running host.
#[derive(Debug)]
pub struct Running {
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes links from other hosts.
    pub peers: SocketAddr,
    /// Where it takes calls of operators and of the platform.
    pub api: SocketAddr,
    /// Where it serves its metrics and its readiness.
    pub metrics: SocketAddr,
    inboxes: Inboxes,
    traffic: Vec<PartThread>,
    control: PartThread,
    stop: watch::Sender<bool>,
    listeners: JoinSet<()>,
    rpc: ServerHandle,
    counted: Arc<Metrics>,
    cfg: HostSettings,
    info: HostInfo,
}

/// A thread that runs one part.
#[derive(Debug)]
struct PartThread {
    handle: Option<JoinHandle<()>>,
    ended: oneshot::Receiver<()>,
}

type Inbox = mpsc::UnboundedReceiver<Input>;

impl Daemon {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken, or if the data folder can't be used.
    pub async fn start<A: Adapter>(cfg: HostSettings) -> eyre::Result<Running> {
        let callers = bind("listen.callers", cfg.listen.callers).await?;
        let peers = bind("listen.peers", cfg.listen.peers).await?;
        let metrics_listener = bind("listen.metrics", cfg.listen.metrics).await?;
        let server = Server::builder().build(cfg.listen.api).await;
        let server = server.wrap_err_with(|| format!("listen.api: {}", cfg.listen.api))?;
        let api = server.local_addr()?;
        let (caller_addr, peer_addr) = (callers.local_addr()?, peers.local_addr()?);

        let metrics_addr = metrics_listener.local_addr()?;
        let metrics = Arc::new(Metrics::new());

        let (inboxes, mut rxs) = inboxes(&cfg);
        let info = host_info(&cfg, peer_addr);
        let control_rx = rxs.remove(0);
        let control = start_control::<A>(&cfg, &info, &inboxes, control_rx, &metrics)?;
        let mut traffic = Vec::new();
        for (nth, rx) in rxs.into_iter().enumerate() {
            let part = FIRST_TRAFFIC_PART + u16::try_from(nth)?;
            traffic.push(start_traffic::<A>(
                &cfg, &info, &inboxes, part, rx, &metrics,
            )?);
        }

        let (stop, stopped) = watch::channel(false);
        let mut listeners = JoinSet::new();
        let secret = cfg.fleet_secret.clone();
        listeners.spawn(listen::peers(
            peers,
            inboxes.clone(),
            secret,
            stopped.clone(),
        ));
        let serving = metrics_http::serve(
            metrics_listener,
            metrics.clone(),
            cfg.listen.ready_path.as_str().into(),
            stopped.clone(),
        );
        listeners.spawn(serving);
        let calls = Calls::new(inboxes.clone());
        if let Some(addr) = cfg.listen.platform {
            let platform = bind("listen.platform", addr).await?;
            listeners.spawn(A::serve_calls(platform, calls.clone(), stopped.clone()));
        }
        if cfg.entry {
            listeners.spawn(listen::callers(callers, inboxes.clone(), stopped));
        }
        let rpc = server.start(Rpc::new(calls).into_rpc());
        log::info!(
            "event=700 started host={} data_centre={} callers={caller_addr} peers={peer_addr} api={api} metrics={metrics_addr}",
            cfg.host,
            cfg.data_centre
        );
        Ok(Running {
            callers: caller_addr,
            peers: peer_addr,
            api,
            metrics: metrics_addr,
            inboxes,
            traffic,
            control,
            stop,
            listeners,
            rpc,
            counted: metrics,
            cfg,
            info,
        })
    }
}

impl Running {
    /// Takes over the settings that may change while the host runs.
    ///
    /// These are the control hosts that it looks for, the log level and the time for leaving.
    pub fn reload(&mut self, cfg: HostSettings) {
        if cfg == self.cfg {
            log::info!("event=703 reloaded changed=none");
            return;
        }
        let seeds = seeds(&cfg, &self.info);
        let changed = seeds != self::seeds(&self.cfg, &self.info);
        if changed {
            self.inboxes.event(CONTROL_PART, Event::SeedsChanged(seeds));
        }
        log::set_max_level(cfg.log.level);
        let level = cfg.log.level;
        let mut rest = cfg.clone();
        rest.seeds.clone_from(&self.cfg.seeds);
        rest.control_hosts.clone_from(&self.cfg.control_hosts);
        rest.log.level = self.cfg.log.level;
        rest.leave_timeout = self.cfg.leave_timeout;
        let restart = rest != self.cfg;
        log::info!(
            "event=704 settings-changed control_hosts={changed} level={level} restart_needed={restart}"
        );
        self.cfg = cfg;
    }

    /// Leaves the fleet without cutting a request, and waits until every task has ended.
    pub async fn stop(mut self) {
        self.counted.leaving.set(1);
        self.inboxes.event_to_all(&Event::Leave);
        let deadline = tokio::time::Instant::now() + self.cfg.leave_timeout;
        for thread in &mut self.traffic {
            let _ = tokio::time::timeout_at(deadline, &mut thread.ended).await;
        }
        self.inboxes.event(CONTROL_PART, Event::TrafficDrained);
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, &mut self.control.ended).await;
        let _ = self.rpc.stop();
        self.rpc.stopped().await;
        self.stop.send_replace(true);
        while self.listeners.join_next().await.is_some() {}
        // Threads that did not end in time end with the process.
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

fn inboxes(cfg: &HostSettings) -> (Inboxes, Vec<Inbox>) {
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

/// Starts the control thread, and recovers its state from the data folder.
fn start_control<A: Adapter>(
    cfg: &HostSettings,
    info: &HostInfo,
    inboxes: &Inboxes,
    rx: Inbox,
    metrics: &Arc<Metrics>,
) -> eyre::Result<PartThread> {
    let (disk, recovered) = open_disk(cfg, inboxes)?;
    let seeds = seeds(cfg, info);
    let control = Control::new(info, seeds, recovered, clock::now());
    let state = state(cfg, info, CONTROL_PART, Part::Control(Box::new(control)));
    let (cfg, inboxes) = (cfg.clone(), inboxes.clone());
    let tally = Tally::new(metrics.clone());
    start_thread("control".to_owned(), state, rx, tally, move || {
        ControlRunner::<A>::new(&cfg, inboxes, disk)
    })
}

/// Returns the control hosts that the settings name, or that are named by their addresses.
pub(crate) fn seeds(cfg: &HostSettings, info: &HostInfo) -> Vec<Seed> {
    let named = cfg.control_hosts.iter().map(|control| Seed {
        host: control.host.clone(),
        addr: control.peers,
    });
    let port = info.peer_addr.port();
    let found = cfg.seeds.iter().map(|seed| Seed {
        host: seed.ip().to_string().into(),
        addr: SocketAddr::new(seed.ip(), port),
    });
    named.chain(found).collect()
}

fn open_disk(
    cfg: &HostSettings,
    inboxes: &Inboxes,
) -> eyre::Result<(Disk, Option<PersistentState>)> {
    if !cfg.control {
        return Ok((Disk::none(), None));
    }
    let dir: &PathBuf = cfg
        .data_dir
        .as_ref()
        .ok_or_else(|| eyre!("data_dir: a control host needs a data folder"))?;
    let (disk, recovered) = Disk::open(dir, inboxes.clone())?;
    Ok((disk, Some(recovered)))
}

fn start_traffic<A: Adapter>(
    cfg: &HostSettings,
    info: &HostInfo,
    inboxes: &Inboxes,
    part: PartId,
    rx: Inbox,
    metrics: &Arc<Metrics>,
) -> eyre::Result<PartThread> {
    let state = state(
        cfg,
        info,
        part,
        Part::Traffic(Box::new(Traffic::new(&cfg.decide()))),
    );
    let (cfg, inboxes) = (cfg.clone(), inboxes.clone());
    let tally = Tally::new(metrics.clone());
    start_thread(format!("traffic-{part}"), state, rx, tally, move || {
        TrafficRunner::<A>::new(part, &cfg, inboxes)
    })
}

fn state(cfg: &HostSettings, info: &HostInfo, part: PartId, of: Part) -> State {
    let seed = info.incarnation ^ u64::from(part);
    State::new(info.clone(), part, cfg.decide(), seed, of)
}

/// Runs a part on a thread of its own, with a runtime of its own.
fn start_thread<R: Runner>(
    name: String,
    state: State,
    rx: Inbox,
    tally: Tally,
    runner: impl FnOnce() -> R + Send + 'static,
) -> eyre::Result<PartThread> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime of a thread can't be started")?;
    let (tx, ended) = oneshot::channel();
    let run = move || {
        LocalSet::new().block_on(&runtime, async {
            part::run(state, rx, runner(), tally).await;
        });
        let _ = tx.send(());
    };
    let handle = std::thread::Builder::new().name(name).spawn(run);
    Ok(PartThread {
        handle: Some(handle.wrap_err("a thread can't be started")?),
        ended,
    })
}
