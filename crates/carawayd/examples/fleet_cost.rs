//! Measures the processor time and memory that each host of an idle fleet spends on control traffic.
//!
//! Usage: `cargo run --release --example fleet_cost -- PATH_TO_CARAWAYD N...`
//! For each N, starts 3 control hosts and N entry hosts in 4 data centres as processes on loopback,
//! waits until they have started up, and prints the mean processor time (as a percentage of one
//! core) and the mean resident memory (in MB) of a host, by role.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};

/// How long after its start a fleet is measured, so that logins and elections are over.
const STARTUP_TIME: Duration = Duration::from_secs(8);
/// How long a fleet is measured.
const MEASURED_TIME: Duration = Duration::from_secs(15);
/// The number of control hosts of each fleet.
const CONTROL_HOSTS: usize = 3;
/// The number of data centres over which the hosts of each role are spread.
const DATA_CENTRES: usize = 4;
/// Clock ticks per second in `/proc/PID/stat`; 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// A host process, killed when it is dropped.
struct Host(Child);

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Host {
    /// Returns the processor time that the process has used, in seconds.
    fn processor_time(&self) -> eyre::Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let (_, fields) = stat
            .rsplit_once(')')
            .ok_or_else(|| eyre!("/proc/PID/stat has no fields after the program name"))?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks / TICKS_PER_SECOND)
    }

    /// Returns the resident memory of the process in bytes.
    fn resident_memory(&self) -> eyre::Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(kib
            .ok_or_else(|| eyre!("/proc/PID/status has no VmRSS line"))?
            .parse::<f64>()?
            * 1024.0)
    }
}

fn main() -> eyre::Result<()> {
    let mut args = std::env::args().skip(1);
    let program = args
        .next()
        .ok_or_else(|| eyre!("the path to carawayd is missing"))?;
    println!("hosts  role     core %    MB");
    for count in args {
        measure(&program, count.parse()?)?;
    }
    Ok(())
}

/// Runs a fleet with this many entry hosts and prints a line for each role.
fn measure(program: &str, entries: usize) -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let peers: Vec<String> = (0..CONTROL_HOSTS)
        .map(|_| free_addr())
        .collect::<Result<_, _>>()?;
    let mut control = Vec::new();
    for (nth, addr) in peers.iter().enumerate() {
        control.push(start(
            program,
            folder.path(),
            &peers,
            &format!("control-{nth}"),
            nth,
            Some(addr),
        )?);
    }
    let mut entry = Vec::new();
    for nth in 0..entries {
        entry.push(start(
            program,
            folder.path(),
            &peers,
            &format!("entry-{nth}"),
            nth,
            None,
        )?);
    }
    std::thread::sleep(STARTUP_TIME);
    let before = (
        total(&control, Host::processor_time)?,
        total(&entry, Host::processor_time)?,
    );
    let start = Instant::now();
    std::thread::sleep(MEASURED_TIME);
    let time = start.elapsed().as_secs_f64();
    for (role, hosts, before) in [("control", &control, before.0), ("entry", &entry, before.1)] {
        let count = hosts.len() as f64;
        let core = (total(hosts, Host::processor_time)? - before) / time / count * 100.0;
        let megabytes = total(hosts, Host::resident_memory)? / count / 1e6;
        println!("{entries:5}  {role:7}  {core:6.2}  {megabytes:4.1}");
    }
    Ok(())
}

/// Returns the sum of a measure over hosts.
fn total(hosts: &[Host], measure: impl Fn(&Host) -> eyre::Result<f64>) -> eyre::Result<f64> {
    hosts.iter().map(measure).sum()
}

fn free_addr() -> eyre::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}

/// Starts a host and waits until it listens; control hosts have an address in `peers`.
fn start(
    program: &str,
    folder: &Path,
    control: &[String],
    name: &str,
    nth: usize,
    peers: Option<&String>,
) -> eyre::Result<Host> {
    let hosts: String = control
        .iter()
        .enumerate()
        .map(|(nth, addr)| {
            format!("[[control_hosts]]\nhost = \"control-{nth}\"\npeers = \"{addr}\"\n")
        })
        .collect();
    let is_control = peers.is_some();
    let peers = peers.map_or("127.0.0.1:0", String::as_str);
    let text = format!(
        "host = \"{name}\"\ndata_centre = \"dc-{}\"\nentry = {}\ncontrol = {is_control}\n\
         data_dir = {:?}\nfleet_secret = \"cost\"\n{hosts}\
         [log]\nlevel = \"error\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"{peers}\"\napi = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n",
        nth % DATA_CENTRES,
        !is_control,
        folder.join(name),
    );
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, text)?;
    let mut child = Command::new(program)
        .args(["run", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .wrap_err_with(|| program.to_owned())?;
    let stdout = child
        .stdout
        .take()
        .ok_or_else(|| eyre!("{name}: standard output is not piped"))?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    if !line.starts_with("listening") {
        return Err(eyre!("{name} did not start: {line:?}"));
    }
    Ok(Host(child))
}
