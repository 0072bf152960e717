//! The log: one line for each numbered event, written by a thread of its own.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use decide::LogEvent;
use decide::log_event::NumberedEvent;
use eyre::WrapErr;
use model::HashMap;

use crate::settings::LogSettings;

/// How many lines wait for the log's reader; further ones are dropped and counted.
const WAITING_MAX: usize = 8192;
/// How many lines of one event a thread writes in a second; further ones are counted.
const LINES_PER_SECOND: u32 = 400;

/// The thread that writes the log; dropping it writes what is left and joins it.
#[derive(Debug)]
pub struct LogThread {
    tx: mpsc::SyncSender<String>,
    handle: Option<JoinHandle<()>>,
}

impl Drop for LogThread {
    fn drop(&mut self) {
        // The logger keeps its own sender for good, so the end is told by an empty line.
        let _ = self.tx.send(String::new());
        if let Some(handle) = self.handle.take() {
            let _ = handle.join();
        }
    }
}

/// Starts the log.
///
/// # Errors
///
/// Fails if the log file can't be opened, or if a log is running already.
pub fn start(cfg: &LogSettings) -> eyre::Result<LogThread> {
    let file = cfg.file.as_ref().map(|path| {
        let file = fern::log_file(path);
        file.wrap_err_with(|| format!("log.file: {}", path.display()))
    });
    let file = file.transpose()?;
    let stdout = cfg.stdout;
    let (tx, rx) = mpsc::sync_channel(WAITING_MAX);
    let output = tx.clone();
    fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{now} {:<5} {message}", record.level()));
        })
        .level(cfg.level)
        .level_for("jsonrpsee", log::LevelFilter::Warn)
        .level_for("hyper", log::LevelFilter::Warn)
        .chain(fern::Output::call(move |record| hand_over(&output, record)))
        .apply()
        .wrap_err("the log is running already")?;
    let handle = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || match file {
            Some(file) => write_all::<File>(&rx, file),
            None if stdout => write_all(&rx, io::stdout()),
            None => write_all(&rx, io::stderr()),
        })
        .wrap_err("the thread of the log can't be started")?;
    let handle = Some(handle);
    Ok(LogThread { tx, handle })
}

/// How many lines were dropped since that was last said.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Hands a line to the log's thread, or drops it where too many wait; never blocks.
fn hand_over(tx: &mpsc::SyncSender<String>, record: &log::Record<'_>) {
    let line = format!("{}\n", record.args());
    if tx.try_send(line).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// The lines of one event that a thread has written in the present second.
struct Second {
    since: Instant,
    written: u32,
    left_out: u32,
}

thread_local! {
    static SECONDS: RefCell<HashMap<u16, Second>> = RefCell::default();
}

/// Returns whether one more line of an event is written, and how many were left out before.
fn admit(number: u16) -> (bool, u32) {
    SECONDS.with_borrow_mut(|seconds| {
        let now = Instant::now();
        let second = seconds.entry(number).or_insert_with(|| Second {
            since: now,
            written: 0,
            left_out: 0,
        });
        let mut left_out = 0;
        if now.duration_since(second.since) >= Duration::from_secs(1) {
            left_out = std::mem::take(&mut second.left_out);
            second.since = now;
            second.written = 0;
        }
        let admitted = second.written < LINES_PER_SECOND;
        second.written += u32::from(admitted);
        second.left_out += u32::from(!admitted);
        (admitted, left_out)
    })
}

/// Writes lines until an empty one comes, and flushes whenever none waits.
fn write_all<W: Write>(rx: &mpsc::Receiver<String>, to: W) {
    let mut to = BufWriter::new(to);
    for line in rx {
        if line.is_empty() {
            break;
        }
        // A log that can't be written does not stop the host.
        let _ = to.write_all(line.as_bytes());
        while let Ok(line) = rx.try_recv() {
            if line.is_empty() {
                let _ = to.flush();
                return;
            }
            let _ = to.write_all(line.as_bytes());
        }
        let _ = to.flush();
    }
    let _ = to.flush();
}

/// Writes the line of a numbered event.
pub(crate) fn write(event: &LogEvent) {
    let level = event.level();
    if level > log::max_level() {
        return;
    }
    if DROPPED.load(Ordering::Relaxed) > 0 {
        let count = DROPPED.swap(0, Ordering::Relaxed);
        log::warn!("event=706 lines-dropped count={count}");
    }
    let number = event.number();
    let (admitted, left_out) = admit(number);
    if left_out > 0 {
        log::info!("event=707 lines-left-out number={number} count={left_out}");
    }
    if admitted {
        log::log!(target: "carawaycourse", level, "event={number} {event}");
    }
}
