//! What a control host does when it becomes the leader of consensus.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::{Duration, Instant};

use decide::authority::{AuthorityKind, AuthorityLogEvent};
use decide::control::ControlPart;
use decide::raft::{Entry, EntryData, EntryId, Persisted, PersistentState, PromotionTicket};
use decide::spread::Seed;
use decide::state::{PartRole, PartState, reduce};
use decide::{Effect, Event, LogEvent, Settings};
use model::{CONTROL_PART, HostInfo, Incarnation};

/// The only control host, with a disk that syncs each write at once.
struct ControlHost {
    now: Instant,
    disk: PersistentState,
    state: PartState,
    log: Vec<LogEvent>,
}

impl ControlHost {
    fn start(disk: PersistentState, incarnation: Incarnation) -> Self {
        let now = Instant::now();
        let me = HostInfo {
            host: "control-1".into(),
            data_centre: "dc-1".into(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
            incarnation,
            traffic_parts: 0,
            is_entry_host: false,
            is_control_host: true,
            leaving: false,
        };
        let seeds = vec![Seed {
            host: me.host.clone(),
            addr: me.peer_addr,
        }];
        let mut settings = Settings::default();
        settings.group.authority = AuthorityKind::Quorum;
        settings.raft.found = true;
        let part = ControlPart::new(&me, seeds, Some(disk.clone()), now);
        let role = PartRole::Control(Box::new(part));
        Self {
            now,
            disk,
            state: PartState::new(me, CONTROL_PART, settings, 1, role),
            log: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.handle(Event::Tick);
            self.now += Duration::from_millis(10);
        }
    }

    fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        reduce(&mut self.state, self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Persist(persist) => {
                    let persisted = Persisted {
                        raft_group: persist.raft_group,
                        id: persist.id,
                    };
                    self.disk.apply_write(persist).unwrap();
                    self.handle(Event::Persisted(persisted));
                }
                Effect::Log(event) => self.log.push(event),
                _ => {}
            }
        }
    }
}

/// Guards against commits that the instance of an earlier leader's order lacks: the new leader
/// started before it had seen the orders that were committed together with its first entry.
#[test]
fn a_leader_takes_over_an_order_that_is_committed_with_its_first_entry() {
    let mut host = ControlHost::start(PersistentState::empty(1), 1);
    host.run(Duration::from_secs(5));
    let mut disk = host.disk;
    let last = disk.entries.last().unwrap().id;
    let ticket = PromotionTicket {
        host: "control-2".into(),
        incarnation: 1,
        service: "pots".into(),
        upstream: "b".into(),
    };
    disk.entries.push(Entry {
        id: EntryId {
            term: last.term,
            index: last.index + 1,
        },
        data: EntryData::PromotionOrder(ticket),
    });
    let mut host = ControlHost::start(disk, 2);
    host.run(Duration::from_secs(5));
    let takes_over = |event: &LogEvent| {
        matches!(event, LogEvent::Authority(AuthorityLogEvent::OrderTakenOver { number, .. })
            if *number == last.index + 1)
    };
    assert!(host.log.iter().any(takes_over), "{:?}", host.log);
}
