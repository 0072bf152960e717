//! The concurrency limit of owners that share an instance, on a simulated clock.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use room::ConcurrencyLimit;

/// Slots that the instance announces.
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(1);
/// Time in which the instance runs a statement.
const WORK: Duration = Duration::from_millis(10);

/// An owner that always has more work, with the start times and ends of what the instance runs.
#[derive(Default)]
struct Owner {
    limit: ConcurrencyLimit,
    running: Vec<(Instant, Instant)>,
    accepted: u32,
    busy: u32,
}

impl Owner {
    /// Lets a step pass on an instance that runs `capacity` statements and queues none.
    fn step(&mut self, now: Instant, in_use: &mut usize, capacity: usize) {
        self.limit.on_tick(now);
        let before = self.running.len();
        self.running.retain(|(_, end)| *end > now);
        let ended = before - self.running.len();
        *in_use -= ended;
        (0..ended).for_each(|_| self.limit.on_success(SLOTS));
        while self.running.len() < self.limit.allowed(now, SLOTS) as usize {
            if *in_use < capacity {
                *in_use += 1;
                self.accepted += 1;
                self.running.push((now, now + WORK));
            } else {
                self.busy += 1;
                self.limit.on_busy(now, now, SLOTS);
            }
        }
    }
}

/// Lets two owners use an instance for a time.
fn run(owners: &mut [Owner; 2], now: &mut Instant, time: Duration, capacity: usize) {
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..time.as_millis() / STEP.as_millis() {
        *now += STEP;
        let mut in_use = owners.iter().map(|owner| owner.running.len()).sum();
        let first = rng.random_range(0..2);
        owners[first].step(*now, &mut in_use, capacity);
        owners[1 - first].step(*now, &mut in_use, capacity);
    }
}

/// Guards against owners that each fill all slots of an instance which runs fewer: most of what
/// they sent was answered busy, and only cost the instance time.
#[test]
fn owners_keep_an_instance_busy_with_few_rejections_whatever_it_can_run() {
    for capacity in [2, 4, 6, 12, 16] {
        let (mut owners, mut now) = (<[Owner; 2]>::default(), Instant::now());
        run(&mut owners, &mut now, Duration::from_secs(10), capacity);
        let accepted: u32 = owners.iter().map(|owner| owner.accepted).sum();
        let busy: u32 = owners.iter().map(|owner| owner.busy).sum();
        let possible = 1000.0 * capacity as f64;
        let used = f64::from(accepted) / possible;
        let rejected = f64::from(busy) / f64::from(accepted + busy);
        println!("capacity {capacity}: used {used:.3}, rejected {rejected:.3}");
        assert!(
            used > 0.75,
            "capacity {capacity}: a share of {used} was used"
        );
        assert!(
            rejected < 0.15,
            "capacity {capacity}: a share of {rejected} was rejected"
        );
    }
}

/// An instance that is busy indefinitely is tried a few times a second, and used again within a
/// quarter of a second once it accepts work.
#[test]
fn an_instance_that_refuses_everything_is_probed_and_comes_back() {
    let (mut owners, mut now) = (<[Owner; 2]>::default(), Instant::now());
    run(&mut owners, &mut now, Duration::from_secs(1), 16);
    let ended = |owner: &Owner| owner.running.is_empty();
    run(&mut owners, &mut now, Duration::from_secs(1), 0);
    assert!(owners.iter().all(ended));
    for owner in &owners {
        assert_eq!(owner.limit.limit(SLOTS), 1);
        assert!(owner.limit.is_refusing(now));
        assert!(owner.busy < 40, "{} attempts in a second", owner.busy);
    }
    run(&mut owners, &mut now, Duration::from_millis(250), 16);
    for owner in &owners {
        assert!(!owner.limit.is_refusing(now));
        assert!(owner.limit.limit(SLOTS) >= SLOTS / 2);
    }
}

/// Without a busy response, nothing changes.
#[test]
fn an_instance_that_accepts_everything_is_used_up_to_its_slots() {
    let (mut owners, mut now) = (<[Owner; 2]>::default(), Instant::now());
    run(&mut owners, &mut now, Duration::from_secs(1), 16);
    for owner in &owners {
        assert_eq!((owner.limit.limit(SLOTS), owner.busy), (SLOTS, 0));
    }
}

/// Guards against an instance that is passed over after one busy response, because the last one
/// before it, long ago, was not followed by a success.
#[test]
fn one_busy_response_after_a_gap_does_not_count_as_refusing() {
    let (mut limit, start) = (ConcurrencyLimit::default(), Instant::now());
    limit.on_busy(start, start, SLOTS);
    let later = start + Duration::from_secs(10);
    limit.on_busy(later, later, SLOTS);
    assert!(!limit.is_refusing(later));
    assert!(!limit.is_refusing(later + WORK));
}
