//! A primary is cut off from the core and replaced. As a replica that the core does not see it goes
//! on confirming commits, and then the new primary is cut off from the core too.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::db::{self, Service};
use crate::fleet::Fleet;
use crate::record::{self, say};
use crate::traffic::{self, Traffic};

/// The length of each cut from the core.
const CUT: Duration = Duration::from_millis(6000);
/// From the start of the first cut until the second.
const SECOND_AFTER: Duration = Duration::from_millis(3600);

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn play(root: &Path, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(root, 2);
    let names = ["sa", "sb", "sc"];
    let work = Duration::from_millis(4);
    let controls = fleet.control_addrs();
    let services: Vec<Service> = names
        .iter()
        .map(|name| Service::new(name, controls.clone(), work))
        .collect();
    db::start_platform(fleet.net.cloud(), services.clone());
    fleet.start();
    for (nth, service) in services.iter().enumerate() {
        for zone in 0..3 {
            let ip = fleet.net.ip(zone, 101 + nth);
            let addr: SocketAddr = format!("{ip}:{}", fleet.net.ports.instance)
                .parse()
                .unwrap();
            service.start(&format!("i-{}{zone}", names[nth]), zone, addr);
        }
    }
    if !fleet.configure(&traffic::config(7, &names), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Outcome::NotPlayed;
    }
    let port = fleet.net.ports.client;
    let fronts: Vec<SocketAddr> = fleet.front.iter().map(|host| host.addr(port)).collect();
    std::thread::sleep(Duration::from_secs(6));
    let pause = Duration::from_millis(60);
    let traffic = Traffic::start(&fronts, &traffic::database("sa"), 6, pause, 5);
    std::thread::sleep(Duration::from_secs(4));
    let service = &services[0];
    // The primary is i-sa0. The cut begins shortly before the next announcement is due.
    let last_beat = || service.lock().instances["i-sa0"].last_beat;
    let known = last_beat();
    while last_beat() == known {
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(1100));
    let start = Instant::now();
    if trouble {
        say("i-sa0 is cut off from the core, not from fronts and replicas");
        service.change("i-sa0", |instance| instance.cut = true);
        sleep_until(start + SECOND_AFTER);
        let second = service.lock().primary().map(|i| i.id.clone());
        let Some(second) = second.filter(|id| id != "i-sa0") else {
            return Outcome::NotPlayed;
        };
        say(&format!(
            "{second} is cut off from the core, not from fronts and replicas"
        ));
        service.change(&second, |instance| instance.cut = true);
        sleep_until(start + CUT);
        say("i-sa0 reaches the core again");
        service.change("i-sa0", |instance| instance.cut = false);
        sleep_until(start + SECOND_AFTER + CUT);
        say(&format!("{second} reaches the core again"));
        service.change(&second, |instance| instance.cut = false);
    }
    sleep_until(start + Duration::from_secs(16));
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
    if served == 0 || (trouble && state.promotions < 2) {
        return Outcome::NotPlayed;
    }
    match state.lost.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
