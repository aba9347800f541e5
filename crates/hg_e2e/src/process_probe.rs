//! What the system says about a process: its memory, its open files, and the bytes that wait for it.

use std::collections::BTreeSet;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval of the samples of a [`PeakSampler`].
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const BYTES_PER_KIB: usize = 1_024;

/// Reads figures of one process from `/proc`.
#[derive(Debug, Clone, Copy)]
pub struct ProcessProbe {
    pid: u32,
}

/// The largest figures of a process so far.
#[derive(Debug, Default)]
struct Peaks {
    memory: AtomicUsize,
    descriptors: AtomicUsize,
}

impl ProcessProbe {
    /// A probe of the process with this id.
    pub const fn new(pid: u32) -> Self {
        Self { pid }
    }

    /// Number of open file descriptors; 0 if the process has ended.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count)
    }

    /// The resident memory, in bytes; 0 if the process has ended.
    pub fn resident_bytes(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
        kib.unwrap_or(0) * BYTES_PER_KIB
    }

    /// Bytes that have arrived on the process's TCP connections and that it has not read.
    pub fn unread_bytes(&self) -> usize {
        let sockets = self.socket_inodes();
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        table.lines().skip(1).filter_map(|line| unread_of(line, &sockets)).sum()
    }

    fn socket_inodes(&self) -> BTreeSet<String> {
        let Ok(entries) = fs::read_dir(format!("/proc/{}/fd", self.pid)) else {
            return BTreeSet::new();
        };
        let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
        links
            .filter_map(|link| {
                let name = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
                Some(name.to_owned())
            })
            .collect()
    }

    /// The resident memory and the unread bytes together.
    pub fn memory_bytes(&self) -> usize {
        self.resident_bytes() + self.unread_bytes()
    }
}

/// The bytes that wait on a connection of `/proc/net/tcp`, if it is one of `sockets`.
fn unread_of(line: &str, sockets: &BTreeSet<String>) -> Option<usize> {
    /// The state of an established connection, and of one whose other end is closed.
    const CONNECTED: [&str; 2] = ["01", "08"];
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (state, queues, inode) = (fields.get(3)?, fields.get(4)?, fields.get(9)?);
    if !CONNECTED.contains(state) || !sockets.contains(*inode) {
        return None;
    }
    usize::from_str_radix(queues.split(':').nth(1)?, 16).ok()
}

/// Samples a process in the background; dropping it ends that.
#[derive(Debug)]
pub struct PeakSampler {
    peaks: Arc<Peaks>,
    task: JoinHandle<()>,
}

impl PeakSampler {
    /// Starts to sample a process.
    pub fn start(probe: ProcessProbe) -> Self {
        let peaks = Arc::new(Peaks::default());
        let sampled = Arc::clone(&peaks);
        let task = tokio::spawn(async move {
            loop {
                sampled.memory.fetch_max(probe.memory_bytes(), Ordering::AcqRel);
                sampled.descriptors.fetch_max(probe.descriptors(), Ordering::AcqRel);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { peaks, task }
    }

    /// The largest memory so far, with unread bytes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.peaks.memory.load(Ordering::Acquire)
    }

    /// The largest number of open file descriptors so far.
    pub fn descriptors(&self) -> usize {
        self.peaks.descriptors.load(Ordering::Acquire)
    }
}

impl Drop for PeakSampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}
