//! Raft settings that are zero or contradict each other are rejected, and the error names the
//! setting.

use std::time::Duration;

use decide::raft::RaftSettings;

#[test]
fn defaults_fit() {
    assert_eq!(RaftSettings::default().check(), Ok(()));
}

#[test]
fn each_misfit_is_named() {
    type Change = fn(&mut RaftSettings);
    let cases: [(&str, Change); 8] = [
        ("heartbeat", |settings| settings.heartbeat = Duration::ZERO),
        ("election_min", |settings| {
            settings.election_min = settings.heartbeat
        }),
        ("election_max", |settings| {
            settings.election_max = settings.election_min
        }),
        ("call_retry", |settings| {
            settings.call_retry = Duration::ZERO
        }),
        ("call_timeout", |settings| {
            settings.call_timeout = Duration::ZERO
        }),
        ("snapshot_after", |settings| settings.snapshot_after = 0),
        ("batch", |settings| settings.batch = 0),
        ("patch_changes", |settings| settings.patch_changes = 0),
    ];
    for (name, change) in cases {
        let mut settings = RaftSettings::default();
        change(&mut settings);
        assert_eq!(settings.check().unwrap_err().name, name);
    }
}
