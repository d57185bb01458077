//! What can be seen of a balancer's process from outside: what the system says of it, whether it
//! answers, and the end of its log. It owns nothing, and must never start or end a process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long the answer to a `PING` is waited for.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Lines of a log that are told where its balancer has died.
const LOG_LINES: usize = 20;
/// Where the user and the system time of `/proc/PID/stat` stand, counted in words after the
/// program's name in brackets.
const CPU_TIME_WORDS: [usize; 2] = [11, 12];

/// What the system says of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ProcessUsage {
    pub cpu_seconds: f64,
    pub memory_mb: f64,
    pub memory_peak_mb: f64,
    pub descriptors: f64,
}

impl ProcessUsage {
    /// Returns what the process with this id uses; zeros where it doesn't run.
    pub(crate) fn of(process_id: u32) -> Self {
        let folder = format!("/proc/{process_id}");
        let read = |name: &str| fs::read_to_string(format!("{folder}/{name}")).unwrap_or_default();
        let status = read("status");
        ProcessUsage {
            cpu_seconds: cpu_seconds(&read("stat")),
            memory_mb: megabytes(&status, "VmRSS:"),
            memory_peak_mb: megabytes(&status, "VmHWM:"),
            descriptors: fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count) as f64,
        }
    }
}

/// User and system time of a `/proc/PID/stat`.
fn cpu_seconds(stat: &str) -> f64 {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let words: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = CPU_TIME_WORDS.map(|at| words.get(at).and_then(|word| word.parse::<f64>().ok()));
    let ticks: f64 = ticks.into_iter().flatten().sum();
    ticks / rustix::param::clock_ticks_per_second() as f64
}

/// A line of a `/proc/PID/status` that is a number of kilobytes.
fn megabytes(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

/// Returns whether the balancer at this address answers `PING`.
pub(crate) async fn answers_ping(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"PING\r\n").await.ok()?;
        let mut answer = [0; 6];
        stream.read_exact(&mut answer).await.ok()?;
        (&answer == b"PONG\r\n").then_some(())
    };
    matches!(tokio::time::timeout(PING_TIMEOUT, ask).await, Ok(Some(())))
}

/// Returns the last lines of a log; nothing where it can't be read.
pub(crate) fn log_end(log: &Path) -> String {
    let text = fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
}
