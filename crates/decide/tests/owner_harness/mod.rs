//! Runs owners by script lines on a simulated clock and prints their effects as lines.

mod line;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use decide::conn::{ConnEvent, LossReason, RunOutcome};
use decide::event::ProbeResult;
use decide::group::GroupMsg;
use decide::owner::{CapacitySource, OwnedUpstreams};
use decide::queue::QueueDiscipline;
use decide::relay::{RelayMsg, RunRequest};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Event, Msg, Settings, View};
use evac::InForce;
use model::config::Service;
use model::{Announcement, Claim, Config, HostInfo, Kind, Request, TxStatus};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use line::{Line, parse_conn, parse_duration, parse_sender, parse_status};

/// A traffic part's owned upstreams with a view, a simulated clock and collected effects.
pub(crate) struct OwnerHarness<Q: QueueDiscipline> {
    owners: OwnedUpstreams<Q>,
    view: View,
    start: Instant,
    now: Instant,
    me: HostInfo,
    pub(crate) settings: Settings,
    rng: SmallRng,
    raised: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Whether log events are printed with the other effects.
    show_log: bool,
}

impl<Q: QueueDiscipline> OwnerHarness<Q> {
    /// Returns the harness for a part of host `me` without upstreams.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        let addr = "10.0.0.1:7000".parse().unwrap();
        Self {
            owners: OwnedUpstreams::default(),
            view: View::default(),
            start: now,
            now,
            me: HostInfo {
                host: "me".into(),
                data_centre: "dc".into(),
                peer_addr: addr,
                incarnation: 0,
                traffic_parts: 1,
                is_entry_host: true,
                is_control_host: false,
                leaving: false,
            },
            settings: Settings::default(),
            rng: SmallRng::seed_from_u64(1),
            raised: VecDeque::new(),
            effects: Vec::new(),
            show_log: false,
        }
    }

    /// Calls the owned upstreams with a context and the current view.
    pub(crate) fn with<R>(
        &mut self,
        act: impl FnOnce(&mut OwnedUpstreams<Q>, &mut Cx<'_>, &View) -> R,
    ) -> R {
        let cx = &mut Cx {
            now: self.now,
            me: &self.me,
            part: 1,
            settings: &self.settings,
            rng: &mut self.rng,
            effects: &mut self.effects,
            raised_events: &mut self.raised,
        };
        act(&mut self.owners, cx, &self.view)
    }

    /// Runs script lines and returns the effects and raised events as lines.
    pub(crate) fn run_script(&mut self, input: &str) -> String {
        let mut out = String::new();
        for line in input.lines().filter(|line| !line.trim().is_empty()) {
            let line = Line::parse(line);
            if let Some(text) = self.step(&line) {
                out += &format!("{text}\n");
            }
            self.show_effects(&mut out);
        }
        out
    }

    /// Returns the time of the simulated clock.
    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// Takes the effects that have not been printed.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the raised events that have not been printed.
    pub(crate) fn take_raised(&mut self) -> Vec<Event> {
        self.raised.drain(..).collect()
    }

    /// Runs one line; returns the state that it asks for, if any.
    fn step(&mut self, line: &Line) -> Option<String> {
        match line.verb.as_str() {
            "notes" => self.show_log = line.subject() == "on",
            "set" => self.set(line),
            "upstream" => self.announce_upstream(line),
            "gone" => self.remove_upstream(line),
            "evacuate" => self.evacuate(line),
            "restore" => self.set_evacuations(InForce::default()),
            "primary" => self.set_primary(line),
            "probe" => self.probe(line),
            "run" => self.run(line),
            // Advances the clock without a tick.
            "sleep" => self.now += parse_duration(line.subject()),
            "advance" => self.advance(parse_duration(line.subject())),
            "opened" | "failed" | "done" | "lost" => self.conn_event(line),
            "confirmed" | "unconfirmed" => {
                let ticket = line.subject().parse().unwrap();
                let confirmed = line.verb == "confirmed";
                self.with(|owners, cx, _| owners.on_commit_outcome(cx, ticket, confirmed));
            }
            "cancel" => {
                let from = parse_sender(line);
                let id = line.subject().parse().unwrap();
                self.with(|owners, cx, _| owners.on_cancel(cx, &from, id));
            }
            "unpin" => {
                let from = parse_sender(line);
                let pin = parse_conn(line.subject());
                let upstream = line.text_or("on", "u1");
                self.with(|owners, cx, _| owners.on_unpin(cx, &from, &upstream, pin));
            }
            "link-down" => {
                let host = line.subject().into();
                self.with(|owners, cx, _| owners.on_link_down(cx, &host));
            }
            "leave" => self.with(|owners, cx, _| owners.start_leaving(cx)),
            "drained" => return Some(format!("drained: {}", self.owners.is_drained())),
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
                "pause" => owner.idle_in_transaction = parse_duration(value),
                "idle" => owner.idle_timeout = parse_duration(value),
                "warmup" => {
                    let mut config = Config::default();
                    let service = Service {
                        warmup_per_s: value.parse().unwrap(),
                        ..Service::default()
                    };
                    config.services.insert("s".into(), service);
                    self.view.config = config.into();
                }
                "capacity" => owner.capacity = CapacitySource::Announced,
                "leave" => owner.leave_timeout = parse_duration(value),
                "replica-wait" => owner.replica_wait = parse_duration(value),
                key => panic!("unknown setting `{key}`"),
            }
        }
    }

    fn announce_upstream(&mut self, line: &Line) {
        let service = line.text_or("service", "s");
        let port: u16 = line.get_or("port", "5432").parse().unwrap();
        let announcement = Announcement {
            upstream: line.subject().into(),
            service: service.clone(),
            addr: format!("10.1.0.1:{port}").parse().unwrap(),
            data_centre: "dc".into(),
            group_size: 3,
            slots: 3,
            connections: 50,
            sequence: 1,
            incarnation: 0,
            role: None,
            warming: line.has_flag("warming"),
            draining: line.has_flag("draining"),
            leaving: false,
        };
        let owners = vec!["me".into()];
        let draining = announcement.draining;
        let known = self.view.upstreams.get(line.subject());
        let last_ready_at = match draining {
            true => known.and_then(|known| known.last_ready_at),
            false => Some(self.now),
        };
        let upstream_view = UpstreamView {
            announcement,
            owners,
            last_ready_at,
        };
        self.view
            .upstreams
            .insert(line.subject().into(), upstream_view);
        self.view.services.entry(service).or_insert(ServiceView {
            primary: None,
            upstreams: Vec::new(),
            group_size: 3,
        });
        self.with(|owners, cx, view| owners.on_view(cx, view));
    }

    fn remove_upstream(&mut self, line: &Line) {
        self.view.upstreams.remove(line.subject());
        self.with(|owners, cx, view| owners.on_view(cx, view));
    }

    /// Evacuates the data centre of all upstreams, which closes after a time.
    fn evacuate(&mut self, line: &Line) {
        let closes_at = self.now + parse_duration(line.get_or("closes", "0s"));
        self.set_evacuations(InForce {
            version: 1,
            closes_at: [("dc".into(), closes_at)].into(),
        });
    }

    fn set_evacuations(&mut self, evacuations: InForce) {
        self.view.evacuations = evacuations.into();
        self.with(|owners, cx, view| owners.on_view(cx, view));
    }

    fn set_primary(&mut self, line: &Line) {
        let term = line.get_or("term", "1").parse().unwrap();
        let service = line.text_or("service", "s");
        let service_view = self.view.services.get_mut(&service).unwrap();
        service_view.primary = Some((term, line.subject().into()));
        self.with(|owners, cx, view| owners.on_view(cx, view));
    }

    fn probe(&mut self, line: &Line) {
        let slots = line.get_or("slots", "2").parse().unwrap();
        let lease = parse_duration(line.get_or("lease", "1h"));
        let claim = Claim {
            host: "me".into(),
            slots,
            connections: line.get_or("conns", "10").parse().unwrap(),
            lease,
        };
        let probed = ProbeResult {
            upstream: line.subject().into(),
            status: (!line.has_flag("silent"))
                .then(|| parse_status(line.get_or("is", "primary@1:1/100"))),
            asked_at: self.now,
            claim: (slots > 0).then_some((claim, self.now + lease)),
        };
        self.with(|owners, cx, _| owners.on_probed(cx, probed));
    }

    fn run(&mut self, line: &Line) {
        let run = RunRequest {
            id: line.subject().parse().unwrap(),
            session: line.get_or("session", "1").parse().unwrap(),
            upstream: line.text_or("on", "u1"),
            pin: line.value("pin").map(parse_conn),
            req: Request {
                access: None,
                label: "-".into(),
                workspace: line.text_or("ws", "w"),
                service: line.text_or("service", "s"),
                kind: match line.get_or("kind", "read") {
                    "write" => Kind::Write,
                    _ => Kind::Read,
                },
                in_transaction: line.has_flag("tx"),
                continues_transaction: false,
                rolls_back: false,
                read_only_transaction: false,
                priority: 0,
                repeatable: line.has_flag("repeatable"),
                may_be_given_up: false,
                timeout: parse_duration(line.get_or("timeout", "5s")),
                max_age: line.value("max-age").map(parse_duration),
                floor: parse_floor(line.get_or("floor", "0/0")),
                payload: Bytes::new(),
            },
        };
        let from = parse_sender(line);
        self.with(|owners, cx, view| owners.on_run(cx, view, from, run));
    }

    fn conn_event(&mut self, line: &Line) {
        let conn = parse_conn(line.subject());
        let event = match line.verb.as_str() {
            "opened" => ConnEvent::Opened { conn },
            "failed" => ConnEvent::OpenFailed {
                conn,
                no_connections_left: line.has_flag("exhausted"),
            },
            "lost" => ConnEvent::Lost {
                conn,
                request_sent: line.has_flag("sent"),
                reason: match line.get_or("reason", "lost") {
                    "out-of-step" => LossReason::OutOfStep,
                    _ => LossReason::Broken,
                },
            },
            _ => ConnEvent::Done {
                conn,
                outcome: RunOutcome {
                    payload: Bytes::new(),
                    tx: match line.get_or("tx", "idle") {
                        "open" => TxStatus::Open,
                        "failed" => TxStatus::Failed,
                        _ => TxStatus::Idle,
                    },
                    rejected: line
                        .has_flag("refused")
                        .then_some(decide::conn::UpstreamRejection::NotPrimary),
                    failed: false,
                    position: None,
                    status_before: line.value("before").map(parse_status),
                    status_after: line.value("after").map(parse_status),
                },
            },
        };
        self.with(|owners, cx, view| owners.on_conn_event(cx, view, event));
    }

    /// Advances the clock, with a tick at each time that the owners ask for.
    pub(crate) fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        let mut ticks = 0;
        while let Some(at) = self.owners.wake_at().filter(|at| *at <= end) {
            ticks += 1;
            assert!(ticks < 1000, "the owners ask for 1000 ticks within {by:?}");
            self.now = self.now.max(at);
            self.with(|owners, cx, _| owners.on_tick(cx));
        }
        self.now = end;
    }

    /// Prints and drops the effects and raised events.
    fn show_effects(&mut self, out: &mut String) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Effect::Log(log_event) if !self.show_log => drop(log_event),
                effect => *out += &format!("{}\n", effect_line(effect)),
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

/// Formats an effect as a line.
fn effect_line(effect: Effect) -> String {
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
            msg: Msg::Group(GroupMsg::ConnectionFailed { upstream, .. }),
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
                let tx = answer.tx_status;
                format!("answer {}#{id} {verdict:?} tx={tx:?}{at}{pin}", to.host)
            }
            RelayMsg::Bounce { id, why } => format!("bounce {}#{id} {why:?}", to.host),
            msg => panic!("unexpected message {msg:?}"),
        },
        effect => panic!("unexpected effect {effect:?}"),
    }
}

/// Parses a floor; `none` stands for a session without one.
fn parse_floor(text: &str) -> Option<model::Position> {
    (text != "none").then(|| text.parse().unwrap())
}
