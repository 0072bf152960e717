//! What a process has used of the machine.

use std::time::Duration;

/// Memory of the smallest hosts of the deployments in KiB: no crowd of clients may take a process
/// over it.
pub(crate) const MAX_PEAK_KIB: u64 = 112 << 10;

/// Returns the largest resident set that the process has had, in KiB.
pub(crate) fn peak_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.unwrap().trim().strip_suffix(" kB").unwrap();
    kib.parse().unwrap()
}

/// Returns the largest number of descriptors that the process has open in the next 300 ms.
pub(crate) async fn most_open_files(process: u32) -> usize {
    let mut most = 0;
    for _ in 0..30 {
        let files = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
        most = most.max(files.count());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    most
}

/// Waits until the peak of the process's memory no longer grows, which shows that it has read what
/// the crowd has sent, and returns the peak in KiB.
pub(crate) async fn settled_peak_kib(process: u32) -> u64 {
    const UNCHANGED_FOR: u32 = 10;
    let (mut peak, mut unchanged) = (peak_kib(process), 0);
    while unchanged < UNCHANGED_FOR {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = peak_kib(process);
        unchanged = if now == peak { unchanged + 1 } else { 0 };
        peak = now;
    }
    peak
}
