//! Admits requests within their workspaces' rates, before they are routed.
//!
//! It runs in the traffic part (state of one thread) that serves the callers and spends the tokens
//! that the host's control part hands to it ([`crate::grant`]).

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{CONTROL_PART, Config, HashMap, WorkspaceId};

use crate::grant::{
    GrantSettings, NanoTokens, ONE_TOKEN, PartTokenDemand, PartTokenGrant, PartWorkspaceDemand,
    refill_amount,
};
use crate::{Cx, Effect, Event};

/// The shortest time until a waiting request tries again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(2);
/// The longest time until a waiting request tries again.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(50);
/// The shortest time between two reports of a traffic part to its control part.
const REPORT_GAP_MIN: Duration = Duration::from_millis(1);
/// The shortest time between two reports of which the later only says that more requests wait.
const WAITING_REPORT_GAP_MIN: Duration = Duration::from_millis(10);
/// How many requests of a workspace may wait however slowly tokens arrive.
const WAITING_LIMIT_MIN: u32 = 8;
/// The weight of the previous value in the moving averages of rates, from 0 to 1.
const RATE_SMOOTHING: f64 = 0.8;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It has its token and may run.
    Now,
    /// It has no token yet and should try again after a time, if its deadline allows.
    Wait(Duration),
    /// It is refused as over the rate.
    Refuse,
}

/// How a request waits for a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenWait {
    /// The time since it arrived, zero on its first try.
    pub waited: Duration,
    /// How long it may wait in all, if that is shorter than the setting `grant.max_wait`.
    pub bound: Duration,
    /// Whether it is refused at once while requests of its workspace wait in vain.
    pub refuse_at_once: bool,
}

/// Decides whether requests are within their workspace's rate.
pub trait Admission: Clone + Debug {
    /// Decides on a request.
    fn try_admit(&mut self, now: Instant, workspace: &WorkspaceId, wait: TokenWait) -> Admit;

    /// Stops counting a request as waiting, since it will not try again.
    fn abandon(&mut self, workspace: &WorkspaceId);

    /// Applies the configuration in force.
    fn on_config(&mut self, config: &Arc<Config>);

    /// Adds tokens from the control part.
    fn on_token_grant(&mut self, grant: &PartTokenGrant);

    /// Reports use and demand of tokens to the control part, if a report is due.
    fn flush(&mut self, cx: &mut Cx<'_>);

    /// Returns when the next report is due, `None` if there is nothing to report.
    fn wake_at(&self) -> Option<Instant>;
}

/// Admits a request for each token that the control part has granted.
#[derive(Clone, Debug)]
pub struct TokenAdmission {
    config: Arc<Config>,
    settings: GrantSettings,
    workspaces: HashMap<WorkspaceId, WorkspaceAdmission>,
    /// When the tokens expire.
    expires_at: Option<Instant>,
    /// When the rates of requests and tokens were last measured.
    measured_at: Option<Instant>,
    /// When the next report is due.
    next_report_at: Option<Instant>,
}

/// A traffic part's tokens and requests of one workspace.
#[derive(Clone, Debug, Default)]
struct WorkspaceAdmission {
    /// How many tokens may still be used.
    remaining: u32,
    /// How many tokens were used since the last report.
    used: u32,
    /// How many requests have arrived since the rates were last measured.
    arrived: u32,
    /// How many tokens were received since the rates were last measured.
    received: u32,
    /// How many requests wait for a token.
    waiting: u32,
    /// Moving average of requests a second.
    request_rate: f64,
    /// Moving average of received tokens a second.
    token_rate: f64,
    /// Whether the last report said that requests wait.
    reported_waiting: bool,
    /// Whether a request has waited in vain since the last token was received.
    starved: bool,
}

impl WorkspaceAdmission {
    /// Returns how many tokens cover the requests expected within the horizon.
    fn target(&self, horizon: Duration) -> u32 {
        (self.request_rate * horizon.as_secs_f64()) as u32
    }

    /// Returns how many requests may wait: those that get a token in time at the current rate.
    fn waiting_limit(&self, max_wait: Duration) -> u32 {
        WAITING_LIMIT_MIN + (self.token_rate * max_wait.as_secs_f64()) as u32
    }

    /// Updates the moving averages with the counts of the last seconds.
    fn measure(&mut self, seconds: f64) {
        let arrived = f64::from(std::mem::take(&mut self.arrived)) / seconds;
        let received = f64::from(std::mem::take(&mut self.received)) / seconds;
        self.request_rate = self.request_rate * RATE_SMOOTHING + arrived * (1.0 - RATE_SMOOTHING);
        self.token_rate = self.token_rate * RATE_SMOOTHING + received * (1.0 - RATE_SMOOTHING);
    }

    /// Returns the report for the control part, if anything has changed, and gives back with it the
    /// tokens beyond the target.
    fn report(
        &mut self,
        workspace: &WorkspaceId,
        horizon: Duration,
    ) -> Option<PartWorkspaceDemand> {
        let target = self.target(horizon);
        let returned = self.remaining.saturating_sub(target);
        self.remaining -= returned;
        let report = PartWorkspaceDemand {
            workspace: workspace.clone(),
            used: std::mem::take(&mut self.used),
            returned,
            waiting: self.waiting,
            prefetch: target - self.remaining,
        };
        let were_waiting = std::mem::replace(&mut self.reported_waiting, self.waiting > 0);
        let changed = report.used + returned + report.waiting + report.prefetch > 0;
        (changed || were_waiting).then_some(report)
    }
}

impl TokenAdmission {
    /// Returns an admission that has no tokens yet.
    pub fn new(settings: GrantSettings) -> Self {
        Self {
            config: Arc::default(),
            settings,
            workspaces: HashMap::default(),
            expires_at: None,
            measured_at: None,
            next_report_at: None,
        }
    }

    /// Drops the tokens once they have expired.
    fn expire(&mut self, now: Instant) {
        if self.expires_at.take_if(|until| *until <= now).is_some() {
            for admission in self.workspaces.values_mut() {
                admission.remaining = 0;
            }
        }
    }

    /// Makes a report due no later than a moment.
    fn schedule_report(&mut self, moment: Instant) {
        let at = self.next_report_at.get_or_insert(moment);
        *at = moment.min(*at);
    }
}

impl Admission for TokenAdmission {
    fn try_admit(&mut self, now: Instant, workspace: &WorkspaceId, wait: TokenWait) -> Admit {
        if !self.config.workspaces.contains_key(workspace) {
            return Admit::Refuse;
        }
        self.expire(now);
        let admission = self.workspaces.entry(workspace.clone()).or_default();
        let waited = wait.waited;
        let max = self.settings.max_wait.min(wait.bound);
        let is_new = waited.is_zero();
        admission.arrived += u32::from(is_new);
        if admission.remaining > 0 {
            admission.remaining -= 1;
            admission.used += 1;
            admission.waiting -= u32::from(!is_new && admission.waiting > 0);
            let few_left = admission.remaining * 2 < admission.target(self.settings.horizon);
            let gap = if few_left {
                REPORT_GAP_MIN
            } else {
                self.settings.report_every
            };
            self.schedule_report(now + gap);
            return Admit::Now;
        }
        let waited_too_long = waited >= max;
        admission.starved |= waited_too_long;
        // One request goes on waiting, so that the leader learns of the demand.
        let starved = wait.refuse_at_once && admission.starved && admission.waiting > 0;
        let too_many_waiting =
            is_new && (starved || admission.waiting >= admission.waiting_limit(max));
        if waited_too_long || too_many_waiting {
            admission.waiting -= u32::from(!is_new && admission.waiting > 0);
            return Admit::Refuse;
        }
        admission.waiting += u32::from(is_new);
        if is_new {
            let gap = if admission.reported_waiting {
                WAITING_REPORT_GAP_MIN
            } else {
                REPORT_GAP_MIN
            };
            self.schedule_report(now + gap);
        }
        let time_left = max - waited;
        Admit::Wait(
            (waited / 2)
                .clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
                .min(time_left),
        )
    }

    fn abandon(&mut self, workspace: &WorkspaceId) {
        if let Some(admission) = self.workspaces.get_mut(workspace) {
            admission.waiting = admission.waiting.saturating_sub(1);
        }
    }

    fn on_config(&mut self, config: &Arc<Config>) {
        self.config = config.clone();
        self.workspaces
            .retain(|workspace, _| config.workspaces.contains_key(workspace));
    }

    fn on_token_grant(&mut self, grant: &PartTokenGrant) {
        self.expires_at = Some(grant.expires_at);
        for allocation in &grant.allocations {
            let admission = self
                .workspaces
                .entry(allocation.workspace.clone())
                .or_default();
            admission.remaining += allocation.tokens;
            admission.received += allocation.tokens;
            admission.starved &= allocation.tokens == 0;
        }
    }

    fn flush(&mut self, cx: &mut Cx<'_>) {
        if self.next_report_at.is_none_or(|at| cx.now < at) {
            return;
        }
        self.next_report_at = None;
        self.expire(cx.now);
        let last = self.measured_at.unwrap_or(cx.now);
        let elapsed = cx.now.duration_since(last);
        if self.measured_at.is_none() || elapsed >= self.settings.report_every {
            self.measured_at = Some(cx.now);
            let seconds = elapsed.max(self.settings.report_every).as_secs_f64();
            for admission in self.workspaces.values_mut() {
                admission.measure(seconds);
            }
        }
        let horizon = self.settings.horizon;
        let admissions = self.workspaces.iter_mut();
        let workspaces: Vec<PartWorkspaceDemand> = admissions
            .filter_map(|(workspace, admission)| admission.report(workspace, horizon))
            .collect();
        if workspaces.is_empty() {
            return;
        }
        self.schedule_report(cx.now + self.settings.report_every);
        let part = cx.part;
        let event = Box::new(Event::TokenDemand(PartTokenDemand { part, workspaces }));
        let part = CONTROL_PART;
        cx.emit(Effect::ForwardEvent { part, event });
    }

    fn wake_at(&self) -> Option<Instant> {
        self.next_report_at
    }
}

/// Admits a fixed equal share of each rate on each host; tests compare grants with it.
#[derive(Clone, Debug)]
pub struct FixedShare {
    config: Arc<Config>,
    hosts: u32,
    buckets: HashMap<WorkspaceId, Bucket>,
}

/// A token bucket of one workspace on one host.
#[derive(Clone, Debug)]
struct Bucket {
    tokens: NanoTokens,
    refilled_at: Instant,
}

impl FixedShare {
    /// Returns an admission for a host of a fleet of `hosts` entry hosts.
    pub fn new(hosts: u32) -> Self {
        Self {
            config: Arc::default(),
            hosts: hosts.max(1),
            buckets: HashMap::default(),
        }
    }
}

impl Admission for FixedShare {
    fn try_admit(&mut self, now: Instant, workspace: &WorkspaceId, _wait: TokenWait) -> Admit {
        let Some(cfg) = self.config.workspaces.get(workspace) else {
            return Admit::Refuse;
        };
        let hosts = NanoTokens::from(self.hosts);
        let rate = NanoTokens::from(cfg.rate) * ONE_TOKEN / hosts;
        let burst = (NanoTokens::from(cfg.burst) * ONE_TOKEN / hosts).max(ONE_TOKEN);
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            tokens: burst,
            refilled_at: now,
        });
        let elapsed = now.duration_since(std::mem::replace(&mut bucket.refilled_at, now));
        bucket.tokens = burst.min(bucket.tokens + refill_amount(rate, elapsed));
        if bucket.tokens < ONE_TOKEN {
            return Admit::Refuse;
        }
        bucket.tokens -= ONE_TOKEN;
        Admit::Now
    }

    fn abandon(&mut self, _workspace: &WorkspaceId) {}

    fn on_config(&mut self, config: &Arc<Config>) {
        self.config = config.clone();
    }

    fn on_token_grant(&mut self, _grant: &PartTokenGrant) {}

    fn flush(&mut self, _cx: &mut Cx<'_>) {}

    fn wake_at(&self) -> Option<Instant> {
        None
    }
}
