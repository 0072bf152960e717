//! Starts a fleet of hosts and stand-in upstreams as processes on loopback.
#![allow(dead_code, reason = "each test file uses its own share of this module")]
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

pub(crate) mod client;
pub(crate) mod crowd;
pub(crate) mod ledger;
pub(crate) mod process;
pub(crate) mod relay;
pub(crate) mod usage;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use process::Process;
use tempfile::TempDir;

/// The service that every test uses.
pub(crate) const SERVICE: &str = "appt-core";
/// The time within which a condition that a test waits for must hold, unless it states another.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The name, data centre and roles of a host to start.
pub(crate) struct HostPlan {
    pub(crate) name: &'static str,
    pub(crate) data_centre: &'static str,
    pub(crate) entry: bool,
    pub(crate) control: bool,
}

/// Returns the plan of a host.
pub(crate) fn plan(
    name: &'static str,
    data_centre: &'static str,
    entry: bool,
    control: bool,
) -> HostPlan {
    HostPlan {
        name,
        data_centre,
        entry,
        control,
    }
}

/// A running fleet; dropping it kills its processes.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    pub(crate) upstreams: Vec<Process>,
    /// Text appended to the settings file of every host, in TOML.
    pub(crate) extra: String,
    folder: TempDir,
    /// The names and peer addresses of the control hosts.
    control: Vec<(String, SocketAddr)>,
}

/// A running host.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) api: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// Whether it has the entry role, which serves callers.
    pub(crate) is_entry: bool,
    pub(crate) metrics: SocketAddr,
    settings: PathBuf,
}

/// The first port that `free_addr` tries.
const FIRST_PORT: u16 = 20_000;

/// Returns a loopback address that stays free until the caller listens on it.
///
/// The process id chooses its IP address: on 127.0.0.1, an outgoing connection or a listener of
/// another test could take the port in the meantime.
pub(crate) fn free_addr() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), middle, low);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::from((ip, port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Fleet {
    /// Starts hosts and waits until they listen.
    pub(crate) fn start(plans: &[HostPlan], extra: &str) -> Self {
        let control = plans.iter().filter(|plan| plan.control);
        let control = control.map(|plan| (plan.name.to_owned(), free_addr()));
        let mut fleet = Self {
            hosts: Vec::new(),
            upstreams: Vec::new(),
            extra: extra.to_owned(),
            folder: tempfile::tempdir().unwrap(),
            control: control.collect(),
        };
        for plan in plans {
            let settings = fleet.write_settings(plan);
            fleet
                .hosts
                .push(start_host(plan.name, plan.entry, settings));
        }
        fleet
    }

    /// Writes a host's settings file, and returns its path.
    fn write_settings(&self, plan: &HostPlan) -> PathBuf {
        let peers = self.control.iter().find(|(name, _)| name == plan.name);
        let peers = peers.map_or("127.0.0.1:0".to_owned(), |(_, addr)| addr.to_string());
        // Upstreams announce themselves to this address also after a restart of the host.
        let api = free_addr();
        let data = self.folder.path().join(plan.name);
        let control: String = self
            .control
            .iter()
            .map(|(name, addr)| {
                format!("[[control_hosts]]\nhost = \"{name}\"\npeers = \"{addr}\"\n")
            })
            .collect();
        let text = format!(
            "host = \"{}\"\ndata_centre = \"{}\"\nentry = {}\ncontrol = {}\ndata_dir = {:?}\n\
             fleet_secret = \"test\"\n\
             {control}\n[listen]\ncallers = \"127.0.0.1:0\"\npeers = \"{peers}\"\napi = \"{api}\"\n\
             metrics = \"127.0.0.1:0\"\n\
             {}\n",
            plan.name, plan.data_centre, plan.entry, plan.control, data, self.extra
        );
        let path = self.folder.path().join(format!("{}.toml", plan.name));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a group of three stand-ins, the first as primary; `extra` is appended to the settings
    /// of each.
    pub(crate) fn start_group(&mut self, data_centres: [&str; 3], extra: &str) {
        let apis: Vec<String> = self
            .hosts
            .iter()
            .map(|host| format!("{:?}", host.api.to_string()))
            .collect();
        let mut primary = String::new();
        for (nth, data_centre) in data_centres.iter().enumerate() {
            let name = format!("{SERVICE}-{}", nth + 1);
            let role = if nth == 0 { "primary" } else { "replica" };
            let text = format!(
                "upstream = \"{name}\"\nservice = \"{SERVICE}\"\ndata_centre = \"{data_centre}\"\n\
                 role = \"{role}\"\nannounce_every = \"500ms\"\napi = [{}]\n{extra}\n{primary}",
                apis.join(", ")
            );
            let path = self.folder.path().join(format!("{name}.toml"));
            std::fs::write(&path, text).unwrap();
            let process = Process::start(&["standin", "--settings", path.to_str().unwrap()]);
            let addr = process.addr("upstream");
            if nth == 0 {
                primary = format!("[primary]\nupstream = \"{name}\"\naddr = \"{addr}\"\n");
            }
            self.upstreams.push(process);
        }
    }

    /// Kills a host with SIGKILL.
    pub(crate) fn kill(&mut self, name: &str) {
        self.host_mut(name).process.kill();
    }

    /// Kills a host and starts it again with the same settings and data folder.
    pub(crate) fn restart(&mut self, name: &str) {
        let (is_entry, settings) = {
            let host = self.host(name);
            (host.is_entry, host.settings.clone())
        };
        let nth = self
            .hosts
            .iter()
            .position(|host| host.name == name)
            .unwrap();
        self.hosts[nth].process.kill();
        self.hosts[nth] = start_host(name, is_entry, settings);
    }

    /// Returns the data folder of a host.
    pub(crate) fn data_dir(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn host(&self, name: &str) -> &Host {
        self.hosts.iter().find(|host| host.name == name).unwrap()
    }

    pub(crate) fn host_mut(&mut self, name: &str) -> &mut Host {
        self.hosts
            .iter_mut()
            .find(|host| host.name == name)
            .unwrap()
    }
}

/// Starts a host and waits until it listens.
fn start_host(name: &str, is_entry: bool, settings: PathBuf) -> Host {
    let process = Process::start(&["run", "--settings", settings.to_str().unwrap()]);
    Host {
        name: name.to_owned(),
        callers: process.addr("callers"),
        api: process.addr("api"),
        peers: process.addr("peers"),
        metrics: process.addr("metrics"),
        process,
        is_entry,
        settings,
    }
}

/// Waits until a condition holds; panics with its description if it doesn't within the limit.
pub(crate) async fn eventually<F: AsyncFnMut() -> bool>(what: &str, limit: Duration, mut check: F) {
    let start = Instant::now();
    loop {
        if check().await {
            return;
        }
        assert!(start.elapsed() < limit, "not so within {limit:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
