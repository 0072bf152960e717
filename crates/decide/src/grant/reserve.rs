//! Tokens for the time in which the leader of consensus does not answer.
//!
//! They come on top of rate and burst, as far beyond these as the settings allow, and are
//! counted apart: what hosts hold of them, and what was used of them within the last window,
//! never add up to more than the reserve of the workspace. In each data centre one host keeps
//! its part of a workspace's reserve and lends it to the others: a fleet has more hosts than
//! most workspaces have tokens to spare.

use std::time::{Duration, Instant};

use model::config::Workspace;
use model::{DataCentreId, HashMap, HashSet, HostId, HostInfo, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::grant::book::Outstanding;
use crate::grant::recent::Recent;
use crate::grant::{Ask, GrantSettings};
use crate::placement::{can_own, rendezvous_score};

/// The part of the room that one host gets at a time, as a divisor.
const SHARE_OF_ROOM: u32 = 4;
/// The part of the reserve that is handed out, in tenths; the rest covers uses that count late.
const HANDED_OUT_TENTHS: u32 = 9;
impl GrantSettings {
    /// Returns the reserve of a workspace, for all hosts together.
    pub(crate) fn reserve_of(&self, cfg: &Workspace) -> u32 {
        let Some(window) = self.window else {
            return 0;
        };
        let all = f64::from(cfg.rate) * window.as_secs_f64() + f64::from(cfg.burst);
        let share = self.reserve_share + self.reserve_kept;
        let reserve = (all * share) as u32 + self.reserve_tokens;
        reserve * HANDED_OUT_TENTHS / 10
    }

    /// Returns how long it takes until a reserve that was out is there again.
    pub(crate) fn reserve_rest(&self) -> Duration {
        self.reserve_lease + self.window.unwrap_or_default()
    }
}

/// What a host tells of its reserve of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveAsk {
    /// How many tokens it may still use.
    pub left: u32,
    /// How many it gives back; they are not in `left`.
    pub returned: u32,
    /// How many it would like besides.
    pub want: u32,
    /// How many it has used within the last window.
    pub recent: u32,
}

/// The leader's account of one workspace's reserve.
#[derive(Debug, Default)]
pub(crate) struct ReservePool {
    out: Outstanding,
    spent: Recent,
}

impl ReservePool {
    /// Takes in what a host holds from an earlier leader.
    pub(crate) fn report(&mut self, now: Instant, host: &HostId, ask: &ReserveAsk) {
        self.out.settle(host, 0, ask.left);
        self.spent.add(now, ask.recent);
    }

    /// Takes in what a host still holds of what it was granted up to a number.
    pub(crate) fn settle(&mut self, now: Instant, host: &HostId, number: u64, ask: &ReserveAsk) {
        let had = self.out.settle(host, number, ask.left);
        let used = had.saturating_sub(ask.left + ask.returned);
        self.spent.add(now, used);
    }

    /// Counts what a host held as used, since nothing more will be heard of it.
    pub(crate) fn lapse(&mut self, now: Instant, host: &HostId) {
        let had = self.out.lapse(host);
        self.spent.add(now, had);
    }

    /// Hands out tokens; returns how many the host gets.
    pub(crate) fn hand_out(
        &mut self,
        now: Instant,
        host: &HostId,
        number: u64,
        want: u32,
        (reserve, window): (u32, Duration),
    ) -> u32 {
        let taken = self.out.total() + self.spent.within(now, window);
        let room = reserve.saturating_sub(taken);
        let tokens = want.min(room.div_ceil(SHARE_OF_ROOM));
        self.out.add(host, number, tokens);
        tokens
    }
}

/// The hosts among which the reserves of a data centre are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Home {
    /// The entry hosts of the data centre.
    pub hosts: Vec<HostId>,
    /// How many data centres there are.
    pub data_centres: usize,
}

impl Home {
    /// Returns the home of a host, by what is known of all.
    pub fn of<'a>(me: &HostInfo, hosts: impl Iterator<Item = &'a HostInfo> + Clone) -> Self {
        let entry = hosts.filter(|host| can_own(host));
        let home = entry.clone();
        let home = home.filter(|host| host.data_centre == me.data_centre);
        let mut hosts: Vec<HostId> = home.map(|host| host.host.clone()).collect();
        hosts.sort();
        let data_centres: HashSet<&DataCentreId> = entry.map(|host| &host.data_centre).collect();
        Self {
            hosts,
            data_centres: data_centres.len(),
        }
    }

    /// Returns the host that keeps a workspace's reserve.
    pub(crate) fn keeper(&self, workspace: &WorkspaceId) -> Option<&HostId> {
        let hosts = self.hosts.iter();
        hosts.max_by_key(|host| rendezvous_score(workspace, host))
    }

    /// Returns the part of a reserve that is kept here.
    pub(crate) fn part(&self, reserve: u32) -> u32 {
        let parts = u32::try_from(self.data_centres.max(1)).unwrap_or(u32::MAX);
        reserve.div_ceil(parts)
    }
}

/// A host's own reserve of one workspace.
#[derive(Debug, Default)]
pub(crate) struct ReserveStock {
    left: u32,
    recent: Recent,
    /// How many it should be, as this host is the keeper.
    pub(crate) target: u32,
    /// When the keeper was last asked for some.
    pub(crate) borrowed_at: Option<Instant>,
    /// Whether something has changed that no demand has told.
    news: bool,
    /// The first demand that has told the last change, until it is answered.
    told_by: Option<u64>,
}

impl ReserveStock {
    /// Returns how many tokens there are.
    pub(crate) fn left(&self) -> u32 {
        self.left
    }

    /// Adds tokens that were granted.
    pub(crate) fn add(&mut self, tokens: u32) {
        self.left += tokens;
    }

    /// Takes out tokens that are used before a moment; returns how many there were.
    pub(crate) fn draw(&mut self, used_by: Instant, need: u32) -> u32 {
        let tokens = need.min(self.left);
        self.left -= tokens;
        self.recent.add(used_by, tokens);
        self.news |= tokens > 0;
        tokens
    }

    /// Forgets the tokens, which have run out.
    pub(crate) fn expire(&mut self) {
        self.news |= self.left > 0;
        self.left = 0;
    }

    /// Notes that the leader has answered a demand.
    pub(crate) fn answered(&mut self, demand: u64) {
        self.told_by.take_if(|told| *told <= demand);
    }

    /// Returns what to tell the leader, if there is anything to tell.
    ///
    /// A leader that knows nothing of this host yet is told everything.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        seq: u64,
        everything: bool,
        settings: &GrantSettings,
    ) -> Option<ReserveAsk> {
        let returned = self.left.saturating_sub(self.target);
        self.left -= returned;
        let recent = if everything {
            self.recent.within(now, settings.window.unwrap_or_default())
        } else {
            0
        };
        let ask = ReserveAsk {
            left: self.left,
            returned,
            want: self.target - self.left,
            recent,
        };
        if std::mem::take(&mut self.news) || returned > 0 {
            self.told_by = Some(seq);
        }
        let holds = ask.left + ask.recent > 0;
        let tells = self.told_by.is_some() || ask.want > 0 || (everything && holds);
        tells.then_some(ask)
    }
}

/// The reserves of all workspaces at the leader.
#[derive(Debug, Default)]
pub(crate) struct Reserves {
    pools: HashMap<WorkspaceId, ReservePool>,
    /// The hosts whose reserves are known in this term.
    known: HashSet<HostId>,
    /// Whether a host has forgotten what it used before it started.
    forgotten: bool,
    /// The moment before which nothing is handed out.
    from: Option<Instant>,
}

impl Reserves {
    /// Starts a term: all that earlier leaders handed out may be in use until a moment.
    pub(crate) fn start(&mut self, now: Instant, settings: &GrantSettings) {
        *self = Self {
            from: Some(now + settings.reserve_rest()),
            ..Self::default()
        };
    }

    /// Takes in what a host tells first in this term.
    pub(crate) fn report(&mut self, now: Instant, host: &HostId, asks: &[Ask], remembers: bool) {
        if !self.known.insert(host.clone()) {
            return;
        }
        self.forgotten |= !remembers;
        for ask in asks {
            if let Some(reserve) = &ask.reserve {
                let pool = self.pools.entry(ask.workspace.clone()).or_default();
                pool.report(now, host, reserve);
            }
        }
    }

    /// Hands out at once if all hosts that may hold any have told.
    pub(crate) fn open_if_known<'a>(
        &mut self,
        now: Instant,
        mut hosts: impl Iterator<Item = &'a HostId>,
    ) {
        if !self.forgotten
            && self.from.is_some_and(|from| now < from)
            && hosts.all(|host| self.known.contains(host))
        {
            self.from = Some(now);
        }
    }

    /// Takes in what a host still holds.
    pub(crate) fn settle(&mut self, now: Instant, host: &HostId, number: u64, asks: &[Ask]) {
        for ask in asks {
            if let Some(reserve) = &ask.reserve
                && let Some(pool) = self.pools.get_mut(&ask.workspace)
            {
                pool.settle(now, host, number, reserve);
            }
        }
    }

    /// Counts all that a host held as used.
    pub(crate) fn lapse(&mut self, now: Instant, host: &HostId) {
        for pool in self.pools.values_mut() {
            pool.lapse(now, host);
        }
    }

    /// Hands out tokens of one workspace; returns how many the host gets.
    pub(crate) fn hand_out(
        &mut self,
        now: Instant,
        host: &HostId,
        number: u64,
        ask: &Ask,
        limit: (u32, Duration),
    ) -> u32 {
        let want = ask.reserve.as_ref().map_or(0, |reserve| reserve.want);
        let open = self.from.is_some_and(|from| from <= now);
        if want == 0 || !open || !self.known.contains(host) {
            return 0;
        }
        let pool = self.pools.entry(ask.workspace.clone()).or_default();
        pool.hand_out(now, host, number, want, limit)
    }
}
