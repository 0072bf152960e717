//! What is logged stays one bounded line for each event.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use host::settings::LogSettings;

/// Guards against texts from outside that write log lines of their own.
#[test]
fn a_text_with_line_ends_stays_within_its_log_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let cfg = LogSettings {
        file: Some(path.clone()),
        ..LogSettings::default()
    };
    let thread = host::logs::start(&cfg).unwrap();
    let odd = "a\nb\rc\u{2028}d\u{85}e\0\u{1b}[1m";
    log::warn!("event=0 odd error={odd}");
    log::warn!("event=0 long error={}", "ä".repeat(1 << 20));
    drop(thread);
    let log = std::fs::read_to_string(&path).unwrap();
    let lines: Vec<_> = log.split('\n').collect();
    let [odd, long, ""] = lines[..] else {
        panic!("{} lines", lines.len());
    };
    let escaped = r"error=a\nb\rc\u{2028}d\u{85}e\u{0}\u{1b}[1m";
    assert!(odd.ends_with(escaped), "{odd}");
    assert!(
        long.len() < 5000 && long.ends_with("ä..."),
        "{}",
        long.len()
    );
}
