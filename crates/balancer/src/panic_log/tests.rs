//! Tests of what a panic writes to the log.

use std::io::{self, Write};
use std::panic::catch_unwind;
use std::sync::{Arc, Mutex};

use super::*;

/// Keeps what is written to it.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a panic whose report is written by the thread that has panicked, which waits
/// for a reader of standard error.
#[test]
fn panic_is_one_line_of_the_log_with_its_message_and_place() {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(move || writer.clone())
        .finish();
    let previous = panic::take_hook();
    install();
    tracing::subscriber::with_default(subscriber, || {
        assert!(catch_unwind(|| panic!("fixed text")).is_err());
        assert!(catch_unwind(|| panic!("text with {}", 7)).is_err());
    });
    panic::set_hook(previous);
    let written = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    let written: Vec<&str> = written.lines().collect();
    assert_eq!(written.len(), 2, "{written:?}");
    for (line, reason) in written.iter().zip(["fixed text", "text with 7"]) {
        let reason = format!("panicked reason=\"{reason}\" location=\"");
        assert!(
            line.contains(&reason) && line.contains("tests.rs:"),
            "{line}"
        );
    }
}
