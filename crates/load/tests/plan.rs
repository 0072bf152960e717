//! Tests that the schedule depends on its seed alone and has the requested rates and shares.

use std::time::Duration;

use load::plan::{Arrival, Plan, PlanSettings, WorkspaceLoad};
use model::Kind;

/// How long requests arrive, in seconds.
const SECONDS: u64 = 100;

fn load(name: &str, rate_limit: f64, offered_rate: f64) -> WorkspaceLoad {
    WorkspaceLoad {
        workspace: name.into(),
        rate_limit,
        burst: rate_limit,
        offered_rate,
    }
}

fn settings(seed: u64) -> PlanSettings {
    PlanSettings {
        host_count: 5,
        first_host_share: None,
        services: vec!["a".into(), "b".into()],
        workspaces: vec![load("large", 40.0, 30.0), load("small", 20.0, 10.0)],
        duration: Duration::from_secs(SECONDS),
        seed,
        read_share: 0.8,
        max_age_share: 0.25,
        session_count: 20,
        move_chance: 0.1,
    }
}

fn arrivals(cfg: PlanSettings) -> Vec<Arrival> {
    Plan::new(cfg).collect()
}

#[test]
fn the_seed_alone_decides_the_schedule() {
    assert_eq!(arrivals(settings(1)), arrivals(settings(1)));
    assert_ne!(arrivals(settings(1)), arrivals(settings(2)));
}

#[test]
fn arrivals_are_in_order_and_as_many_as_offered() {
    let all = arrivals(settings(3));
    assert!(all.is_sorted_by_key(|arrival| arrival.scheduled_at));
    assert!(all.iter().enumerate().all(|(n, a)| a.id == n as u64));
    let share = |count: usize| count as f64 / all.len() as f64;
    assert!((3700..4300).contains(&all.len()), "{}", all.len());
    let large = all.iter().filter(|a| a.workspace_index == 0).count();
    assert!((0.72..0.78).contains(&share(large)));
    let reads = all.iter().filter(|a| a.kind == Kind::Read).count();
    assert!((0.77..0.83).contains(&share(reads)));
    let stated = all.iter().filter(|a| a.sets_max_age).count();
    assert!((0.17..0.23).contains(&share(stated)));
    let moves: Vec<_> = all.iter().filter_map(|a| a.host_move).collect();
    assert!((0.08..0.12).contains(&share(moves.len())));
    let kept = moves.iter().filter(|m| m.keep_session_token).count();
    assert!((0.4..0.6).contains(&(kept as f64 / moves.len() as f64)));
}

#[test]
fn a_loud_workspace_changes_no_arrival_of_others() {
    let mut loud = settings(4);
    loud.workspaces[0].offered_rate *= 10.0;
    let times = |cfg: PlanSettings| -> Vec<Duration> {
        let all = arrivals(cfg);
        let own = all.iter().filter(|a| a.workspace_index == 1);
        own.map(|a| a.scheduled_at).collect()
    };
    assert_eq!(times(settings(4)), times(loud));
}

#[test]
fn requests_over_rate_and_burst_are_marked() {
    let calm = arrivals(settings(5));
    assert!(calm.iter().all(|a| a.within_rate));
    let mut cfg = settings(5);
    cfg.workspaces[1].offered_rate = 200.0;
    let all = arrivals(cfg);
    let inside = all
        .iter()
        .filter(|a| a.workspace_index == 1 && a.within_rate)
        .count();
    let allowed = 20 * SECONDS as usize + 20;
    assert!((allowed - 2..=allowed).contains(&inside), "{inside}");
}

#[test]
fn a_skew_sends_its_share_of_sessions_to_the_first_host() {
    let mut cfg = settings(6);
    cfg.session_count = 1000;
    cfg.first_host_share = Some(0.6);
    let plan = Plan::new(cfg);
    let first = plan.sessions().iter().filter(|s| s.host_index == 0).count();
    assert!((600..760).contains(&first), "{first}");
}
