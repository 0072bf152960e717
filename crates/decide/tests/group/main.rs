//! Tests failure detection, elections and confirmation of writes on a simulated network.
//!
//! A group is the set of database instances of one service. The hosts that own an instance probe it,
//! claim its slots under a lease, and, when the group's primary fails, stand for election: a
//! candidate that a majority of the instances has promised a term promotes one of them.

mod chaos;
mod check;
mod faults;
mod host;
mod instance;
mod matrix;
mod net;
mod restart;
mod script;
mod world;

/// Data centres of most tests, with two hosts and one instance in each.
const DATA_CENTRES: [&str; 3] = ["kgn-a", "kgn-b", "spn"];

/// Defines a test for each script in `tests/group/scripts`.
macro_rules! scripts {
    ($($name:ident),* $(,)?) => {
        mod scripts {
            $(#[test]
            fn $name() {
                super::run_script(stringify!($name));
            })*
        }

        /// Guards against a script file that no test runs.
        #[test]
        fn every_script_is_run() {
            let run_scripts = [$(stringify!($name)),*];
            let files = std::fs::read_dir("tests/group/scripts").expect("the scripts");
            for file in files {
                let name = file.expect("a file").file_name();
                let name = name.to_string_lossy().replace(".txt", "");
                assert!(run_scripts.contains(&name.as_str()), "no test runs the script {name}");
            }
        }
    };
}

scripts! {
    claims,
    cut_off,
    draining_primary_is_replaced,
    flapping,
    full,
    full_restart,
    hand_over,
    lapsed,
    left_half_done,
    primary_dies,
    silent_connection,
    stalled,
}

fn run_script(name: &str) {
    datadriven::walk(&format!("tests/group/scripts/{name}.txt"), |file| {
        let mut world = None;
        file.run(|case| script::run_command(&mut world, case));
    });
}

/// Returns the number of seeds that a test runs: the value of `GROUP_SEEDS`, or `usual` where it
/// isn't set.
fn seeds(usual: u64) -> u64 {
    let asked = std::env::var("GROUP_SEEDS").ok();
    asked.map_or(usual, |seeds| seeds.parse().expect("a number of seeds"))
}
