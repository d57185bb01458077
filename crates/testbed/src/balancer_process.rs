//! Observes a balancer process from outside: its resource usage as the system reports it, whether
//! it answers `PING`, and the end of its log. This module holds no state and never starts or ends a
//! process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit for the answer to a `PING`.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Lines of a balancer's log that are reported when it has died or is not ready in time.
const REPORTED_LOG_LINES: usize = 20;
/// Indexes of the user and the system time in `/proc/PID/stat`, among the fields after the program's
/// name in parentheses.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// The resource usage of a process as the system reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ProcessUsage {
    pub cpu_seconds: f64,
    pub memory_mb: f64,
    pub memory_peak_mb: f64,
    pub descriptors: f64,
}

impl ProcessUsage {
    /// Returns the usage of the process with this id, all zeros if it is not running.
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

/// Returns the sum of user and system time in the text of a `/proc/PID/stat`, in seconds.
fn cpu_seconds(stat: &str) -> f64 {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks =
        CPU_TIME_FIELDS.map(|at| fields.get(at).and_then(|field| field.parse::<f64>().ok()));
    let ticks: f64 = ticks.into_iter().flatten().sum();
    ticks / rustix::param::clock_ticks_per_second() as f64
}

/// Returns the value of a line of a `/proc/PID/status` that is in kilobytes, converted to megabytes.
/// 0 if there is no such line.
fn megabytes(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

/// Returns whether the balancer at this address answers `PING`.
pub(crate) async fn answers_ping(address: SocketAddr) -> bool {
    let ping = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"PING\r\n").await.ok()?;
        let mut answer = [0; 6];
        stream.read_exact(&mut answer).await.ok()?;
        (&answer == b"PONG\r\n").then_some(())
    };
    matches!(tokio::time::timeout(PING_TIMEOUT, ping).await, Ok(Some(())))
}

/// Returns the last lines of a log, or an empty string if it cannot be read.
pub(crate) fn log_end(log: &Path) -> String {
    let text = fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(REPORTED_LOG_LINES)..].join("\n")
}
