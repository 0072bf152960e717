//! The instances of a service are replaced one after the other, each by a new one at its address,
//! and a final fault of the core comes before the turn of the primary.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::db::{self, Service};
use crate::fleet::Fleet;
use crate::record::{self, say};
use crate::traffic::{self, Traffic};

/// How long a leaving instance serves after the acknowledgement of its draining.
const DRAIN: Duration = Duration::from_millis(7500);
/// How long after the end of an instance the new one starts at its address.
const SUCCESSOR_AFTER: Duration = Duration::from_millis(2500);
/// `recovery-s`.
const RECOVERY_S: f64 = 12.0;

pub fn play(root: &Path, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(root, 2);
    let controls = fleet.control_addrs();
    let work = Duration::from_millis(8);
    let (main, other) = (
        Service::new("sa", controls.clone(), work),
        Service::new("sb", controls.clone(), work),
    );
    db::start_platform(fleet.net.cloud(), vec![main.clone(), other.clone()]);
    fleet.start();
    let instance_port = fleet.net.ports.instance;
    let net = fleet.net.clone();
    let addr = |zone: usize, host: usize| -> SocketAddr {
        format!("{}:{instance_port}", net.ip(zone, host))
            .parse()
            .unwrap()
    };
    for zone in 0..3 {
        main.start(&format!("i-sa{zone}"), zone, addr(zone, 101));
        other.start(&format!("i-sb{zone}"), zone, addr(zone, 102));
    }
    let names = ["sa", "sb"];
    if !fleet.configure(&traffic::config(7, &names), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Outcome::NotPlayed;
    }
    std::thread::sleep(Duration::from_secs(6));
    let port = fleet.net.ports.client;
    let fronts: Vec<SocketAddr> = fleet.front.iter().map(|host| host.addr(port)).collect();
    let pause = Duration::from_millis(100);
    let traffic = Traffic::start(&fronts, &traffic::database("sa"), 4, pause, 2);
    std::thread::sleep(Duration::from_secs(3));
    let before_from = record::now() - 2.0;
    if trouble {
        // The release: the replicas first, one after the other.
        for zone in [1, 2] {
            let (old, new) = (format!("i-sa{zone}"), format!("i-sa{}", zone + 3));
            main.drain(&old, DRAIN);
            let until = Instant::now() + Duration::from_secs(12);
            while main.lock().instances[&old].up && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(20));
            }
            std::thread::sleep(SUCCESSOR_AFTER);
            main.succeed(&old, &new);
            std::thread::sleep(Duration::from_secs(2));
        }
    } else {
        std::thread::sleep(Duration::from_secs(24));
    }
    // The final fault: a configuration is acknowledged, and one machine of the core loses its
    // disk.
    if !fleet.configure(&traffic::config(9, &names), Duration::from_secs(5)) {
        return Outcome::NotPlayed;
    }
    let fault_at = record::now();
    if trouble {
        let Some(leader) = fleet.leader() else {
            return Outcome::NotPlayed;
        };
        let seeds = fleet.seeds();
        say(&format!(
            "final fault: {} is killed and loses its disk",
            fleet.core[leader].name
        ));
        fleet.core[leader].kill();
        fleet.core[leader].wipe();
        std::thread::sleep(Duration::from_secs(1));
        fleet.core[leader].start(&seeds, false);
        say(&format!("{} is back", fleet.core[leader].name));
    }
    let back_at = record::now();
    std::thread::sleep(Duration::from_secs(5));
    if trouble {
        // The release goes on with the primary.
        main.drain("i-sa0", DRAIN);
    }
    let end = back_at + RECOVERY_S + 25.0;
    std::thread::sleep(Duration::from_secs_f64((end - record::now()).max(0.0)));
    let operations = traffic.finish();
    traffic::summarise(&operations);
    fleet.record_logs(&["event=35", "event=512 ", "event=402 "]);
    let (served_before, all_before) = traffic::count(&operations, before_from, fault_at);
    let (served, all) = traffic::count(&operations, back_at + RECOVERY_S, end);
    let promotions = main.lock().promotions;
    say(&format!(
        "before the final fault {served_before} of {all_before} served; later than {RECOVERY_S} s after the machines were back {served} of {all}; {promotions} promotions"
    ));
    if served_before * 4 < all_before || all == 0 {
        return Outcome::NotPlayed;
    }
    match served * 4 < all {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
