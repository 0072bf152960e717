//! Reads that an owner forwards to an owner of a sibling instance.
//!
//! An owner is a host that holds pooled connections to an instance; an entry host serves callers.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::sync::Arc;
use std::time::Duration;

use balance::LoadReport;
use bytes::Bytes;
use decide::owner::CapacitySource;
use decide::relay::{Bounce, RelayMsg, RunRequest};
use decide::state::PartRole;
use decide::traffic::TrafficPart;
use decide::{Event, Msg, PartState, Settings};
use model::config::ReadRule;
use model::{Kind, PartAddr, Position, Request};
use traffic_harness::{
    Harness, advance, answer_and_count, config, first_run, host, take_addressed_msgs,
    two_owner_harness,
};

const IDLE: LoadReport = LoadReport {
    running: 0,
    queued: 0,
    slots: 4,
    work: Duration::ZERO,
    behind: false,
};

fn part(name: &str) -> PartAddr {
    PartAddr {
        host: name.into(),
        part: 1,
    }
}

fn receive(harness: &mut Harness, from: &str, msg: RelayMsg) -> Vec<(PartAddr, RelayMsg)> {
    harness.effects.clear();
    let (from, msg) = (part(from), Msg::Relay(msg));
    harness.handle(Event::Peer { from, msg });
    take_addressed_msgs(harness)
}

fn report(harness: &mut Harness, from: &str, report: LoadReport) -> Vec<(PartAddr, RelayMsg)> {
    let upstream = "i2".into();
    receive(harness, from, RelayMsg::Load { upstream, report })
}

fn read(id: u64) -> RunRequest {
    RunRequest {
        id,
        session: 1,
        upstream: "i1".into(),
        pin: None,
        req: Request {
            access: None,
            label: "-".into(),
            workspace: "anna".into(),
            service: "ledger".into(),
            kind: Kind::Read,
            in_transaction: false,
            continues_transaction: false,
            rolls_back: false,
            read_only_transaction: false,
            priority: 0,
            repeatable: true,
            may_be_given_up: false,
            timeout: Duration::from_millis(800),
            max_age: Some(Duration::from_millis(1500)),
            floor: Some(Position { term: 1, offset: 9 }),
            payload: Bytes::new(),
        },
    }
}

/// Returns the part of `h1`, which owns the primary `i1` and has 60 reads queued for it; `h2` and
/// `h3` own the replica `i2`.
fn loaded_owner(forward_reads: bool) -> Harness {
    let mut settings = Settings::default();
    settings.balance.forward_reads = forward_reads;
    settings.owner.capacity = CapacitySource::Announced;
    let mut harness = Harness::new();
    let role = PartRole::Traffic(Box::new(TrafficPart::new(&settings)));
    harness.state = PartState::new(host("h1"), 1, settings, 1, role);
    let view = &mut harness.view;
    view.hosts.insert("h3".into(), host("h3"));
    let mut up = view.upstreams["i1"].clone();
    up.announcement.upstream = "i2".into();
    up.owners = vec!["h2".into(), "h3".into()];
    view.upstreams.insert("i2".into(), up);
    view.upstreams.get_mut("i1").unwrap().owners = vec!["h1".into()];
    let service = view.services.get_mut("ledger").unwrap();
    service.upstreams = vec!["i1".into(), "i2".into()];
    harness.publish_view();
    for id in 1..=60 {
        receive(&mut harness, "e1", RelayMsg::Run(Box::new(read(id))));
    }
    harness
}

fn run_with(harness: &mut Harness, change: impl FnOnce(&mut RunRequest)) -> bool {
    let mut run = read(100);
    change(&mut run);
    let sent = receive(harness, "e1", RelayMsg::Run(Box::new(run)));
    let is_forward = |(_, msg): &(PartAddr, RelayMsg)| matches!(msg, RelayMsg::Forward(_));
    sent.iter().any(is_forward)
}

/// Guards against reads that wait for one instance while a sibling is idle, against a lost floor or
/// maximum age, and against an entry host that does not know who has its read.
#[test]
fn a_loaded_owner_forwards_a_read_once_with_its_bounds() {
    let mut owner = loaded_owner(true);
    report(&mut owner, "h2", IDLE);
    report(&mut owner, "h3", IDLE);
    let sent = receive(&mut owner, "e1", RelayMsg::Run(Box::new(read(70))));
    let [(to, RelayMsg::Forward(read_sent)), (told, notice)] = &sent[..] else {
        panic!("{sent:?}");
    };
    assert!(*to == part("h2") || *to == part("h3"));
    assert_eq!((&read_sent.origin, told), (&part("e1"), &part("e1")));
    let mut expected = read(70);
    expected.upstream = "i2".into();
    assert_eq!(read_sent.run, expected);
    let RelayMsg::Forwarded { id, owner: has, .. } = notice else {
        panic!("{notice:?}");
    };
    assert_eq!((*id, has), (70, to));
    // A forwarded read that reaches a loaded owner stays there.
    let mut again = read_sent.clone();
    again.run = read(71);
    let sent = receive(&mut owner, "h2", RelayMsg::Forward(again));
    assert!(
        !sent.iter().any(|(_, m)| matches!(m, RelayMsg::Forward(_))),
        "{sent:?}"
    );
}

/// Guards against forwarding what needs the primary, a transaction's owner or one run only.
#[test]
fn only_repeatable_single_reads_with_bounds_are_forwarded() {
    let mut owner = loaded_owner(true);
    report(&mut owner, "h2", IDLE);
    report(&mut owner, "h3", IDLE);
    assert!(!run_with(&mut owner, |run| run.req.kind = Kind::Write));
    assert!(!run_with(&mut owner, |run| run.req.in_transaction = true));
    assert!(!run_with(&mut owner, |run| run.req.repeatable = false));
    assert!(!run_with(&mut owner, |run| {
        run.req.floor = None;
        run.req.max_age = None;
    }));
    assert!(run_with(&mut owner, |_| {}));
}

/// Guards against a choice by reports that are missing or too old, and against a sibling that is
/// loaded too.
#[test]
fn a_sibling_without_recent_reports_of_spare_capacity_gets_nothing() {
    let mut owner = loaded_owner(true);
    assert!(!run_with(&mut owner, |_| {}));
    report(&mut owner, "h2", IDLE);
    assert!(
        !run_with(&mut owner, |_| {}),
        "the other owner's load is unknown"
    );
    let busy = LoadReport {
        queued: 60,
        work: Duration::from_millis(60),
        ..IDLE
    };
    report(&mut owner, "h3", busy);
    assert!(!run_with(&mut owner, |_| {}));
    report(&mut owner, "h3", IDLE);
    assert!(run_with(&mut owner, |_| {}));
    // Reads that a replica is behind for come to the primary, and would only come back to it.
    let behind = LoadReport {
        behind: true,
        ..IDLE
    };
    report(&mut owner, "h2", behind);
    assert!(!run_with(&mut owner, |_| {}));
    report(&mut owner, "h2", IDLE);
    assert!(run_with(&mut owner, |_| {}));
    owner.now += Duration::from_millis(301);
    assert!(!run_with(&mut owner, |_| {}));
}

/// Guards against an owner that draws all reads by reports of no load.
#[test]
fn a_sibling_gets_no_more_than_the_share_of_a_random_choice() {
    let mut owner = loaded_owner(true);
    let mut forwarded = 0;
    for _ in 0..200 {
        report(&mut owner, "h2", IDLE);
        report(&mut owner, "h3", IDLE);
        forwarded += u32::from(run_with(&mut owner, |_| {}));
    }
    // Half of the reads, and the credit of the 60 before.
    assert!((90..=108).contains(&forwarded), "{forwarded} of 200");
}

/// Guards against messages that a host of an earlier version can't read, and against reports at a
/// higher rate than the links carry.
#[test]
fn loads_are_reported_at_a_bounded_rate_and_only_if_it_is_switched_on() {
    let busy = LoadReport { queued: 9, ..IDLE };
    let is_load = |(_, msg): &&(PartAddr, RelayMsg)| matches!(msg, RelayMsg::Load { .. });
    let mut off = loaded_owner(false);
    off.now += Duration::from_millis(100);
    assert_eq!(
        report(&mut off, "h2", busy).iter().filter(is_load).count(),
        0
    );
    assert!(!run_with(&mut off, |_| {}));
    let mut on = loaded_owner(true);
    on.now += Duration::from_millis(100);
    assert_eq!(
        report(&mut on, "h2", busy).iter().filter(is_load).count(),
        2
    );
    assert_eq!(
        report(&mut on, "h2", busy).iter().filter(is_load).count(),
        0
    );
}

/// Guards against reads that are lost with the link to the owner that they were forwarded to.
#[test]
fn a_read_that_may_not_have_arrived_goes_back_to_its_entry_host() {
    let mut owner = loaded_owner(true);
    report(&mut owner, "h2", IDLE);
    report(&mut owner, "h3", IDLE);
    let sent = receive(&mut owner, "e1", RelayMsg::Run(Box::new(read(70))));
    let (to, forward) = sent[0].clone();
    owner.handle(Event::LinkDown(to.host.clone()));
    let bounce = |why| (part("e1"), RelayMsg::Bounce { id: 70, why });
    let sent = take_addressed_msgs(&mut owner);
    assert!(sent.contains(&bounce(Bounce::Unproved)), "{sent:?}");
    let msg = Msg::Relay(forward);
    owner.handle(Event::Undelivered { to, msg });
    let sent = take_addressed_msgs(&mut owner);
    assert!(sent.contains(&bounce(Bounce::Unavailable)), "{sent:?}");
}

/// Returns an entry host whose read was sent to the first owner and forwarded to `h9`.
fn entry_with_forwarded_read() -> (Harness, PartAddr, RunRequest) {
    let mut entry = two_owner_harness(Settings::default());
    entry.view.hosts.insert("h9".into(), host("h9"));
    entry.publish_view();
    entry.request(|req| req.repeatable = true);
    let (first, run) = first_run(&take_addressed_msgs(&mut entry));
    let notice = RelayMsg::Forwarded {
        id: run.id,
        upstream: "i2".into(),
        owner: part("h9"),
    };
    assert_eq!(receive(&mut entry, &first.host, notice), []);
    (entry, first, run)
}

/// Guards against a caller that waits for its deadline after the loss of either owner.
#[test]
fn the_loss_of_either_owner_sends_a_forwarded_read_elsewhere() {
    for lose_first in [true, false] {
        let (mut entry, first, run) = entry_with_forwarded_read();
        let lost = if lose_first { first.host } else { "h9".into() };
        entry.handle(Event::LinkDown(lost));
        let (second, again) = first_run(&take_addressed_msgs(&mut entry));
        assert_ne!(again.id, run.id);
        assert_eq!(answer_and_count(&mut entry, &(second, again)), 1);
        assert_eq!(
            answer_and_count(&mut entry, &(part("h9"), run)),
            1,
            "answered twice"
        );
    }
}

/// Guards against a cancellation or a check that goes to an owner that has the read no more.
#[test]
fn a_forwarded_read_is_cancelled_and_checked_where_it_is() {
    let (mut entry, _, run) = entry_with_forwarded_read();
    let session = traffic_harness::SESSION;
    entry.handle(Event::Caller(decide::caller::CallerEvent::Closed {
        session,
    }));
    let sent = take_addressed_msgs(&mut entry);
    assert!(
        sent.contains(&(part("h9"), RelayMsg::Cancel { id: run.id })),
        "{sent:?}"
    );
    let mut settings = Settings::default();
    settings.session.check_owner_after = Some(Duration::from_millis(50));
    let mut entry = two_owner_harness(settings);
    entry.view.hosts.insert("h9".into(), host("h9"));
    entry.publish_view();
    entry.request(|req| req.repeatable = true);
    let (first, run) = first_run(&take_addressed_msgs(&mut entry));
    let (id, upstream, owner) = (run.id, "i2".into(), part("h9"));
    let notice = RelayMsg::Forwarded {
        id,
        upstream,
        owner,
    };
    receive(&mut entry, &first.host, notice);
    let checked = advance(&mut entry, Duration::from_millis(50));
    assert!(
        checked.iter().any(|(to, _)| *to == part("h9")),
        "{checked:?}"
    );
    advance(&mut entry, Duration::from_millis(49));
    let sent = advance(&mut entry, Duration::from_millis(51));
    let (second, again) = first_run(&sent);
    assert!(second != part("h9") && again.id != run.id, "{sent:?}");
    assert_eq!(answer_and_count(&mut entry, &(second, again)), 1);
}

/// Guards against blame for an owner that has forwarded a read, when the bounce of the other owner
/// arrives before the notice.
#[test]
fn a_bounce_of_another_owner_is_not_held_against_the_first() {
    let mut entry = two_owner_harness(Settings::default());
    entry.request(|req| req.repeatable = true);
    let (first, run) = first_run(&take_addressed_msgs(&mut entry));
    let (id, why) = (run.id, Bounce::Unavailable);
    let sent = receive(&mut entry, "h9", RelayMsg::Bounce { id, why });
    assert_eq!(answer_and_count(&mut entry, &first_run(&sent)), 1);
    let mut owners = Vec::new();
    for _ in 0..20 {
        entry.effects.clear();
        entry.request(|req| req.repeatable = true);
        let next = first_run(&take_addressed_msgs(&mut entry));
        answer_and_count(&mut entry, &next);
        owners.push(next.0);
    }
    assert!(owners.contains(&first), "the first owner is avoided");
}

/// Guards against reads that go on to a loaded upstream, each of which has to be forwarded, and
/// against a loaded one that gets nothing after its load has passed.
#[test]
fn an_upstream_that_forwards_is_avoided_for_a_while() {
    let mut entry = two_owner_harness(Settings::default());
    let mut up = entry.view.upstreams["i1"].clone();
    up.announcement.upstream = "i2".into();
    entry.view.upstreams.insert("i2".into(), up);
    let service = entry.view.services.get_mut("ledger").unwrap();
    service.upstreams = vec!["i1".into(), "i2".into()];
    let mut cfg = config(2);
    let max_age = Duration::from_millis(1500);
    cfg.routes.get_mut("pots").unwrap().reads = ReadRule::Bounded { max_age };
    entry.view.config = Arc::new(cfg);
    entry.publish_view();
    let next = |entry: &mut Harness| {
        entry.effects.clear();
        entry.request(|req| req.repeatable = true);
        first_run(&take_addressed_msgs(entry))
    };
    let (first, run) = next(&mut entry);
    assert_eq!(&*run.upstream, "i2", "the replica comes first");
    let (id, upstream, owner) = (run.id, "i1".into(), part("h3"));
    let notice = RelayMsg::Forwarded {
        id,
        upstream,
        owner,
    };
    receive(&mut entry, &first.host, notice);
    for _ in 0..20 {
        assert_eq!(&*next(&mut entry).1.upstream, "i1");
    }
    entry.now += Duration::from_secs(3);
    assert_eq!(&*next(&mut entry).1.upstream, "i2");
}
