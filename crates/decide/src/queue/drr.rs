//! Deficit round robin over workspaces, in units of measured service time.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use model::{HashMap, WorkspaceId};

use crate::queue::{
    FIRST_RANK, MovingAverage, Popped, QueueDiscipline, Rank, RequestQueue, UNMEASURED_COST,
    drain_matching, first_ranked, multiply,
};

/// The service time that each workspace is credited in a round.
pub(crate) const QUANTUM: Duration = Duration::from_millis(2);

/// How many items' credit an idle workspace may accumulate beyond one quantum.
const MAX_SAVED_ITEMS: usize = 4;

/// Nanoseconds of service time; negative for a debt.
type CreditNs = i128;

/// Deficit round robin: gives each workspace with queued items the same service time.
#[derive(Debug)]
pub struct Drr;

impl QueueDiscipline for Drr {
    type RequestQueue<T: Debug> = DrrQueue<T>;
}

/// The queue of [`Drr`].
///
/// The cost of an item is known only after it ran. A workspace is charged its average service
/// time in advance, the charge is corrected afterwards, and the workspace is served while its
/// deficit counter is positive.
#[derive(Debug)]
pub struct DrrQueue<T> {
    flows: HashMap<WorkspaceId, Flow<T>>,
    /// The active list: the workspaces with queued items, in round-robin order.
    active: VecDeque<WorkspaceId>,
    /// The current round.
    round: u64,
    /// The number of queued items.
    len: usize,
    /// The service time that all workspaces together have been charged.
    charged_total: CreditNs,
}

/// The queued items and the deficit counter of one workspace.
#[derive(Debug)]
struct Flow<T> {
    /// Urgent items, served before the others of this workspace.
    urgent: VecDeque<T>,
    /// Items that are not urgent.
    items: VecDeque<T>,
    /// The deficit counter: service time that the workspace may use in this round.
    deficit: CreditNs,
    /// The last round that the flow was credited for.
    credited_round: u64,
    /// The measured service time of an item.
    service_time: MovingAverage,
    /// The service time charged to all workspaces between two items of this one while it has items
    /// queued.
    turn_interval: MovingAverage,
    /// [`DrrQueue::charged_total`] when an item of it was last taken, if others stayed queued.
    charged_at_last_turn: Option<CreditNs>,
}

impl<T> Default for DrrQueue<T> {
    fn default() -> Self {
        Self {
            flows: HashMap::default(),
            active: VecDeque::new(),
            round: 0,
            len: 0,
            charged_total: 0,
        }
    }
}

impl<T> Flow<T> {
    /// Returns an empty flow, credited for the current round.
    fn new(round: u64) -> Self {
        Self {
            urgent: VecDeque::new(),
            items: VecDeque::new(),
            deficit: to_credit(QUANTUM),
            credited_round: round,
            service_time: MovingAverage::default(),
            turn_interval: MovingAverage::default(),
            charged_at_last_turn: None,
        }
    }

    /// Adds the credit of the rounds that have passed since it was last credited.
    fn credit_rounds(&mut self, round: u64) {
        let passed = CreditNs::from(round - self.credited_round);
        self.credited_round = round;
        self.deficit += passed * to_credit(QUANTUM);
    }

    /// Credits a workspace that was idle, up to a limit of [`MAX_SAVED_ITEMS`] items.
    ///
    /// With a lower limit, a workspace that is often idle would lose the corrections of charges that
    /// were too high.
    fn reactivate(&mut self, round: u64) {
        self.credit_rounds(round);
        let limit = QUANTUM + multiply(self.service_time.get(), MAX_SAVED_ITEMS);
        self.deficit = self.deficit.min(to_credit(limit));
    }

    /// Returns whether any item is eligible.
    fn has_eligible(&self, rank: &impl Fn(&T) -> Option<Rank>) -> bool {
        let mut items = self.urgent.iter().chain(&self.items);
        items.any(|item| rank(item).is_some())
    }

    /// Returns the rank of the item that [`Self::pop_eligible`] removes.
    fn next_rank(&self, rank: &impl Fn(&T) -> Option<Rank>) -> Option<Rank> {
        let next = first_ranked(&self.urgent, rank).or_else(|| first_ranked(&self.items, rank));
        next.map(|(rank, _)| rank)
    }

    /// Removes the eligible item of the lowest rank, urgent ones first.
    fn pop_eligible(&mut self, rank: &impl Fn(&T) -> Option<Rank>) -> Option<T> {
        if let Some((_, index)) = first_ranked(&self.urgent, rank) {
            return self.urgent.remove(index);
        }
        let (_, index) = first_ranked(&self.items, rank)?;
        self.items.remove(index)
    }

    /// Records how much all workspaces were charged since the last item of this one was taken.
    fn record_turn_interval(&mut self, charged_total: CreditNs) {
        if let Some(last) = self.charged_at_last_turn {
            // A correction may have refunded more than was charged since.
            let passed = u64::try_from((charged_total - last).max(0));
            self.turn_interval
                .record(Duration::from_nanos(passed.unwrap_or(0)));
        }
        self.charged_at_last_turn = (self.len() > 0).then_some(charged_total);
    }

    /// Returns the number of queued items.
    fn len(&self) -> usize {
        self.urgent.len() + self.items.len()
    }

    /// Returns the expected service time of all queued items of the workspace.
    fn backlog(&self) -> Duration {
        multiply(self.service_time.get(), self.len())
    }

    /// Returns how many rounds must pass until the deficit counter is positive.
    fn rounds_needed(&self, round: u64) -> u64 {
        let debt =
            -(self.deficit + CreditNs::from(round - self.credited_round) * to_credit(QUANTUM));
        if debt < 0 {
            return 0;
        }
        u64::try_from(debt / to_credit(QUANTUM) + 1).unwrap_or(u64::MAX)
    }
}

impl<T: Debug> DrrQueue<T> {
    /// Returns the place in the active list of the workspace that is served next: of those with
    /// credit, the first whose next item has the lowest rank.
    fn next_in_round(&mut self, rank: &impl Fn(&T) -> Option<Rank>) -> Option<usize> {
        let mut next = None;
        for (place, workspace) in self.active.iter().enumerate() {
            let Some(flow) = self.flows.get_mut(workspace) else {
                continue;
            };
            flow.credit_rounds(self.round);
            let Some(rank) = flow.next_rank(rank).filter(|_| flow.deficit > 0) else {
                continue;
            };
            if next.is_none_or(|(lowest, _)| rank < lowest) {
                next = Some((rank, place));
            }
            if rank == FIRST_RANK {
                break;
            }
        }
        next.map(|(_, place)| place)
    }

    /// Takes the next item of a workspace with credit and an eligible item.
    fn pop_in_round(&mut self, rank: &impl Fn(&T) -> Option<Rank>) -> Option<Popped<T>> {
        let place = self.next_in_round(rank)?;
        self.active.rotate_left(place);
        let flow = self.flows.get_mut(self.active.front()?)?;
        let item = flow.pop_eligible(rank)?;
        let charge = flow.service_time.get();
        flow.deficit -= to_credit(charge);
        flow.record_turn_interval(self.charged_total);
        self.charged_total += to_credit(charge);
        self.len -= 1;
        if flow.len() == 0 {
            self.active.pop_front();
        }
        Some(Popped { item, charge })
    }

    /// Advances to the next round in which a workspace with an eligible item has credit, or returns
    /// `None` if there is no such item.
    fn skip_rounds(&mut self, rank: &impl Fn(&T) -> Option<Rank>) -> Option<()> {
        let rounds = self
            .active
            .iter()
            .filter_map(|workspace| self.flows.get(workspace))
            .filter(|flow| flow.has_eligible(rank))
            .map(|flow| flow.rounds_needed(self.round))
            .min()?;
        self.round += rounds;
        Some(())
    }
}

impl<T: Debug> RequestQueue<T> for DrrQueue<T> {
    fn push(&mut self, workspace: &WorkspaceId, item: T, urgent: bool) {
        let flow = self
            .flows
            .entry(workspace.clone())
            .or_insert_with(|| Flow::new(self.round));
        if flow.len() == 0 {
            flow.reactivate(self.round);
            self.active.push_back(workspace.clone());
        }
        if urgent {
            flow.urgent.push_back(item);
        } else {
            flow.items.push_back(item);
        }
        self.len += 1;
    }

    fn pop_ranked(&mut self, rank: impl Fn(&T) -> Option<Rank>) -> Option<Popped<T>> {
        if let Some(popped) = self.pop_in_round(&rank) {
            return Some(popped);
        }
        self.skip_rounds(&rank)?;
        self.pop_in_round(&rank)
    }

    fn record_service_time(&mut self, workspace: &WorkspaceId, charge: Duration, took: Duration) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.service_time.record(took);
            flow.deficit += to_credit(charge) - to_credit(took);
            self.charged_total += to_credit(took) - to_credit(charge);
        }
    }

    fn refund(&mut self, workspace: &WorkspaceId, charge: Duration) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.deficit += to_credit(charge);
            self.charged_total -= to_credit(charge);
        }
    }

    // The greater of two estimates. By turns: the measured time between two items of this
    // workspace, for each of its items ahead. By backlog: the items ahead, and of each other
    // workspace its queue, but at most as much service time as this one gets and one quantum.
    fn expected_wait_behind(
        &self,
        workspace: &WorkspaceId,
        urgent: bool,
        ahead: impl Fn(&T) -> bool,
    ) -> Duration {
        let (own_backlog, by_turns) = match self.flows.get(workspace) {
            Some(flow) => {
                let items = flow.items.iter().filter(|item| !urgent && ahead(item));
                let before = flow.urgent.len() + items.count();
                let own_backlog = multiply(flow.service_time.get(), before);
                (own_backlog, multiply(flow.turn_interval.get(), before))
            }
            None => (Duration::ZERO, Duration::ZERO),
        };
        let others = self
            .active
            .iter()
            .filter(|other| *other != workspace)
            .filter_map(|other| self.flows.get(other));
        let by_backlog = others.fold(own_backlog, |sum, flow| {
            sum + flow.backlog().min(own_backlog + QUANTUM)
        });
        by_backlog.max(by_turns)
    }

    fn expected_cost(&self, workspace: &WorkspaceId) -> Duration {
        let flow = self.flows.get(workspace);
        flow.map_or(UNMEASURED_COST, |flow| flow.service_time.get())
    }

    fn drain_where(&mut self, mut pred: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for workspace in &self.active {
            if let Some(flow) = self.flows.get_mut(workspace) {
                removed.append(&mut drain_matching(&mut flow.urgent, &mut pred));
                removed.append(&mut drain_matching(&mut flow.items, &mut pred));
                if flow.len() == 0 {
                    flow.charged_at_last_turn = None;
                }
            }
        }
        let flows = &self.flows;
        self.active
            .retain(|workspace| flows.get(workspace).is_some_and(|flow| flow.len() > 0));
        self.len -= removed.len();
        removed
    }

    fn items<'a>(&'a self) -> impl Iterator<Item = &'a T>
    where
        T: 'a,
    {
        self.active
            .iter()
            .filter_map(|workspace| self.flows.get(workspace))
            .flat_map(|flow| flow.urgent.iter().chain(&flow.items))
    }

    fn len(&self) -> usize {
        self.len
    }
}

/// Converts a duration to credit.
fn to_credit(time: Duration) -> CreditNs {
    CreditNs::try_from(time.as_nanos()).unwrap_or(CreditNs::MAX)
}
