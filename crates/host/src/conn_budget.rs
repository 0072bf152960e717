//! The byte budget of the process: gives each connection its account, and closes the connection
//! that holds most of an exhausted budget.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use budget::{Account, AccountId, Accounts, BudgetSettings, Charge, Effect, Event, Pool};
use model::HashMap;
use tokio::sync::{Notify, OwnedSemaphorePermit, mpsc, watch};
use tokio::time::Duration;

use crate::logs;
use crate::metrics::Metrics;

/// How often a connection to close is looked for while another one waits for memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The memory in bytes that is assumed if the system reports none: that of a small machine.
const FALLBACK_MEMORY: u64 = 112 << 20;

/// Why the host closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// It held most of the memory for buffers, and its peer made no progress.
    NoMemory,
    /// Too many logins were under way, and it was the oldest of them.
    LoginsFull,
    /// It did not log in in time.
    LoginTimeout,
    /// Its peer stopped in the middle of a message.
    Unfinished,
    /// Its peer did not read what was sent to it.
    Unread,
    /// Its session keeps more than the memory for buffers allows.
    KeptTooMuch,
    /// The host serves as many connections as it may.
    ConnectionsFull,
}

impl CloseReason {
    /// Returns every reason.
    pub const fn all() -> [Self; 7] {
        [
            Self::NoMemory,
            Self::LoginsFull,
            Self::LoginTimeout,
            Self::Unfinished,
            Self::Unread,
            Self::KeptTooMuch,
            Self::ConnectionsFull,
        ]
    }

    /// Returns the reason as log lines and metrics write it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoMemory => "no-memory",
            Self::LoginsFull => "logins-full",
            Self::LoginTimeout => "login-timeout",
            Self::Unfinished => "unfinished-message",
            Self::Unread => "unread-answer",
            Self::KeptTooMuch => "kept-too-much",
            Self::ConnectionsFull => "connections-full",
        }
    }
}

/// Tells a connection's task to end.
#[derive(Debug, Default)]
pub(crate) struct Closing {
    reason: OnceLock<CloseReason>,
    told: Notify,
    /// Whether the caller has sent all of its login.
    login_sent: AtomicBool,
    /// The permit of the connection in whose favour this one is closed.
    permit: OnceLock<OwnedSemaphorePermit>,
}

impl Closing {
    /// Tells the task to end; the first reason counts.
    pub(crate) fn close(&self, reason: CloseReason) {
        let _ = self.reason.set(reason);
        self.told.notify_one();
    }

    /// Tells the task to end, and gives the permit back only once it has ended.
    pub(crate) fn close_in_favour_of(&self, reason: CloseReason, permit: OwnedSemaphorePermit) {
        let _ = self.permit.set(permit);
        self.close(reason);
    }

    /// Notes that the caller has sent all of its login.
    pub(crate) fn note_login_sent(&self) {
        self.login_sent.store(true, Ordering::Relaxed);
    }

    /// Returns whether the caller has sent all of its login.
    pub(crate) fn is_login_sent(&self) -> bool {
        self.login_sent.load(Ordering::Relaxed)
    }

    /// Waits until the task is told to end.
    pub(crate) async fn closed(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.reason.get() {
                return *reason;
            }
            self.told.notified().await;
        }
    }
}

/// What the keeper of the budget is told of connections.
enum Change {
    Opened(AccountId, Arc<Account>, Arc<Closing>),
    Closed(AccountId),
}

/// The byte budget of the process, from which each connection gets its account.
#[derive(Clone, Debug)]
pub struct Budget {
    pool: Arc<Pool>,
    cfg: Arc<BudgetSettings>,
    metrics: Arc<Metrics>,
    last_id: Arc<AtomicU64>,
    changes: mpsc::UnboundedSender<Change>,
}

/// What [`run_keeper`] receives.
pub(crate) struct KeeperInbox(mpsc::UnboundedReceiver<Change>);

impl Budget {
    /// Returns the budget of a process, and what its keeper reads.
    pub(crate) fn new(
        cfg: &BudgetSettings,
        pool: Arc<Pool>,
        metrics: Arc<Metrics>,
    ) -> (Self, KeeperInbox) {
        let (changes, rx) = mpsc::unbounded_channel();
        let budget = Self {
            pool,
            cfg: Arc::new(cfg.clone()),
            metrics,
            last_id: Arc::default(),
            changes,
        };
        (budget, KeeperInbox(rx))
    }

    /// Returns the settings.
    pub fn cfg(&self) -> &BudgetSettings {
        &self.cfg
    }

    /// Returns the counted bytes of the process.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Returns the account of a new connection that may be closed to free memory.
    pub fn open(&self) -> ConnBudget {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        let account = Arc::new(Account::new(self.pool.clone()));
        let closing = Arc::new(Closing::default());
        let opened = Change::Opened(id, account.clone(), closing.clone());
        let _ = self.changes.send(opened);
        ConnBudget {
            id,
            account,
            closing,
            budget: self.clone(),
        }
    }

    /// Returns a charge of no bytes for a connection that is never closed to free memory.
    pub fn charge(&self) -> Charge {
        Charge::new(Arc::new(Account::new(self.pool.clone())))
    }

    /// Counts and logs that the host closes a client's connection.
    pub fn note_closed(&self, reason: CloseReason, held: usize) {
        self.metrics.count_closed_client(reason);
        if logs::may_write(140) {
            let (reason, used) = (reason.as_str(), self.pool.used());
            log::warn!("event=140 client-closed reason={reason} held={held} used={used}");
        }
    }
}

/// The account of one connection; dropping it ends the account.
#[derive(Debug)]
pub struct ConnBudget {
    id: AccountId,
    account: Arc<Account>,
    closing: Arc<Closing>,
    budget: Budget,
}

impl ConnBudget {
    /// Returns a charge of no bytes.
    pub fn charge(&self) -> Charge {
        Charge::new(self.account.clone())
    }

    /// Returns the account.
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Returns the budget of the process.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns what tells the connection's task to end.
    pub(crate) fn closing(&self) -> &Arc<Closing> {
        &self.closing
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) -> CloseReason {
        self.closing.closed().await
    }

    /// Counts and logs that the connection is closed.
    pub fn note_closed(&self, reason: CloseReason) {
        self.budget.note_closed(reason, self.account.held());
    }
}

impl Drop for ConnBudget {
    fn drop(&mut self) {
        let _ = self.budget.changes.send(Change::Closed(self.id));
    }
}

/// Chooses and closes connections while the budget is exhausted, until the host stops.
pub(crate) async fn run_keeper(
    budget: Budget,
    mut inbox: KeeperInbox,
    mut stop: watch::Receiver<bool>,
) {
    let mut accounts = Accounts::new(budget.cfg.stalled_after);
    let mut closings = HashMap::default();
    let mut effects = Vec::new();
    loop {
        let event = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            change = inbox.0.recv() => match change {
                Some(Change::Opened(id, account, closing)) => {
                    closings.insert(id, closing);
                    Event::Opened(id, account)
                }
                Some(Change::Closed(id)) => {
                    closings.remove(&id);
                    Event::Closed(id)
                }
                None => return,
            },
            () = budget.pool.exhausted() => Event::Exhausted,
            () = tokio::time::sleep(RETRY_INTERVAL), if budget.pool.is_awaited() => {
                Event::Exhausted
            }
        };
        accounts.reduce(Instant::now(), event, &mut effects);
        for Effect::Close { id, .. } in effects.drain(..) {
            if let Some(closing) = closings.remove(&id) {
                closing.close(CloseReason::NoMemory);
            }
        }
    }
}

/// Returns the memory of the machine in bytes, as the system reports it.
pub(crate) fn machine_memory() -> u64 {
    let reported = std::fs::read_to_string("/proc/meminfo").ok();
    let kib = reported.as_deref().and_then(|text| {
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("MemTotal:"))?;
        line.trim().strip_suffix(" kB")?.parse::<u64>().ok()
    });
    kib.map_or(FALLBACK_MEMORY, |kib| kib << 10)
}
