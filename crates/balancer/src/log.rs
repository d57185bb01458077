//! The log: lines on standard error. It owns the thread that writes them and the count of lines. It must never hold
//! up the worker: a reader that stops reading costs log lines, not flows, and so does a flood of lines from one
//! place.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use nettlemux_settings::operator::Format;
use tracing::callsite::Identifier;
use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, dynamic_filter_fn};
use tracing_subscriber::prelude::*;

/// Lines that wait for a slow reader; further ones are dropped.
const LINES: usize = 4096;
/// Lines from one place in a second: bad clients come by hundreds, and each costs one. What is asked for with
/// debug or trace isn't limited.
const A_SECOND: u64 = 20;

/// Starts the log; what waits is written when the guard is dropped.
pub fn start(level: Level, format: Format) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
        .lossy(true)
        .finish(std::io::stderr());
    let counts = Mutex::new(Counts::default());
    let since = Instant::now();
    let out = writer.clone();
    let allowed = move |metadata: &Metadata| {
        if *metadata.level() > Level::INFO {
            return true;
        }
        let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
        let (allowed, left_out) = counts.count(metadata.callsite(), since.elapsed().as_secs());
        if left_out > 0 {
            let (target, line) = (metadata.target(), metadata.line().unwrap_or(0));
            let _ = out
                .clone()
                .write_all(left_out_line(format, target, line, left_out).as_bytes());
        }
        allowed
    };
    let filter = dynamic_filter_fn(move |metadata: &Metadata, _: &_| allowed(metadata));
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

/// The line that stands for those that were left out, in the form of all others.
fn left_out_line(format: Format, target: &str, line: u32, left_out: u64) -> String {
    let message = "lines like the next were left out";
    match format {
        Format::Text => format!("{target}:{line}: {left_out} more {message}\n"),
        Format::Json => {
            let object = serde_json::json!({"message": message, "target": target, "line": line, "left_out": left_out});
            format!("{object}\n")
        }
    }
}

/// How many lines came from each place in its current second.
#[derive(Default)]
struct Counts(HashMap<Identifier, (u64, u64)>);

impl Counts {
    /// Whether one more line may go out, and how many were left out in the last second that had any.
    fn count(&mut self, place: Identifier, second: u64) -> (bool, u64) {
        let (current, count) = self.0.entry(place).or_insert((second, 0));
        let mut left_out = 0;
        if *current != second {
            left_out = count.saturating_sub(A_SECOND);
            (*current, *count) = (second, 0);
        }
        *count += 1;
        (*count <= A_SECOND, left_out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against bad clients who fill the log, and with it the core.
    #[test]
    fn a_flood_of_lines_is_cut_and_counted() {
        let mut counts = Counts::default();
        let place = tracing::callsite::Identifier(&PLACE);
        let out = (0..500)
            .filter(|_| counts.count(place.clone(), 7).0)
            .count();
        assert_eq!(out as u64, A_SECOND);
        assert_eq!(counts.count(place.clone(), 8), (true, 500 - A_SECOND));
        assert_eq!(counts.count(place, 9), (true, 0));
    }

    #[test]
    fn a_line_for_those_left_out_is_an_object_where_all_are() {
        let line = left_out_line(Format::Json, "a \"b\"", 7, 480);
        let read: serde_json::Value = serde_json::from_str(line.trim_end()).unwrap();
        assert_eq!(
            (&read["left_out"], line.matches('\n').count()),
            (&serde_json::json!(480), 1)
        );
        assert_eq!(
            left_out_line(Format::Text, "a", 7, 480),
            "a:7: 480 more lines like the next were left out\n"
        );
    }

    struct Place;
    static PLACE: Place = Place;
    impl tracing::Callsite for Place {
        fn set_interest(&self, _: tracing::subscriber::Interest) {}
        fn metadata(&self) -> &Metadata<'_> {
            unreachable!("only its address is asked for")
        }
    }
}
