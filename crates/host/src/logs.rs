//! The log: one line for each numbered event, written by a separate thread so that none blocks.

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

/// Maximum number of lines that wait to be written; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 8192;
/// Maximum number of bytes of a line; the rest is cut off.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum number of lines of one event number that a thread logs in a second.
///
/// Further ones are left out and counted.
const MAX_LINES_PER_SECOND: u32 = 400;

/// The thread that writes the log; dropping this writes the queued lines and joins the thread.
#[derive(Debug)]
pub struct LogThread {
    tx: mpsc::SyncSender<String>,
    handle: Option<JoinHandle<()>>,
}

impl Drop for LogThread {
    fn drop(&mut self) {
        // The global logger never drops its sender, so an empty line marks the end.
        let _ = self.tx.send(String::new());
        if let Some(handle) = self.handle.take() {
            let _ = handle.join();
        }
    }
}

/// Installs the global logger and starts the thread that writes its lines.
///
/// # Errors
///
/// Fails if the log file can't be opened, if the process has a logger already or if the thread
/// can't be started.
pub fn start(cfg: &LogSettings) -> eyre::Result<LogThread> {
    let file = cfg.file.as_ref().map(|path| {
        let file = fern::log_file(path);
        file.wrap_err_with(|| format!("log.file: {}", path.display()))
    });
    let file = file.transpose()?;
    let stdout = cfg.stdout;
    let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let output = tx.clone();
    fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{now} {:<5} {message}", record.level()));
        })
        .level(cfg.level)
        .level_for("jsonrpsee", log::LevelFilter::Warn)
        .level_for("hyper", log::LevelFilter::Warn)
        .chain(fern::Output::call(move |record| {
            queue_line(&output, record)
        }))
        .apply()
        .wrap_err("the process has a logger already")?;
    let handle = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || match file {
            Some(file) => write_lines::<File>(&rx, file),
            None if stdout => write_lines(&rx, io::stdout()),
            None => write_lines(&rx, io::stderr()),
        })
        .wrap_err("the log thread can't be started")?;
    let handle = Some(handle);
    Ok(LogThread { tx, handle })
}

/// Number of lines dropped since event 706 last reported them.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Queues a line for the log thread, or drops it if the queue is full; never blocks.
fn queue_line(tx: &mpsc::SyncSender<String>, record: &log::Record<'_>) {
    let mut line = single_line(record.args().to_string());
    line.push('\n');
    if tx.try_send(line).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Escapes what would end a line early, and cuts a text that is too long.
///
/// Errors may quote texts from outside of the host.
fn single_line(mut text: String) -> String {
    let ends_line = |c: char| c.is_control() || matches!(c, '\u{2028}' | '\u{2029}');
    if text.len() > MAX_LINE_BYTES {
        text.truncate(text.floor_char_boundary(MAX_LINE_BYTES));
        text.push_str("...");
    }
    if !text.contains(ends_line) {
        return text;
    }
    let mut escaped = String::with_capacity(text.len() + 16);
    for c in text.chars() {
        match ends_line(c) {
            true => escaped.extend(c.escape_default()),
            false => escaped.push(c),
        }
    }
    escaped
}

/// How many lines of one event number a thread has written and left out within a second.
struct RateWindow {
    since: Instant,
    written: u32,
    left_out: u32,
}

thread_local! {
    static RATE_WINDOWS: RefCell<HashMap<u16, RateWindow>> = RefCell::default();
}

/// Returns whether a line of this event may be written, and how many lines were left out in the
/// second before if a new one starts.
fn admit_line(number: u16) -> (bool, u32) {
    RATE_WINDOWS.with_borrow_mut(|windows| {
        let now = Instant::now();
        let window = windows.entry(number).or_insert_with(|| RateWindow {
            since: now,
            written: 0,
            left_out: 0,
        });
        let mut left_out = 0;
        if now.duration_since(window.since) >= Duration::from_secs(1) {
            left_out = std::mem::take(&mut window.left_out);
            window.since = now;
            window.written = 0;
        }
        let admitted = window.written < MAX_LINES_PER_SECOND;
        window.written += u32::from(admitted);
        window.left_out += u32::from(!admitted);
        (admitted, left_out)
    })
}

/// Returns whether a line of this event may be written now, for events that outsiders can cause at
/// any rate; reports the lines that were left out.
pub fn may_write(number: u16) -> bool {
    let (admitted, left_out) = admit_line(number);
    if left_out > 0 {
        log::info!("event=707 lines-left-out number={number} count={left_out}");
    }
    admitted
}

/// Writes lines until an empty one comes, and flushes whenever the queue is empty.
fn write_lines<W: Write>(rx: &mpsc::Receiver<String>, to: W) {
    let mut to = BufWriter::new(to);
    for line in rx {
        if line.is_empty() {
            break;
        }
        // A log that can't be written must not stop the host.
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

/// Logs a numbered event, unless its level is off or its rate is over the limit.
pub(crate) fn write_event(event: &LogEvent) {
    let level = event.level();
    if level > log::max_level() {
        return;
    }
    if DROPPED.load(Ordering::Relaxed) > 0 {
        let count = DROPPED.swap(0, Ordering::Relaxed);
        log::warn!("event=706 lines-dropped count={count}");
    }
    let number = event.number();
    if may_write(number) {
        log::log!(target: "carawaycourse", level, "event={number} {event}");
    }
}
