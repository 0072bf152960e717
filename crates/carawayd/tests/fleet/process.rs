//! A `carawayd` child process, which is signalled and killed by its own process id.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Resource, Rlimit, prlimit};

/// The most bytes of a log that a failed test prints.
const PRINTED_LOG_BYTES: u64 = 256 * 1024;

/// A child process; dropping it kills it.
pub(crate) struct Process {
    child: Child,
    log: Log,
    /// The line that says where the process listens, as `listening NAME=ADDR ...`.
    first_line: String,
}

impl Process {
    /// Starts `carawayd` with these arguments and waits until it listens.
    pub(crate) fn start(args: &[&str]) -> Self {
        let mut log = Log::new(args.join(" "));
        let mut child = Command::new(env!("CARGO_BIN_EXE_carawayd"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log.stdio())
            .spawn()
            .unwrap();
        let mut first_line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut first_line).unwrap();
        if !first_line.starts_with("listening") {
            let _ = child.kill();
            let _ = child.wait();
            log.print();
            panic!("{args:?} does not listen, but prints {first_line:?}");
        }
        Self {
            child,
            log,
            first_line,
        }
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

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
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

    /// Returns whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process ends, and returns whether its exit status is success.
    pub(crate) fn wait(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    /// Ends the process, and prints its log if the test has failed.
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            self.log.print();
        }
    }
}

/// The log of a child process.
struct Log {
    /// The arguments of the process.
    title: String,
    /// `None` if the child writes to the standard error of the test, as `CARAWAY_TEST_LOG` asks.
    file: Option<File>,
}

impl Log {
    fn new(title: String) -> Self {
        let inherited = std::env::var_os("CARAWAY_TEST_LOG").is_some();
        let file = (!inherited).then(|| tempfile::tempfile().unwrap());
        Self { title, file }
    }

    /// Returns where the child is to write.
    fn stdio(&self) -> Stdio {
        match &self.file {
            Some(file) => file.try_clone().unwrap().into(),
            None => Stdio::inherit(),
        }
    }

    /// Prints the end of the log, once the process has ended.
    fn print(&mut self) {
        let Some(file) = &mut self.file else {
            return;
        };
        let mut text = Vec::new();
        let len = file.metadata().map_or(0, |metadata| metadata.len());
        let start = SeekFrom::Start(len.saturating_sub(PRINTED_LOG_BYTES));
        let read = file.seek(start).and_then(|_| file.read_to_end(&mut text));
        let text = String::from_utf8_lossy(&text);
        println!("log of {:?} ({read:?} bytes read):\n{text}", self.title);
    }
}
