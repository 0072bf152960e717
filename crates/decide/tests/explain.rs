//! Where a host says that it would send a request, without sending it.
//!
//! The explanation is worth something only if it names what the next request really meets, and if
//! asking for it changes nothing.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

mod traffic_harness;

use std::sync::Arc;
use std::time::{Duration, Instant};

use decide::call::{Call, Reply};
use decide::control::ControlPart;
use decide::entry::explanation::{ExplainRequest, Explanation, LeftOut, Outcome, RateDecision};
use decide::grant::{PartTokenGrant, WorkspaceTokens};
use decide::relay::{Bounce, RelayMsg};
use decide::session::SessionLogEvent;
use decide::spread::Fact;
use decide::state::PartRole;
use decide::traffic::TrafficPart;
use decide::{Effect, Event, LogEvent, Msg, PartState, Settings, reduce};
use evac::InForce;
use model::config::ReadRule;
use model::{Announcement, CONTROL_PART, Config, Kind, PartAddr, Refusal, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use traffic_harness::{Harness, advance, host};

const CALL: u64 = 9;
/// How often each seeded test lets a fault happen and compares.
const ROUNDS: u32 = 400;
/// The time for which an upstream that was behind gets no reads.
const BEHIND_MS: f64 = 20.0;
/// The time for which an owner that could not run a request gets none.
const UNAVAILABLE_MS: f64 = 250.0;

/// Returns a logged-in harness with the replicas `i2` in the host's data centre, and `i3` and `i4`
/// in another; each instance has two of the owners `h2` to `h4`.
fn harness(settings: Settings) -> Harness {
    let mut harness = Harness::new();
    let traffic = TrafficPart::new(&settings);
    let part = PartRole::Traffic(Box::new(traffic));
    harness.state = PartState::new(host("h1"), 1, settings, 1, part);
    for name in ["h3", "h4"] {
        harness.view.hosts.insert(name.into(), host(name));
    }
    for (name, data_centre, owners) in [
        ("i2", "dc-1", ["h2", "h3"]),
        ("i3", "dc-2", ["h3", "h4"]),
        ("i4", "dc-2", ["h4", "h2"]),
    ] {
        let mut up = harness.view.upstreams["i1"].clone();
        up.announcement.upstream = name.into();
        up.announcement.data_centre = data_centre.into();
        up.owners = owners.map(Into::into).to_vec();
        harness.view.upstreams.insert(name.into(), up);
        let service = harness.view.services.get_mut("ledger").unwrap();
        service.upstreams.push(name.into());
    }
    set_reads(&mut harness, true);
    assert_eq!(harness.login("pots", ""), None);
    harness
}

/// Lets reads on the route see old data, or only the newest.
fn set_reads(harness: &mut Harness, old: bool) {
    let mut config = Config::clone(&harness.view.config);
    config.routes.get_mut("pots").unwrap().reads = match old {
        true => ReadRule::Bounded {
            max_age: Duration::from_secs(2),
        },
        false => ReadRule::Newest,
    };
    harness.view.config = Arc::new(config);
    harness.publish_view();
    harness.effects.clear();
}

/// Returns the question for a request of the harness's session.
fn on_route(kind: Kind) -> ExplainRequest {
    ExplainRequest {
        service: "".into(),
        kind,
        in_transaction: false,
        read_only_transaction: false,
        workspace: None,
        route: Some("pots".into()),
        max_age: None,
        floor: None,
        part: None,
    }
}

/// Returns the question for a read of old data by a caller with a key of the workspace `anna`.
fn with_key() -> ExplainRequest {
    ExplainRequest {
        workspace: Some("anna".into()),
        ..on_route(Kind::Read)
    }
}

/// Asks the traffic part, which must do nothing but answer the control part.
fn explain(harness: &mut Harness, request: ExplainRequest) -> Explanation {
    harness.effects.clear();
    let call = Call::Explain(request);
    harness.handle(Event::Call { id: CALL, call });
    let effect = harness.effects.pop().unwrap();
    assert!(harness.effects.is_empty(), "{:?}", harness.effects);
    let Effect::ForwardEvent { part, event } = effect else {
        panic!("no answer: {effect:?}");
    };
    let Event::Explained { id, explanation } = *event else {
        panic!("no explanation: {event:?}");
    };
    assert_eq!((part, id), (CONTROL_PART, CALL));
    *explanation
}

/// What came of a request at once, as event 100 or 101 or the caller's answer says.
#[derive(Debug, PartialEq, Eq)]
enum Result {
    Sent(String, String, String),
    Parked(Refusal),
    Refused(Refusal),
}

impl Result {
    fn explained(explanation: &Explanation) -> Self {
        match (explanation.outcome, &explanation.target) {
            (Outcome::Sent, Some(target)) => Self::Sent(
                target.upstream.clone(),
                target.owner.clone(),
                target.reason.clone(),
            ),
            (Outcome::Parked, None) => Self::Parked(explanation.refusal.unwrap()),
            (Outcome::Refused, None) => Self::Refused(explanation.refusal.unwrap()),
            other => panic!("unexpected: {other:?}"),
        }
    }

    fn seen(effects: &[Effect]) -> Self {
        let result = effects.iter().find_map(|effect| match effect {
            Effect::Log(LogEvent::Session(SessionLogEvent::Routed {
                upstream,
                owner,
                reason,
                ..
            })) => Some(Self::Sent(
                upstream.to_string(),
                owner.to_string(),
                (*reason).to_owned(),
            )),
            Effect::Log(LogEvent::Session(SessionLogEvent::Parked { refusal, .. })) => {
                Some(Self::Parked(*refusal))
            }
            Effect::Answer { answer, .. } => match answer.verdict {
                Verdict::NotRun(refusal) => Some(Self::Refused(refusal)),
                other => panic!("unexpected verdict {other:?}"),
            },
            _ => None,
        });
        result.unwrap()
    }
}

/// Answers the request that was sent last by a bounce from its owner.
fn bounce(harness: &mut Harness, why: Bounce) {
    let run = harness
        .effects
        .iter()
        .rev()
        .find_map(|effect| match effect {
            Effect::Send {
                to,
                msg: Msg::Relay(RelayMsg::Run(run)),
            } if !run.upstream.is_empty() => Some((to.clone(), run.id)),
            _ => None,
        });
    if let Some((from, id)) = run {
        let msg = Msg::Relay(RelayMsg::Bounce { id, why });
        harness.handle(Event::Peer { from, msg });
    }
}

/// Lets something happen that changes where requests go.
fn disturb(harness: &mut Harness, rng: &mut SmallRng) {
    let instance = format!("i{}", rng.random_range(1..=4));
    let owner = format!("h{}", rng.random_range(2..=4));
    match rng.random_range(0..9) {
        0 => {
            let up = harness.view.upstreams.get_mut(&*instance).unwrap();
            up.announcement.draining ^= true;
        }
        1 => {
            if harness.view.hosts.remove(&*owner).is_none() {
                harness.view.hosts.insert((&*owner).into(), host(&owner));
            }
        }
        2 => {
            let closes_at = harness.now + Duration::from_millis(rng.random_range(0..100));
            let evacuated = ["dc-1", "dc-2"].map(|name| (name, rng.random_bool(0.4)));
            let evacuated = evacuated.into_iter().filter(|(_, evacuated)| *evacuated);
            harness.view.evacuations = Arc::new(InForce {
                version: 1,
                closes_at: evacuated
                    .map(|(name, _)| (name.into(), closes_at))
                    .collect(),
            });
        }
        3 => {
            let service = harness.view.services.get_mut("ledger").unwrap();
            let term = service.primary.as_ref().map_or(1, |(term, _)| term + 1);
            let known = rng.random_bool(0.8);
            service.primary = known.then(|| (term, instance.as_str().into()));
        }
        4 => return set_reads(harness, rng.random_bool(0.7)),
        5 => bounce(harness, Bounce::Behind),
        6 => bounce(harness, Bounce::Unavailable),
        7 => {
            // Any message shows that an owner is not silent.
            let from = PartAddr {
                host: owner.as_str().into(),
                part: 1,
            };
            let (id, why) = (u64::MAX, Bounce::NotOwner);
            let msg = Msg::Relay(RelayMsg::Bounce { id, why });
            harness.handle(Event::Peer { from, msg });
        }
        _ => {
            let time = Duration::from_millis(rng.random_range(1..60));
            advance(harness, time);
        }
    }
    harness.publish_view();
}

/// Guards against an explanation that follows other rules than the requests that are served, as a
/// second version of the decision would once one of the two is changed.
#[test]
fn the_next_request_goes_where_the_explanation_says() {
    let mut outcomes = [0; 3];
    for seed in 1..=20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut settings = Settings::default();
        settings.session.check_owner_after = Some(Duration::from_millis(30));
        settings.session.hedge_after = Some(Duration::from_millis(20));
        let mut harness = harness(settings);
        for round in 0..ROUNDS {
            disturb(&mut harness, &mut rng);
            let kind = match rng.random_bool(0.7) {
                true => Kind::Read,
                false => Kind::Write,
            };
            let in_transaction = rng.random_bool(0.2);
            let read_only_transaction = in_transaction && rng.random_bool(0.5);
            let explanation = explain(
                &mut harness,
                ExplainRequest {
                    in_transaction,
                    read_only_transaction,
                    ..on_route(kind)
                },
            );
            harness.request(|req| {
                req.kind = kind;
                req.in_transaction = in_transaction;
                req.read_only_transaction = read_only_transaction;
                req.repeatable = kind == Kind::Read && !in_transaction;
            });
            let seen = Result::seen(&harness.effects);
            let said = Result::explained(&explanation);
            assert_eq!(said, seen, "seed {seed}, round {round}: {explanation:?}");
            outcomes[match seen {
                Result::Sent(..) => 0,
                Result::Parked(_) => 1,
                Result::Refused(_) => 2,
            }] += 1;
            for up in &explanation.upstreams {
                let chosen = explanation.target.as_ref();
                let chosen = chosen.is_some_and(|target| target.upstream == up.upstream);
                assert_eq!(up.left_out.is_empty(), chosen, "seed {seed}: {up:?}");
            }
        }
    }
    assert!(outcomes.iter().all(|count| *count > 50), "{outcomes:?}");
}

fn state_of(harness: &Harness) -> String {
    match harness.state.role() {
        PartRole::Traffic(traffic) => format!("{traffic:?}"),
        PartRole::Control(_) => panic!("not a traffic part"),
    }
}

/// Guards against a question that spends a token, records a failure, leaves a request behind or
/// changes what later requests draw at random.
#[test]
fn a_question_changes_nothing() {
    let mut settings = Settings::default();
    settings.session.check_owner_after = Some(Duration::from_millis(30));
    let mut asked = harness(settings.clone());
    let mut not_asked = harness(settings);
    not_asked.now = asked.now;
    let (mut rng, mut same_rng) = (SmallRng::seed_from_u64(1), SmallRng::seed_from_u64(1));
    for _ in 0..ROUNDS {
        disturb(&mut asked, &mut rng);
        disturb(&mut not_asked, &mut same_rng);
        for request in [on_route(Kind::Read), on_route(Kind::Write), with_key()] {
            let before = state_of(&asked);
            let effects = std::mem::take(&mut asked.effects);
            let wake_at = asked.state.wake_at();
            explain(&mut asked, request);
            asked.effects = effects;
            assert_eq!(state_of(&asked), before);
            assert_eq!(asked.state.wake_at(), wake_at);
        }
        for harness in [&mut asked, &mut not_asked] {
            harness.effects.clear();
            harness.request(|_| {});
        }
        let (seen, expected) = (&asked.effects, &not_asked.effects);
        assert_eq!(Result::seen(seen), Result::seen(expected));
    }
}

/// Returns the reasons for which an upstream is left out, with the milliseconds that are left.
fn left_out(explanation: &Explanation, upstream: &str) -> Vec<(String, Option<f64>)> {
    let mut rows = explanation.upstreams.iter();
    let row = rows.find(|row| row.upstream == upstream).unwrap();
    row.left_out.iter().map(reason_and_ms).collect()
}

/// Returns the reasons for which an owner of an upstream is left out.
fn owner_left_out(
    explanation: &Explanation,
    upstream: &str,
    owner: &str,
) -> Vec<(String, Option<f64>)> {
    let mut rows = explanation.upstreams.iter();
    let row = rows.find(|row| row.upstream == upstream).unwrap();
    let owner = row.owners.iter().find(|row| row.host == owner).unwrap();
    owner.left_out.iter().map(reason_and_ms).collect()
}

fn reason_and_ms(left_out: &LeftOut) -> (String, Option<f64>) {
    let ends_in = left_out
        .ends_in
        .map(|seconds| (seconds * 1e6).round() / 1e3);
    (left_out.reason.clone(), ends_in)
}

fn lasting(reason: &str) -> Vec<(String, Option<f64>)> {
    vec![(reason.to_owned(), None)]
}

#[test]
fn the_reasons_for_which_upstreams_and_owners_are_left_out_are_named() {
    let mut harness = harness(Settings::default());
    let read = explain(&mut harness, on_route(Kind::Read));
    let target = read.target.as_ref().unwrap();
    assert_eq!(target.upstream, "i2");
    assert_eq!(
        (target.reason.as_str(), target.owner_part),
        ("near-replica", 1)
    );
    assert_eq!((read.host.as_str(), read.part, read.parts), ("h1", 1, 1));
    assert_eq!((read.service.as_str(), read.version), ("ledger", 1));
    assert_eq!(left_out(&read, "i1"), lasting("not-chosen"));
    assert_eq!(left_out(&read, "i3"), lasting("not-chosen"));
    let write = explain(&mut harness, on_route(Kind::Write));
    assert_eq!(write.target.unwrap().upstream, "i1");
    let write = explain(&mut harness, on_route(Kind::Write));
    assert_eq!(left_out(&write, "i2"), lasting("not-primary"));

    // The owner of `i2` that the read goes to can't run it, and 50 ms pass.
    harness.request(|_| {});
    let first_owner = explain(&mut harness, on_route(Kind::Read)).target;
    assert!(first_owner.is_some());
    harness.request(|_| {});
    let Result::Sent(_, owner, _) = Result::seen(&harness.effects) else {
        panic!("the read was not sent");
    };
    bounce(&mut harness, Bounce::Unavailable);
    advance(&mut harness, Duration::from_millis(50));
    let read = explain(&mut harness, on_route(Kind::Read));
    let expected = vec![("unavailable".to_owned(), Some(UNAVAILABLE_MS - 50.0))];
    assert_eq!(owner_left_out(&read, "i2", &owner), expected);
    assert_ne!(read.target.unwrap().owner, owner);

    // The other owner says that `i2` is behind, and 5 ms pass.
    harness.request(|_| {});
    bounce(&mut harness, Bounce::Behind);
    advance(&mut harness, Duration::from_millis(5));
    let read = explain(&mut harness, on_route(Kind::Read));
    let expected = vec![("behind".to_owned(), Some(BEHIND_MS - 5.0))];
    assert_eq!(left_out(&read, "i2"), expected);
    assert_eq!(read.target.unwrap().reason, "replica");

    advance(&mut harness, Duration::from_millis(300));
    harness.view.hosts.remove("h3");
    let up = harness.view.upstreams.get_mut("i4").unwrap();
    up.announcement.draining = true;
    let up = harness.view.upstreams.get_mut("i3").unwrap();
    up.announcement.warming = true;
    harness.publish_view();
    let read = explain(&mut harness, on_route(Kind::Read));
    assert_eq!(owner_left_out(&read, "i2", "h3"), lasting("cut-off"));
    assert_eq!(left_out(&read, "i4"), lasting("draining"));
    assert_eq!(left_out(&read, "i3"), lasting("not-chosen"));
    assert!(
        read.upstreams
            .iter()
            .any(|up| up.upstream == "i3" && up.warming)
    );

    harness.view.hosts.remove("h2");
    harness.publish_view();
    let read = explain(&mut harness, on_route(Kind::Read));
    assert_eq!(left_out(&read, "i2"), lasting("no-usable-owner"));
    assert_eq!(read.target.unwrap().upstream, "i3");

    harness.view.evacuations = Arc::new(InForce {
        version: 1,
        closes_at: [("dc-2".into(), harness.now)].into(),
    });
    harness.publish_view();
    let read = explain(&mut harness, on_route(Kind::Read));
    assert_eq!(left_out(&read, "i3"), lasting("evacuated"));
    assert_eq!(read.outcome, Outcome::Parked);
    assert_eq!(read.refusal, Some(Refusal::NoUpstream));
}

/// An owner that leaves a check unanswered is named as silent, and one that leaves a read
/// unanswered as such, with the time for which it is avoided.
#[test]
fn owners_that_do_not_answer_are_named() {
    let mut settings = Settings::default();
    settings.session.hedge_after = Some(Duration::from_millis(20));
    let mut hedging = harness(settings);
    hedging.request(|req| req.repeatable = true);
    let Result::Sent(upstream, owner, _) = Result::seen(&hedging.effects) else {
        panic!("the read was not sent");
    };
    advance(&mut hedging, Duration::from_millis(20));
    let read = explain(&mut hedging, on_route(Kind::Read));
    let unanswered = owner_left_out(&read, &upstream, &owner);
    assert_eq!(unanswered, [("unanswered".to_owned(), Some(500.0))]);

    let mut settings = Settings::default();
    settings.session.check_owner_after = Some(Duration::from_millis(100));
    let mut harness = harness(settings);
    harness.request(|_| {});
    let Result::Sent(upstream, owner, _) = Result::seen(&harness.effects) else {
        panic!("the read was not sent");
    };
    for _ in 0..40 {
        advance(&mut harness, Duration::from_millis(10));
    }
    let read = explain(&mut harness, on_route(Kind::Read));
    let silent = owner_left_out(&read, &upstream, &owner);
    assert_eq!(silent[0], ("silent".to_owned(), None));
}

/// An upstream whose owners forward its reads gets reads only if all are loaded.
#[test]
fn a_loaded_upstream_is_named_with_the_time_for_which_it_is_left_out() {
    let mut harness = harness(Settings::default());
    harness.request(|_| {});
    let run = harness.effects.iter().find_map(|effect| match effect {
        Effect::Send {
            to,
            msg: Msg::Relay(RelayMsg::Run(run)),
        } => Some((to.clone(), run.id)),
        _ => None,
    });
    let (from, id) = run.unwrap();
    let owner = PartAddr {
        host: "h4".into(),
        part: 1,
    };
    let upstream = "i3".into();
    let msg = Msg::Relay(RelayMsg::Forwarded {
        id,
        upstream,
        owner,
    });
    harness.handle(Event::Peer { from, msg });
    advance(&mut harness, Duration::from_secs(1));
    let read = explain(&mut harness, on_route(Kind::Read));
    let loaded = left_out(&read, "i2");
    assert_eq!(loaded, [("loaded".to_owned(), Some(2000.0))]);
    assert_eq!(read.target.unwrap().reason, "others-loaded");
}

fn grant(harness: &mut Harness, tokens: u32) {
    let workspace = "anna".into();
    harness.handle(Event::TokenGrant(PartTokenGrant {
        expires_at: harness.now + Duration::from_secs(60),
        allocations: vec![WorkspaceTokens { workspace, tokens }],
    }));
}

#[test]
fn the_rate_is_asked_without_spending_a_token() {
    let mut settings = Settings::default();
    settings.grant.max_wait = Duration::from_millis(40);
    let mut harness = harness(settings);
    assert_eq!(harness.login("pots", "k1"), None);
    let keyless = explain(&mut harness, on_route(Kind::Read));
    assert_eq!(keyless.rate.decision, Some(RateDecision::NoTokenNeeded));

    let waits = explain(&mut harness, with_key());
    assert_eq!(waits.outcome, Outcome::WaitsForToken);
    assert_eq!(waits.rate.workspace, "anna");
    assert_eq!(waits.rate.decision, Some(RateDecision::Waits));
    assert_eq!(waits.rate.longest_wait, Some(0.040));
    assert_eq!(waits.target.unwrap().upstream, "i2");

    grant(&mut harness, 1);
    for _ in 0..5 {
        let admitted = explain(&mut harness, with_key());
        assert_eq!(admitted.outcome, Outcome::Sent);
        assert_eq!(admitted.rate.decision, Some(RateDecision::Admitted));
    }
    harness.effects.clear();
    harness.request(|_| {});
    assert!(matches!(Result::seen(&harness.effects), Result::Sent(..)));

    // Without tokens, so many requests wait that further ones are refused.
    for _ in 0..8 {
        harness.request(|_| {});
    }
    let over = explain(&mut harness, with_key());
    assert_eq!(over.outcome, Outcome::Refused);
    assert_eq!(over.refusal, Some(Refusal::OverRate));
    assert_eq!(over.rate.decision, Some(RateDecision::OverRate));
    assert_eq!(over.target.unwrap().upstream, "i2");
}

#[test]
fn the_refusal_that_a_caller_would_get_is_named() {
    let mut harness = harness(Settings::default());
    let refusal = |harness: &mut Harness, request| {
        let explanation = explain(harness, request);
        assert_eq!(explanation.target, None);
        (explanation.outcome, explanation.refusal.unwrap())
    };
    let refused = |refusal| (Outcome::Refused, refusal);
    let other_route = ExplainRequest {
        route: Some("none".into()),
        ..on_route(Kind::Read)
    };
    assert_eq!(
        refusal(&mut harness, other_route),
        refused(Refusal::NoRoute)
    );
    let other_workspace = ExplainRequest {
        workspace: Some("none".into()),
        ..on_route(Kind::Read)
    };
    assert_eq!(
        refusal(&mut harness, other_workspace),
        refused(Refusal::BadKey)
    );
    let other_service = ExplainRequest {
        route: None,
        service: "none".into(),
        ..with_key()
    };
    assert_eq!(
        refusal(&mut harness, other_service),
        refused(Refusal::NotAllowed)
    );
    harness.view.services.get_mut("ledger").unwrap().primary = None;
    harness.publish_view();
    let parked = (Outcome::Parked, Refusal::NoPrimary);
    assert_eq!(refusal(&mut harness, on_route(Kind::Write)), parked);
    harness.view.config_usable = false;
    harness.publish_view();
    let not_ready = refused(Refusal::NotReady);
    assert_eq!(refusal(&mut harness, on_route(Kind::Read)), not_ready);
    harness.view.config_usable = true;
    harness.publish_view();
    harness.handle(Event::Leave);
    assert_eq!(refusal(&mut harness, on_route(Kind::Read)), not_ready);
}

/// Without a route, the maximum age and the session's position decide where a read goes.
#[test]
fn a_read_without_a_route_goes_by_its_age_and_position() {
    let mut harness = harness(Settings::default());
    grant(&mut harness, 5);
    let plain = ExplainRequest {
        service: "ledger".into(),
        route: None,
        ..with_key()
    };
    let target = |harness: &mut Harness, request| {
        let target = explain(harness, request).target.unwrap();
        (target.upstream, target.reason)
    };
    let newest = target(&mut harness, plain.clone());
    assert_eq!(newest, ("i1".to_owned(), "no-floor".to_owned()));
    let near = ("i2".to_owned(), "near-replica".to_owned());
    let old = ExplainRequest {
        max_age: Some(Duration::from_secs(1)),
        ..plain.clone()
    };
    assert_eq!(target(&mut harness, old), near);
    let own_writes = ExplainRequest {
        floor: Some("1/7".parse().unwrap()),
        ..plain
    };
    assert_eq!(target(&mut harness, own_writes), near);
}

/// The control part of an entry host with two traffic parts, alone in its fleet.
struct ControlHost {
    now: Instant,
    state: PartState,
}

impl ControlHost {
    fn new(traffic_parts: u16) -> Self {
        let now = Instant::now();
        let mut me = host("h1");
        me.traffic_parts = traffic_parts;
        let part = ControlPart::new(&me, Vec::new(), None, now);
        let role = PartRole::Control(Box::new(part));
        let state = PartState::new(me, CONTROL_PART, Settings::default(), 1, role);
        Self { now, state }
    }

    fn handle(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        reduce(&mut self.state, self.now, event, &mut effects);
        effects
    }

    fn ask(&mut self, part: Option<u16>) -> Vec<Effect> {
        let call = Call::Explain(ExplainRequest {
            part,
            ..on_route(Kind::Read)
        });
        self.handle(Event::Call { id: CALL, call })
    }
}

#[test]
fn the_control_part_passes_the_question_on_to_a_traffic_part() {
    let mut control = ControlHost::new(2);
    for (part, expected) in [(None, 1), (Some(2), 2)] {
        let effects = control.ask(part);
        let [Effect::ForwardEvent { part, event }] = &effects[..] else {
            panic!("{effects:?}");
        };
        assert_eq!(*part, expected);
        let asked = matches!(
            &**event,
            Event::Call {
                id: CALL,
                call: Call::Explain(_)
            }
        );
        assert!(asked, "{event:?}");
    }
    for (parts, part) in [(2, Some(3)), (2, Some(CONTROL_PART)), (0, None)] {
        let effects = ControlHost::new(parts).ask(part);
        let refused = matches!(
            &effects[..],
            [Effect::Reply {
                id: CALL,
                reply: Reply::Refused(_)
            }]
        );
        assert!(refused, "{effects:?}");
    }
}

/// An instance whose announcement has lapsed, or whose data centre can't be reached, is in no view
/// of a traffic part; the answer must name it all the same, since an operator asks why it gets
/// nothing.
#[test]
fn the_control_part_adds_instances_that_have_lapsed_or_are_cut_off() {
    let mut control = ControlHost::new(1);
    let known = Harness::new().view.upstreams["i1"].announcement.clone();
    let mut far_host = host("h9");
    far_host.data_centre = "dc-9".into();
    control.handle(Event::FactLearned(Fact::Host {
        info: far_host,
        sequence: 1,
        alive: true,
        heard_data_centres: Vec::new(),
    }));
    for (name, data_centre, live) in [("i8", "dc-1", false), ("i9", "dc-9", true)] {
        let announcement = Announcement {
            upstream: name.into(),
            data_centre: data_centre.into(),
            ..known.clone()
        };
        // A lapse is kept only of an instance that was known to be live.
        for live in [true, live] {
            let announcement = announcement.clone();
            control.handle(Event::FactLearned(Fact::Upstream { announcement, live }));
        }
    }
    let mut harness = harness(Settings::default());
    let explanation = Box::new(explain(&mut harness, on_route(Kind::Read)));
    assert_eq!(explanation.upstreams.len(), 4);
    let id = CALL;
    let effects = control.handle(Event::Explained { id, explanation });
    let [
        Effect::Reply {
            id: CALL,
            reply: Reply::Explained(explanation),
        },
    ] = &effects[..]
    else {
        panic!("{effects:?}");
    };
    assert_eq!(left_out(explanation, "i8"), lasting("lapsed"));
    assert_eq!(left_out(explanation, "i9"), lasting("cut-off"));
    assert!(explanation.target.is_some());
}
