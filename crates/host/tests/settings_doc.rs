//! Checks that `docs/SETTINGS.md` and the code have the same settings, defaults and descriptions.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::collections::BTreeMap;

use host::HostSettings;
use host::settings::ControlHost;
use toml::Value;

const DOCUMENT: &str = include_str!("../../../docs/SETTINGS.md");
/// The source files that declare settings.
const SOURCES: [&str; 12] = [
    include_str!("../../budget/src/settings.rs"),
    include_str!("../src/settings.rs"),
    include_str!("../../decide/src/session.rs"),
    include_str!("../../decide/src/entry/budget.rs"),
    include_str!("../../decide/src/owner/settings.rs"),
    include_str!("../../decide/src/breaker.rs"),
    include_str!("../../decide/src/group/settings.rs"),
    include_str!("../../decide/src/raft/settings.rs"),
    include_str!("../../decide/src/spread/settings.rs"),
    include_str!("../../decide/src/grant.rs"),
    include_str!("../../room/src/settings.rs"),
    include_str!("../../balance/src/settings.rs"),
];

/// The row of an option in `docs/SETTINGS.md`.
struct Row<'a> {
    default: &'a str,
    kind: &'a str,
    description: &'a str,
}

/// Returns the rows of `docs/SETTINGS.md` by option.
fn documented() -> BTreeMap<&'static str, Row<'static>> {
    let mut rows = BTreeMap::new();
    for line in DOCUMENT.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let [option, default, kind, description] = cells[..] else {
            panic!("the row doesn't have four cells: {line}");
        };
        let row = Row {
            default: default.trim_matches('`'),
            kind,
            description,
        };
        let option = option.trim_matches('`');
        assert!(
            rows.insert(option, row).is_none(),
            "{option} is listed twice"
        );
    }
    rows
}

/// Collects the dotted path and the value of every option.
fn flatten(path: &str, value: &Value, into: &mut BTreeMap<String, String>) {
    let below = |key: &str| match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    };
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                flatten(&below(key), value, into);
            }
        }
        Value::Array(items) => {
            into.insert(path.to_owned(), value.to_string());
            for item in items {
                flatten(&format!("{path}[]"), item, into);
            }
        }
        _ => {
            into.insert(path.to_owned(), value.to_string());
        }
    }
}

/// Returns the value of each option by its dotted path.
fn options(cfg: &HostSettings) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    flatten("", &Value::try_from(cfg).unwrap(), &mut found);
    found
}

/// Returns settings in which every option without a default is set.
fn all_set() -> HostSettings {
    let mut cfg = HostSettings {
        data_dir: Some("data".into()),
        control_hosts: vec![ControlHost {
            host: "control-1".into(),
            peers: "127.0.0.1:1".parse().unwrap(),
        }],
        ..HostSettings::default()
    };
    cfg.budget.memory_mb = Some(112);
    cfg.log.file = Some("log".into());
    cfg.listen.platform = Some("127.0.0.1:2".parse().unwrap());
    cfg.orders.address = Some("127.0.0.1:3".parse().unwrap());
    cfg.grant.window = Some(std::time::Duration::from_secs(5));
    cfg.session.hedge_after = Some(std::time::Duration::from_millis(150));
    cfg.session.check_owner_after = Some(std::time::Duration::from_millis(100));
    cfg.group.ack_lease = Some(std::time::Duration::from_secs(2));
    cfg.spread.revoke_within = Some(std::time::Duration::from_secs(5));
    cfg
}

#[test]
fn every_option_is_documented_with_its_default() {
    let documented = documented();
    for (option, default) in options(&HostSettings::default()) {
        let row = documented.get(option.as_str());
        let row = row.unwrap_or_else(|| panic!("{option} is not documented"));
        assert_eq!(row.default, default, "{option}");
    }
    let with_default = options(&HostSettings::default());
    for option in options(&all_set()).keys() {
        let row = documented.get(option.as_str());
        let row = row.unwrap_or_else(|| panic!("{option} is not documented"));
        if !with_default.contains_key(option) {
            assert!(matches!(row.default, "none" | "required"), "{option}");
        }
    }
}

#[test]
fn every_documented_option_exists() {
    let options = options(&all_set());
    for (option, row) in documented() {
        assert!(options.contains_key(option), "{option} does not exist");
        assert!(!row.kind.is_empty(), "{option} has no type");
    }
}

#[test]
fn descriptions_are_the_first_sentences_of_the_doc_comments() {
    for (option, row) in documented() {
        let name = option.rsplit('.').next().unwrap();
        let declared = SOURCES.iter().any(|source| {
            source
                .split(&format!("    /// {}\n", row.description))
                .skip(1)
                .any(|rest| {
                    let mut lines = rest.lines().map(str::trim);
                    let field =
                        lines.find(|line| !line.starts_with("#[") && !line.starts_with("///"));
                    field.is_some_and(|line| line.starts_with(&format!("pub {name}: ")))
                })
        });
        assert!(declared, "{option}: no field has this description");
    }
}
