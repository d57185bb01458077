//! A server that records all attempts that reach it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An attempt recorded by a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When its connection was accepted.
    pub accepted_at: Instant,
    /// The first line and the time at which it was received. `None` until then.
    pub first_line: Option<(Instant, String)>,
}

/// A server that records all attempts and answers each first line with `UP 1`.
pub struct RecordingServer {
    pub address: SocketAddr,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl RecordingServer {
    /// Starts a recording server on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let recorder = RecordingServer {
            address: listener.local_addr().unwrap(),
            attempts: Arc::default(),
        };
        let attempts = recorder.attempts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let index = attempts.lock().unwrap().len();
                attempts.lock().unwrap().push(Attempt {
                    accepted_at: Instant::now(),
                    first_line: None,
                });
                let attempts = attempts.clone();
                thread::spawn(move || {
                    let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
                    if let Some(line) = lines.next() {
                        attempts.lock().unwrap()[index].first_line = Some((Instant::now(), line));
                        let _ = (&stream).write_all(b"UP 1\r\n");
                    }
                    lines.for_each(drop);
                });
            }
        });
        recorder
    }

    /// Returns the longest delay between sending and recording of the test's own lines. The test
    /// sends line `OWN n` at the time `sent[n]`.
    ///
    /// # Panics
    /// If none of these lines has been recorded.
    pub fn longest_recording_delay(&self, sent: &[Instant]) -> Duration {
        let attempts = self.attempts.lock().unwrap();
        let own = attempts.iter().filter_map(|attempt| {
            let (at, line) = attempt.first_line.as_ref()?;
            let number: usize = line.strip_prefix("OWN ")?.parse().ok()?;
            Some(at.saturating_duration_since(sent[number]))
        });
        own.max()
            .expect("at least one of the test's own lines was recorded")
    }

    /// Asserts that every attempt has received its first line, and that each of these lines begins
    /// with `OPEN` and the text `staying`. `what` names the case in the panic message.
    pub fn assert_attempts_only_from(&self, staying: &str, what: &str) {
        for attempt in self.attempts.lock().unwrap().iter() {
            let line = attempt.first_line.as_ref().map(|(_, line)| line.as_str());
            assert!(
                line.is_some_and(|line| line.starts_with(&format!("OPEN {staying}"))),
                "{what}: {attempt:?}"
            );
        }
    }
}
