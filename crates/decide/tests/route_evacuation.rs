//! Where an entry host sends requests while a data centre is evacuated.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::sync::Arc;
use std::time::Duration;

use decide::relay::RelayMsg;
use decide::view::UpstreamView;
use decide::{Effect, Event};
use evac::InForce;
use model::config::ReadRule;
use model::{Config, Kind, Refusal, Verdict};
use traffic_harness::Harness;

const CLOSES_IN: Duration = Duration::from_secs(4);

/// Returns a logged-in harness in which `dc-1`, with the instance `i1`, has just been evacuated.
fn evacuated(others: &[&str]) -> Harness {
    let mut harness = Harness::new();
    let mut config = Config::clone(&harness.view.config);
    let route = config.routes.get_mut("pots").unwrap();
    route.reads = ReadRule::Bounded {
        max_age: Duration::from_secs(2),
    };
    harness.view.config = Arc::new(config);
    harness.publish_view();
    assert_eq!(harness.login("pots", ""), None);
    for name in others {
        let mut up = UpstreamView::clone(&harness.view.upstreams["i1"]);
        up.announcement.upstream = (*name).into();
        up.announcement.data_centre = "dc-2".into();
        harness.view.upstreams.insert((*name).into(), up);
        let service = harness.view.services.get_mut("ledger").unwrap();
        service.upstreams.push((*name).into());
    }
    harness.view.evacuations = Arc::new(InForce {
        version: 1,
        closes_at: [("dc-1".into(), harness.now + CLOSES_IN)].into(),
    });
    harness.publish_view();
    harness.take_msgs();
    harness
}

/// Sends a request and returns the instance that it goes to, and what the caller is told at once.
fn send(harness: &mut Harness, kind: Kind) -> (Option<String>, Option<Verdict>) {
    harness.request(|req| req.kind = kind);
    let answered = harness.effects.iter().find_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.verdict),
        _ => None,
    });
    let sent = harness.take_msgs();
    let sent = sent.into_iter().find_map(|msg| match msg {
        RelayMsg::Run(run) => Some(run.upstream.to_string()),
        _ => None,
    });
    (sent, answered)
}

#[test]
fn reads_leave_an_evacuated_data_centre_at_once_and_writes_once_it_is_closed() {
    let mut harness = evacuated(&["i2"]);
    for _ in 0..20 {
        assert_eq!(send(&mut harness, Kind::Read).0.unwrap(), "i2");
    }
    assert_eq!(send(&mut harness, Kind::Write).0.unwrap(), "i1");
    harness.now += CLOSES_IN;
    harness.handle(Event::Tick);
    harness.take_msgs();
    // A successor can still be promoted, so the write waits for it.
    assert_eq!(send(&mut harness, Kind::Write), (None, None));
    assert_eq!(send(&mut harness, Kind::Read).0.unwrap(), "i2");
    let service = harness.view.services.get_mut("ledger").unwrap();
    service.primary = Some((2, "i2".into()));
    harness.publish_view();
    harness.take_msgs();
    assert_eq!(send(&mut harness, Kind::Write).0.unwrap(), "i2");
}

/// Guards against requests that wait until their deadline for an instance that can't come.
#[test]
fn what_only_an_evacuated_data_centre_could_run_is_refused_at_once() {
    let mut harness = evacuated(&[]);
    assert_eq!(send(&mut harness, Kind::Write).0.unwrap(), "i1");
    harness.now += CLOSES_IN;
    harness.handle(Event::Tick);
    harness.take_msgs();
    for kind in [Kind::Write, Kind::Read] {
        let (sent, answered) = send(&mut harness, kind);
        assert_eq!(sent, None);
        assert_eq!(answered, Some(Verdict::NotRun(Refusal::NoUpstream)));
    }
    harness.view.evacuations = Arc::default();
    harness.publish_view();
    harness.take_msgs();
    assert_eq!(send(&mut harness, Kind::Write).0.unwrap(), "i1");
}
