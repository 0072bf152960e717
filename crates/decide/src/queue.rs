//! Queues of requests that wait for a slot of an upstream, with a choice of discipline.

pub(crate) mod drr;

use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use model::WorkspaceId;

pub use crate::queue::drr::{Drr, DrrQueue};

/// The assumed service time of a request before any has been measured.
pub const UNMEASURED_COST: Duration = Duration::from_millis(1);

/// Order of an item among those that may run; the lowest first.
pub type Rank = u32;

/// The rank before which there is none.
pub const FIRST_RANK: Rank = 0;

/// A queueing discipline, which selects the queue type for any kind of item.
pub trait QueueDiscipline: Debug {
    /// The queue of this discipline.
    type RequestQueue<T: Debug>: RequestQueue<T>;
}

/// An item taken from the queue, to start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Popped<T> {
    /// The item itself.
    pub item: T,
    /// The service time that its workspace was charged in advance.
    pub charge: Duration,
}

/// The queue of all workspaces' requests for one upstream.
pub trait RequestQueue<T>: Debug + Default {
    /// Adds an item; an urgent one goes before all others of its workspace that are not urgent.
    fn push(&mut self, workspace: &WorkspaceId, item: T, urgent: bool);

    /// Removes the next eligible item and charges its workspace the expected service time.
    fn pop(&mut self, eligible: impl Fn(&T) -> bool) -> Option<Popped<T>> {
        self.pop_ranked(|item| eligible(item).then_some(FIRST_RANK))
    }

    /// Removes the item with the lowest rank and charges its workspace the expected service time.
    ///
    /// Items without a rank aren't eligible. The rank decides only among items that the discipline
    /// would otherwise let run by their order.
    fn pop_ranked(&mut self, rank: impl Fn(&T) -> Option<Rank>) -> Option<Popped<T>>;

    /// Replaces a charge by the measured service time.
    fn record_service_time(&mut self, workspace: &WorkspaceId, charge: Duration, took: Duration);

    /// Cancels the charge for an item that did not run.
    fn refund(&mut self, workspace: &WorkspaceId, charge: Duration);

    /// Returns the total service time, over all slots, expected to be spent before a new item
    /// starts.
    fn expected_wait(&self, workspace: &WorkspaceId, urgent: bool) -> Duration {
        self.expected_wait_behind(workspace, urgent, |_| true)
    }

    /// Returns the total service time, over all slots, expected to be spent before a new item
    /// starts that goes before those items of its workspace for which `ahead` is false.
    fn expected_wait_behind(
        &self,
        workspace: &WorkspaceId,
        urgent: bool,
        ahead: impl Fn(&T) -> bool,
    ) -> Duration;

    /// Returns the expected service time of an item of a workspace.
    fn expected_cost(&self, workspace: &WorkspaceId) -> Duration;

    /// Removes and returns the items that satisfy the predicate.
    fn drain_where(&mut self, pred: impl FnMut(&T) -> bool) -> Vec<T>;

    /// Returns all items, in no particular order.
    fn items<'a>(&'a self) -> impl Iterator<Item = &'a T>
    where
        T: 'a;

    /// Returns the number of queued items.
    fn len(&self) -> usize;

    /// Returns whether the queue is empty.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Exponentially weighted moving average of durations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage(Duration);

impl Default for MovingAverage {
    fn default() -> Self {
        Self(UNMEASURED_COST)
    }
}

impl MovingAverage {
    /// Weight of the old average relative to one new measurement.
    const OLD_WEIGHT: u32 = 15;

    /// Returns the current average.
    pub(crate) fn get(self) -> Duration {
        self.0
    }

    /// Adds a measurement.
    pub(crate) fn record(&mut self, took: Duration) {
        self.0 = (self.0 * Self::OLD_WEIGHT + took) / (Self::OLD_WEIGHT + 1);
    }
}

/// First in, first out over all workspaces; a baseline without fairness.
#[derive(Debug)]
pub struct Fifo;

impl QueueDiscipline for Fifo {
    type RequestQueue<T: Debug> = FifoQueue<T>;
}

/// The queue of [`Fifo`].
#[derive(Debug)]
pub struct FifoQueue<T> {
    items: VecDeque<T>,
    service_time: MovingAverage,
}

impl<T> Default for FifoQueue<T> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
            service_time: MovingAverage::default(),
        }
    }
}

impl<T: Debug> RequestQueue<T> for FifoQueue<T> {
    fn push(&mut self, _workspace: &WorkspaceId, item: T, _urgent: bool) {
        self.items.push_back(item);
    }

    fn pop_ranked(&mut self, rank: impl Fn(&T) -> Option<Rank>) -> Option<Popped<T>> {
        let (_, index) = first_ranked(&self.items, &rank)?;
        let item = self.items.remove(index)?;
        let charge = Duration::ZERO;
        Some(Popped { item, charge })
    }

    fn record_service_time(&mut self, _workspace: &WorkspaceId, _charge: Duration, took: Duration) {
        self.service_time.record(took);
    }

    fn refund(&mut self, _workspace: &WorkspaceId, _charge: Duration) {}

    fn expected_wait_behind(
        &self,
        _workspace: &WorkspaceId,
        _urgent: bool,
        ahead: impl Fn(&T) -> bool,
    ) -> Duration {
        let count = self.items.iter().filter(|item| ahead(item)).count();
        multiply(self.service_time.get(), count)
    }

    fn expected_cost(&self, _workspace: &WorkspaceId) -> Duration {
        self.service_time.get()
    }

    fn drain_where(&mut self, mut pred: impl FnMut(&T) -> bool) -> Vec<T> {
        drain_matching(&mut self.items, &mut pred)
    }

    fn items<'a>(&'a self) -> impl Iterator<Item = &'a T>
    where
        T: 'a,
    {
        self.items.iter()
    }

    fn len(&self) -> usize {
        self.items.len()
    }
}

/// Returns the lowest rank with the index of the first item that has it.
pub(crate) fn first_ranked<T>(
    items: &VecDeque<T>,
    rank: &impl Fn(&T) -> Option<Rank>,
) -> Option<(Rank, usize)> {
    let mut first = None;
    for (index, item) in items.iter().enumerate() {
        let Some(rank) = rank(item) else {
            continue;
        };
        if first.is_none_or(|(lowest, _)| rank < lowest) {
            first = Some((rank, index));
        }
        if rank == FIRST_RANK {
            break;
        }
    }
    first
}

/// Removes and returns the items that satisfy the predicate, in order.
pub(crate) fn drain_matching<T>(
    items: &mut VecDeque<T>,
    pred: &mut impl FnMut(&T) -> bool,
) -> Vec<T> {
    let (removed, kept) = std::mem::take(items)
        .into_iter()
        .partition(|item| pred(item));
    *items = kept;
    removed.into()
}

/// Returns `one * count`, saturating.
pub(crate) fn multiply(one: Duration, count: usize) -> Duration {
    one.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
