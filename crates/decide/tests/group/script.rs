//! The commands of the scripts. Each block of a script is one command with its expected output.

use std::time::Duration;

use datadriven::TestCase;

use crate::DATA_CENTRES;
use crate::world::World;

/// Texts of the trace lines that are printed in a script's output.
const SHOWN_EVENTS: [&str; 9] = [
    "suspected",
    "contradicted",
    "candidate",
    "promised service",
    "promoted",
    "became primary",
    "gave_up",
    "deposed",
    "confirmed in term",
];

/// Runs one command of a script and returns its output.
pub(crate) fn run_command(world: &mut Option<World>, case: &TestCase) -> String {
    let words: Vec<&str> = case.args.keys().map(String::as_str).collect();
    let word = words.first().copied().unwrap_or_default();
    if case.directive == "start" {
        let seed = case.args["seed"][0].parse().expect("a valid literal");
        *world = Some(World::new(seed, &DATA_CENTRES));
        return String::new();
    }
    let world = world.as_mut().expect("a scenario begins with start");
    if case.directive == "run" {
        return run(world, word);
    }
    if case.directive == "claims" {
        return claims(world, word);
    }
    match (case.directive.as_str(), words.as_slice()) {
        ("cut", [a, b]) => world.cut(&(*a).into(), &(*b).into()),
        (verb, _) => apply_fault(world, verb, word),
    }
    String::new()
}

/// Applies a command that causes or ends a fault.
fn apply_fault(world: &mut World, verb: &str, name: &str) {
    let primary = world
        .primary()
        .map(|(_, primary)| world.instances[primary].id.clone());
    let name = match (name, &primary) {
        ("primary", Some(primary)) => primary,
        _ => name,
    };
    let host = world.hosts.iter().position(|h| &*h.info.host == name);
    let instance = world.instances.iter().position(|i| &*i.id == name);
    match (verb, host, instance) {
        ("kill", Some(host), _) => world.hosts[host].alive = false,
        ("kill", _, Some(instance)) => world.instances[instance].alive = false,
        ("restart", Some(host), _) => world.restart_host(host),
        ("restart", _, Some(instance)) => {
            world.instances[instance].restart(world.now);
        }
        ("freeze", Some(host), _) => world.hosts[host].frozen = true,
        ("freeze", _, Some(instance)) => world.instances[instance].frozen = true,
        ("thaw", ..) => world.thaw(),
        ("silence", _, Some(instance)) => {
            for host in 0..world.hosts.len() {
                world.silence(host, instance);
            }
        }
        ("fill", _, Some(instance)) => world.instances[instance].refuses_connections = true,
        ("slow", _, Some(instance)) => world.instances[instance].lag = Duration::from_secs(1),
        ("detach", _, Some(instance)) => world.instances[instance].detached = true,
        ("start-all", ..) => {
            for instance in 0..world.instances.len() {
                world.start_instance(instance);
            }
        }
        ("leave", Some(host), _) => world.leave_host(host),
        ("leave", _, Some(instance)) => world.leave_instance(instance),
        ("drain", _, Some(instance)) => world.drain_instance(instance),
        ("lapse", _, Some(instance)) => world.lapse_instance(instance),
        ("promise-by-nobody", _, Some(instance)) => world.promise_to_dead_candidate(instance),
        ("isolate", ..) => world.isolate(&name.into()),
        ("heal", ..) => world.heal(),
        _ => panic!("unknown command {verb} {name}"),
    }
}

/// Runs for a time, and returns the selected trace lines and a summary of the group.
fn run(world: &mut World, time: &str) -> String {
    let time = time.strip_suffix("ms").expect("a time in ms");
    let since = world.now;
    let from = world.trace.len();
    let (acks, unconfirmed) = (world.acks.len(), world.unconfirmed);
    world.run(
        Duration::from_millis(time.parse().expect("a valid literal")),
        None,
    );
    let mut out = String::new();
    for (at, line) in &world.trace[from..] {
        if SHOWN_EVENTS.iter().any(|shown| line.contains(shown)) {
            let line = line.replace(" service=appt", "");
            out += &format!("{:>5} ms  {line}\n", (*at - since).as_millis());
        }
    }
    let (term, primary) = world.primary().unwrap_or_default();
    out += &format!(
        "primary={} term={term} writes={} unconfirmed={} longest_gap={}ms\n",
        world.instances[primary].id,
        if world.acks.len() > acks {
            "confirmed"
        } else {
            "none"
        },
        world.unconfirmed - unconfirmed,
        world.longest_gap(since).as_millis(),
    );
    out
}

/// Returns the slots of an instance that each host has a valid claim on.
fn claims(world: &World, instance: &str) -> String {
    let mut out = String::new();
    for host in world.hosts.iter().filter(|host| host.alive) {
        let claim = host.claims.get(instance);
        if let Some((slots, _)) = claim.filter(|(_, until)| *until > world.now) {
            out += &format!("{}={slots}\n", host.info.host);
        }
    }
    out
}
