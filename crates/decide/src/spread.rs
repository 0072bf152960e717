//! Spreads facts, liveness and configuration between hosts.
//!
//! Each host links to a few others (`spread_tree`) and exchanges heartbeats with them
//! (`spread_beat`, `spread_missed`). Facts flow over the links (`spread_flow`, `spread_merge`), and so
//! does the configuration (`spread_push`, `spread_config`). From the facts each host
//! keeps its own tables of hosts, upstreams and services (`spread_tables`).

pub mod announce;
pub mod beat;
pub mod config;
pub mod delta;
pub mod facts;
pub mod flow;
pub mod lease;
pub mod link;
pub mod log_event;
pub mod merge;
pub mod missed;
pub mod msg;
pub mod push;
pub mod settings;
pub mod tables;
pub mod tree;
pub mod versions;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::{Config, ConfigVersion, DataCentreId, HashMap, HostId, HostInfo, PartAddr, UpstreamId};

use crate::spread::config::ConfigInForce;
use crate::spread::facts::{FactKey, Facts};
use crate::spread::lease::Leases;
use crate::spread::link::Link;
use crate::spread::missed::Missed;
use crate::spread::tables::Tables;
use crate::spread::tree::Tree;
use crate::spread::versions::Versions;
use crate::view::{FleetStatus, HostStatus, ServiceStatus, UpstreamStatus};
use crate::{Cx, Effect, Event, View};

pub use crate::spread::facts::Fact;
pub use crate::spread::log_event::SpreadLogEvent;
pub use crate::spread::msg::SpreadMsg;
pub use crate::spread::settings::SpreadSettings;

/// A control host that the settings name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The host.
    pub host: HostId,
    /// Where it takes links from other hosts.
    pub addr: SocketAddr,
}

/// Facts, liveness and configuration as one host knows them.
#[derive(Debug)]
pub struct Spread {
    pub(crate) me: HostInfo,
    pub(crate) sequence: u64,
    pub(crate) reaches: Vec<DataCentreId>,
    pub(crate) seeds: BTreeMap<HostId, Seed>,
    pub(crate) facts: Facts,
    pub(crate) gone: HashMap<FactKey, Instant>,
    pub(crate) tables: Tables,
    /// The data centres with live hosts that this host can't exchange facts with.
    pub(crate) cut_off: BTreeSet<DataCentreId>,
    pub(crate) links: BTreeMap<HostId, Link>,
    /// Hosts whose heartbeats are missed.
    pub(crate) missed: BTreeMap<HostId, Missed>,
    /// The other control hosts, from the settings or from facts.
    pub(crate) controls: BTreeSet<HostId>,
    /// The parent that was last asked for a stream of facts, and when.
    pub(crate) asked: Option<(HostId, Instant)>,
    /// A host that has found this one before this one knew any host.
    pub(crate) introducer: Option<HostId>,
    pub(crate) tree: Tree,
    pub(crate) tree_stale: bool,
    /// The moment since which any other host is heard.
    pub(crate) joined: Option<Instant>,
    pub(crate) next_beat: Instant,
    pub(crate) forget_at: Instant,
    /// The moment at which this host last looked for hosts that are back.
    pub(crate) looked: Instant,
    pub(crate) last_tick: Instant,
    pub(crate) flush_at: Option<Instant>,
    pub(crate) introduced: bool,
    pub(crate) config: ConfigInForce,
    /// The moment at which the configuration held last changed.
    pub(crate) config_since: Instant,
    pub(crate) config_wake: Option<Instant>,
    pub(crate) usable_until: Option<Instant>,
    pub(crate) usable: bool,
    pub(crate) view_changed: bool,
    pub(crate) leases: Leases,
    pub(crate) versions: Versions,
}

impl Spread {
    /// Returns the state of a host that has just started and knows only control hosts.
    pub fn new(me: HostInfo, seeds: Vec<Seed>, now: Instant) -> Self {
        let others = seeds.into_iter().filter(|seed| seed.host != me.host);
        let seeds: BTreeMap<HostId, Seed> = others.map(|seed| (seed.host.clone(), seed)).collect();
        let controls = seeds.keys().cloned().collect();
        Self {
            cut_off: BTreeSet::new(),
            me,
            sequence: 0,
            reaches: Vec::new(),
            seeds,
            facts: Facts::default(),
            gone: HashMap::default(),
            tables: Tables::default(),
            links: BTreeMap::new(),
            missed: BTreeMap::new(),
            controls,
            asked: None,
            introducer: None,
            tree: Tree::default(),
            tree_stale: true,
            joined: None,
            next_beat: now,
            forget_at: now,
            looked: now,
            last_tick: now,
            flush_at: None,
            introduced: false,
            config: ConfigInForce::new(now),
            config_since: now,
            config_wake: None,
            usable_until: None,
            usable: false,
            view_changed: false,
            leases: Leases::default(),
            versions: Versions::new(now),
        }
    }

    /// Returns the moment at which a tick is wanted.
    pub fn wake_at(&self) -> Option<Instant> {
        let config = self.config_wake.filter(|at| *at > self.last_tick);
        let others = [self.flush_at, self.leases.wake_at(), config];
        let first = others.into_iter().flatten().min();
        Some(first.map_or(self.next_beat, |at| at.min(self.next_beat)))
    }

    /// Does what is due.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.introduce(cx);
        if cx.now >= self.next_beat {
            self.beat(cx);
        }
        self.last_tick = cx.now;
        if self.flush_at.is_some_and(|at| at <= cx.now) {
            self.flush(cx);
        }
        self.check_leases(cx);
        self.finish(cx);
    }

    /// Takes a message of another host.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: SpreadMsg) {
        self.introduce(cx);
        let from = from.host;
        match msg {
            SpreadMsg::Beat(beat) => self.on_beat(cx, &from, *beat),
            SpreadMsg::Facts { place, facts } => self.on_facts(cx, &from, place, facts),
            SpreadMsg::Config(update) => self.on_update(cx, &from, *update),
            SpreadMsg::Versions(rows) => self.on_versions(&rows),
            SpreadMsg::Announce(announcement) => self.take_announcement(cx, &announcement),
            SpreadMsg::AskRenewal { upstream, sequence } => {
                self.on_ask_renewal(cx, &from, &upstream, sequence);
            }
            SpreadMsg::AskHeard { host } => self.on_ask_heard(cx, &from, host),
            SpreadMsg::Heard { host } => self.on_heard(cx, &host),
            SpreadMsg::Unlink => self.on_unlink(&from),
        }
        self.finish(cx);
    }

    /// Takes other control hosts from the settings; those known already stay known.
    pub fn set_seeds(&mut self, cx: &mut Cx<'_>, seeds: Vec<Seed>) {
        let others = seeds.into_iter().filter(|seed| seed.host != self.me.host);
        self.seeds = others.map(|seed| (seed.host.clone(), seed)).collect();
        for seed in self.seeds.values() {
            self.controls.insert(seed.host.clone());
            let host = seed.host.clone();
            let addr = seed.addr;
            cx.emit(Effect::SetPeerAddress { host, addr });
        }
        self.tree_stale = true;
        self.finish(cx);
    }

    /// Notes that what was sent to a host may be lost; its next beat tells whether it is.
    pub fn on_link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        if let Some(link) = self.links.get_mut(host) {
            link.need = true;
            link.config_sent = None;
        }
        self.finish(cx);
    }

    /// Spreads a fact that another module of this host has learned.
    pub fn learn(&mut self, cx: &mut Cx<'_>, fact: Fact) {
        self.introduce(cx);
        self.merge(cx, fact, None);
        self.finish(cx);
    }

    /// Takes a configuration that consensus has committed on this host.
    pub fn on_config(&mut self, cx: &mut Cx<'_>, config: Arc<Config>) {
        self.introduce(cx);
        self.config.report_home(config.version);
        if self.config.take_whole(config, &cx.settings.spread) {
            self.after_config(cx, None);
        }
        self.finish(cx);
    }

    /// Notes that a quorum has confirmed a version as current.
    pub fn on_confirmed(&mut self, cx: &mut Cx<'_>, version: ConfigVersion, at: Instant) {
        self.config.confirm(version, at);
        self.finish(cx);
    }

    /// Marks this host as leaving, so that it gets no new work.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        self.introduce(cx);
        if !self.me.leaving {
            self.me.leaving = true;
            self.publish_self(cx);
        }
        self.finish(cx);
    }

    /// Returns a picture of all that is known, for the traffic parts.
    ///
    /// It copies the tables, so it is to be asked for only after a change.
    pub fn view(&self, now: Instant) -> View {
        View {
            config: self.config.in_force().cloned().unwrap_or_default(),
            config_usable: self.usable_until.is_some_and(|until| now < until),
            hosts: self.tables.hosts().clone(),
            upstreams: self.tables.upstreams().clone(),
            services: self.tables.services().clone(),
        }
    }

    /// Returns the control hosts: those alive, and those that the settings name.
    pub fn control_hosts(&self) -> Vec<HostId> {
        let live = self.tables.hosts().values().filter(|info| info.control);
        let live = live.map(|info| info.host.clone());
        let mut hosts: Vec<HostId> = live.chain(self.seeds.keys().cloned()).collect();
        if self.me.control {
            hosts.push(self.me.host.clone());
        }
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Returns the tables behind the view, without a copy.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the tree of this host's data centre.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns what this host knows of the fleet, without the state of consensus.
    ///
    /// A control host knows the versions in force on all hosts, another host those of
    /// the hosts that it has links to or that are below it.
    pub fn status_rows(&self, now: Instant) -> FleetStatus {
        let age = self.config.age(now);
        FleetStatus {
            host: self.me.host.to_string(),
            version: self.config.in_force().map_or(0, |config| config.version),
            confirmed_age: age.map(|age| age.as_secs_f64()),
            hosts: self.host_rows(),
            services: self.service_rows(),
            raft: None,
        }
    }

    fn host_rows(&self) -> Vec<HostStatus> {
        let hosts = self.facts.iter().filter_map(|fact| match fact {
            Fact::Host { info, .. } => Some(info),
            _ => None,
        });
        let mut rows: Vec<HostStatus> = hosts.map(|info| self.host_row(info)).collect();
        rows.sort_by(|a, b| a.host.cmp(&b.host));
        rows
    }

    fn host_row(&self, info: &HostInfo) -> HostStatus {
        let version = if info.host == self.me.host {
            self.config.in_force().map(|config| config.version)
        } else {
            let heard = self.links.get(&info.host).and_then(|link| link.version);
            heard.or_else(|| self.versions.get(&info.host))
        };
        HostStatus {
            host: info.host.to_string(),
            data_centre: info.data_centre.to_string(),
            version,
            alive: self.tables.hosts().contains_key(&info.host),
            leaving: info.leaving,
        }
    }

    fn service_rows(&self) -> Vec<ServiceStatus> {
        let mut rows: BTreeMap<&str, ServiceStatus> = BTreeMap::new();
        for fact in self.facts.iter() {
            let Fact::Upstream { announcement, .. } = fact else {
                continue;
            };
            let service = &announcement.service;
            let row = rows.entry(service).or_insert_with(|| {
                let primary = self.tables.primary(service);
                ServiceStatus {
                    service: service.to_string(),
                    term: primary.map_or(0, |(term, _)| *term),
                    primary: primary.map(|(_, upstream)| upstream.to_string()),
                    upstreams: Vec::new(),
                }
            });
            let view = self.tables.upstreams().get(&announcement.upstream);
            let owners = view.into_iter().flat_map(|view| &view.owners);
            row.upstreams.push(UpstreamStatus {
                upstream: announcement.upstream.to_string(),
                data_centre: announcement.data_centre.to_string(),
                live: view.is_some(),
                owners: owners.map(ToString::to_string).collect(),
            });
        }
        for row in rows.values_mut() {
            row.upstreams.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        }
        rows.into_values().collect()
    }

    /// Tells the addresses of the control hosts and spreads the first fact of this host.
    fn introduce(&mut self, cx: &mut Cx<'_>) {
        if self.introduced {
            return;
        }
        self.introduced = true;
        for seed in self.seeds.values() {
            let host = seed.host.clone();
            let addr = seed.addr;
            cx.emit(Effect::SetPeerAddress { host, addr });
        }
        self.publish_self(cx);
    }

    /// Raises one event if anything behind the view has changed.
    pub(crate) fn finish(&mut self, cx: &mut Cx<'_>) {
        self.renew_placed(cx);
        self.put_config_in_force(cx);
        let settings = &cx.settings.spread;
        self.config_wake = self.config.wake_at(settings);
        self.usable_until = self.config.usable_until(settings);
        let usable = self.usable_until.is_some_and(|until| cx.now < until);
        if usable != self.usable {
            self.usable = usable;
            self.view_changed = true;
            if let Some(config) = self.config.in_force() {
                let version = config.version;
                cx.log(SpreadLogEvent::ConfigUsable { version, usable });
            }
        }
        if self.tables.take_changed() || std::mem::take(&mut self.view_changed) {
            self.view_changed = false;
            cx.raise(Event::TablesChanged);
        }
    }

    /// Returns whether this host owns an upstream.
    pub(crate) fn owns(&self, upstream: &UpstreamId) -> bool {
        let view = self.tables.upstreams().get(upstream);
        view.is_some_and(|view| view.owners.contains(&self.me.host))
    }
}
