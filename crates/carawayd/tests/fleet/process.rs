//! A `carawayd` child process, which is signalled and killed by its own process id.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Resource, Rlimit, prlimit};

/// A child process; dropping it kills it.
pub(crate) struct Process {
    child: Child,
    /// The line that says where the process listens, as `listening NAME=ADDR ...`.
    first_line: String,
}

impl Process {
    /// Starts `carawayd` with these arguments and waits until it listens.
    pub(crate) fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_carawayd"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(stderr())
            .spawn()
            .unwrap();
        let mut first_line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut first_line).unwrap();
        assert!(
            first_line.starts_with("listening"),
            "{args:?} does not listen, but prints {first_line:?}"
        );
        Self { child, first_line }
    }

    /// Returns the address of a listener of the process, such as `callers` or `api`.
    pub(crate) fn addr(&self, name: &str) -> SocketAddr {
        let words = self.first_line.split_whitespace();
        let pairs = words.filter_map(|word| word.split_once('='));
        let mut values = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value);
        values.next().unwrap().parse().unwrap()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the process a signal by its name, such as STOP, CONT or TERM.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Fills the disk for the process, or makes room again: writes fail beyond `len` bytes of a file.
    pub(crate) fn limit_file_len(&self, len: Option<u64>) {
        let limit = Rlimit {
            current: len,
            maximum: None,
        };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Fsize, limit).unwrap();
    }

    /// Waits until the process ends, and returns whether its exit status is success.
    pub(crate) fn wait(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Passes on the logs of child processes if `CARAWAY_TEST_LOG` is set.
fn stderr() -> Stdio {
    match std::env::var_os("CARAWAY_TEST_LOG") {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    }
}
