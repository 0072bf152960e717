//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt` in the case's folder.
pub fn open(path: &Path) -> std::io::Result<()> {
    START.get_or_init(Instant::now);
    let file = File::create(path)?;
    let _ = FILE.set(Mutex::new(file));
    Ok(())
}

/// Returns the seconds since the start of the run.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes one line to the record.
pub fn line(text: &str) {
    if let Some(file) = FILE.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", now());
    }
}

/// Writes one line to the record and to standard output.
pub fn say(text: &str) {
    println!("{:9.4} {text}", now());
    line(text);
}
