//! Claims: the shares that hosts may rely on never exceed the instance's capacity.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use standin::engine::claims::{Claims, Share};

const LEASE: Duration = Duration::from_secs(3);

fn share(slots: u32, connections: u32) -> Share {
    Share { slots, connections }
}

/// The grants of one host. Until they expire, it may rely on any of them, since the
/// answers with later grants may have been lost.
#[derive(Default)]
struct ReceivedGrants {
    grants: Vec<(Share, Instant)>,
}

impl ReceivedGrants {
    fn largest_unexpired(&self, now: Instant) -> Share {
        self.grants.iter().filter(|(_, until)| *until > now).fold(
            Share::default(),
            |most, (share, _)| Share {
                slots: most.slots.max(share.slots),
                connections: most.connections.max(share.connections),
            },
        )
    }
}

proptest! {
    #[test]
    fn shares_relied_on_never_exceed_the_total(
        slots in 1..=3_u32,
        steps in prop::collection::vec((0..4_usize, 0..1500_u64, 0..4000_u64, 0..8_u8), 1..200),
    ) {
        let total = share(slots, 50);
        let mut claims = Claims::new(total);
        let mut received: [ReceivedGrants; 4] = Default::default();
        let mut now = Instant::now();
        for (host, pause, lease, action) in steps {
            now += Duration::from_millis(pause);
            let name = format!("host-{host}");
            if action == 0 {
                claims.unclaim(now, &name);
                received[host].grants.clear();
            } else {
                let lease = Duration::from_millis(lease);
                if let Some(granted) = claims.claim(now, &name, lease) {
                    received[host].grants.push((granted, now + lease));
                }
            }
            let held = received.iter().map(|host| host.largest_unexpired(now));
            let (slots, connections) = held.fold((0, 0), |(slots, connections), held| {
                (slots + held.slots, connections + held.connections)
            });
            prop_assert!(slots <= total.slots, "{slots} slots");
            prop_assert!(connections <= total.connections, "{connections} connections");
        }
    }
}

#[test]
fn two_owners_come_to_share_every_slot() {
    for (slots, first, second) in [(1, 1, 0), (2, 1, 1), (3, 2, 1)] {
        let mut claims = Claims::new(share(slots, 50));
        let mut now = Instant::now();
        assert_eq!(claims.claim(now, "a", LEASE), Some(share(slots, 50)));
        for _ in 0..5 {
            now += LEASE / 3;
            claims.claim(now, "a", LEASE);
            claims.claim(now, "b", LEASE);
        }
        assert_eq!(
            claims.claim(now, "a", LEASE),
            Some(share(first, 25)),
            "{slots}"
        );
        assert_eq!(
            claims.claim(now, "b", LEASE),
            Some(share(second, 25)),
            "{slots}"
        );
    }
}

#[test]
fn a_share_grows_only_by_what_has_expired_or_was_unclaimed() {
    let mut claims = Claims::new(share(2, 10));
    let start = Instant::now();
    claims.claim(start, "a", LEASE);
    assert_eq!(claims.claim(start, "b", LEASE), Some(share(0, 0)));
    // The answer with the smaller share may be lost, so the earlier grant still counts.
    assert_eq!(claims.claim(start, "a", LEASE), Some(share(1, 5)));
    assert_eq!(claims.claim(start, "b", LEASE), Some(share(0, 0)));
    let later = start + LEASE / 2;
    assert_eq!(claims.claim(later, "a", LEASE), Some(share(1, 5)));
    let lapsed = start + LEASE;
    assert_eq!(claims.claim(lapsed, "b", LEASE), Some(share(1, 5)));
    claims.unclaim(lapsed, "a");
    assert_eq!(claims.claim(lapsed, "b", LEASE), Some(share(2, 10)));
}

#[test]
fn a_third_host_gets_nothing_while_two_hold_shares() {
    let mut claims = Claims::new(share(3, 50));
    let start = Instant::now();
    claims.claim(start, "a", LEASE);
    claims.claim(start, "b", LEASE);
    assert_eq!(claims.claim(start, "c", LEASE), None);
    let lapsed = start + LEASE;
    assert_eq!(claims.claim(lapsed, "c", LEASE), Some(share(3, 50)));
}
