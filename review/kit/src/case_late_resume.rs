//! After a planned replacement of a primary, one order to receive again is carried out late: while
//! the next replacement relies on the fence that it ends.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::db::{self, Service};
use crate::fleet::Fleet;
use crate::record::{self, say};
use crate::traffic::{self, Traffic};

/// How long the new primary is cut off from the core; the default of `primary_cut`.
const CUT: Duration = Duration::from_millis(5000);
/// How long the leaving primary goes on after the acknowledgement of its draining.
const DRAIN: Duration = Duration::from_millis(12_000);

pub fn play(root: &Path, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(root, 2);
    let work = Duration::from_millis(4);
    let service = Service::new("sa", fleet.control_addrs(), work);
    db::start_platform(fleet.net.cloud(), vec![service.clone()]);
    fleet.start();
    for zone in 0..3 {
        let ip = fleet.net.ip(zone, 101);
        let addr: SocketAddr = format!("{ip}:{}", fleet.net.ports.instance)
            .parse()
            .unwrap();
        service.start(&format!("i-sa{zone}"), zone, addr);
    }
    if !fleet.configure(&traffic::config(7, &["sa"]), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Outcome::NotPlayed;
    }
    let port = fleet.net.ports.client;
    let fronts: Vec<SocketAddr> = fleet.front.iter().map(|host| host.addr(port)).collect();
    std::thread::sleep(Duration::from_secs(6));
    let pause = Duration::from_millis(60);
    let traffic = Traffic::start(&fronts, &traffic::database("sa"), 6, pause, 5);
    std::thread::sleep(Duration::from_secs(3));
    // Planned: the primary is replaced.
    if trouble {
        service.change("i-sa0", |instance| instance.late_resume = true);
    }
    service.drain("i-sa0", DRAIN);
    std::thread::sleep(Duration::from_millis(3500));
    let Some(primary) = service.lock().primary().map(|i| i.id.clone()) else {
        return Outcome::NotPlayed;
    };
    let start = Instant::now();
    if trouble {
        say(&format!(
            "{primary} is cut off from the core, not from fronts and replicas"
        ));
        service.change(&primary, |instance| instance.cut = true);
    }
    std::thread::sleep(CUT.saturating_sub(start.elapsed()));
    if trouble {
        service.change(&primary, |instance| instance.cut = false);
        say(&format!("{primary} reaches the core again"));
    }
    std::thread::sleep(Duration::from_secs(8));
    let operations = traffic.finish();
    traffic::summarise(&operations);
    fleet.record_logs(&["event=35", "event=511 "]);
    let (served, all) = traffic::count(&operations, 0.0, record::now());
    let state = service.lock();
    say(&format!(
        "{served} of {all} operations served, {} writes acknowledged, {} promotions, {} acknowledged writes lost",
        state.acknowledged.len(),
        state.promotions,
        state.lost.len()
    ));
    if served == 0 || state.promotions < if trouble { 2 } else { 1 } {
        return Outcome::NotPlayed;
    }
    match state.lost.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
