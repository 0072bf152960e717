//! Membership, failure detection, and dissemination of facts and configuration between hosts.
//!
//! A fact is something that every host should know: a host's attributes and whether it is alive, an
//! upstream's announcement and whether it has lapsed, or the primary of a service. The links form a
//! tree in each data centre: most hosts are children of two relays (in a small one of the two
//! heads), relays of the heads, and heads of control hosts. A host sends heartbeats to its parents,
//! which answer them.
//!
//! Each host has links to a few others (`relay_tree`) and exchanges heartbeats with them
//! (`heartbeat`, `failure_detector`). Facts travel over the links in numbered streams
//! (`fact_stream`, `merge`), and so does the configuration (`config_push`, `config_in_force`).
//! From the facts each host derives its own tables of hosts, upstreams and services (`tables`).

pub mod ack_lease_push;
pub mod announce;
pub mod announcement_lease;
pub mod config_delta;
pub mod config_in_force;
pub mod config_lag;
pub mod config_push;
pub mod fact_stream;
pub mod facts;
pub mod failure_detector;
pub mod heartbeat;
pub mod host_versions;
pub mod link;
pub mod log_event;
pub mod merge;
pub mod msg;
pub mod relay_tree;
pub mod settings;
pub mod status;
pub mod tables;
pub mod version_times;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use evac::{EvacEvent, HostEvacuations};
use model::{Config, ConfigVersion, DataCentreId, HashMap, HostId, HostInfo, PartAddr, UpstreamId};

use crate::ack_lease::AckLeaseHolder;
use crate::spread::announcement_lease::AnnouncementLeases;
use crate::spread::config_in_force::ConfigInForce;
use crate::spread::config_lag::ConfigLag;
use crate::spread::facts::{FactKey, FactTable};
use crate::spread::failure_detector::UnresponsiveHost;
use crate::spread::host_versions::HostVersions;
use crate::spread::link::Link;
use crate::spread::relay_tree::RelayTree;
use crate::spread::tables::FleetTables;
use crate::{Cx, Effect, Event, View};

pub use crate::spread::facts::Fact;
pub use crate::spread::log_event::SpreadLogEvent;
pub use crate::spread::msg::SpreadMsg;
pub use crate::spread::settings::SpreadSettings;

/// A control host named in the settings, by which a host joins the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The control host's name.
    pub host: HostId,
    /// The address on which it accepts links from other hosts.
    pub addr: SocketAddr,
}

/// One host's state of membership, facts and configuration, owned by its control part.
#[derive(Debug)]
pub struct Spread {
    /// This host, as its own fact describes it to the others.
    pub(crate) me: HostInfo,
    /// The sequence of this host's own fact.
    pub(crate) own_sequence: u64,
    /// The other data centres of which this host hears a host directly, sorted.
    pub(crate) heard_data_centres: Vec<DataCentreId>,
    /// The other control hosts that the settings name.
    pub(crate) seeds: BTreeMap<HostId, Seed>,
    pub(crate) facts: FactTable,
    /// When each fact about a dead host or lapsed upstream was learned; it is forgotten later.
    pub(crate) gone_since: HashMap<FactKey, Instant>,
    pub(crate) tables: FleetTables,
    /// The data centres with live hosts that this host can't exchange facts with.
    pub(crate) cut_off: BTreeSet<DataCentreId>,
    /// The hosts with which this one exchanges heartbeats and streams of facts.
    pub(crate) links: BTreeMap<HostId, Link>,
    /// The highest number of a heartbeat sent on any link, also on those that were dropped.
    pub(crate) highest_heartbeat: u32,
    /// Hosts that sent no heartbeats for `dead_after`; their links are dropped.
    pub(crate) unresponsive: BTreeMap<HostId, UnresponsiveHost>,
    /// The other control hosts, from the settings or from facts.
    pub(crate) other_control_hosts: BTreeSet<HostId>,
    /// The parent that was last asked for a new stream of facts, and when.
    pub(crate) last_sync_request: Option<(HostId, Instant)>,
    /// A host that contacted this one before this one knew any host; it serves as a parent.
    pub(crate) introducer: Option<HostId>,
    /// The relay tree of this host's data centre.
    pub(crate) tree: RelayTree,
    /// Whether a change of hosts calls for rebuilding the tree and the links.
    pub(crate) tree_stale: bool,
    /// Since when some other host has been heard without a break; `None` while none is.
    pub(crate) heard_since: Option<Instant>,
    pub(crate) next_heartbeat: Instant,
    /// When facts about what is long gone are next looked for.
    pub(crate) next_forget: Instant,
    /// When this host last tried dead hosts of its data centre that may have restarted.
    pub(crate) last_return_search: Instant,
    pub(crate) last_tick: Instant,
    /// When this host last resumed after a pause; what arrived during the pause is read after that.
    pub(crate) resumed_at: Option<Instant>,
    /// When the queued facts are to be sent.
    pub(crate) flush_at: Option<Instant>,
    /// Whether the seeds' addresses were passed on and this host's first fact was published.
    pub(crate) is_started: bool,
    pub(crate) config: ConfigInForce,
    /// The host that sent the held configuration; `None` if consensus committed it here.
    pub(crate) config_sender: Option<HostId>,
    /// The versions that this host lacks, as far as it has heard of them.
    pub(crate) config_lag: ConfigLag,
    /// When the configuration may come into force or stop being usable.
    pub(crate) config_wake_at: Option<Instant>,
    pub(crate) config_usable_until: Option<Instant>,
    /// Whether the configuration was usable when the last event ended.
    pub(crate) config_usable: bool,
    /// Whether the next view differs from the last one in its configuration.
    pub(crate) view_changed: bool,
    /// The evacuated data centres.
    pub(crate) evacuations: HostEvacuations,
    /// Leases of announcements of the upstreams that this host owns.
    pub(crate) leases: AnnouncementLeases,
    /// The versions in force on the hosts below this one.
    pub(crate) host_versions: HostVersions,
    /// The newest lease by which acknowledgements are passed on.
    pub(crate) ack_lease: AckLeaseHolder,
}

impl Spread {
    /// Returns the state of a host that has just started and knows no host but the seeds.
    pub fn new(me: HostInfo, seeds: Vec<Seed>, now: Instant) -> Self {
        let others = seeds.into_iter().filter(|seed| seed.host != me.host);
        let seeds: BTreeMap<HostId, Seed> = others.map(|seed| (seed.host.clone(), seed)).collect();
        let other_control_hosts = seeds.keys().cloned().collect();
        Self {
            cut_off: BTreeSet::new(),
            me,
            own_sequence: 0,
            heard_data_centres: Vec::new(),
            seeds,
            facts: FactTable::default(),
            gone_since: HashMap::default(),
            tables: FleetTables::default(),
            links: BTreeMap::new(),
            highest_heartbeat: 0,
            unresponsive: BTreeMap::new(),
            other_control_hosts,
            last_sync_request: None,
            introducer: None,
            tree: RelayTree::default(),
            tree_stale: true,
            heard_since: None,
            next_heartbeat: now,
            next_forget: now,
            last_return_search: now,
            last_tick: now,
            resumed_at: None,
            flush_at: None,
            is_started: false,
            config: ConfigInForce::new(now),
            config_sender: None,
            config_lag: ConfigLag::new(now),
            config_wake_at: None,
            config_usable_until: None,
            config_usable: false,
            view_changed: false,
            evacuations: HostEvacuations::default(),
            leases: AnnouncementLeases::default(),
            host_versions: HostVersions::new(now),
            ack_lease: AckLeaseHolder::new(now),
        }
    }

    /// Returns when `on_tick` must be called next.
    pub fn wake_at(&self) -> Option<Instant> {
        let config = self.config_wake_at.filter(|at| *at > self.last_tick);
        let others = [self.flush_at, self.leases.wake_at(), config];
        let first = others.into_iter().flatten().min();
        Some(first.map_or(self.next_heartbeat, |at| at.min(self.next_heartbeat)))
    }

    /// Sends heartbeats and queued facts that are due, and checks deadlines.
    pub fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.start_once(cx);
        if self.was_paused(cx) {
            self.resumed_at = Some(cx.now);
        }
        if cx.now >= self.next_heartbeat {
            self.heartbeat_round(cx);
        }
        self.last_tick = cx.now;
        if self.flush_at.is_some_and(|at| at <= cx.now) {
            self.flush_facts(cx);
        }
        self.check_leases(cx);
        self.finish_event(cx);
    }

    /// Handles a message from another host.
    pub fn on_msg(&mut self, cx: &mut Cx<'_>, from: PartAddr, msg: SpreadMsg) {
        self.start_once(cx);
        let from = from.host;
        match msg {
            SpreadMsg::Heartbeat(heartbeat) => self.on_heartbeat(cx, &from, *heartbeat, 0),
            SpreadMsg::LeasedHeartbeat {
                heartbeat,
                lease,
                evacuations,
            } => {
                self.on_ack_lease(cx, &from, heartbeat.echo, *lease);
                self.on_heartbeat(cx, &from, *heartbeat, evacuations);
            }
            SpreadMsg::Facts { position, facts } => self.on_facts(cx, &from, position, facts),
            SpreadMsg::Config(update) => self.on_config_update(cx, &from, *update),
            SpreadMsg::Versions(rows) => self.on_versions(&rows),
            SpreadMsg::Announce(announcement) => self.on_announce(cx, &from, &announcement),
            SpreadMsg::AskRenewal { upstream, sequence } => {
                self.on_ask_renewal(cx, &from, &upstream, sequence);
            }
            SpreadMsg::AskLiveness { host } => self.on_ask_liveness(cx, &from, host),
            SpreadMsg::ConfirmLiveness { host } => self.on_liveness_confirmed(cx, &host),
            SpreadMsg::Unlink => self.on_unlink(&from),
            SpreadMsg::Evacuations(evacuations) => self.on_evacuations(cx, &from, *evacuations),
            SpreadMsg::HeartbeatWithEvacuations {
                heartbeat,
                evacuations,
            } => self.on_heartbeat(cx, &from, *heartbeat, evacuations),
        }
        self.finish_event(cx);
    }

    /// Replaces the seeds after a change of the settings; control hosts known before stay known.
    pub fn set_seeds(&mut self, cx: &mut Cx<'_>, seeds: Vec<Seed>) {
        let others = seeds.into_iter().filter(|seed| seed.host != self.me.host);
        self.seeds = others.map(|seed| (seed.host.clone(), seed)).collect();
        for seed in self.seeds.values() {
            self.other_control_hosts.insert(seed.host.clone());
            let host = seed.host.clone();
            let addr = seed.addr;
            cx.emit(Effect::SetPeerAddress { host, addr });
        }
        self.tree_stale = true;
        self.finish_event(cx);
    }

    /// Handles a broken connection: messages to or from the host may be lost.
    ///
    /// The host's next heartbeat shows whether facts were lost.
    pub fn on_link_down(&mut self, cx: &mut Cx<'_>, host: &HostId) {
        if let Some(link) = self.links.get_mut(host) {
            link.needs_sync = true;
            link.forget_config_in_flight();
            link.evacuations_held = 0;
            link.evacuations_sent = None;
        }
        self.finish_event(cx);
    }

    /// Merges a fact that another module of this host has learned, and sends it to the links.
    pub fn publish_fact(&mut self, cx: &mut Cx<'_>, fact: Fact) {
        self.start_once(cx);
        self.merge(cx, fact, None);
        self.finish_event(cx);
    }

    /// Adopts a configuration that consensus has committed on this host.
    pub fn on_config_committed(&mut self, cx: &mut Cx<'_>, config: Arc<Config>) {
        self.start_once(cx);
        self.config.record_data_centre_version(config.version);
        let previous = self.config.in_force().map(|config| config.version);
        if self.config.adopt_full(config, cx.now, &cx.settings.spread) {
            self.forward_config(cx, None, previous);
        }
        self.finish_event(cx);
    }

    /// Records that a quorum has confirmed `version` as current at the moment `at`.
    pub fn on_config_confirmed(&mut self, cx: &mut Cx<'_>, version: ConfigVersion, at: Instant) {
        self.config.record_confirmation(version, at);
        let version = self.evacuations.version();
        self.evacuations
            .reduce(cx.now, EvacEvent::Confirmed { version, at });
        self.finish_event(cx);
    }

    /// Marks this host as leaving in its own fact, so that it gets no new work.
    pub fn start_leaving(&mut self, cx: &mut Cx<'_>) {
        self.start_once(cx);
        if !self.me.leaving {
            self.me.leaving = true;
            self.publish_own_fact(cx);
        }
        self.finish_event(cx);
    }

    /// Returns an immutable snapshot of configuration and tables, for the traffic parts.
    ///
    /// It copies the tables, so call it only after a change.
    pub fn view(&self, now: Instant) -> View {
        let mut upstreams = self.tables.upstreams().clone();
        for upstream in upstreams.values_mut() {
            upstream.last_ready_at = self.leases.last_ready_at(&upstream.announcement.upstream);
        }
        View {
            config: self.config.in_force().cloned().unwrap_or_default(),
            config_usable: self.config_usable_until.is_some_and(|until| now < until),
            hosts: self.tables.hosts().clone(),
            hosts_revision: Some(self.tables.hosts_revision()),
            upstreams,
            services: self.tables.services().clone(),
            evacuations: self.evacuations.in_force().clone(),
        }
    }

    /// Returns the control hosts, sorted: the live ones and those that the settings name.
    pub fn control_hosts(&self) -> Vec<HostId> {
        let live = self
            .tables
            .hosts()
            .values()
            .filter(|info| info.is_control_host);
        let live = live.map(|info| info.host.clone());
        let mut hosts: Vec<HostId> = live.chain(self.seeds.keys().cloned()).collect();
        if self.me.is_control_host {
            hosts.push(self.me.host.clone());
        }
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Returns the tables from which the view is copied.
    pub fn tables(&self) -> &FleetTables {
        &self.tables
    }

    /// Returns the relay tree of this host's data centre.
    pub fn tree(&self) -> &RelayTree {
        &self.tree
    }

    /// Emits the addresses of the seeds and publishes this host's first fact, on the first event.
    pub(crate) fn start_once(&mut self, cx: &mut Cx<'_>) {
        if self.is_started {
            return;
        }
        self.is_started = true;
        for seed in self.seeds.values() {
            let host = seed.host.clone();
            let addr = seed.addr;
            cx.emit(Effect::SetPeerAddress { host, addr });
        }
        self.publish_own_fact(cx);
    }

    /// Ends the handling of an event: brings leases, configuration and deadlines up to date.
    ///
    /// It raises one `TablesChanged` event if the view has changed.
    pub(crate) fn finish_event(&mut self, cx: &mut Cx<'_>) {
        self.update_leases_of_moved_upstreams(cx);
        self.put_config_in_force(cx);
        let settings = &cx.settings.spread;
        self.config_wake_at = self.config.wake_at(settings);
        self.config_usable_until = self.config.usable_until(settings);
        let usable = self.config_usable_until.is_some_and(|until| cx.now < until);
        if usable != self.config_usable {
            self.config_usable = usable;
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

    /// Returns whether this host is an owner of an upstream.
    pub(crate) fn owns(&self, upstream: &UpstreamId) -> bool {
        self.is_owner(&self.me.host, upstream)
    }

    /// Returns whether a host is one of the owners of a live upstream.
    pub(crate) fn is_owner(&self, host: &HostId, upstream: &UpstreamId) -> bool {
        let view = self.tables.upstreams().get(upstream);
        view.is_some_and(|view| view.owners.contains(host))
    }
}
