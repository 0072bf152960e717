//! Scripted scenarios, one file each under `scripts/`.
//!
//! | directive | meaning |
//! |---|---|
//! | `start voters=(a,b,c) [sync=MS]` | starts hosts with new disks, and host `x` without one; a sync takes up to MS |
//! | `name L=leader F=follower` | names the current leader, and the others in order |
//! | `run ms=N` | lets time pass |
//! | `patch host=H id=P base=N` | submits a patch and prints the reply |
//! | `patches host=H count=N` | submits N patches one after the other, and prints the last reply |
//! | `config host=H` | reads the configuration and prints its version |
//! | `history host=H after=N` | prints the accepted versions after N |
//! | `add host=H voter=V`, `remove host=H voter=V` | changes the membership |
//! | `stop host=H`, `resume host=H`, `wipe host=H`, `new host=H` | stops, restarts, restarts with a new disk, adds a host |
//! | `isolate host=H`, `cut hosts=(H,I)`, `heal` | cuts links of hosts, joins all links |
//! | `whole` | waits until all running founders are voters, and nothing else is |
//! | `state` | prints leader, members and versions |
//! | `confirmed host=H within=MS` | prints the version that was confirmed within the last MS, or `no` |

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use decide::call::{Call, PatchOutcome, Reply};
use decide::raft::Raft;
use model::HostId;

use crate::harness::{Sim, service_patch};

#[test]
fn scripts_run_as_written() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/raft/scripts");
    datadriven::walk(dir, |file| {
        let mut script = Script::default();
        file.run(|case| script.run(case));
    });
}

#[derive(Default)]
struct Script {
    sim: Option<Sim>,
    /// Hosts by the names that the script gives them.
    names: BTreeMap<String, HostId>,
}

impl Script {
    fn run(&mut self, case: &mut TestCase) -> String {
        let out = self.run_directive(case).expect("the script is well-formed");
        case.expect_empty().expect("every argument is known");
        out
    }

    fn sim(&mut self) -> &mut Sim {
        self.sim.as_mut().expect("the script starts hosts first")
    }

    fn host(&self, case: &mut TestCase, arg: &str) -> Result<HostId, datadriven::DataDrivenError> {
        let name: String = case.take_arg(arg)?;
        Ok(self.host_by_script_name(&name))
    }

    /// Returns the host that the script calls by a name.
    fn host_by_script_name(&self, name: &str) -> HostId {
        let host = self.names.get(name).cloned();
        host.unwrap_or_else(|| name.into())
    }

    /// Returns the script's name of a host.
    fn script_name_of<'a>(&'a self, host: &'a str) -> &'a str {
        let mut names = self.names.iter();
        let given = names.find(|(_, named_host)| named_host.as_ref() == host);
        given.map_or(host, |(name, _)| name)
    }

    fn run_directive(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, datadriven::DataDrivenError> {
        match case.directive.as_str() {
            "start" => {
                let voters: Vec<String> = case.take_args("voters")?;
                let voters: Vec<&str> = voters.iter().map(String::as_str).collect();
                let mut sim = Sim::new(1, &voters);
                sim.settings.raft.snapshot_after = 50;
                sim.settings.raft.trailing = 10;
                if let Some(sync) = case.try_take_arg("sync")? {
                    sim.conditions.max_sync_time = Duration::from_millis(sync);
                    sim.conditions.write_survives_stop_probability = 0.0;
                }
                self.sim = Some(sim);
            }
            "name" => self.set_names(case)?,
            "run" => {
                let time = Duration::from_millis(case.take_arg("ms")?);
                self.sim().run_for(time);
            }
            "patch" => {
                let host = self.host(case, "host")?;
                let id: String = case.take_arg("id")?;
                let patch = service_patch(&id, case.take_arg("base")?);
                return Ok(self.call_and_format(&host, Call::Patch(patch)));
            }
            "patches" => {
                let host = self.host(case, "host")?;
                let count: u64 = case.take_arg("count")?;
                let base = self.sim().newest_version();
                let last = (base..base + count)
                    .map(|base| service_patch(&format!("many-{base}"), base))
                    .map(|patch| self.call_and_format(&host, Call::Patch(patch)))
                    .last();
                return Ok(last.unwrap_or_default());
            }
            "config" => {
                let host = self.host(case, "host")?;
                return Ok(self.call_and_format(&host, Call::Config));
            }
            "history" => {
                let host = self.host(case, "host")?;
                let after = case.take_arg("after")?;
                return Ok(self.call_and_format(&host, Call::History { after }));
            }
            "add" => {
                let (via, host) = (self.host(case, "host")?, self.host(case, "voter")?);
                return Ok(self.call_and_format(&via, Call::AddVoter { host }));
            }
            "remove" => {
                let (via, host) = (self.host(case, "host")?, self.host(case, "voter")?);
                return Ok(self.call_and_format(&via, Call::RemoveVoter { host }));
            }
            "stop" => {
                for host in self.hosts(case)? {
                    self.sim().stop_host(&host);
                }
            }
            "resume" => {
                for host in self.hosts(case)? {
                    self.sim().start_host(&host);
                }
            }
            "wipe" => {
                let host = self.host(case, "host")?;
                self.sim().wipe_host(&host);
                self.sim().start_host(&host);
            }
            "new" => {
                let host = self.host(case, "host")?;
                self.sim().add_host(&host, true);
            }
            "isolate" => {
                let host = self.host(case, "host")?;
                self.sim().isolate(&host);
            }
            "cut" => {
                let hosts = self.hosts(case)?;
                for (index, a) in hosts.iter().enumerate() {
                    for b in &hosts[index + 1..] {
                        self.sim().cut_link(a, b);
                    }
                }
            }
            "heal" => self.sim().heal(),
            "whole" => self.sim().await_repaired(),
            "state" => return Ok(self.format_state()),
            "confirmed" => {
                let host = self.host(case, "host")?;
                let within = Duration::from_millis(case.take_arg("within")?);
                let sim = self.sim();
                let confirmed = sim.hosts[&host].confirmed;
                return Ok(match confirmed {
                    Some((version, at)) if sim.now - at <= within => format!("version={version}\n"),
                    _ => "no\n".to_owned(),
                });
            }
            other => panic!("unknown directive `{other}`"),
        }
        Ok(String::new())
    }

    fn hosts(&self, case: &mut TestCase) -> Result<Vec<HostId>, datadriven::DataDrivenError> {
        let names: Vec<String> = case.take_args("hosts")?;
        Ok(names
            .iter()
            .map(|name| self.host_by_script_name(name))
            .collect())
    }

    fn set_names(&mut self, case: &mut TestCase) -> Result<(), datadriven::DataDrivenError> {
        let leader = self.sim().leader().expect("there is a leader");
        let mut others = self.sim().founders.clone();
        others.retain(|host| *host != leader);
        let name: String = case.take_arg("leader")?;
        self.names = BTreeMap::from([(name, leader)]);
        let names: Vec<String> = case.take_args("others")?;
        self.names.extend(names.into_iter().zip(others));
        Ok(())
    }

    fn call_and_format(&mut self, host: &str, call: Call) -> String {
        let sim = self.sim();
        let before = sim.now;
        let reply = sim.call_and_wait(host, call);
        let took = sim.now - before;
        match reply {
            Reply::Patched(PatchOutcome::Accepted(version)) => format!("accepted {version}\n"),
            Reply::Patched(PatchOutcome::Stale(version)) => format!("stale {version}\n"),
            Reply::Patched(outcome) => format!("{outcome:?}\n"),
            Reply::Config(config) => format!("version={}\n", config.version),
            Reply::History(made) => {
                let versions = made.iter().map(|(version, _)| version.to_string());
                versions.collect::<Vec<_>>().join(" ") + "\n"
            }
            Reply::Unconfirmed => format!("unconfirmed after {} s\n", took.as_secs()),
            reply => format!("{reply:?}\n"),
        }
    }

    fn format_state(&mut self) -> String {
        let sim = self.sim.as_ref().expect("the script starts hosts first");
        let mut out = String::new();
        for host in sim.hosts.values().filter(|host| host.info.is_control_host) {
            let name = self.script_name_of(&host.info.host);
            let Some(raft) = &host.raft else {
                writeln!(out, "{name}: down").expect("writing to a string succeeds");
                continue;
            };
            let status = raft.status();
            let list = |hosts: &[String]| {
                let mut hosts: Vec<&str> = hosts
                    .iter()
                    .filter_map(|member| member.split('/').next())
                    .map(|host| self.script_name_of(host))
                    .collect();
                hosts.sort_unstable();
                hosts.join(",")
            };
            writeln!(
                out,
                "{name}: version={} leads={} voters={} learners={}",
                host.committed_version,
                Raft::is_leader(raft),
                list(&status.voters),
                list(&status.learners),
            )
            .expect("writing to a string succeeds");
        }
        out
    }
}
