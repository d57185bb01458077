//! The log: lines on standard error, as text or as JSON objects. This module owns the thread that
//! writes the lines and the number of lines from each callsite. It must never block the worker: if
//! the reader stops reading, or one callsite floods the log, lines are dropped and flows go on.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use nettlemux_settings::operator::Format;
use tracing::callsite::Identifier;
use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, dynamic_filter_fn};
use tracing_subscriber::prelude::*;

/// Maximum number of lines buffered for a slow reader; further lines are dropped.
const BUFFERED_LINES_MAX: usize = 4096;
/// Maximum number of lines from one callsite per second. Without a limit, hundreds of clients that
/// each cause a line would flood the log. Debug and trace lines are not limited.
const LINES_PER_SECOND_MAX: u64 = 20;

/// Starts the log. Buffered lines are written when the returned guard is dropped.
pub fn start(level: Level, format: Format) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .lossy(true)
        .finish(std::io::stderr());
    let limit = RateLimit::new(writer.clone(), format);
    let filter = dynamic_filter_fn(move |metadata: &Metadata, _: &_| limit.allows(metadata));
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(move || writer.clone());
    let registry = tracing_subscriber::registry().with(LevelFilter::from_level(level));
    match format {
        Format::Text => registry.with(lines.with_filter(filter)).init(),
        Format::Json => registry
            .with(lines.json().flatten_event(true).with_filter(filter))
            .init(),
    }
    guard
}

/// Limits the lines per second from one callsite, and logs how many were suppressed.
struct RateLimit {
    counts: Mutex<LineCounts>,
    started: Instant,
    writer: NonBlocking,
    format: Format,
}

impl RateLimit {
    fn new(writer: NonBlocking, format: Format) -> Self {
        RateLimit {
            counts: Mutex::default(),
            started: Instant::now(),
            writer,
            format,
        }
    }

    fn allows(&self, metadata: &Metadata) -> bool {
        if *metadata.level() > Level::INFO {
            return true;
        }
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = counts.count(metadata.callsite(), self.started.elapsed().as_secs());
        if outcome.suppressed > 0 {
            let line = suppressed_line(
                self.format,
                metadata.target(),
                metadata.line().unwrap_or(0),
                outcome.suppressed,
            );
            let _ = self.writer.clone().write_all(line.as_bytes());
        }
        outcome.allowed
    }
}

/// Returns the line that reports the number of suppressed lines, in the log's format.
fn suppressed_line(format: Format, target: &str, line: u32, count: u64) -> String {
    let message = "lines suppressed by the rate limit";
    match format {
        Format::Text => format!("{target}:{line}: {count} {message}\n"),
        Format::Json => {
            let object = serde_json::json!({"message": message, "target": target, "line": line, "left_out": count});
            format!("{object}\n")
        }
    }
}

/// Whether a line may be written, and how many lines were suppressed before it.
#[derive(Debug, PartialEq, Eq)]
struct RateLimitOutcome {
    allowed: bool,
    /// Number of lines from the same callsite that were suppressed in the previous second in which
    /// the callsite logged. Non-zero only for the first line of a new second.
    suppressed: u64,
}

/// Number of lines from one callsite in one second.
struct LineCount {
    /// Whole seconds since the log was started.
    second: u64,
    lines: u64,
}

/// Number of lines from each callsite in the latest second in which it logged.
#[derive(Default)]
struct LineCounts {
    by_callsite: HashMap<Identifier, LineCount>,
}

impl LineCounts {
    /// Counts a line from this callsite in this second.
    fn count(&mut self, callsite: Identifier, second: u64) -> RateLimitOutcome {
        let current = self
            .by_callsite
            .entry(callsite)
            .or_insert(LineCount { second, lines: 0 });
        let mut suppressed = 0;
        if current.second != second {
            suppressed = current.lines.saturating_sub(LINES_PER_SECOND_MAX);
            *current = LineCount { second, lines: 0 };
        }
        current.lines += 1;
        RateLimitOutcome {
            allowed: current.lines <= LINES_PER_SECOND_MAX,
            suppressed,
        }
    }
}

#[cfg(test)]
mod tests;
