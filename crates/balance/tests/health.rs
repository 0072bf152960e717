//! The share of its reads that a faulty instance gets.

use std::time::{Duration, Instant};

use balance::{BalanceSettings, Forwarder, Health, LoadReport, Sibling};
use model::{HostId, UpstreamId, WorkspaceId};

/// Time between two reads: 20 a second at one owner, as on the first deployment.
const GAP: Duration = Duration::from_millis(50);

/// Plays reads of some workspaces, of which every `nth` that runs fails; returns how many ran in
/// each second.
fn play(
    health: &mut Health,
    now: &mut Instant,
    secs: u64,
    nth: usize,
    workspaces: usize,
) -> Vec<usize> {
    let names: Vec<WorkspaceId> = (0..workspaces).map(|n| format!("w{n}").into()).collect();
    let mut ran = 0;
    let second = |_| {
        let before = ran;
        for read in 0..20 {
            *now += GAP;
            if !health.turns_away(*now) {
                ran += 1;
                let failed = nth > 0 && ran % nth == 0;
                health.record(*now, &names[read % workspaces], failed);
            }
        }
        ran - before
    };
    (0..secs).map(second).collect()
}

/// Guards against a faulty instance that is noticed late, gets no reads any more, or gets all of
/// them back at once.
#[test]
fn a_faulty_instance_keeps_a_small_share_and_gets_its_reads_back_in_steps() {
    let (mut health, mut now) = (Health::default(), Instant::now());
    let ill = play(&mut health, &mut now, 6, 3, 8);
    println!("reads of 20 a second that ran while every third failed: {ill:?}");
    assert!(ill[0] < 20 && ill[1..].iter().all(|ran| (1..=8).contains(ran)));
    let well = play(&mut health, &mut now, 6, 0, 8);
    println!("reads of 20 a second that ran after that: {well:?}");
    assert!(well[0] < 10 && well[5] == 20);
    assert!(well.is_sorted());
}

/// Guards against a workspace whose own reads always fail, and against single accidents: both would
/// take reads from a healthy instance.
#[test]
fn faults_of_one_workspace_or_rare_faults_lower_nothing() {
    let (mut health, mut now) = (Health::default(), Instant::now());
    assert_eq!(play(&mut health, &mut now, 2, 1, 1), [20; 2]);
    let (mut health, mut now) = (Health::default(), Instant::now());
    assert_eq!(play(&mut health, &mut now, 5, 11, 8), [20; 5]);
}

/// Guards against an ejection that overloads the rest of the service: siblings get no more than a
/// random choice would give them, and none while they are loaded.
#[test]
fn siblings_of_a_faulty_instance_get_no_more_than_their_share() {
    let names: [UpstreamId; 3] = ["i0", "i1", "i2"].map(Into::into);
    let owner: HostId = "h1".into();
    let owners = [&owner];
    let siblings = [1, 2].map(|i| Sibling {
        upstream: &names[i],
        owners: &owners,
        near: false,
    });
    let (cfg, now) = (BalanceSettings::default(), Instant::now());
    let idle = LoadReport::default();
    let mut forwarder = Forwarder::default();
    let mut forwarded = [0; 3];
    for _ in 0..300 {
        let choice = forwarder.choose_for_faulty(now, &cfg, &names[0], idle, &siblings);
        let to = choice.and_then(|choice| names.iter().position(|id| *id == choice.upstream));
        forwarded[to.unwrap_or(0)] += 1;
    }
    println!("kept, and forwarded to each sibling: {forwarded:?}");
    assert!(
        forwarded[1..]
            .iter()
            .all(|reads| (90..=100).contains(reads))
    );
    let loaded = LoadReport {
        running: 4,
        queued: 20,
        slots: 4,
        work: Duration::from_millis(288),
        behind: false,
    };
    for id in &names[1..] {
        forwarder.record(now, id, &owner, loaded);
    }
    for _ in 0..10 {
        let choice = forwarder.choose_for_faulty(now, &cfg, &names[0], idle, &siblings);
        assert_eq!(choice, None);
    }
}
