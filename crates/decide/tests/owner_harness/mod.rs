//! Drives owners by lines of text and shows the effects as lines of text.

mod line;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use decide::conn::{ConnEvent, RunOutcome};
use decide::event::ProbeResult;
use decide::group::GroupMsg;
use decide::owner::Owners;
use decide::queue::Discipline;
use decide::relay::{RelayMsg, RunRequest};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Event, Msg, Settings, View};
use model::{Announcement, Claim, HostInfo, Kind, Request, TxStatus};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use line::{Line, conn_id, duration, from, status};

/// A part with owners, a made-up clock and what it has caused.
pub(crate) struct World<Q: Discipline> {
    owners: Owners<Q>,
    view: View,
    start: Instant,
    now: Instant,
    me: HostInfo,
    settings: Settings,
    rng: SmallRng,
    raised: VecDeque<Event>,
    effects: Vec<Effect>,
    notes: bool,
}

impl<Q: Discipline> World<Q> {
    /// Returns a part of host `me` without upstreams.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        let addr = "10.0.0.1:7000".parse().unwrap();
        Self {
            owners: Owners::default(),
            view: View::default(),
            start: now,
            now,
            me: HostInfo {
                host: "me".into(),
                data_centre: "dc".into(),
                peer_addr: addr,
                incarnation: 0,
                traffic_parts: 1,
                entry: true,
                control: false,
                leaving: false,
            },
            settings: Settings::default(),
            rng: SmallRng::seed_from_u64(1),
            raised: VecDeque::new(),
            effects: Vec::new(),
            notes: false,
        }
    }

    /// Calls the owners with a context and the present view.
    pub(crate) fn with<R>(
        &mut self,
        act: impl FnOnce(&mut Owners<Q>, &mut Cx<'_>, &View) -> R,
    ) -> R {
        let cx = &mut Cx {
            now: self.now,
            me: &self.me,
            part: 1,
            settings: &self.settings,
            rng: &mut self.rng,
            effects: &mut self.effects,
            raised: &mut self.raised,
        };
        act(&mut self.owners, cx, &self.view)
    }

    /// Plays lines and returns what they caused.
    pub(crate) fn play(&mut self, input: &str) -> String {
        let mut out = String::new();
        for line in input.lines().filter(|line| !line.trim().is_empty()) {
            let line = Line::parse(line);
            if let Some(text) = self.step(&line) {
                out += &format!("{text}\n");
            }
            self.flush(&mut out);
        }
        out
    }

    /// Returns the moment at which the made-up clock stands.
    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// Takes the effects that have not been shown.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the events that were raised and have not been shown.
    pub(crate) fn take_raised(&mut self) -> Vec<Event> {
        self.raised.drain(..).collect()
    }

    /// Plays one line; returns what it asked to see.
    fn step(&mut self, line: &Line) -> Option<String> {
        match line.verb.as_str() {
            "notes" => self.notes = line.name() == "on",
            "set" => self.set(line),
            "upstream" => self.announce(line),
            "gone" => self.gone(line),
            "primary" => self.primary(line),
            "probe" => self.probe(line),
            "run" => self.run(line),
            // The clock moves on and nothing wakes the part.
            "sleep" => self.now += duration(line.name()),
            "advance" => self.advance(duration(line.name())),
            "opened" | "failed" | "done" | "lost" => self.conn(line),
            "confirmed" | "unconfirmed" => {
                let ticket = line.name().parse().unwrap();
                let ok = line.verb == "confirmed";
                self.with(|owners, cx, _| owners.on_confirmed(cx, ticket, ok));
            }
            "cancel" => {
                let from = from(line);
                let id = line.name().parse().unwrap();
                self.with(|owners, cx, _| owners.on_cancel(cx, &from, id));
            }
            "unpin" => {
                let from = from(line);
                let pin = conn_id(line.name());
                let upstream = line.text("on", "u1");
                self.with(|owners, cx, _| owners.on_unpin(cx, &from, &upstream, pin));
            }
            "link-down" => {
                let host = line.name().into();
                self.with(|owners, cx, _| owners.on_link_down(cx, &host));
            }
            "leave" => self.with(|owners, cx, _| owners.leave(cx)),
            "drained" => return Some(format!("drained: {}", self.owners.drained())),
            "wake" => {
                let wake = self.owners.wake_at();
                return Some(format!("wake: {:?}", wake.map(|at| at - self.start)));
            }
            verb => panic!("unknown verb `{verb}`"),
        }
        None
    }

    fn set(&mut self, line: &Line) {
        let owner = &mut self.settings.owner;
        for (key, value) in &line.args {
            match key.as_str() {
                "warm" => owner.warm_connections = value.parse().unwrap(),
                "share" => owner.transaction_share = value.parse().unwrap(),
                "pause" => owner.idle_in_transaction = duration(value),
                "idle" => owner.idle_timeout = duration(value),
                "leave" => owner.leave_timeout = duration(value),
                "replica-wait" => owner.replica_wait = duration(value),
                key => panic!("unknown setting `{key}`"),
            }
        }
    }

    fn announce(&mut self, line: &Line) {
        let service = line.text("service", "s");
        let port: u16 = line.get("port", "5432").parse().unwrap();
        let announcement = Announcement {
            upstream: line.name().into(),
            service: service.clone(),
            addr: format!("10.1.0.1:{port}").parse().unwrap(),
            data_centre: "dc".into(),
            group_size: 3,
            slots: 3,
            connections: 50,
            sequence: 1,
            incarnation: 0,
            role: None,
            warming: false,
            draining: false,
            leaving: false,
        };
        let owners = vec!["me".into()];
        let seen = UpstreamView {
            announcement,
            owners,
        };
        self.view.upstreams.insert(line.name().into(), seen);
        self.view.services.entry(service).or_insert(ServiceView {
            primary: None,
            upstreams: Vec::new(),
            group_size: 3,
        });
        self.with(|owners, cx, view| owners.sync(cx, view));
    }

    fn gone(&mut self, line: &Line) {
        self.view.upstreams.remove(line.name());
        self.with(|owners, cx, view| owners.sync(cx, view));
    }

    fn primary(&mut self, line: &Line) {
        let term = line.get("term", "1").parse().unwrap();
        let service = line.text("service", "s");
        let seen = self.view.services.get_mut(&service).unwrap();
        seen.primary = Some((term, line.name().into()));
        self.with(|owners, cx, view| owners.sync(cx, view));
    }

    fn probe(&mut self, line: &Line) {
        let slots = line.get("slots", "2").parse().unwrap();
        let lease = duration(line.get("lease", "1h"));
        let claim = Claim {
            host: "me".into(),
            slots,
            connections: line.get("conns", "10").parse().unwrap(),
            lease,
        };
        let probed = ProbeResult {
            upstream: line.name().into(),
            status: (!line.has("silent")).then(|| status(line.get("is", "primary@1:1/100"))),
            asked_at: self.now,
            claim: (slots > 0).then_some((claim, self.now + lease)),
        };
        self.with(|owners, cx, _| owners.on_probed(cx, probed));
    }

    fn run(&mut self, line: &Line) {
        let run = RunRequest {
            id: line.name().parse().unwrap(),
            session: line.get("session", "1").parse().unwrap(),
            upstream: line.text("on", "u1"),
            pin: line.find("pin").map(conn_id),
            req: Request {
                access: None,
                label: "-".into(),
                workspace: line.text("ws", "w"),
                service: line.text("service", "s"),
                kind: match line.get("kind", "read") {
                    "write" => Kind::Write,
                    _ => Kind::Read,
                },
                transaction: line.has("tx"),
                continues: false,
                rolls_back: false,
                read_only: false,
                priority: 0,
                repeatable: line.has("repeatable"),
                timeout: duration(line.get("timeout", "5s")),
                max_age: line.find("max-age").map(duration),
                floor: floor(line.get("floor", "0/0")),
                payload: Bytes::new(),
            },
        };
        let from = from(line);
        self.with(|owners, cx, view| owners.on_run(cx, view, from, run));
    }

    fn conn(&mut self, line: &Line) {
        let conn = conn_id(line.name());
        let event = match line.verb.as_str() {
            "opened" => ConnEvent::Opened { conn },
            "failed" => ConnEvent::OpenFailed {
                conn,
                no_connections_left: line.has("exhausted"),
            },
            "lost" => ConnEvent::Lost {
                conn,
                request_sent: line.has("sent"),
            },
            _ => ConnEvent::Done {
                conn,
                outcome: RunOutcome {
                    payload: Bytes::new(),
                    tx: match line.get("tx", "idle") {
                        "open" => TxStatus::Open,
                        "failed" => TxStatus::Failed,
                        _ => TxStatus::Idle,
                    },
                    rejected: line
                        .has("refused")
                        .then_some(decide::conn::UpstreamRejection::NotPrimary),
                    position: None,
                    status_before: line.find("before").map(status),
                    status_after: line.find("after").map(status),
                },
            },
        };
        self.with(|owners, cx, view| owners.on_conn(cx, view, event));
    }

    /// Moves the clock on, with a tick at each moment that the owners ask for.
    pub(crate) fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        let mut ticks = 0;
        while let Some(at) = self.owners.wake_at().filter(|at| *at <= end) {
            ticks += 1;
            assert!(ticks < 1000, "the owners ask to be woken without end");
            self.now = self.now.max(at);
            self.with(|owners, cx, _| owners.on_tick(cx));
        }
        self.now = end;
    }

    /// Shows the effects and raised events and forgets them.
    fn flush(&mut self, out: &mut String) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Effect::Log(note) if !self.notes => drop(note),
                effect => *out += &format!("{}\n", show(effect)),
            }
        }
        for event in self.raised.drain(..) {
            let Event::AwaitCommit(wait) = event else {
                panic!("unexpected event {event:?}");
            };
            *out += &format!(
                "await t{} {} {}\n",
                wait.ticket, wait.upstream, wait.position
            );
        }
    }
}

/// Shows an effect as a line.
fn show(effect: Effect) -> String {
    match effect {
        Effect::OpenConn { conn, upstream, .. } => format!("open c{conn} {upstream}"),
        Effect::CloseConn(conn) => format!("close c{conn}"),
        Effect::Log(note) => format!("# {note}"),
        Effect::RunOnConn {
            conn,
            wait_for,
            want_status,
            timeout,
            ..
        } => {
            let wait = wait_for.map_or(String::new(), |(at, wait)| format!(" wait={at},{wait:?}"));
            let status = if want_status { " status" } else { "" };
            format!("run-on c{conn} timeout={timeout:?}{wait}{status}")
        }
        Effect::Send {
            msg: Msg::Group(GroupMsg::Doubted { upstream, .. }),
            ..
        } => format!("doubt {upstream}"),
        Effect::Send {
            to,
            msg: Msg::Relay(msg),
        } => match msg {
            RelayMsg::Answer { id, answer, pin } => {
                let pin = pin.map_or(String::new(), |pin| format!(" pin=c{pin}"));
                let at = answer
                    .position
                    .map_or(String::new(), |at| format!(" at={at}"));
                let verdict = answer.verdict;
                let tx = answer.tx;
                format!("answer {}#{id} {verdict:?} tx={tx:?}{at}{pin}", to.host)
            }
            RelayMsg::Bounce { id, why } => format!("bounce {}#{id} {why:?}", to.host),
            msg => panic!("unexpected message {msg:?}"),
        },
        effect => panic!("unexpected effect {effect:?}"),
    }
}

/// Reads a floor; `none` is a session that knows no position yet.
fn floor(text: &str) -> Option<model::Position> {
    (text != "none").then(|| text.parse().unwrap())
}
