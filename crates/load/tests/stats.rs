//! Tests that the statistics and the report find the longest write gap, every broken promise that
//! the test puts in, and no other.

use std::time::Duration;

use load::ledger::Mismatch;
use load::outcome::{Complaint, FinishedRequest, Outcome};
use load::plan::{Arrival, HostMove, Plan, PlanSettings, WorkspaceLoad};
use load::report::{ReadCounts, Report};
use load::session::{SessionEffect, SessionModel, deposit_id};
use load::stats::{Event, RunStats};
use load::write_gap::longest_write_gap;
use model::Kind;

/// Name of the run.
const RUN: &str = "t";

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Returns a plan of one workspace with a rate and burst of 10, and one service.
fn plan() -> Plan {
    Plan::new(PlanSettings {
        host_count: 2,
        first_host_share: None,
        services: vec!["a".into()],
        workspaces: vec![WorkspaceLoad {
            workspace: "w".into(),
            rate_limit: 10.0,
            burst: 10.0,
            offered_rate: 1.0,
        }],
        duration: seconds(10),
        seed: 1,
        read_share: 0.0,
        max_age_share: 0.0,
        session_count: 1,
        move_chance: 0.0,
    })
}

/// Returns an arrival that is due at as many seconds as its id says.
fn arrival(id: u64, kind: Kind) -> Arrival {
    Arrival {
        id,
        scheduled_at: seconds(id),
        workspace_index: 0,
        session_index: 0,
        kind,
        sets_max_age: false,
        host_move: None,
        within_rate: true,
    }
}

fn not_run() -> Outcome {
    Outcome::from_db_error("53400", Some("not run"))
}

fn unknown() -> Outcome {
    Outcome::from_db_error("08007", Some("may have run"))
}

/// Returns the statistics of one deposit for each outcome, each answered a second after it arrived.
fn stats_of(outcomes: &[Outcome]) -> RunStats {
    let mut stats = RunStats::new(RUN, &plan());
    for (nth, outcome) in outcomes.iter().enumerate() {
        let arrival = arrival(nth as u64, Kind::Write);
        stats.reduce(Event::Arrived(arrival.clone()));
        stats.reduce(Event::Finished(FinishedRequest {
            answered_at: arrival.scheduled_at + seconds(1),
            arrival,
            outcome: outcome.clone(),
            complaint: None,
        }));
    }
    stats
}

/// Reads back a ledger that holds the deposits of these arrivals, and returns the mismatches.
fn read_back(stats: &mut RunStats, ledger: &[u64]) -> Vec<Mismatch> {
    let id = |nth: &u64| deposit_id(RUN, &arrival(*nth, Kind::Write));
    let deposit_ids = ledger.iter().map(id).collect();
    stats.reduce(Event::ReadBack {
        service_index: 0,
        deposit_ids,
    });
    stats.mismatches.clone()
}

const RAN: Outcome = Outcome::Ran {
    deposits_seen: None,
};

#[test]
fn what_callers_were_told_and_the_ledger_agree() {
    for held in [vec![0], vec![0, 2]] {
        let mut stats = stats_of(&[RAN, not_run(), unknown()]);
        assert_eq!(read_back(&mut stats, &held), []);
        assert_eq!(stats.verdict_counts(), [1, 1, 1]);
        assert_eq!(stats.not_read_back(), Vec::<model::ServiceId>::new());
    }
}

#[test]
fn each_kind_of_wrong_deposit_is_found() {
    let mut stats = stats_of(&[RAN, RAN, not_run(), unknown()]);
    let mut found = read_back(&mut stats, &[1, 1, 2, 3, 3]);
    found.sort_by_key(|mismatch| format!("{mismatch:?}"));
    let service: model::ServiceId = "a".into();
    let deposit = |nth: u64| deposit_id(RUN, &arrival(nth, Kind::Write));
    let doubled = |nth| Mismatch::Doubled {
        service: service.clone(),
        deposit: deposit(nth),
        times: 2,
    };
    let lost = Mismatch::Lost {
        service: service.clone(),
        deposit: deposit(0),
    };
    let after_all = Mismatch::RanAfterAll {
        service: service.clone(),
        deposit: deposit(2),
    };
    assert_eq!(found, [doubled(1), doubled(3), lost, after_all]);
}

#[test]
fn a_deposit_without_an_answer_may_have_run_once() {
    for (held, broken) in [(vec![], 0), (vec![0], 0), (vec![0, 0], 1)] {
        let mut stats = RunStats::new(RUN, &plan());
        stats.reduce(Event::Arrived(arrival(0, Kind::Write)));
        assert_eq!(read_back(&mut stats, &held).len(), broken);
    }
}

#[test]
fn an_error_that_ends_a_connection_leaves_the_outcome_open() {
    let may_have_run =
        |code: &str| matches!(Outcome::from_db_error(code, None), Outcome::MayHaveRun(_));
    assert!(may_have_run("57P01"));
    assert!(may_have_run("08006"));
    assert!(!may_have_run("23505"));
}

#[test]
fn the_gap_runs_from_the_first_waiting_write_to_the_next_acknowledged() {
    let offered = [1, 2, 5, 6, 20].map(seconds);
    let acknowledged = [1, 2, 9, 20].map(seconds);
    let gap = longest_write_gap(&offered, &acknowledged, seconds(21));
    assert_eq!((gap.from, gap.to), (seconds(5), seconds(9)));
    let quiet = longest_write_gap(&[seconds(1)], &[seconds(1)], seconds(60));
    assert_eq!(quiet.length(), Duration::ZERO);
    let never = longest_write_gap(&[seconds(1), seconds(3)], &[], seconds(10));
    assert_eq!(never.length(), seconds(9));
}

#[test]
fn the_report_counts_refusals_inside_the_rate_and_latency_from_arrival() {
    let stats = stats_of(&[RAN, RAN, not_run(), unknown()]);
    let counts = ReadCounts {
        replicas: 3,
        primaries: 1,
    };
    let report = Report::new(&stats, 1, seconds(10), Some(counts));
    assert_eq!(report.refused_inside_rate, 1);
    assert_eq!(report.replica_reads, Some(0.75));
    let worst = report.worst_workspace.unwrap();
    assert_eq!(worst.served_share, 0.5);
    assert_eq!(worst.latency.count, 2);
    assert!((999.0..1002.0).contains(&worst.latency.p50));
    // The last acknowledgement is at 2 s, and the next write after it arrives at 3 s.
    assert_eq!(report.failover_gap, 7.0);
}

#[test]
fn what_runs_beyond_rate_and_burst_is_found() {
    let beyond = |count: usize| {
        let mut stats = RunStats::new(RUN, &plan());
        for nth in 0..count {
            let mut arrival = arrival(nth as u64, Kind::Read);
            arrival.scheduled_at = Duration::ZERO;
            stats.reduce(Event::Arrived(arrival.clone()));
            stats.reduce(Event::Finished(FinishedRequest {
                answered_at: seconds(1),
                arrival,
                outcome: RAN,
                complaint: None,
            }));
        }
        let report = Report::new(&stats, 1, seconds(5), None);
        (report.ran_over_rate, report.violations())
    };
    // A burst of 10, and 10 a second for 5 s.
    assert_eq!(beyond(60), (0, 0));
    assert_eq!(beyond(63), (3, 1));
}

#[test]
fn a_session_must_see_its_acknowledged_deposits() {
    let mut session = SessionModel::new(RUN, 0, 0, 2);
    session.on_outcome(&arrival(0, Kind::Write), &RAN);
    session.on_outcome(&arrival(1, Kind::Write), &unknown());
    let read = arrival(2, Kind::Read);
    let seen = |count| Outcome::Ran {
        deposits_seen: Some(count),
    };
    assert_eq!(session.on_outcome(&read, &seen(1)), None);
    assert_eq!(session.on_outcome(&read, &seen(2)), None);
    let wrong = |seen| {
        Some(Complaint {
            seen,
            least: 1,
            most: 2,
            stated_age: false,
        })
    };
    assert_eq!(session.on_outcome(&read, &seen(0)), wrong(0));
    assert_eq!(session.on_outcome(&read, &seen(3)), wrong(3));
}

#[test]
fn only_a_stated_age_without_a_position_excuses_old_data() {
    let mut session = SessionModel::new(RUN, 0, 0, 2);
    session.on_outcome(&arrival(0, Kind::Write), &RAN);
    let mut old = arrival(1, Kind::Read);
    old.sets_max_age = true;
    let none = Outcome::Ran {
        deposits_seen: Some(0),
    };
    assert!(session.on_outcome(&old, &none).is_some());
    let mut leaves = arrival(2, Kind::Read);
    leaves.host_move = Some(HostMove {
        host_index: 1,
        keep_session_token: false,
    });
    let effects = session.on_arrival(&leaves);
    assert_eq!(
        effects[0],
        SessionEffect::Disconnect {
            keep_session_token: false
        }
    );
    assert_eq!(effects[1], SessionEffect::Connect { host_index: 1 });
    assert_eq!(session.on_outcome(&old, &none), None);
    assert!(session.on_outcome(&leaves, &none).is_some());
}
