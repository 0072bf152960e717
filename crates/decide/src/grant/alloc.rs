//! The leader's side of grants.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Config, HashMap, HashSet, HostId, Incarnation, PartAddr, WorkspaceId};

use crate::Cx;
use crate::grant::base::{ShareIndex, base_burst, base_share};
use crate::grant::book::{Book, Floating};
use crate::grant::reserve::Reserves;
use crate::grant::{Ask, Demand, Grant, GrantLogEvent, GrantLot, GrantMsg, GrantSettings};

/// How many grants to a host are remembered for its echo.
const REMEMBERED_GRANTS: usize = 64;

/// Hands out the tokens of all workspaces while this host leads consensus.
#[derive(Debug, Default)]
pub struct Allocator {
    lead: Option<Lead>,
    config: Arc<Config>,
    share_indexes: HashMap<HostId, ShareIndex>,
    hosts: HashMap<HostId, HostBook>,
    books: HashMap<WorkspaceId, Book>,
    reserves: Reserves,
    /// The share indexes of the hosts that may use their base shares.
    absent: Vec<ShareIndex>,
    /// The moment up to which `absent` holds and no host's tokens run out.
    holds_until: Option<Instant>,
}

/// This host's leadership.
#[derive(Debug)]
struct Lead {
    term: u64,
    /// The moment before which no other leader can have been elected.
    until: Instant,
    /// The moment from which grants of earlier leaders have run out or are known.
    from: Instant,
    /// The hosts that have told what they hold, and take nothing from earlier leaders.
    reported: HashSet<HostId>,
}

/// What the leader knows of a host.
#[derive(Debug, Default)]
struct HostBook {
    /// The last demand.
    seen: Option<(Incarnation, u64)>,
    /// The last grant.
    number: u64,
    /// When the last grants were sent, by number.
    sent: VecDeque<(u64, Instant)>,
    /// When the host can't use any tokens any more.
    until: Option<Instant>,
    /// When the host can't use its reserve any more.
    reserve_until: Option<Instant>,
    /// Until when it is known to leave its base share unused.
    base_unused_until: Option<Instant>,
}

impl HostBook {
    /// Returns whether the host is known to leave its base share unused.
    fn leaves_base(&self, now: Instant) -> bool {
        self.base_unused_until.is_some_and(|until| now < until)
    }

    /// Returns when a grant was sent.
    fn sent_at(&self, number: u64) -> Option<Instant> {
        let sent = self.sent.iter().find(|(sent, _)| *sent == number);
        sent.map(|(_, at)| *at)
    }

    /// Numbers a grant that is sent now.
    fn next(&mut self, now: Instant, lease: Duration, reserve_lease: Duration) -> u64 {
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > REMEMBERED_GRANTS {
            self.sent.pop_front();
        }
        self.until = Some(now + lease);
        self.reserve_until = Some(now + reserve_lease);
        self.number
    }
}

impl Allocator {
    /// Notes that this host leads a term, and that no other leader can be elected before a moment.
    pub fn on_leader(&mut self, cx: &mut Cx<'_>, term: u64, until: Instant) {
        if let Some(lead) = self.lead.as_mut().filter(|lead| lead.term == term) {
            lead.until = lead.until.max(until);
            return;
        }
        let from = cx.now + cx.settings.grant.lease;
        self.lead = Some(Lead {
            term,
            until,
            from,
            reported: HashSet::default(),
        });
        self.hosts.clear();
        self.books.clear();
        self.reserves.start(cx.now, &cx.settings.grant);
        self.holds_until = None;
        self.open_books(books_from(cx, from));
        cx.log(GrantLogEvent::Allocating { term });
    }

    /// Notes that this host does not lead any more.
    pub fn on_deposed(&mut self) {
        self.lead = None;
        self.hosts.clear();
        self.books.clear();
    }

    /// Takes in a committed configuration.
    pub fn on_config(&mut self, cx: &Cx<'_>, config: &Arc<Config>) {
        self.refill_all(cx);
        self.config = config.clone();
        let workspaces = &self.config.workspaces;
        self.books
            .retain(|workspace, _| workspaces.contains_key(workspace));
        if let Some(lead) = &self.lead {
            let from = books_from(cx, lead.from.max(cx.now));
            self.open_books(from);
        }
    }

    /// Opens the accounts that are missing, with nothing in hand until a moment.
    fn open_books(&mut self, from: Instant) {
        for workspace in self.config.workspaces.keys() {
            if !self.books.contains_key(workspace) {
                self.books.insert(workspace.clone(), Book::new(from));
            }
        }
    }

    /// Takes in the committed share indexes.
    ///
    /// A share index may pass to another host only once the base lease of the former one, counted
    /// from when that was last confirmed to have it, has run out.
    pub fn on_share_indexes(&mut self, cx: &Cx<'_>, share_indexes: &HashMap<HostId, ShareIndex>) {
        self.refill_all(cx);
        self.share_indexes.clone_from(share_indexes);
        self.holds_until = None;
    }

    /// Returns whether a host has a committed share index.
    pub fn has_share_index(&self, host: &HostId) -> bool {
        self.share_indexes.contains_key(host)
    }

    /// Answers a host's demand.
    pub fn on_demand(&mut self, cx: &mut Cx<'_>, from: &PartAddr, demand: &Demand) {
        let host = &from.host;
        let Some(lead) = self.lead.as_ref().filter(|lead| cx.now < lead.until) else {
            return;
        };
        // A new leader must know all hosts that may hold tokens: those that have share indexes.
        if !self.share_indexes.contains_key(host) {
            return;
        }
        let (term, starts) = (lead.term, lead.from);
        let book = self.hosts.entry(host.clone()).or_default();
        let seen = (demand.incarnation, demand.seq);
        if book.seen.is_some_and(|last| last >= seen) {
            return;
        }
        let started = book.seen.replace(seen);
        if started.is_some_and(|(incarnation, _)| incarnation < demand.incarnation) {
            self.reserves.lapse(cx.now, host);
        }
        if demand.term == term {
            let asks = &demand.asks;
            self.reserves.report(cx.now, host, asks, demand.remembers);
            self.reserves
                .open_if_known(cx.now, self.share_indexes.keys());
        }
        let early = cx.now < starts;
        if early {
            self.on_report(cx, host, demand);
            if !grants_needs_early(cx) || demand.term != term {
                return;
            }
        }
        self.refresh(cx);
        if let Some((_, number)) = demand.echo.filter(|(echoed, _)| *echoed == term) {
            self.on_echo(cx, host, number, &demand.asks);
            self.refresh(cx);
        }
        let GrantSettings {
            lease,
            reserve_lease,
            ..
        } = cx.settings.grant;
        let book = self.hosts.entry(host.clone()).or_default();
        let number = book.next(cx.now, lease, reserve_lease);
        let lots = self.hand_out(cx, host, number, &demand.asks, early);
        let grant = Grant {
            term,
            number,
            demand: demand.seq,
            share_index: self.share_indexes.get(host).copied(),
            lease,
            reserve_lease,
            lots,
        };
        cx.send(from.clone(), GrantMsg::Grant(grant));
    }

    /// Takes in what a host holds from earlier leaders, and starts once all hosts have told.
    fn on_report(&mut self, cx: &mut Cx<'_>, host: &HostId, demand: &Demand) {
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.term == demand.term) else {
            return;
        };
        lead.reported.insert(host.clone());
        if let Some(book) = self.hosts.get_mut(host) {
            book.until = Some(cx.now + cx.settings.grant.lease);
        }
        for ask in &demand.asks {
            if let Some(book) = self.books.get_mut(&ask.workspace) {
                book.settle(host, 0, ask.left);
            }
        }
        if self
            .share_indexes
            .keys()
            .all(|host| lead.reported.contains(host))
        {
            lead.from = cx.now;
            self.books.values_mut().for_each(|book| book.start(cx.now));
        }
    }

    /// Takes in what a host holds after the grants that it has received.
    fn on_echo(&mut self, cx: &mut Cx<'_>, host: &HostId, number: u64, asks: &[Ask]) {
        let Some(book) = self.hosts.get(host) else {
            return;
        };
        let Some(sent_at) = book.sent_at(number) else {
            return;
        };
        let unused_until = sent_at + cx.settings.grant.lease;
        self.holds_until = self.holds_until.map(|at| at.min(unused_until));
        if !book.leaves_base(cx.now) && unused_until > cx.now {
            self.refill_all(cx);
            self.holds_until = None;
            let host = host.clone();
            cx.log(GrantLogEvent::BaseUnused { host });
        }
        if let Some(book) = self.hosts.get_mut(host) {
            book.base_unused_until = book.base_unused_until.max(Some(unused_until));
        }
        for (workspace, book) in &mut self.books {
            let ask = asks.iter().find(|ask| ask.workspace == *workspace);
            book.settle(host, number, ask.map_or(0, |ask| ask.left));
        }
        self.reserves.settle(cx.now, host, number, asks);
    }

    /// Hands out tokens of the workspaces that a host asks for.
    fn hand_out(
        &mut self,
        cx: &Cx<'_>,
        host: &HostId,
        number: u64,
        asks: &[Ask],
        only_needs: bool,
    ) -> Vec<GrantLot> {
        let mut lots = Vec::new();
        for ask in asks {
            let Some(floating) = self.floating(cx, &ask.workspace) else {
                continue;
            };
            let Some(book) = self.books.get_mut(&ask.workspace) else {
                continue;
            };
            book.refill(cx.now, &floating);
            let wanted = if only_needs { 0 } else { ask.want };
            let tokens = book.hand_out(host, number, ask, wanted, &floating);
            let limit = self.reserve_limit(cx, &ask.workspace);
            let reserve = self.reserves.hand_out(cx.now, host, number, ask, limit);
            if tokens + reserve > 0 {
                let workspace = ask.workspace.clone();
                lots.push(GrantLot {
                    workspace,
                    tokens,
                    reserve,
                });
            }
        }
        lots
    }

    /// Returns the reserve of a workspace, and the window that it is counted over.
    fn reserve_limit(&self, cx: &Cx<'_>, workspace: &WorkspaceId) -> (u32, Duration) {
        let settings = &cx.settings.grant;
        let cfg = self.config.workspaces.get(workspace);
        let reserve = cfg.map_or(0, |cfg| settings.reserve_of(cfg));
        (reserve, settings.window.unwrap_or_default())
    }

    /// Returns what of a workspace isn't set aside for hosts that may use their base shares.
    fn floating(&self, cx: &Cx<'_>, workspace: &WorkspaceId) -> Option<Floating> {
        let settings: &GrantSettings = &cx.settings.grant;
        let cfg = self.config.workspaces.get(workspace)?;
        let limits = settings.limits(cfg);
        let mut floating = Floating {
            rate: limits.rate,
            burst: limits.burst,
            out: limits.burst.saturating_sub(base_burst(cfg, settings)),
        };
        for share_index in &self.absent {
            if let Some(base) = base_share(workspace, cfg, *share_index, settings) {
                floating.rate = floating.rate.saturating_sub(base.rate);
                floating.burst = floating.burst.saturating_sub(base.burst);
            }
        }
        Some(floating)
    }

    /// Brings all accounts up to date before something changes what flows in.
    fn refill_all(&mut self, cx: &Cx<'_>) {
        self.refresh(cx);
        let mut books = std::mem::take(&mut self.books);
        for (workspace, book) in &mut books {
            if let Some(floating) = self.floating(cx, workspace) {
                book.refill(cx.now, &floating);
            }
        }
        self.books = books;
    }

    /// Looks for hosts whose tokens have run out or that may use their base shares.
    fn refresh(&mut self, cx: &Cx<'_>) {
        let now = cx.now;
        if self.holds_until.is_some_and(|until| now < until) {
            return;
        }
        self.lapse(now);
        let leaves = |host: &HostId| {
            self.hosts
                .get(host)
                .is_some_and(|book| book.leaves_base(now))
        };
        let absent = self.share_indexes.iter().filter(|(host, _)| !leaves(host));
        self.absent = absent.map(|(_, share_index)| *share_index).collect();
        let ends = self
            .hosts
            .values()
            .flat_map(|book| [book.until, book.reserve_until, book.base_unused_until]);
        let ends = ends.flatten().filter(|end| *end > now);
        self.holds_until = Some(ends.fold(now + cx.settings.grant.lease, Instant::min));
    }

    /// Forgets the tokens of the hosts whose leases have run out.
    fn lapse(&mut self, now: Instant) {
        for (host, book) in &mut self.hosts {
            if book.until.take_if(|until| *until <= now).is_some() {
                for tokens in self.books.values_mut() {
                    tokens.lapse(host);
                }
            }
            let ended = book.reserve_until.take_if(|until| *until <= now);
            if ended.is_some() {
                self.reserves.lapse(now, host);
            }
        }
    }
}

/// Returns whether a new leader grants what is needed before it knows all of an earlier one's tokens.
///
/// What flows in from its election on and what the earlier one handed out never exceed a window
/// together. They could exceed the burst at one moment, were tokens kept for later: only requests
/// that wait get some.
fn grants_needs_early(cx: &Cx<'_>) -> bool {
    cx.settings.grant.window.is_some()
}

/// Returns the moment from which tokens flow in for a leader that knows all others from then on.
fn books_from(cx: &Cx<'_>, known_from: Instant) -> Instant {
    if grants_needs_early(cx) {
        cx.now
    } else {
        known_from
    }
}
