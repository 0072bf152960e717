//! One traffic part without a network, with a caller's session, for tests of sessions and routing.
//!
//! A part is the state of one thread of a host: the control part, or one of the traffic parts. The
//! part under test takes a caller's request, and sends it to an owner, a host that runs requests on
//! the upstream. An owner that can't run it sends it back (a bounce).
#![allow(dead_code, reason = "not every test needs every helper")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use decide::caller::{CallerEvent, Login};
use decide::relay::{RelayMsg, RunRequest};
use decide::state::PartRole;
use decide::traffic::TrafficPart;
use decide::view::{ServiceView, UpstreamView};
use decide::{Effect, Event, Msg, PartState, Settings, View, reduce};
use model::config::{ReadRule, Route, Service, Workspace};
use model::{
    Announcement, Answer, Config, ConnId, HostInfo, KeyDigest, Kind, PartAddr, Refusal, Request,
    TxStatus, Verdict,
};

/// The id of the only session.
pub(crate) const SESSION: u64 = 1;
/// The upstream connection to which the owner pins the session's transaction.
pub(crate) const CONN: ConnId = 77;

/// The traffic part of a host `h1`, its view of the fleet, and the effects that it has emitted.
pub(crate) struct Harness {
    pub(crate) now: Instant,
    pub(crate) state: PartState,
    pub(crate) view: View,
    pub(crate) effects: Vec<Effect>,
    pub(crate) last_request_id: u64,
}

pub(crate) fn host(name: &str) -> HostInfo {
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

pub(crate) fn config(version: u64) -> Config {
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

impl Harness {
    pub(crate) fn new() -> Self {
        let me = host("h1");
        let settings = Settings::default();
        let traffic = TrafficPart::new(&settings);
        let state = PartState::new(me, 1, settings, 1, PartRole::Traffic(Box::new(traffic)));
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
            last_ready_at: None,
        };
        let service = ServiceView {
            primary: Some((1, "i1".into())),
            upstreams: vec!["i1".into()],
            group_size: 0,
        };
        let mut view = View {
            config: Arc::new(config(1)),
            config_usable: true,
            ..View::default()
        };
        view.hosts.insert("h1".into(), host("h1"));
        view.hosts.insert("h2".into(), host("h2"));
        view.upstreams.insert("i1".into(), up);
        view.services.insert("ledger".into(), service);
        let mut harness = Self {
            now: Instant::now(),
            state,
            view,
            effects: Vec::new(),
            last_request_id: 0,
        };
        harness.publish_view();
        harness
    }

    pub(crate) fn handle(&mut self, event: Event) {
        reduce(&mut self.state, self.now, event, &mut self.effects);
    }

    pub(crate) fn publish_view(&mut self) {
        let view = Arc::new(self.view.clone());
        self.handle(Event::View(view));
    }

    /// Logs in on a route, and returns the refusal, if there is one.
    pub(crate) fn login(&mut self, route: &str, key: &str) -> Option<Refusal> {
        let login = Login {
            workspace: None,
            service: "".into(),
            route: Some(route.into()),
            password: Bytes::copy_from_slice(key.as_bytes()),
            floor: None,
        };
        let session = SESSION;
        self.handle(Event::Caller(CallerEvent::Login { session, login }));
        let admitted = self.effects.drain(..).find_map(|effect| match effect {
            Effect::FinishLogin { result, .. } => Some(result),
            _ => None,
        });
        admitted.unwrap().err()
    }

    /// Sends a read of the session, after changes to it.
    pub(crate) fn request(&mut self, change: impl FnOnce(&mut Request)) {
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
            may_be_given_up: false,
            timeout: Duration::MAX,
            max_age: None,
            floor: None,
            payload: Bytes::new(),
        };
        change(&mut req);
        self.last_request_id += 1;
        let (session, id) = (SESSION, self.last_request_id);
        self.handle(Event::Caller(CallerEvent::Request { session, id, req }));
    }

    /// Takes the effects, and returns the relay messages out of them.
    pub(crate) fn take_msgs(&mut self) -> Vec<RelayMsg> {
        let sent = self.effects.drain(..).filter_map(|effect| match effect {
            Effect::Send {
                msg: Msg::Relay(msg),
                ..
            } => Some(msg),
            _ => None,
        });
        sent.collect()
    }

    /// Takes the effects, and returns the request that was sent to an owner.
    pub(crate) fn take_run(&mut self) -> RunRequest {
        let sent = self.take_msgs();
        match sent.into_iter().next() {
            Some(RelayMsg::Run(run)) => *run,
            other => panic!("nothing was sent to run: {other:?}"),
        }
    }

    /// Opens a transaction, which the owner pins to the connection `CONN`.
    pub(crate) fn open_transaction(&mut self) {
        self.request(|req| req.in_transaction = true);
        let id = self.take_run().id;
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
        self.handle(Event::Peer { from, msg });
        self.effects.clear();
    }
}

/// Returns a harness with two owners of the upstream, in which reads are hedged after 150 ms.
pub(crate) fn hedging_harness(burst: f64) -> Harness {
    let mut settings = Settings::default();
    settings.session.hedge_after = Some(Duration::from_millis(150));
    settings.session.hedge.burst = burst;
    two_owner_harness(settings)
}

/// Returns a harness with the owners `h2` and `h3` of the upstream.
pub(crate) fn two_owner_harness(settings: Settings) -> Harness {
    let mut harness = Harness::new();
    let traffic = TrafficPart::new(&settings);
    let part = PartRole::Traffic(Box::new(traffic));
    harness.state = PartState::new(host("h1"), 1, settings, 1, part);
    harness.view.hosts.insert("h3".into(), host("h3"));
    let up = harness.view.upstreams.get_mut("i1").unwrap();
    up.owners = vec!["h2".into(), "h3".into()];
    harness.publish_view();
    assert_eq!(harness.login("pots", ""), None);
    harness
}

/// Lets time pass, and returns the relay messages that were sent then, with their receivers.
pub(crate) fn advance(harness: &mut Harness, time: Duration) -> Vec<(PartAddr, RelayMsg)> {
    harness.now += time;
    harness.handle(Event::Tick);
    take_addressed_msgs(harness)
}

/// Takes the effects, and returns the relay messages out of them, with their receivers.
pub(crate) fn take_addressed_msgs(harness: &mut Harness) -> Vec<(PartAddr, RelayMsg)> {
    let sent = harness.effects.drain(..).filter_map(|effect| match effect {
        Effect::Send {
            to,
            msg: Msg::Relay(msg),
        } => Some((to, msg)),
        _ => None,
    });
    sent.collect()
}

/// Returns the first request that was sent to an owner, with its receiver.
pub(crate) fn first_run(sent: &[(PartAddr, RelayMsg)]) -> (PartAddr, RunRequest) {
    let run = sent.iter().find_map(|(to, msg)| match msg {
        RelayMsg::Run(run) => Some((to.clone(), RunRequest::clone(run))),
        _ => None,
    });
    run.expect("something was sent to run")
}

/// Answers a request as its owner does, and returns how many answers callers have got.
pub(crate) fn answer_and_count(
    harness: &mut Harness,
    (from, run): &(PartAddr, RunRequest),
) -> usize {
    let answer = Answer {
        verdict: Verdict::Ran,
        payload: Bytes::new(),
        tx_status: TxStatus::Idle,
        position: None,
    };
    let (id, pin) = (run.id, None);
    let msg = Msg::Relay(RelayMsg::Answer { id, answer, pin });
    let from = from.clone();
    harness.handle(Event::Peer { from, msg });
    let answers = harness.effects.iter();
    let answers = answers.filter(|effect| matches!(effect, Effect::Answer { .. }));
    answers.count()
}
