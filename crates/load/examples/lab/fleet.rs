//! Starts the hosts as child processes, and ends each by its own process id.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use eyre::{WrapErr, bail, eyre};

use crate::args::Args;

/// A host's child process; dropping it kills it.
pub(crate) struct Host {
    pub(crate) name: String,
    child: Child,
    /// Address at which it serves callers.
    pub(crate) callers: SocketAddr,
    /// Address of its JSON-RPC API.
    pub(crate) api: SocketAddr,
}

/// All hosts of the fleet.
pub(crate) struct Fleet {
    pub(crate) control: Vec<Host>,
    pub(crate) entry: Vec<Host>,
}

impl Fleet {
    /// Starts all hosts, control hosts first, with their settings, data and logs in a folder.
    ///
    /// Hosts are assigned to the data centres in turn.
    pub(crate) fn start(args: &Args, folder: &Path, data_centres: &[&str]) -> eyre::Result<Self> {
        let control = (1..=args.control).map(|nth| Ok((format!("control-{nth}"), free_addr()?)));
        let control: Vec<(String, SocketAddr)> = control.collect::<eyre::Result<_>>()?;
        let control_hosts = control
            .iter()
            .map(|(name, addr)| {
                format!("[[control_hosts]]\nhost = \"{name}\"\npeers = \"{addr}\"\n")
            })
            .collect::<String>();
        let start = |name: &str, nth: usize, peers: Option<SocketAddr>| {
            let data_centre = data_centres[nth % data_centres.len()];
            let text = settings(
                name,
                data_centre,
                peers,
                folder,
                &control_hosts,
                &args.extra,
            );
            Host::start(&args.carawayd, folder, name, &text)
        };
        let mut fleet = Self {
            control: Vec::new(),
            entry: Vec::new(),
        };
        for (nth, (name, peers)) in control.iter().enumerate() {
            fleet.control.push(start(name, nth, Some(*peers))?);
        }
        for nth in 0..args.hosts {
            let name = format!("entry-{}", nth + 1);
            fleet.entry.push(start(&name, nth, None)?);
        }
        Ok(fleet)
    }

    /// Returns all hosts, control hosts first.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.control.iter().chain(&self.entry)
    }
}

impl Host {
    /// Starts a process and waits for the line in which it prints its addresses.
    fn start(carawayd: &Path, folder: &Path, name: &str, settings: &str) -> eyre::Result<Self> {
        let path: PathBuf = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(carawayd)
            .args(["run", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn();
        let mut child = child.wrap_err_with(|| carawayd.display().to_string())?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let words = || line.split_whitespace().filter_map(|w| w.split_once('='));
        let addr = |key| words().find(|(name, _)| *name == key);
        let parse = |key| addr(key).and_then(|(_, addr)| addr.parse().ok());
        let (Some(callers), Some(api)) = (parse("callers"), parse("api")) else {
            let _ = child.kill();
            let _ = child.wait();
            bail!("{name} did not print its addresses: {line:?}");
        };
        let name = name.to_owned();
        Ok(Self {
            name,
            child,
            callers,
            api,
        })
    }

    /// Kills the process by SIGKILL and reaps it.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a host's settings file; a host with an address for peers is a control host.
fn settings(
    name: &str,
    data_centre: &str,
    peers: Option<SocketAddr>,
    folder: &Path,
    control_hosts: &str,
    extra: &str,
) -> String {
    let is_control = peers.is_some();
    let is_entry = !is_control;
    let peers = peers.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let data = folder.join(format!("{name}-data"));
    format!(
        "host = \"{name}\"\ndata_centre = \"{data_centre}\"\nentry = {is_entry}\n\
         control = {is_control}\ndata_dir = {data:?}\nfleet_secret = \"lab\"\n{control_hosts}\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"{peers}\"\napi = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\n{extra}\n"
    )
}

/// Returns a loopback address that is free now; another process may still take it.
fn free_addr() -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.local_addr().map_err(|error| eyre!(error))
}
