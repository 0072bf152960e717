//! Reads and checks a settings file.

use std::net::SocketAddr;
use std::path::Path;

use model::HashSet;

use crate::settings::HostSettings;

/// Why a settings file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The file is no TOML, or has unknown or ill-typed keys.
    #[error("{file}: {reason}{}", nearest.as_ref().map(|name| format!("\ndid you mean `{name}`?")).unwrap_or_default())]
    Malformed {
        /// The file.
        file: String,
        /// What is wrong, with the line and the key.
        reason: String,
        /// The known key nearest to an unknown one, if that is the error.
        nearest: Option<String>,
    },
    /// The settings contradict each other, or can't work.
    #[error("{file}: {}", faults.join(&format!("\n{file}: ")))]
    Contradictory {
        /// The file.
        file: String,
        /// One text for each fault, which starts with its key.
        faults: Vec<String>,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails if the file can't be read, has unknown or ill-typed keys, or contradicts itself.
pub fn read(path: &Path) -> Result<HostSettings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    parse(&file, &text)
}

/// Reads and checks the text of a settings file.
///
/// # Errors
///
/// Fails if the text has unknown or ill-typed keys, or contradicts itself.
pub fn parse(file: &str, text: &str) -> Result<HostSettings, SettingsError> {
    let cfg: HostSettings = toml::from_str(text).map_err(|error| SettingsError::Malformed {
        file: file.to_owned(),
        nearest: nearest_known_key(error.message()),
        reason: error.to_string().trim_end().to_owned(),
    })?;
    let faults = find_faults(&cfg);
    if !faults.is_empty() {
        let file = file.to_owned();
        return Err(SettingsError::Contradictory { file, faults });
    }
    Ok(cfg)
}

/// Returns the known key nearest to the unknown one that a TOML error reports, if it reports one.
fn nearest_known_key(message: &str) -> Option<String> {
    let mut quoted = message.split('`').skip(1).step_by(2);
    if !message.contains("unknown") {
        return None;
    }
    let unknown = quoted.next()?;
    let score = |name: &&str| (strsim::jaro_winkler(unknown, name) * 1000.0) as u32;
    quoted.max_by_key(score).map(str::to_owned)
}

/// Returns a text for each contradiction and each setting that can't work.
fn find_faults(cfg: &HostSettings) -> Vec<String> {
    let mut faults = Vec::new();
    check_roles(cfg, &mut faults);
    check_control_hosts(cfg, &mut faults);
    check_listen(cfg, &mut faults);
    faults.extend(cfg.budget.faults());
    faults
}

fn check_roles(cfg: &HostSettings, faults: &mut Vec<String>) {
    let mut fault = |text: &str| faults.push(text.to_owned());
    if cfg.host.is_empty() {
        fault("host: the host needs a name");
    }
    if cfg.data_centre.is_empty() {
        fault("data_centre: the host needs a data centre");
    }
    if !cfg.entry && !cfg.control {
        fault("entry: a host is an entry host, a control host or both");
    }
    if cfg.entry && cfg.traffic_threads == 0 {
        fault("traffic_threads: an entry host needs at least 1 thread");
    }
    if cfg.control && cfg.data_dir.is_none() {
        fault("data_dir: a control host needs a data folder");
    }
}

fn check_control_hosts(cfg: &HostSettings, faults: &mut Vec<String>) {
    let mut fault = |text: String| faults.push(format!("control_hosts: {text}"));
    if cfg.control_hosts.is_empty() && cfg.seeds.is_empty() {
        fault("at least 1 control host must be named".to_owned());
    }
    let mut names = HashSet::default();
    for control in &cfg.control_hosts {
        if !names.insert(&control.host) {
            fault(format!("`{}` is named twice", control.host));
        }
    }
    if cfg.control && cfg.seeds.is_empty() && !names.contains(&cfg.host) {
        let text = "this control host is not among them";
        fault(format!("`{}`: {text}", cfg.host));
    }
}

fn check_listen(cfg: &HostSettings, faults: &mut Vec<String>) {
    let listen = &cfg.listen;
    let addrs = [
        ("listen.callers", listen.callers),
        ("listen.peers", listen.peers),
        ("listen.api", listen.api),
        ("listen.metrics", listen.metrics),
    ];
    for (nth, (name, addr)) in addrs.iter().enumerate() {
        let same = |(_, other): &&(&str, SocketAddr)| other == addr && addr.port() != 0;
        if let Some((other, _)) = addrs[..nth].iter().find(same) {
            faults.push(format!("{name}: {addr} is taken by {other}"));
        }
    }
    if listen.peers.ip().is_unspecified() {
        let text = "other hosts need an address that they can reach, not";
        faults.push(format!("listen.peers: {text} {}", listen.peers));
    }
    if cfg.fleet_secret.0.is_empty() && !listen.peers.ip().is_loopback() {
        faults.push("fleet_secret: links from other hosts need a secret".to_owned());
    }
}
