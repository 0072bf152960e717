//! Decides whether an owner runs a read itself or forwards it to a sibling instance.

use std::time::{Duration, Instant};

use model::{HashMap, HostId, UpstreamId};

use crate::load::LoadReport;
use crate::settings::BalanceSettings;

/// A sibling's expected wait must be this many times shorter. Reports are up to 100 ms old, in
/// which a sibling may get as much work again.
const GAIN: u32 = 2;
/// Time that forwarding takes: the way to another data centre, at most 0.9 ms one way, twice.
const FORWARD_TIME: Duration = Duration::from_millis(2);
/// How many reads may be forwarded to a sibling at once after a time without forwarding: the
/// requests that an instance has slots for, for each of two owners.
const CREDIT_MAX: f64 = 8.0;
/// A sibling where the expected wait is longer gets no reads of a faulty instance: a third of the
/// shortest latency objective in use, so that a service that is short of capacity ejects nothing.
const EJECT_WAIT_MAX: Duration = Duration::from_millis(50);

/// Another instance of the service.
#[derive(Clone, Copy, Debug)]
pub struct Sibling<'a> {
    /// The instance.
    pub upstream: &'a UpstreamId,
    /// The live hosts that own it.
    pub owners: &'a [&'a HostId],
    /// Whether it is in this host's data centre.
    pub near: bool,
}

/// A sibling instance that a read is forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The instance.
    pub upstream: UpstreamId,
    /// The wait that is expected at the owner's own instance.
    pub own_wait: Duration,
    /// The wait that is expected there.
    pub wait: Duration,
    /// The age of the oldest report that the expectation rests on.
    pub age: Duration,
}

/// The loads that other owners have reported, and the reads that may be forwarded.
#[derive(Debug, Default)]
pub struct Forwarder {
    reports: HashMap<UpstreamId, Vec<KnownLoad>>,
    /// How many reads may be forwarded from an instance (first) to a sibling (second).
    ///
    /// Each read for the first adds the share that a random choice would give the second, so that
    /// an owner that reports too little gets no more than that.
    credits: HashMap<(UpstreamId, UpstreamId), f64>,
    /// When this owner last reported the load of an instance.
    reported_at: HashMap<UpstreamId, Instant>,
}

/// The last report of one owner of an instance.
#[derive(Debug)]
struct KnownLoad {
    owner: HostId,
    report: LoadReport,
    at: Instant,
}

impl Forwarder {
    /// Records an owner's report of its work for an instance.
    pub fn record(&mut self, now: Instant, upstream: &UpstreamId, owner: &HostId, new: LoadReport) {
        let known = self.reports.entry(upstream.clone()).or_default();
        known.retain(|load| load.owner != *owner);
        known.push(KnownLoad {
            owner: owner.clone(),
            report: new,
            at: now,
        });
    }

    /// Forgets the reports of a host that can't be reached.
    pub fn forget_host(&mut self, host: &HostId) {
        for known in self.reports.values_mut() {
            known.retain(|load| load.owner != *host);
        }
    }

    /// Forgets the instances that don't match a filter.
    pub fn retain_upstreams(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.reports.retain(|id, _| keep(id));
        self.reported_at.retain(|id, _| keep(id));
        self.credits.retain(|(id, to), _| keep(id) && keep(to));
    }

    /// Returns whether an instance's load is to be reported now, and records that it is.
    ///
    /// Loads are reported only while an owner of the service is loaded.
    pub fn take_due_report(
        &mut self,
        now: Instant,
        cfg: &BalanceSettings,
        upstream: &UpstreamId,
        any_loaded: bool,
    ) -> bool {
        let last = self.reported_at.get(upstream);
        let due = last.is_none_or(|at| now.duration_since(*at) >= cfg.report_interval);
        if any_loaded && due {
            self.reported_at.insert(upstream.clone(), now);
        }
        any_loaded && due
    }

    /// Returns the sibling that a new read is to be forwarded to, if that shortens its wait.
    ///
    /// `own` is this owner's work for its instance. A sibling of which any owner has sent no recent
    /// report gets nothing.
    pub fn choose(
        &mut self,
        now: Instant,
        cfg: &BalanceSettings,
        upstream: &UpstreamId,
        own: LoadReport,
        siblings: &[Sibling<'_>],
    ) -> Option<Choice> {
        self.add_credits(upstream, siblings);
        let max_age = cfg.max_report_age();
        let own_wait = self.own_wait(now, max_age, upstream, own);
        if own_wait < cfg.forward_after {
            return None;
        }
        let allowed = siblings
            .iter()
            .filter(|to| self.credit(upstream, to.upstream) >= 1.0);
        let known = allowed.filter_map(|sibling| {
            let known = self.known_load(now, max_age, sibling);
            let (load, age) = known.filter(|(load, _)| !load.behind)?;
            Some((load.expected_wait(), !sibling.near, sibling.upstream, age))
        });
        let (wait, _, to, age) = known.min()?;
        if (wait.saturating_add(FORWARD_TIME)).saturating_mul(GAIN) > own_wait {
            return None;
        }
        let choice = Choice {
            upstream: to.clone(),
            own_wait,
            wait,
            age,
        };
        self.spend(upstream, own, &choice);
        Some(choice)
    }

    /// Returns the sibling that a new read of a faulty instance is to be forwarded to.
    ///
    /// It gets no more reads than in [`Self::choose`]: the share of a random choice. Owners without
    /// load send no reports, so a sibling that is not known to be loaded counts as idle.
    pub fn choose_for_faulty(
        &mut self,
        now: Instant,
        cfg: &BalanceSettings,
        upstream: &UpstreamId,
        own: LoadReport,
        siblings: &[Sibling<'_>],
    ) -> Option<Choice> {
        self.add_credits(upstream, siblings);
        let max_age = cfg.max_report_age();
        let own_wait = self.own_wait(now, max_age, upstream, own);
        let options = siblings.iter().filter_map(|sibling| {
            let credit = self.credit(upstream, sibling.upstream);
            let known = self.known_load(now, max_age, sibling);
            let (load, age) = known.unwrap_or_default();
            let wait = load.expected_wait();
            let has_room = wait <= EJECT_WAIT_MAX && !load.behind;
            let usable = credit >= 1.0 && has_room && !sibling.owners.is_empty();
            usable.then_some((wait, !sibling.near, credit, sibling.upstream, age))
        });
        let (wait, _, _, to, age) = options.min_by(|a, b| {
            let order = (a.0, a.1).cmp(&(b.0, b.1));
            order.then(b.2.total_cmp(&a.2)).then(a.3.cmp(b.3))
        })?;
        let choice = Choice {
            upstream: to.clone(),
            own_wait,
            wait,
            age,
        };
        self.spend(upstream, own, &choice);
        Some(choice)
    }

    /// Adds the share that a random choice would give each sibling of a read.
    fn add_credits(&mut self, upstream: &UpstreamId, siblings: &[Sibling<'_>]) {
        let share = 1.0 / (siblings.len() + 1) as f64;
        for sibling in siblings {
            let pair = (upstream.clone(), sibling.upstream.clone());
            let credit = self.credits.entry(pair).or_default();
            *credit = (*credit + share).min(CREDIT_MAX);
        }
    }

    /// Returns how many reads may be forwarded from an instance to a sibling.
    fn credit(&self, upstream: &UpstreamId, to: &UpstreamId) -> f64 {
        let pair = (upstream.clone(), to.clone());
        self.credits.get(&pair).copied().unwrap_or_default()
    }

    /// Counts a forwarded read.
    fn spend(&mut self, upstream: &UpstreamId, own: LoadReport, choice: &Choice) {
        let pair = (upstream.clone(), choice.upstream.clone());
        if let Some(credit) = self.credits.get_mut(&pair) {
            *credit -= 1.0;
        }
        // Until its next report, the sibling counts as having this read too.
        let reports = self.reports.get_mut(&choice.upstream);
        if let Some(load) = reports.and_then(|all| all.first_mut()) {
            let work = load.report.mean_work().max(own.mean_work());
            load.report = load.report.with_one_more(work);
        }
    }

    /// Returns the wait that is expected at an owner's own instance.
    fn own_wait(
        &self,
        now: Instant,
        max_age: Duration,
        upstream: &UpstreamId,
        own: LoadReport,
    ) -> Duration {
        let others = self.reports.get(upstream).into_iter().flatten();
        let others = others.filter(|load| now.duration_since(load.at) <= max_age);
        let all = others.fold(own, |sum, load| sum.and(load.report));
        all.expected_wait()
    }

    /// Returns the work of all owners of a sibling, with the age of the oldest report.
    fn known_load(
        &self,
        now: Instant,
        max_age: Duration,
        sibling: &Sibling<'_>,
    ) -> Option<(LoadReport, Duration)> {
        let known = self.reports.get(sibling.upstream)?;
        let mut sum = (LoadReport::default(), Duration::ZERO);
        for owner in sibling.owners {
            let load = known.iter().find(|load| load.owner == **owner)?;
            let age = now.duration_since(load.at);
            if age > max_age {
                return None;
            }
            sum = (sum.0.and(load.report), sum.1.max(age));
        }
        (!sibling.owners.is_empty()).then_some(sum)
    }
}
