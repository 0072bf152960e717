//! Queues of requests that wait for a slot, and the order in which they leave.

pub(crate) mod drr;

use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use model::WorkspaceId;

pub use crate::queue::drr::{Drr, DrrQueue};

/// What a request is taken to cost before any has been measured.
pub const UNMEASURED_COST: Duration = Duration::from_millis(1);

/// Chooses the queue that the requests for an upstream wait in.
pub trait Discipline: Debug {
    /// The queue.
    type Queue<T: Debug>: Queue<T>;
}

/// An item that may start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Popped<T> {
    /// The item.
    pub item: T,
    /// The service time that its workspace was charged in advance.
    pub charge: Duration,
}

/// Holds the requests of all workspaces that wait for one upstream.
pub trait Queue<T>: Debug + Default {
    /// Adds an item, before all that isn't urgent of its own workspace if it is urgent.
    fn push(&mut self, workspace: &WorkspaceId, item: T, urgent: bool);

    /// Takes the next eligible item and charges its workspace.
    fn pop(&mut self, eligible: impl Fn(&T) -> bool) -> Option<Popped<T>>;

    /// Corrects what a workspace was charged once the service time is measured.
    fn served(&mut self, workspace: &WorkspaceId, charge: Duration, took: Duration);

    /// Takes back a charge for an item that did not run.
    fn refund(&mut self, workspace: &WorkspaceId, charge: Duration);

    /// Returns the service time that is expected to pass before a new item starts.
    fn ahead(&self, workspace: &WorkspaceId, urgent: bool) -> Duration;

    /// Returns the service time that an item of a workspace is expected to take.
    fn cost(&self, workspace: &WorkspaceId) -> Duration;

    /// Removes and returns the items that satisfy the predicate.
    fn drain_where(&mut self, pred: impl FnMut(&T) -> bool) -> Vec<T>;

    /// Returns all items, in no particular order.
    fn items<'a>(&'a self) -> impl Iterator<Item = &'a T>
    where
        T: 'a;

    /// Returns how many items wait.
    fn len(&self) -> usize;

    /// Returns whether no item waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Keeps an average of measured service times that follows changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Average(Duration);

impl Default for Average {
    fn default() -> Self {
        Self(UNMEASURED_COST)
    }
}

impl Average {
    /// The weight of the past against that of one new measurement.
    const MEMORY: u32 = 15;

    /// Returns the average.
    pub(crate) fn get(self) -> Duration {
        self.0
    }

    /// Takes in a measurement.
    pub(crate) fn add(&mut self, took: Duration) {
        self.0 = (self.0 * Self::MEMORY + took) / (Self::MEMORY + 1);
    }
}

/// Serves requests in the order of their arrival, whoever sent them.
#[derive(Debug)]
pub struct Fifo;

impl Discipline for Fifo {
    type Queue<T: Debug> = FifoQueue<T>;
}

/// The queue of [`Fifo`].
#[derive(Debug)]
pub struct FifoQueue<T> {
    items: VecDeque<T>,
    average: Average,
}

impl<T> Default for FifoQueue<T> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
            average: Average::default(),
        }
    }
}

impl<T: Debug> Queue<T> for FifoQueue<T> {
    fn push(&mut self, _workspace: &WorkspaceId, item: T, _urgent: bool) {
        self.items.push_back(item);
    }

    fn pop(&mut self, eligible: impl Fn(&T) -> bool) -> Option<Popped<T>> {
        let index = self.items.iter().position(eligible)?;
        let item = self.items.remove(index)?;
        let charge = Duration::ZERO;
        Some(Popped { item, charge })
    }

    fn served(&mut self, _workspace: &WorkspaceId, _charge: Duration, took: Duration) {
        self.average.add(took);
    }

    fn refund(&mut self, _workspace: &WorkspaceId, _charge: Duration) {}

    fn ahead(&self, _workspace: &WorkspaceId, _urgent: bool) -> Duration {
        times(self.average.get(), self.items.len())
    }

    fn cost(&self, _workspace: &WorkspaceId) -> Duration {
        self.average.get()
    }

    fn drain_where(&mut self, mut pred: impl FnMut(&T) -> bool) -> Vec<T> {
        drain(&mut self.items, &mut pred)
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

/// Removes and returns the items that satisfy the predicate, in order.
pub(crate) fn drain<T>(items: &mut VecDeque<T>, pred: &mut impl FnMut(&T) -> bool) -> Vec<T> {
    let (gone, kept) = std::mem::take(items)
        .into_iter()
        .partition(|item| pred(item));
    *items = kept;
    gone.into()
}

/// Returns a duration taken a number of times.
pub(crate) fn times(one: Duration, count: usize) -> Duration {
    one.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
