//! Admits requests within their workspaces' rates, in the part that holds the callers.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{CONTROL, Config, HashMap, WorkspaceId};

use crate::grant::{
    GrantSettings, NanoTokens, PartTokenDemand, PartTokenGrant, PartUse, TOKEN, inflow,
};
use crate::{Cx, Effect, Event};

/// The shortest time after which a request that waits should try again.
const MIN_RETRY: Duration = Duration::from_millis(2);
/// The longest time after which a request that waits should try again.
const MAX_RETRY: Duration = Duration::from_millis(50);
/// The least time between two reports of a part to its host.
const REPORT_GAP: Duration = Duration::from_millis(1);
/// The least time between two reports that only say that more requests wait.
const NEED_GAP: Duration = Duration::from_millis(10);
/// How many requests of a workspace may wait before it is known how fast tokens come.
const MIN_WAITING: u32 = 8;
/// The weight of the past against that of a new measurement of a rate.
const MEMORY: f64 = 0.8;

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It may go on.
    Now,
    /// It may try again after a time, if its deadline allows.
    Wait(Duration),
    /// It may not go on.
    Refuse,
}

/// Decides whether a request is within its workspace's rate.
pub trait Admission: Debug {
    /// Decides on a request that has waited for a time, zero the first time.
    fn try_admit(&mut self, now: Instant, workspace: &WorkspaceId, waited: Duration) -> Admit;

    /// Forgets a request that was told to wait.
    fn abandon(&mut self, workspace: &WorkspaceId);

    /// Takes in the configuration in force.
    fn on_config(&mut self, config: &Arc<Config>);

    /// Takes in tokens from the control part.
    fn on_token_grant(&mut self, feed: &PartTokenGrant);

    /// Tells the control part what is used and needed, when that is due.
    fn flush(&mut self, cx: &mut Cx<'_>);

    /// Returns the moment at which the next flush is due.
    fn wake_at(&self) -> Option<Instant>;
}

/// Admits by tokens that were granted before they are used.
#[derive(Debug)]
pub struct Granted {
    config: Arc<Config>,
    settings: GrantSettings,
    accounts: HashMap<WorkspaceId, Account>,
    /// When the tokens run out.
    until: Option<Instant>,
    reported_at: Option<Instant>,
    /// When the next report is due.
    report_at: Option<Instant>,
}

/// A part's tokens of one workspace.
#[derive(Debug, Default)]
struct Account {
    left: u32,
    /// How many were used since the last report.
    used: u32,
    /// How many requests have come since the last report.
    came: u32,
    /// How many tokens have come since the last report.
    fed: u32,
    /// How many requests wait.
    waiting: u32,
    /// Requests a second.
    rate: f64,
    /// Tokens a second.
    fed_rate: f64,
    /// Whether the control part thinks that requests wait.
    needs: bool,
}

impl Account {
    /// Returns how many tokens there should be for the expected demand.
    fn target(&self, horizon: Duration) -> u32 {
        (self.rate * horizon.as_secs_f64()) as u32
    }

    /// Returns how many requests may wait.
    fn waiting_max(&self, max_wait: Duration) -> u32 {
        MIN_WAITING + (self.fed_rate * max_wait.as_secs_f64()) as u32
    }

    /// Takes in what happened over a time.
    fn measure(&mut self, time: f64) {
        let came = f64::from(std::mem::take(&mut self.came)) / time;
        let fed = f64::from(std::mem::take(&mut self.fed)) / time;
        self.rate = self.rate * MEMORY + came * (1.0 - MEMORY);
        self.fed_rate = self.fed_rate * MEMORY + fed * (1.0 - MEMORY);
    }

    /// Returns what to report.
    fn report(&mut self, workspace: &WorkspaceId, horizon: Duration) -> Option<PartUse> {
        let target = self.target(horizon);
        let returned = self.left.saturating_sub(target);
        self.left -= returned;
        let report = PartUse {
            workspace: workspace.clone(),
            used: std::mem::take(&mut self.used),
            returned,
            need: self.waiting,
            want: target - self.left,
        };
        let needs = std::mem::replace(&mut self.needs, self.waiting > 0);
        let news = report.used + returned + report.need + report.want > 0;
        (news || needs).then_some(report)
    }
}

impl Granted {
    /// Returns an admission that has no tokens yet.
    pub fn new(settings: GrantSettings) -> Self {
        Self {
            config: Arc::default(),
            settings,
            accounts: HashMap::default(),
            until: None,
            reported_at: None,
            report_at: None,
        }
    }

    /// Forgets the tokens once they have run out.
    fn expire(&mut self, now: Instant) {
        if self.until.take_if(|until| *until <= now).is_some() {
            for account in self.accounts.values_mut() {
                account.left = 0;
            }
        }
    }

    /// Makes a report due at a moment at the latest.
    fn report_by(&mut self, moment: Instant) {
        let at = self.report_at.get_or_insert(moment);
        *at = moment.min(*at);
    }
}

impl Admission for Granted {
    fn try_admit(&mut self, now: Instant, workspace: &WorkspaceId, waited: Duration) -> Admit {
        if !self.config.workspaces.contains_key(workspace) {
            return Admit::Refuse;
        }
        self.expire(now);
        let account = self.accounts.entry(workspace.clone()).or_default();
        let new = waited.is_zero();
        account.came += u32::from(new);
        if account.left > 0 {
            account.left -= 1;
            account.used += 1;
            account.waiting -= u32::from(!new && account.waiting > 0);
            let low = account.left * 2 < account.target(self.settings.horizon);
            let gap = if low {
                REPORT_GAP
            } else {
                self.settings.report_every
            };
            self.report_by(now + gap);
            return Admit::Now;
        }
        let late = waited >= self.settings.max_wait;
        let crowded = new && account.waiting >= account.waiting_max(self.settings.max_wait);
        if late || crowded {
            account.waiting -= u32::from(!new && account.waiting > 0);
            return Admit::Refuse;
        }
        account.waiting += u32::from(new);
        if new {
            let gap = if account.needs { NEED_GAP } else { REPORT_GAP };
            self.report_by(now + gap);
        }
        let left = self.settings.max_wait - waited;
        Admit::Wait((waited / 2).clamp(MIN_RETRY, MAX_RETRY).min(left))
    }

    fn abandon(&mut self, workspace: &WorkspaceId) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    fn on_config(&mut self, config: &Arc<Config>) {
        self.config = config.clone();
        self.accounts
            .retain(|workspace, _| config.workspaces.contains_key(workspace));
    }

    fn on_token_grant(&mut self, feed: &PartTokenGrant) {
        self.until = Some(feed.until);
        for lot in &feed.lots {
            let account = self.accounts.entry(lot.workspace.clone()).or_default();
            account.left += lot.tokens;
            account.fed += lot.tokens;
        }
    }

    fn flush(&mut self, cx: &mut Cx<'_>) {
        if self.report_at.is_none_or(|at| cx.now < at) {
            return;
        }
        self.report_at = None;
        self.expire(cx.now);
        let last = self.reported_at.unwrap_or(cx.now);
        let time = cx.now.duration_since(last);
        if self.reported_at.is_none() || time >= self.settings.report_every {
            self.reported_at = Some(cx.now);
            let seconds = time.max(self.settings.report_every).as_secs_f64();
            for account in self.accounts.values_mut() {
                account.measure(seconds);
            }
        }
        let horizon = self.settings.horizon;
        let accounts = self.accounts.iter_mut();
        let uses: Vec<PartUse> = accounts
            .filter_map(|(workspace, account)| account.report(workspace, horizon))
            .collect();
        if uses.is_empty() {
            return;
        }
        self.report_by(cx.now + self.settings.report_every);
        let part = cx.part;
        let event = Box::new(Event::TokenDemand(PartTokenDemand { part, uses }));
        let part = CONTROL;
        cx.emit(Effect::ForwardEvent { part, event });
    }

    fn wake_at(&self) -> Option<Instant> {
        self.report_at
    }
}

/// Admits a fixed share of each rate on each host, as a baseline.
#[derive(Debug)]
pub struct FixedShare {
    config: Arc<Config>,
    hosts: u32,
    buckets: HashMap<WorkspaceId, Bucket>,
}

/// A token bucket.
#[derive(Debug)]
struct Bucket {
    tokens: NanoTokens,
    at: Instant,
}

impl FixedShare {
    /// Returns an admission for one of so many hosts.
    pub fn new(hosts: u32) -> Self {
        Self {
            config: Arc::default(),
            hosts: hosts.max(1),
            buckets: HashMap::default(),
        }
    }
}

impl Admission for FixedShare {
    fn try_admit(&mut self, now: Instant, workspace: &WorkspaceId, _waited: Duration) -> Admit {
        let Some(cfg) = self.config.workspaces.get(workspace) else {
            return Admit::Refuse;
        };
        let hosts = NanoTokens::from(self.hosts);
        let rate = NanoTokens::from(cfg.rate) * TOKEN / hosts;
        let burst = (NanoTokens::from(cfg.burst) * TOKEN / hosts).max(TOKEN);
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            tokens: burst,
            at: now,
        });
        let passed = now.duration_since(std::mem::replace(&mut bucket.at, now));
        bucket.tokens = burst.min(bucket.tokens + inflow(rate, passed));
        if bucket.tokens < TOKEN {
            return Admit::Refuse;
        }
        bucket.tokens -= TOKEN;
        Admit::Now
    }

    fn abandon(&mut self, _workspace: &WorkspaceId) {}

    fn on_config(&mut self, config: &Arc<Config>) {
        self.config = config.clone();
    }

    fn on_token_grant(&mut self, _feed: &PartTokenGrant) {}

    fn flush(&mut self, _cx: &mut Cx<'_>) {}

    fn wake_at(&self) -> Option<Instant> {
        None
    }
}
