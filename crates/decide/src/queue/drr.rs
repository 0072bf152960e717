//! Deficit round robin over workspaces, on measured service time.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use model::{HashMap, WorkspaceId};

use crate::queue::{Average, Discipline, Popped, Queue, UNMEASURED_COST, drain, times};

/// The service time that each workspace is credited in a round.
pub(crate) const QUANTUM: Duration = Duration::from_millis(2);

/// How many items an idle workspace may have saved up credit for.
const MAX_SAVED: usize = 4;

/// Nanoseconds of service time, below zero for a debt.
type Credit = i128;

/// Gives each waiting workspace the same service time.
#[derive(Debug)]
pub struct Drr;

impl Discipline for Drr {
    type Queue<T: Debug> = DrrQueue<T>;
}

/// The queue of [`Drr`].
///
/// The cost of an item is known only after it ran. A workspace is charged its average
/// before, corrected after, and served as long as it is not in debt.
#[derive(Debug)]
pub struct DrrQueue<T> {
    flows: HashMap<WorkspaceId, Flow<T>>,
    /// The workspaces with items, the one whose turn it is first.
    ring: VecDeque<WorkspaceId>,
    round: u64,
    len: usize,
    /// The service time that all workspaces together were charged.
    work: Credit,
}

/// The items and the credit of one workspace.
#[derive(Debug)]
struct Flow<T> {
    urgent: VecDeque<T>,
    items: VecDeque<T>,
    deficit: Credit,
    /// The last round that it was credited for.
    round: u64,
    average: Average,
    /// The service time of all workspaces between two items of this one while it waits.
    turn: Average,
    /// What all were charged when it last had a turn, if items waited after that.
    last_turn: Option<Credit>,
}

impl<T> Default for DrrQueue<T> {
    fn default() -> Self {
        Self {
            flows: HashMap::default(),
            ring: VecDeque::new(),
            round: 0,
            len: 0,
            work: 0,
        }
    }
}

impl<T> Flow<T> {
    /// Returns a flow that is credited for the present round.
    fn new(round: u64) -> Self {
        Self {
            urgent: VecDeque::new(),
            items: VecDeque::new(),
            deficit: credit(QUANTUM),
            round,
            average: Average::default(),
            turn: Average::default(),
            last_turn: None,
        }
    }

    /// Credits the rounds that have passed since the last visit.
    fn visit(&mut self, round: u64) {
        let passed = Credit::from(round - self.round);
        self.round = round;
        self.deficit += passed * credit(QUANTUM);
    }

    /// Credits a workspace that comes back, which may have saved up a few items at most.
    ///
    /// With less, one that is often idle would lose what it was charged too much in advance.
    fn come_back(&mut self, round: u64) {
        self.visit(round);
        let most = QUANTUM + times(self.average.get(), MAX_SAVED);
        self.deficit = self.deficit.min(credit(most));
    }

    /// Returns whether an item may start.
    fn has(&self, eligible: &impl Fn(&T) -> bool) -> bool {
        self.urgent.iter().chain(&self.items).any(eligible)
    }

    /// Takes the first item that may start.
    fn take(&mut self, eligible: &impl Fn(&T) -> bool) -> Option<T> {
        if let Some(index) = self.urgent.iter().position(eligible) {
            return self.urgent.remove(index);
        }
        let index = self.items.iter().position(eligible)?;
        self.items.remove(index)
    }

    /// Measures how much was charged to all since the last turn.
    fn measure_turn(&mut self, work: Credit) {
        if let Some(last) = self.last_turn {
            // A correction may have taken back more than was charged since.
            let passed = u64::try_from((work - last).max(0));
            self.turn.add(Duration::from_nanos(passed.unwrap_or(0)));
        }
        self.last_turn = (self.len() > 0).then_some(work);
    }

    /// Returns how many items wait.
    fn len(&self) -> usize {
        self.urgent.len() + self.items.len()
    }

    /// Returns the service time that the items are expected to take.
    fn backlog(&self) -> Duration {
        times(self.average.get(), self.len())
    }

    /// Returns how many rounds must pass before the workspace is out of debt.
    fn rounds_needed(&self, round: u64) -> u64 {
        let debt = -(self.deficit + Credit::from(round - self.round) * credit(QUANTUM));
        if debt < 0 {
            return 0;
        }
        u64::try_from(debt / credit(QUANTUM) + 1).unwrap_or(u64::MAX)
    }
}

impl<T: Debug> DrrQueue<T> {
    /// Takes an item of the first workspace of the ring that has credit and may start one.
    fn pop_in_round(&mut self, eligible: &impl Fn(&T) -> bool) -> Option<Popped<T>> {
        for _ in 0..self.ring.len() {
            let flow = self.flows.get_mut(self.ring.front()?)?;
            flow.visit(self.round);
            if flow.deficit > 0
                && let Some(item) = flow.take(eligible)
            {
                let charge = flow.average.get();
                flow.deficit -= credit(charge);
                flow.measure_turn(self.work);
                self.work += credit(charge);
                self.len -= 1;
                if flow.len() == 0 {
                    self.ring.pop_front();
                }
                return Some(Popped { item, charge });
            }
            self.ring.rotate_left(1);
        }
        None
    }

    /// Moves on to the next round in which a workspace that may start an item has credit.
    fn skip_rounds(&mut self, eligible: &impl Fn(&T) -> bool) -> Option<()> {
        let rounds = self
            .ring
            .iter()
            .filter_map(|workspace| self.flows.get(workspace))
            .filter(|flow| flow.has(eligible))
            .map(|flow| flow.rounds_needed(self.round))
            .min()?;
        self.round += rounds;
        Some(())
    }
}

impl<T: Debug> Queue<T> for DrrQueue<T> {
    fn push(&mut self, workspace: &WorkspaceId, item: T, urgent: bool) {
        let flow = self
            .flows
            .entry(workspace.clone())
            .or_insert_with(|| Flow::new(self.round));
        if flow.len() == 0 {
            flow.come_back(self.round);
            self.ring.push_back(workspace.clone());
        }
        if urgent {
            flow.urgent.push_back(item);
        } else {
            flow.items.push_back(item);
        }
        self.len += 1;
    }

    fn pop(&mut self, eligible: impl Fn(&T) -> bool) -> Option<Popped<T>> {
        if let Some(popped) = self.pop_in_round(&eligible) {
            return Some(popped);
        }
        self.skip_rounds(&eligible)?;
        self.pop_in_round(&eligible)
    }

    fn served(&mut self, workspace: &WorkspaceId, charge: Duration, took: Duration) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.average.add(took);
            flow.deficit += credit(charge) - credit(took);
            self.work += credit(took) - credit(charge);
        }
    }

    fn refund(&mut self, workspace: &WorkspaceId, charge: Duration) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.deficit += credit(charge);
            self.work -= credit(charge);
        }
    }

    fn ahead(&self, workspace: &WorkspaceId, urgent: bool) -> Duration {
        let (own, turns) = match self.flows.get(workspace) {
            Some(flow) => {
                let before = if urgent {
                    flow.urgent.len()
                } else {
                    flow.len()
                };
                let own = times(flow.average.get(), before);
                (own, times(flow.turn.get(), before))
            }
            None => (Duration::ZERO, Duration::ZERO),
        };
        let others = self
            .ring
            .iter()
            .filter(|other| *other != workspace)
            .filter_map(|other| self.flows.get(other));
        let present = others.fold(own, |sum, flow| sum + flow.backlog().min(own + QUANTUM));
        present.max(turns)
    }

    fn cost(&self, workspace: &WorkspaceId) -> Duration {
        let flow = self.flows.get(workspace);
        flow.map_or(UNMEASURED_COST, |flow| flow.average.get())
    }

    fn drain_where(&mut self, mut pred: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut gone = Vec::new();
        for workspace in &self.ring {
            if let Some(flow) = self.flows.get_mut(workspace) {
                gone.append(&mut drain(&mut flow.urgent, &mut pred));
                gone.append(&mut drain(&mut flow.items, &mut pred));
                if flow.len() == 0 {
                    flow.last_turn = None;
                }
            }
        }
        let flows = &self.flows;
        self.ring
            .retain(|workspace| flows.get(workspace).is_some_and(|flow| flow.len() > 0));
        self.len -= gone.len();
        gone
    }

    fn items<'a>(&'a self) -> impl Iterator<Item = &'a T>
    where
        T: 'a,
    {
        self.ring
            .iter()
            .filter_map(|workspace| self.flows.get(workspace))
            .flat_map(|flow| flow.urgent.iter().chain(&flow.items))
    }

    fn len(&self) -> usize {
        self.len
    }
}

/// Returns a duration as credit.
fn credit(time: Duration) -> Credit {
    Credit::try_from(time.as_nanos()).unwrap_or(Credit::MAX)
}
