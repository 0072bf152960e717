//! Operators' orders, and the moment from which a host keeps to them.

use std::time::{Duration, Instant};

use evac::{
    EvacEffect, EvacEvent, Evacuations, HostEvacuations, Order, OrderId, OrderOutcome, OrderRecord,
    RecordedOrder, WORK_LIMIT,
};

const SECOND: Duration = Duration::from_secs(1);

fn recorded(call: u64, order: Order) -> RecordedOrder {
    let id = OrderId {
        host: "h1".into(),
        incarnation: 1,
        call,
    };
    RecordedOrder { id, order }
}

fn set(version: u64, names: &[&str]) -> Evacuations {
    let names = names.iter().map(|name| (*name).into());
    Evacuations {
        version,
        data_centres: names.collect(),
    }
}

/// Guards against an evacuation that comes back into force because a copy of its call was delayed.
#[test]
fn a_late_copy_of_an_order_does_not_undo_the_one_after_it() {
    let mut record = OrderRecord::new();
    let evacuate = recorded(1, Order::Evacuate("east".into()));
    let restore = recorded(2, Order::Restore("east".into()));
    assert_eq!(record.apply(&evacuate), OrderOutcome::Changed);
    assert_eq!(record.apply(&restore), OrderOutcome::Changed);
    assert_eq!(record.apply(&evacuate), OrderOutcome::Unchanged);
    assert_eq!(*record.evacuations(), set(2, &[]));
    let again = recorded(3, Order::Evacuate("east".into()));
    assert_eq!(record.apply(&again), OrderOutcome::Changed);
    assert_eq!(*record.evacuations(), set(3, &["east"]));
}

/// Guards against state and messages that grow without bound.
#[test]
fn the_number_of_evacuated_data_centres_is_bounded() {
    let mut record = OrderRecord::new();
    let outcome = (0..10_000).map(|nth| {
        let order = Order::Evacuate(format!("dc-{nth}").into());
        record.apply(&recorded(nth, order))
    });
    assert_eq!(outcome.last(), Some(OrderOutcome::TooMany));
    assert!(record.evacuations().data_centres.len() < 1_000);
}

/// Guards against an operator who is told that a refused order is in force, because the call was
/// sent again after its answer was lost.
#[test]
fn a_copy_of_a_refused_order_is_refused_too() {
    let mut record = OrderRecord::new();
    for nth in 0..10_000 {
        let order = recorded(nth, Order::Evacuate(format!("dc-{nth}").into()));
        if record.apply(&order) == OrderOutcome::TooMany {
            assert_eq!(record.apply(&order), OrderOutcome::TooMany);
            return;
        }
    }
    panic!("no order was refused");
}

#[test]
fn only_names_that_can_never_be_valid_are_refused() {
    let check = |name: &str| Order::Evacuate(name.into()).check().is_ok();
    assert!(check("east"));
    assert!(check("a zone nobody knows"));
    assert!(check(&"x".repeat(256)));
    assert!(!check(""));
    assert!(!check(&"x".repeat(257)));
    assert!(!check("ea\nst"));
}

/// Guards against a host that was stopped for a while and then takes the whole limit again.
#[test]
fn a_data_centre_closes_in_time_after_the_last_moment_at_which_no_order_was_known() {
    let start = Instant::now();
    let mut host = HostEvacuations::default();
    let confirmed = EvacEvent::Confirmed {
        version: 0,
        at: start,
    };
    assert_eq!(host.reduce(start, confirmed), []);
    let learned = EvacEvent::Learned(set(1, &["east"]));
    let effects = host.reduce(start + 3 * SECOND, learned);
    let evacuated = EvacEffect::Evacuated {
        data_centre: "east".into(),
        closes_in: WORK_LIMIT - 3 * SECOND,
    };
    assert_eq!(effects, [evacuated, EvacEffect::Forward]);
    assert_eq!(host.in_force().closes_at["east"], start + WORK_LIMIT);
}

/// Guards against a host that has just started, after a loss of power, and takes the order for new.
#[test]
fn a_host_that_has_just_started_closes_a_data_centre_at_once() {
    let now = Instant::now();
    let mut host = HostEvacuations::default();
    host.reduce(now, EvacEvent::Learned(set(7, &["east"])));
    assert_eq!(host.in_force().closes_at["east"], now);
}

/// Guards against a confirmation by a host that knows of more: the moment is after the order.
#[test]
fn a_confirmation_of_a_version_that_the_host_lacks_does_not_count() {
    let start = Instant::now();
    let mut host = HostEvacuations::default();
    let (version, at) = (0, start);
    host.reduce(start, EvacEvent::Confirmed { version, at });
    let (version, at) = (1, start + 2 * SECOND);
    host.reduce(at, EvacEvent::Confirmed { version, at });
    host.reduce(at, EvacEvent::Learned(set(1, &["east"])));
    assert_eq!(host.in_force().closes_at["east"], start + WORK_LIMIT);
}

/// Guards against an old set that arrives late, and against an evacuation that is put off by the
/// order for another data centre.
#[test]
fn a_host_keeps_the_newest_set_and_the_times_of_earlier_orders() {
    let start = Instant::now();
    let mut host = HostEvacuations::default();
    let (version, at) = (0, start);
    host.reduce(start, EvacEvent::Confirmed { version, at });
    host.reduce(start, EvacEvent::Learned(set(1, &["east"])));
    let (version, at) = (1, start + SECOND);
    host.reduce(at, EvacEvent::Confirmed { version, at });
    host.reduce(at, EvacEvent::Learned(set(2, &["east", "west"])));
    assert_eq!(host.in_force().closes_at["east"], start + WORK_LIMIT);
    assert_eq!(host.in_force().closes_at["west"], at + WORK_LIMIT);
    assert_eq!(host.reduce(at, EvacEvent::Learned(set(1, &["east"]))), []);
    let effects = host.reduce(at, EvacEvent::Learned(set(3, &["west"])));
    let restored = EvacEffect::Restored {
        data_centre: "east".into(),
    };
    assert_eq!(effects, [restored, EvacEffect::Forward]);
    assert_eq!(host.evacuations(), set(3, &["west"]));
}
