//! The log: lines on standard error, as text or as JSON objects. It owns the thread that writes
//! them and the count of lines from each place. It must never hold up the worker: a reader that
//! stops reading costs log lines, not flows, and so does a flood of lines from one place.

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

/// Lines that wait for a slow reader; further ones are dropped.
const BUFFERED_LINES_MAX: usize = 4096;
/// Lines from one place in a second. Guards against clients that come by hundreds, each of which
/// costs a line. Debug and trace lines aren't limited.
const LINES_PER_SECOND_MAX: u64 = 20;

/// Starts the log; lines that wait are written when the guard is dropped.
pub fn start(level: Level, format: Format) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .lossy(true)
        .finish(std::io::stderr());
    let limit = LineLimit::new(writer.clone(), format);
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

/// Limits the lines from one place, and says in the log how many were suppressed.
struct LineLimit {
    counts: Mutex<LineCounts>,
    started: Instant,
    writer: NonBlocking,
    format: Format,
}

impl LineLimit {
    fn new(writer: NonBlocking, format: Format) -> Self {
        LineLimit {
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
        let verdict = counts.count(metadata.callsite(), self.started.elapsed().as_secs());
        if verdict.suppressed > 0 {
            let line = suppressed_line(
                self.format,
                metadata.target(),
                metadata.line().unwrap_or(0),
                verdict.suppressed,
            );
            let _ = self.writer.clone().write_all(line.as_bytes());
        }
        verdict.allowed
    }
}

/// Returns the line that stands for suppressed ones, in the log's format.
fn suppressed_line(format: Format, target: &str, line: u32, count: u64) -> String {
    let message = "lines like the next were left out";
    match format {
        Format::Text => format!("{target}:{line}: {count} more {message}\n"),
        Format::Json => {
            let object = serde_json::json!({"message": message, "target": target, "line": line, "left_out": count});
            format!("{object}\n")
        }
    }
}

/// Whether a line may be written, and how many were suppressed before it.
#[derive(Debug, PartialEq, Eq)]
struct LineVerdict {
    allowed: bool,
    /// Lines from the same place that were suppressed in the last second that had any.
    suppressed: u64,
}

/// The lines from one place in one second.
struct LineCount {
    second: u64,
    lines: u64,
}

/// The lines from each place in its current second.
#[derive(Default)]
struct LineCounts {
    by_callsite: HashMap<Identifier, LineCount>,
}

impl LineCounts {
    /// Counts one more line from this place in this second.
    fn count(&mut self, callsite: Identifier, second: u64) -> LineVerdict {
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
        LineVerdict {
            allowed: current.lines <= LINES_PER_SECOND_MAX,
            suppressed,
        }
    }
}

#[cfg(test)]
mod tests;
