//! Each change of the configuration is in force on every host within its bound while changes never
//! pause: large and small ones, after lost messages, dead parents and restarts.

mod spread_net;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use decide::spread::SpreadLogEvent;
use decide::spread::facts::FactKey;
use decide::spread::link::Link;
use decide::spread::version_times::VersionTimes;
use model::config::{ReadRule, Route};
use model::{Config, ConfigVersion, HostId};
use rand::Rng;
use spread_net::Net;

const SECOND: Duration = Duration::from_secs(1);
/// Time after its commit within which a change must be in force on every host.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Time after a fault from which on a host must keep the bound (`stable-window-ms`).
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Pause between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
/// Time from a commit on the leader of consensus to the commit on its followers, longer than the
/// latency of a link.
const COMMIT_DELAY: Duration = Duration::from_millis(4);
/// Every so many changes one adds `LARGE_ROUTES` routes, more than an update that all parents send.
const LARGE_EVERY: u64 = 12;
const LARGE_ROUTES: usize = 100;

/// A fleet whose configuration changes without a pause.
struct Changes {
    net: Net,
    controls: BTreeSet<HostId>,
    /// The leader of consensus as long as it is up: the first to commit a version.
    leader: HostId,
    /// When each version was committed.
    committed: BTreeMap<ConfigVersion, Instant>,
    /// Hosts from which nothing is asked, as they are down or have just started.
    excused: BTreeSet<HostId>,
    large_every: u64,
    /// Control hosts on which consensus commits nothing, as they lag behind or are no members.
    lagging: BTreeSet<HostId>,
}

impl Changes {
    /// Returns a fleet with a control host in each data centre; `seed` changes the leader and the
    /// hosts' names, and with them which control hosts are the parents of a data centre.
    fn new(hosts: usize, seed: u64) -> Self {
        let mut net = Net::with_hosts(hosts, 4, seed, |info| {
            info.is_control_host = info.host.ends_with("-h0");
            info.is_entry_host = !info.is_control_host;
            info.host = format!("{}-{seed}", info.host).into();
        });
        net.settings.spread.relay_fanout = 8;
        let controls = net.quorum.clone();
        let leader = controls.iter().nth(seed as usize % controls.len());
        let leader = leader.expect("a control host").clone();
        net.commit_next();
        net.run(5 * SECOND);
        let all = net.hosts();
        assert!(net.all_views_have(&all, &all) && net.all_in_force(&all, 1));
        Self {
            net,
            controls,
            leader,
            committed: BTreeMap::new(),
            excused: BTreeSet::new(),
            large_every: LARGE_EVERY,
            lagging: BTreeSet::new(),
        }
    }

    /// Commits the next version, on the leader first; returns the version.
    fn change(&mut self) -> ConfigVersion {
        let mut config = Config::clone(&self.net.config);
        config.version += 1;
        let version = config.version;
        let routes = match version % self.large_every {
            0 => LARGE_ROUTES,
            _ => 1,
        };
        for nth in 0..routes {
            let route = Route {
                service: "s".into(),
                reads: ReadRule::Newest,
                timeout: SECOND,
                objective: SECOND,
                priority: 1,
                open: false,
            };
            config
                .routes
                .insert(format!("r{version}-{nth}").into(), route);
        }
        let running = self.net.hosts();
        let up = self.controls.difference(&self.lagging);
        let up = up.filter(|host| running.contains(host));
        let up: Vec<HostId> = up.cloned().collect();
        let leader = up.iter().find(|host| **host == self.leader);
        let leader = leader.unwrap_or(&up[0]).clone();
        self.net.quorum = BTreeSet::from([leader]);
        self.net.commit(config.clone());
        self.committed.insert(version, self.net.now);
        self.net.run(COMMIT_DELAY);
        self.net.quorum = up.into_iter().collect();
        self.net.commit(config);
        version
    }

    /// Checks that each host has in force what was committed `IN_FORCE_WITHIN` ago.
    fn check(&self) {
        let due = self.committed.iter().rev();
        let mut due = due.filter(|(_, at)| **at + IN_FORCE_WITHIN <= self.net.now);
        let Some((due, _)) = due.next() else { return };
        let hosts = self.net.hosts().into_iter();
        let asked = hosts.filter(|host| !self.excused.contains(host));
        let behind: Vec<(HostId, ConfigVersion)> = asked
            .map(|host| {
                let version = self.net.view(&host).config.version;
                (host, version)
            })
            .filter(|(_, version)| version < due)
            .collect();
        let newest = self.net.config.version;
        assert!(
            behind.is_empty(),
            "version {due} is not in force in time, of {newest}: {behind:?}"
        );
    }

    /// Runs for a time with a change every `CHANGE_INTERVAL`, and checks each on every host.
    fn run(&mut self, duration: Duration) {
        let end = self.net.now + duration;
        while self.net.now < end {
            self.change();
            self.net.run(CHANGE_INTERVAL - COMMIT_DELAY);
            self.check();
        }
    }

    /// Makes a change of which all updates to a host are lost, without a broken connection.
    fn change_lost_to(&mut self, host: &HostId) {
        let others = self.net.hosts().into_iter();
        let pairs = others.map(|other| (other, host.clone()));
        self.net.blocked_one_way.extend(pairs);
        self.change();
        self.net.run(Duration::from_millis(20));
        self.net.blocked_one_way.clear();
    }
}

/// Guards against large updates that two hosts leave to each other for as long as changes go on: the
/// control host that is the first to send them and has them from another control host, and the
/// second one.
#[test]
fn large_changes_reach_every_host_although_changes_never_pause() {
    for seed in 0..12 {
        Changes::new(23, seed).run(30 * SECOND);
    }
}

/// Guards against a host that gets only updates that start at a version it has missed, since each
/// change renewed the time after which its parents sent a lost one again.
#[test]
fn a_lost_update_is_sent_again_although_changes_never_pause() {
    for seed in 0..6 {
        let mut changes = Changes::new(23, seed);
        changes.large_every = u64::MAX;
        for host in changes.net.hosts() {
            if changes.controls.contains(&host) {
                continue;
            }
            changes.change_lost_to(&host);
            changes.run(4 * SECOND);
        }
    }
}

/// Guards against large updates that wait for a parent that has died.
#[test]
fn large_changes_reach_every_host_although_a_control_host_has_died() {
    for seed in 0..6 {
        let mut changes = Changes::new(23, seed);
        for control in changes.controls.clone() {
            changes.run(SECOND);
            changes.net.kill(&control);
            changes.excused.insert(control.clone());
            changes.run(6 * SECOND);
            changes.net.restart(&control);
            changes.run(3 * SECOND);
            changes.excused.clear();
        }
    }
}

/// Guards against hosts below a control host on which consensus lags behind.
#[test]
fn large_changes_reach_every_host_although_a_control_host_lags_behind() {
    for seed in 0..6 {
        let mut changes = Changes::new(23, seed);
        let leader = changes.leader.clone();
        for control in changes.controls.clone() {
            if control != leader {
                changes.lagging = BTreeSet::from([control]);
                changes.run(6 * SECOND);
            }
        }
    }
}

/// Guards against hosts of a data centre that was cut off and don't catch up while changes go on.
#[test]
fn a_data_centre_that_was_cut_off_catches_up_although_changes_never_pause() {
    for seed in 0..6 {
        let mut changes = Changes::new(23, seed);
        let home = format!("dc{}", (seed + 1) % 4);
        changes.excused = changes.net.hosts_in(&home).into_iter().collect();
        changes.lagging = changes
            .excused
            .intersection(&changes.controls)
            .cloned()
            .collect();
        changes.net.cut_off_data_centres.insert(home);
        changes.run(5 * SECOND);
        changes.net.cut_off_data_centres.clear();
        changes.lagging.clear();
        changes.run(STABLE_WINDOW);
        changes.excused.clear();
        changes.run(6 * SECOND);
    }
}

/// Guards against hosts that start at the same moment and wait for one another while changes go on.
#[test]
fn all_entry_hosts_that_start_at_once_catch_up_although_changes_never_pause() {
    for seed in 0..2 {
        let mut changes = Changes::new(140, seed);
        for host in changes.net.hosts() {
            if !changes.controls.contains(&host) {
                changes.net.restart(&host);
                changes.excused.insert(host);
            }
        }
        changes.run(STABLE_WINDOW);
        changes.excused.clear();
        changes.run(6 * SECOND);
    }
}

/// Guards against hosts in a tree of relays that wait for one another.
#[test]
fn large_changes_reach_every_host_of_a_tree_although_heads_and_relays_die() {
    for seed in 0..3 {
        let mut changes = Changes::new(140, seed);
        for _ in 0..4 {
            let all = changes.net.hosts();
            let victim = all[changes.net.rng.random_range(0..all.len())].clone();
            if changes.controls.contains(&victim) {
                continue;
            }
            changes.net.kill(&victim);
            changes.run(6 * SECOND);
            changes.net.restart(&victim);
            changes.excused.insert(victim);
            changes.run(5 * SECOND);
            changes.excused.clear();
        }
    }
}

/// Guards against hosts that start and never get a configuration in force while changes go on.
#[test]
fn a_host_that_starts_has_the_newest_version_although_changes_never_pause() {
    for seed in 0..6 {
        let mut changes = Changes::new(23, seed);
        for host in changes.net.hosts() {
            if changes.controls.contains(&host) {
                continue;
            }
            changes.net.restart(&host);
            changes.excused.insert(host);
            changes.run(3 * SECOND);
            changes.excused.clear();
        }
    }
}

/// Guards against a large change that one head of a data centre sends to all relays, so that its
/// link holds it up for all of them.
#[test]
fn both_heads_of_a_data_centre_send_large_changes() {
    for seed in 0..3 {
        let mut changes = Changes::new(140, seed);
        changes.large_every = 1;
        changes.net.count_bytes = true;
        changes.net.sent_by_host.clear();
        changes.run(SECOND);
        let mut entry = changes.net.hosts().into_iter();
        let entry = entry.find(|host| !changes.controls.contains(host));
        let entry = entry.expect("an entry host");
        let heads = changes.net.nodes[&entry].spread.tree().heads().to_vec();
        let sent = heads.iter().map(|head| changes.net.sent_by_host[head].1);
        let (least, most) = (sent.clone().min(), sent.max());
        let (least, most) = (least.unwrap_or(0), most.unwrap_or(0));
        println!("least={least} most={most}");
        assert!(most < least * 3, "one head sends {most} bytes, one {least}");
    }
}

/// Guards against a wait that never ends for a host that lacks more versions than are kept: changes
/// that come fast moved the time since which it lacks one.
#[test]
fn the_time_since_which_a_version_is_lacking_stays_when_more_come_than_are_kept() {
    let start = Instant::now();
    let mut times = VersionTimes::default();
    for version in 1..=100 {
        let at = start + Duration::from_millis(version);
        times.record(version, at, 10);
    }
    assert_eq!(
        times.first_above(Some(0)),
        Some(start + Duration::from_millis(1))
    );
    assert_eq!(
        times.first_above(Some(98)),
        Some(start + Duration::from_millis(99))
    );
    assert_eq!(times.first_above(Some(100)), None);
}

/// Guards against a fact that is never sent over a link between heads, since each of its changes
/// renews the time for which it waits for another sender.
#[test]
fn a_fact_that_changes_all_the_time_is_deferred_from_its_first_change_on() {
    let start = Instant::now();
    let mut link = Link::new(start, 0);
    link.start_stream(1, start);
    let key = FactKey::Host("host".into());
    for change in 0..10 {
        link.queue_fact(&key, Some(start + CHANGE_INTERVAL * change));
    }
    assert_eq!(link.deferred[&key], start);
}

impl Changes {
    /// Returns an entry host of which nothing is asked.
    fn excuse_entry_host(&mut self) -> HostId {
        let mut hosts = self.net.hosts().into_iter();
        let host = hosts.find(|host| !self.controls.contains(host));
        let host = host.expect("an entry host");
        self.excused.insert(host.clone());
        host
    }
}

/// Guards against a log that can't tell which version a host lacks, since when and who knows it, and
/// against lines without bound while that lasts.
#[test]
fn a_host_that_lacks_a_version_reports_it_once_a_second() {
    let mut changes = Changes::new(23, 1);
    let host = changes.excuse_entry_host();
    changes.net.no_config_to = Some(host.clone());
    let held = changes.net.config.version;
    changes.run(6 * SECOND);
    let mut nth = 0;
    for (of, report) in std::mem::take(&mut changes.net.lag_reports) {
        let SpreadLogEvent::ConfigBehind {
            held: reported,
            newest,
            lacking,
            ..
        } = report
        else {
            continue;
        };
        nth += 1;
        assert_eq!((&of, reported), (&host, held));
        assert!(newest > held && lacking >= SECOND * nth);
    }
    assert!((4..=6).contains(&nth), "{nth} reports");
    changes.net.no_config_to = None;
    changes.run(SECOND);
    changes.excused.clear();
    changes.run(3 * SECOND);
    let mut reports = changes.net.lag_reports.iter();
    assert!(!reports.any(|(_, report)| matches!(report, SpreadLogEvent::ConfigBehind { .. })));
}

/// Guards against a sender whose log can't tell which host lacks a version and why it sends nothing,
/// and against lines without bound.
#[test]
fn a_sender_reports_once_a_second_why_it_sends_no_update() {
    let mut changes = Changes::new(23, 1);
    let host = changes.excuse_entry_host();
    let others = changes.net.hosts().into_iter();
    let pairs = others.map(|other| (other, host.clone()));
    changes.net.blocked_one_way.extend(pairs);
    let held = changes.net.config.version;
    changes.run(6 * SECOND);
    let mut reports: BTreeMap<HostId, Vec<Duration>> = BTreeMap::new();
    for (of, report) in &changes.net.lag_reports {
        println!("{of} {report:?}");
        if let SpreadLogEvent::ConfigWithheld {
            host: behind,
            held: reported,
            newest,
            lacking,
            reason,
        } = report
        {
            assert_eq!((behind, *reported, *reason), (&host, held, "in-flight"));
            assert!(*newest > held && *lacking >= SECOND);
            reports.entry(of.clone()).or_default().push(*lacking);
        }
    }
    assert!(!reports.is_empty());
    let by_sender = reports.values();
    let mut pauses = by_sender.flat_map(|times| times.windows(2).map(|pair| pair[1] - pair[0]));
    assert!(pauses.all(|pause| pause >= SECOND));
}

/// Guards against a host that can't apply an update and doesn't say from whom and why.
#[test]
fn a_host_reports_the_updates_that_it_can_not_apply() {
    let mut changes = Changes::new(23, 1);
    changes.large_every = u64::MAX;
    let host = changes.excuse_entry_host();
    let held = changes.net.config.version;
    changes.change_lost_to(&host);
    changes.run(3 * SECOND);
    let reports = std::mem::take(&mut changes.net.lag_reports);
    let rejected = reports.iter().filter_map(|(of, report)| match report {
        SpreadLogEvent::ConfigUpdateRejected {
            from,
            base,
            version,
            held,
        } => Some((of, from, *base, *version, *held)),
        _ => None,
    });
    let rejected: Vec<_> = rejected.collect();
    println!("{rejected:?}");
    assert!((1..=8).contains(&rejected.len()), "{rejected:?}");
    for (of, from, base, version, held_then) in rejected {
        assert!(*of == host && *from != host && held_then == held);
        assert!(held < base && base < version);
    }
}
