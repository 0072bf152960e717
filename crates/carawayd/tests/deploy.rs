//! The settings templates of the deployment are valid once their fields are filled in.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::path::Path;
use std::time::Duration;

use host::settings::ProtocolKind;
use host::{HostSettings, settings_file};

/// The fields of the templates that the platform fills in, with example values.
const FIELDS: [(&str, &str); 16] = [
    ("{{ip}}", "10.1.0.26"),
    ("{{zone}}", "kgn-a"),
    ("{{node-name}}", "core-kgn-a-1"),
    ("{{bootstrap}}", "true"),
    ("{{data-directory}}", "/data/control"),
    ("{{internal-port-range.0}}", "7560"),
    ("{{internal-port-range.1}}", "7575"),
    ("{{listen-addrs.client-addr}}", "10.1.0.26:8465"),
    ("{{listen-addrs.readiness}}", "10.1.0.26:8460"),
    ("{{listen-addrs.control-plane}}", "10.1.0.26:8462"),
    ("{{cloud-api.address}}", "10.200.0.2:8466"),
    ("{{bounds.drain-ms}}", "7000"),
    ("{{bounds.revoke-ms}}", "5000"),
    ("{{bounds.quota-window-s}}", "5"),
    ("{{bounds.quota-overage}}", "0.1"),
    ("{{bounds.quota-tolerance}}", "20"),
];

/// Fills in a template and parses the settings.
fn render(name: &str) -> HostSettings {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/templates");
    let mut text = std::fs::read_to_string(folder.join(name)).unwrap();
    let seeds = "{{#seed-nodes}}\"{{.}}\"{{,}}{{/seed-nodes}}";
    assert!(text.contains(seeds));
    text = text.replace(seeds, "\"10.1.0.29:8462\",\"10.2.0.26:8462\"");
    for (field, value) in FIELDS {
        text = text.replace(field, value);
    }
    assert!(
        !text.contains("{{"),
        "{name}: a field is not filled in:\n{text}"
    );
    settings_file::parse(name, &text).unwrap()
}

#[test]
fn each_template_becomes_valid_settings() {
    let entry = render("entry.toml");
    assert!(entry.entry && !entry.control);
    let control = render("control.toml");
    assert!(control.control && !control.entry);
    assert!(control.listen.platform.is_some() && control.orders.address.is_some());
    for cfg in [entry, control] {
        assert_eq!(cfg.protocol, ProtocolKind::Platform);
        assert_eq!(cfg.seeds.len(), 2);
        assert!(cfg.raft.check().is_ok());
        assert!(
            cfg.spread.grace() < Duration::from_secs(5),
            "a host without confirmation accepts a withdrawn key for 5 s or longer"
        );
        assert_eq!(cfg.owner.drain_timeout, Duration::from_secs(7));
        assert!(
            cfg.spread.announce_lease < cfg.owner.drain_timeout,
            "an owner that hears nothing of a drain keeps the upstream for longer than the drain"
        );
    }
}

/// Guards against hosts that take the memory of a larger machine for theirs.
#[test]
fn each_role_is_told_the_memory_of_its_machine() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    let file: toml::Table = std::fs::read_to_string(path).unwrap().parse().unwrap();
    let roles = file["roles"].as_table().unwrap();
    assert_eq!(roles.len(), 2);
    for role in roles.values() {
        let run = role["run"].as_str().unwrap();
        assert!(run.ends_with(" --memory-mb {{limits.memory-mb}}"), "{run}");
    }
}
