//! Starts the project's program as control and entry hosts, with the templates of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record;
use crate::wire;

/// The processes that were started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one if a run takes longer than `limit`.
pub fn watch(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        record::say("the run takes too long");
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("sh")
                .args(["-c", &format!("kill -KILL {id}")])
                .status();
        }
        std::process::exit(2);
    });
}

/// The ports that all hosts use, each at an address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub client: u16,
    pub ready: u16,
    pub control: u16,
    pub peers: u16,
    pub api: u16,
    pub cloud: u16,
    pub instance: u16,
}

/// The network of a run: a loopback block of its own, free ports, and a temporary folder.
#[derive(Clone, Debug)]
pub struct Net {
    pub block: u8,
    pub ports: Ports,
    pub folder: PathBuf,
    pub root: PathBuf,
}

impl Net {
    /// Chooses a block and ports that are free, and creates the temporary folder.
    pub fn new(root: &Path) -> Self {
        let pid = std::process::id();
        let block = 20 + (pid % 200) as u8;
        let mut base = 21_000 + (pid % 900) as u16 * 10;
        let is_free = |port: u16| {
            (1..4).all(|zone| TcpListener::bind((format!("127.{block}.{zone}.1"), port)).is_ok())
        };
        while !(0..7).all(|offset| is_free(base + offset)) {
            base += 10;
        }
        let ports = Ports {
            client: base,
            ready: base + 1,
            control: base + 2,
            peers: base + 3,
            api: base + 4,
            cloud: base + 5,
            instance: base + 6,
        };
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder).unwrap();
        Self {
            block,
            ports,
            folder,
            root: root.to_owned(),
        }
    }

    /// Returns an address in a zone.
    pub fn ip(&self, zone: usize, host: usize) -> String {
        format!("127.{}.{}.{}", self.block, zone + 1, host)
    }

    /// Returns the address of the platform.
    pub fn cloud(&self) -> SocketAddr {
        format!("127.{}.200.2:{}", self.block, self.ports.cloud)
            .parse()
            .unwrap()
    }
}

/// One machine of the system.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: usize,
    pub is_core: bool,
    child: Option<Child>,
    net: Net,
}

impl Machine {
    /// Returns a machine that is not started.
    pub fn new(net: &Net, zone: usize, host: usize, is_core: bool) -> Self {
        let class = if is_core { "core" } else { "frontend" };
        Self {
            name: format!("{class}-z{zone}-{host}"),
            ip: net.ip(zone, host),
            zone,
            is_core,
            child: None,
            net: net.clone(),
        }
    }

    /// Returns an address of the machine.
    pub fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    fn folder(&self) -> PathBuf {
        self.net.folder.join(&self.name)
    }

    fn log_path(&self) -> PathBuf {
        self.net.folder.join(format!("{}.log", self.name))
    }

    /// Returns what the machine's processes have written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Starts the machine's program with the template of its role.
    pub fn start(&mut self, seeds: &[String], bootstrap: bool) {
        let ports = self.net.ports;
        let role = if self.is_core { "control" } else { "entry" };
        let path = format!("deploy/templates/{role}.toml");
        let mut text = fs::read_to_string(self.net.root.join(path)).unwrap();
        let list: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        text = text.replace(
            "{{#seed-nodes}}\"{{.}}\"{{,}}{{/seed-nodes}}",
            &list.join(","),
        );
        let data = self.folder();
        let fields = [
            ("ip", self.ip.clone()),
            ("zone", format!("zone-{}", self.zone)),
            ("node-name", self.name.clone()),
            ("bootstrap", bootstrap.to_string()),
            ("data-directory", data.display().to_string()),
            ("internal-port-range.0", ports.peers.to_string()),
            ("internal-port-range.1", ports.api.to_string()),
            (
                "listen-addrs.client-addr",
                format!("{}:{}", self.ip, ports.client),
            ),
            (
                "listen-addrs.readiness",
                format!("{}:{}", self.ip, ports.ready),
            ),
            (
                "listen-addrs.control-plane",
                format!("{}:{}", self.ip, ports.control),
            ),
            ("cloud-api.address", self.net.cloud().to_string()),
            ("bounds.drain-ms", "7000".to_owned()),
            ("bounds.revoke-ms", "5000".to_owned()),
            ("bounds.quota-window-s", "5".to_owned()),
            ("bounds.quota-overage", "0.1".to_owned()),
            ("bounds.quota-tolerance", "20".to_owned()),
        ];
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "a field of the template is not filled in"
        );
        let settings = self.net.folder.join(format!("{}.toml", self.name));
        fs::write(&settings, text).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())
            .unwrap();
        let child = Command::new(self.net.root.join("target/release/carawayd"))
            .args(["run", "--settings"])
            .arg(&settings)
            .current_dir(&self.net.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/carawayd can't be started");
        STARTED.lock().unwrap().push(child.id());
        record::line(&format!(
            "start {} {} pid={}",
            self.name,
            self.ip,
            child.id()
        ));
        self.child = Some(child);
    }

    /// Sends a signal to the machine's process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            record::say(&format!("signal {name} to {}", self.name));
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Kills the machine's process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Loses the machine's disk.
    pub fn wipe(&self) {
        let _ = fs::remove_dir_all(self.folder());
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// All machines of the system.
pub struct Fleet {
    pub net: Net,
    pub core: Vec<Machine>,
    pub front: Vec<Machine>,
}

impl Fleet {
    /// Returns machines in three zones: one of the core and `fronts` others in each.
    pub fn new(root: &Path, fronts: usize) -> Self {
        let net = Net::new(root);
        let core = (0..3)
            .map(|zone| Machine::new(&net, zone, 1, true))
            .collect();
        let front = (0..3).flat_map(|zone| (0..fronts).map(move |nth| (zone, 11 + nth)));
        let front = front.map(|(zone, host)| Machine::new(&net, zone, host, false));
        let front = front.collect();
        Self { net, core, front }
    }

    /// Returns the addresses that the settings name.
    pub fn seeds(&self) -> Vec<String> {
        let port = self.net.ports.control;
        self.core
            .iter()
            .map(|host| host.addr(port).to_string())
            .collect()
    }

    /// Returns the addresses at which the core takes calls.
    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        let port = self.net.ports.control;
        self.core.iter().map(|host| host.addr(port)).collect()
    }

    /// Starts all machines.
    pub fn start(&mut self) {
        let seeds = self.seeds();
        for host in self.core.iter_mut().chain(&mut self.front) {
            host.start(&seeds, true);
        }
    }

    /// Sends a configuration until it is acknowledged; returns whether it was.
    pub fn configure(&self, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let addrs = self.control_addrs();
        let mut nth = 0;
        while Instant::now() < until {
            let addr = addrs[nth % addrs.len()];
            nth += 1;
            let sent = wire::http(
                addr,
                "PUT",
                "/carawaycourse/config",
                body,
                Duration::from_secs(1),
            );
            if let Ok((status, _)) = sent {
                record::line(&format!("config sent to {addr}, answered {status}"));
                if status == 200 {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all machines report that they are ready; returns whether they do.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        self.front.iter().all(|host| {
            let addr = host.addr(self.net.ports.ready);
            loop {
                let ready = wire::http(
                    addr,
                    "GET",
                    "/carawaycourse/readyz",
                    "",
                    Duration::from_millis(500),
                );
                if matches!(ready, Ok((200, _))) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        })
    }

    /// Returns the index of the core machine that leads, as the machines' logs say.
    pub fn leader(&self) -> Option<usize> {
        let mut newest: Option<(u64, String)> = None;
        for host in &self.core {
            for line in host.log().lines() {
                let word = |name: &str| {
                    let found = line.split_whitespace().find_map(|w| w.strip_prefix(name));
                    found.map(str::to_owned)
                };
                let term = word("term=").and_then(|term| term.parse::<u64>().ok());
                let found = if line.contains("event=404 ") {
                    term.zip(word("leader="))
                } else if line.contains(" leading ") {
                    term.zip(Some(host.ip.clone()))
                } else {
                    None
                };
                if found.is_some() && found.as_ref().map(|f| f.0) >= newest.as_ref().map(|n| n.0) {
                    newest = found;
                }
            }
        }
        let (_, ip) = newest?;
        self.core.iter().position(|host| host.ip == ip)
    }

    /// Copies the log lines that hold one of the words into the record.
    pub fn record_logs(&self, words: &[&str]) {
        for host in self.core.iter().chain(&self.front) {
            for line in host.log().lines() {
                if words.iter().any(|word| line.contains(word)) {
                    record::line(&format!("log {} {line}", host.name));
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in self.core.iter_mut().chain(&mut self.front) {
            host.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.net.folder);
        }
    }
}
