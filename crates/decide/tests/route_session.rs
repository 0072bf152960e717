//! Callers' sessions on routes, in one traffic part without a network.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use decide::caller::{CallerEvent, Login};
use decide::relay::{Bounce, RelayMsg, Run};
use decide::state::Part;
use decide::traffic::Traffic;
use decide::view::{ServiceView, UpstreamView};
use decide::{Effect, Event, Msg, Settings, State, View, reduce};
use model::config::{ReadRule, Route, Service, Workspace};
use model::{
    Announcement, Answer, Config, ConnId, HostInfo, KeyDigest, Kind, PartAddr, Refusal, Request,
    TxStatus, Verdict,
};

const SESSION: u64 = 1;
const CONN: ConnId = 77;

struct World {
    now: Instant,
    state: State,
    view: View,
    effects: Vec<Effect>,
    requests: u64,
}

fn host(name: &str) -> HostInfo {
    HostInfo {
        host: name.into(),
        data_centre: "dc-1".into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        traffic_parts: 1,
        is_entry_host: true,
        is_control_host: false,
        leaving: false,
    }
}

fn config(version: u64) -> Config {
    let route = Route {
        service: "ledger".into(),
        reads: ReadRule::Newest,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(120),
        priority: 1,
        open: true,
    };
    let key = KeyDigest::of("k1");
    let workspace = Workspace {
        rate: 100,
        burst: 100,
        services: vec!["ledger".into()],
        keys: BTreeMap::from([(key.id(), key)]),
    };
    Config {
        version,
        workspaces: BTreeMap::from([("anna".into(), workspace)]),
        services: BTreeMap::from([("ledger".into(), Service::default())]),
        open_routes: BTreeMap::new(),
        routes: BTreeMap::from([("pots".into(), route)]),
    }
}

impl World {
    fn new() -> Self {
        let me = host("h1");
        let settings = Settings::default();
        let traffic = Traffic::new(&settings);
        let state = State::new(me, 1, settings, 1, Part::Traffic(Box::new(traffic)));
        let announcement = Announcement {
            upstream: "i1".into(),
            service: "ledger".into(),
            addr: "127.0.0.1:2".parse().unwrap(),
            data_centre: "dc-1".into(),
            group_size: 0,
            slots: 2,
            connections: 10,
            incarnation: 1,
            sequence: 1,
            role: None,
            warming: false,
            draining: false,
            leaving: false,
        };
        let up = UpstreamView {
            announcement,
            owners: vec!["h2".into()],
        };
        let service = ServiceView {
            primary: Some((1, "i1".into())),
            upstreams: vec!["i1".into()],
            group_size: 0,
        };
        let mut view = View {
            config: Arc::new(config(1)),
            usable: true,
            ..View::default()
        };
        view.hosts.insert("h1".into(), host("h1"));
        view.hosts.insert("h2".into(), host("h2"));
        view.upstreams.insert("i1".into(), up);
        view.services.insert("ledger".into(), service);
        let mut world = Self {
            now: Instant::now(),
            state,
            view,
            effects: Vec::new(),
            requests: 0,
        };
        world.show();
        world
    }

    fn on(&mut self, event: Event) {
        reduce(&mut self.state, self.now, event, &mut self.effects);
    }

    fn show(&mut self) {
        let view = Arc::new(self.view.clone());
        self.on(Event::View(view));
    }

    /// Logs in and returns the refusal, if there is one.
    fn login(&mut self, route: &str, key: &str) -> Option<Refusal> {
        let login = Login {
            workspace: None,
            service: "".into(),
            route: Some(route.into()),
            password: key.into(),
            token: None,
        };
        let session = SESSION;
        self.on(Event::Caller(CallerEvent::Login { session, login }));
        let admitted = self.effects.drain(..).find_map(|effect| match effect {
            Effect::FinishLogin { result, .. } => Some(result),
            _ => None,
        });
        admitted.unwrap().err()
    }

    fn request(&mut self, change: impl FnOnce(&mut Request)) {
        let mut req = Request {
            access: None,
            label: "5c".into(),
            workspace: "".into(),
            service: "".into(),
            kind: Kind::Read,
            in_transaction: false,
            continues_transaction: false,
            rolls_back: false,
            read_only_transaction: false,
            priority: 0,
            repeatable: false,
            timeout: Duration::MAX,
            max_age: None,
            floor: None,
            payload: Bytes::new(),
        };
        change(&mut req);
        self.requests += 1;
        let (session, id) = (SESSION, self.requests);
        self.on(Event::Caller(CallerEvent::Request { session, id, req }));
    }

    fn sent(&mut self) -> Vec<RelayMsg> {
        let sent = self.effects.drain(..).filter_map(|effect| match effect {
            Effect::Send {
                msg: Msg::Relay(msg),
                ..
            } => Some(msg),
            _ => None,
        });
        sent.collect()
    }

    fn run(&mut self) -> Run {
        let sent = self.sent();
        match sent.into_iter().next() {
            Some(RelayMsg::Run(run)) => *run,
            other => panic!("nothing was sent to run: {other:?}"),
        }
    }

    /// Opens a transaction, which an upstream then has on a connection.
    fn open(&mut self) {
        self.request(|req| req.in_transaction = true);
        let id = self.run().id;
        let from = PartAddr {
            host: "h2".into(),
            part: 1,
        };
        let answer = Answer {
            verdict: Verdict::Ran,
            payload: Bytes::new(),
            tx_status: TxStatus::Open,
            position: None,
        };
        let pin = Some(CONN);
        let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
        self.on(Event::Peer { from, msg });
        self.effects.clear();
    }
}

#[test]
fn a_route_and_a_key_decide_who_gets_a_session() {
    let mut world = World::new();
    assert_eq!(world.login("none", "k1"), Some(Refusal::NoRoute));
    assert_eq!(world.login("pots", "k1"), None);
    let mut closed = config(2);
    closed.routes.get_mut("pots").unwrap().open = false;
    world.view.config = Arc::new(closed);
    world.show();
    assert_eq!(world.login("pots", "k2"), Some(Refusal::BadKey));
}

#[test]
fn a_rollback_that_is_refused_gives_the_connection_up() {
    let mut world = World::new();
    world.login("pots", "");
    world.open();
    world.view.usable = false;
    world.show();
    world.effects.clear();
    world.request(|req| {
        req.in_transaction = true;
        req.continues_transaction = true;
        req.rolls_back = true;
    });
    let sent = world.sent();
    let unpin = |msg: &RelayMsg| matches!(msg, RelayMsg::Unpin { pin: CONN, .. });
    assert!(sent.iter().any(unpin), "{sent:?}");
}

#[test]
fn a_statement_never_runs_in_a_transaction_that_its_caller_has_not_opened() {
    let mut world = World::new();
    world.login("pots", "");
    world.open();
    world.request(|_| {});
    let sent = world.sent();
    let unpin = |msg: &RelayMsg| matches!(msg, RelayMsg::Unpin { pin: CONN, .. });
    assert!(sent.iter().any(unpin), "{sent:?}");
    let run = sent.into_iter().find_map(|msg| match msg {
        RelayMsg::Run(run) => Some(run),
        _ => None,
    });
    assert_eq!(run.unwrap().pin, None);
}

#[test]
fn a_route_that_is_removed_lets_an_open_transaction_end() {
    let mut world = World::new();
    world.login("pots", "");
    world.open();
    let mut without = config(2);
    without.routes.clear();
    world.view.config = Arc::new(without);
    world.show();
    world.effects.clear();
    world.request(|req| {
        req.in_transaction = true;
        req.continues_transaction = true;
    });
    assert_eq!(world.run().pin, Some(CONN));
}

#[test]
fn a_request_keeps_to_the_time_and_rank_of_its_route() {
    let mut world = World::new();
    world.login("pots", "");
    world.request(|_| {});
    let run = world.run();
    assert_eq!(run.req.timeout, Duration::from_millis(800));
    assert_eq!((run.req.priority, &*run.req.service), (1, "ledger"));
}

#[test]
fn an_owner_refuses_what_its_newer_configuration_does_not_allow() {
    let mut world = World::new();
    let mut newer = config(9);
    newer.routes.clear();
    world.view.config = Arc::new(newer);
    world.show();
    world.effects.clear();
    let mut sender = World::new();
    sender.login("pots", "k1");
    sender.request(|_| {});
    let run = loop {
        match sender.sent().into_iter().next() {
            Some(RelayMsg::Run(run)) => break run,
            _ => {
                // The sender asks for a token first.
                let lots = vec![decide::grant::WorkspaceTokens {
                    workspace: "anna".into(),
                    tokens: 5,
                }];
                let until = sender.now + Duration::from_secs(2);
                sender.on(Event::TokenGrant(decide::grant::PartTokenGrant {
                    expires_at: until,
                    allocations: lots,
                }));
            }
        }
    };
    let from = PartAddr {
        host: "h3".into(),
        part: 1,
    };
    let msg = Msg::Relay(RelayMsg::Run(run));
    world.on(Event::Peer { from, msg });
    let sent = world.sent();
    let refused = |msg: &RelayMsg| {
        use decide::relay::Bounce;
        matches!(
            msg,
            RelayMsg::Bounce {
                why: Bounce::Refused(Refusal::NoRoute),
                ..
            }
        )
    };
    assert!(sent.iter().any(refused), "{sent:?}");
}

/// Returns a world in which two owners can read, and a read that is slow is sent to both.
fn world_that_hedges(burst: f64) -> World {
    let mut world = World::new();
    let mut settings = Settings::default();
    settings.session.hedge_after = Some(Duration::from_millis(150));
    settings.session.hedge.burst = burst;
    let traffic = Traffic::new(&settings);
    let part = Part::Traffic(Box::new(traffic));
    world.state = State::new(host("h1"), 1, settings, 1, part);
    world.view.hosts.insert("h3".into(), host("h3"));
    let up = world.view.upstreams.get_mut("i1").unwrap();
    up.owners = vec!["h2".into(), "h3".into()];
    world.show();
    assert_eq!(world.login("pots", ""), None);
    world
}

/// Lets a time pass and returns what was sent to whom then.
fn after(world: &mut World, time: Duration) -> Vec<(PartAddr, RelayMsg)> {
    world.now += time;
    world.on(Event::Tick);
    relayed(world)
}

fn relayed(world: &mut World) -> Vec<(PartAddr, RelayMsg)> {
    let sent = world.effects.drain(..).filter_map(|effect| match effect {
        Effect::Send {
            to,
            msg: Msg::Relay(msg),
        } => Some((to, msg)),
        _ => None,
    });
    sent.collect()
}

fn run_of(sent: &[(PartAddr, RelayMsg)]) -> (PartAddr, Run) {
    let run = sent.iter().find_map(|(to, msg)| match msg {
        RelayMsg::Run(run) => Some((to.clone(), Run::clone(run))),
        _ => None,
    });
    run.expect("something was sent to run")
}

fn answer_from(world: &mut World, (from, run): &(PartAddr, Run)) -> usize {
    let answer = Answer {
        verdict: Verdict::Ran,
        payload: Bytes::new(),
        tx_status: TxStatus::Idle,
        position: None,
    };
    let (id, pin) = (run.id, None);
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    let from = from.clone();
    world.on(Event::Peer { from, msg });
    let answers = world.effects.iter();
    let answers = answers.filter(|effect| matches!(effect, Effect::Answer { .. }));
    answers.count()
}

#[test]
fn a_read_that_a_silent_owner_holds_is_answered_by_another() {
    for late_one_first in [false, true] {
        let mut world = world_that_hedges(20.0);
        world.request(|req| req.repeatable = true);
        let first = run_of(&relayed(&mut world));
        assert!(after(&mut world, Duration::from_millis(100)).is_empty());
        let second = run_of(&after(&mut world, Duration::from_millis(50)));
        assert_ne!(first.0, second.0, "the same owner was asked again");
        let (one, other) = if late_one_first {
            (&first, &second)
        } else {
            (&second, &first)
        };
        assert_eq!(answer_from(&mut world, one), 1);
        let cancelled = relayed(&mut world).iter().any(|(to, msg)| {
            *to == other.0 && matches!(msg, RelayMsg::Cancel { id } if *id == other.1.id)
        });
        assert!(cancelled, "the other attempt goes on");
        assert_eq!(answer_from(&mut world, other), 0, "a second answer");
    }
}

#[test]
fn a_write_is_never_sent_a_second_time() {
    let mut world = world_that_hedges(20.0);
    world.request(|req| req.kind = Kind::Write);
    run_of(&relayed(&mut world));
    for _ in 0..8 {
        let sent = after(&mut world, Duration::from_millis(50));
        assert!(sent.is_empty(), "{sent:?}");
    }
}

#[test]
fn reads_are_sent_a_second_time_only_within_a_budget() {
    let mut world = world_that_hedges(1.0);
    for hedged in [true, false] {
        world.request(|req| req.repeatable = true);
        let first = run_of(&relayed(&mut world));
        let sent = after(&mut world, Duration::from_millis(150));
        assert_eq!(!sent.is_empty(), hedged);
        assert_eq!(answer_from(&mut world, &first), 1);
        world.effects.clear();
    }
}

/// While no primary is known, a read that its replicas are too far behind for must wait its turn.
#[test]
fn a_read_that_every_replica_turns_away_is_not_sent_again_at_once() {
    let mut world = World::new();
    let config = Arc::make_mut(&mut world.view.config);
    let route = config.routes.get_mut("pots").unwrap();
    route.reads = ReadRule::Bounded {
        max_age: Duration::from_secs(1),
    };
    let service = world.view.services.get_mut("ledger").unwrap();
    service.primary = None;
    let instances = service.upstreams.len();
    world.show();
    assert_eq!(world.login("pots", ""), None);
    world.request(|req| req.repeatable = true);
    let mut sent = 0;
    for _ in 0..20 {
        let msgs = relayed(&mut world);
        if !msgs.iter().any(|(_, msg)| matches!(msg, RelayMsg::Run(_))) {
            break;
        }
        sent += 1;
        let (from, run) = run_of(&msgs);
        let why = Bounce::Behind;
        let msg = Msg::Relay(RelayMsg::Bounce { id: run.id, why });
        world.on(Event::Peer { from, msg });
    }
    // Once to each instance, and once more since the first answer may be old.
    assert!(sent <= instances + 1, "sent {sent} times at one moment");
}
