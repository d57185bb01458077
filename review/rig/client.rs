//! A stand-in of a client: one connection, with a line every 2 s once it is up.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// How a client's connection stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// No answer has come yet.
    Waiting,
    /// A server serves the client.
    Up,
    /// The client was told to move.
    Moved,
    /// The client was turned away, or its request failed.
    Answered(String),
    /// The connection ended without an answer, or without `MOVE` while it was up.
    CutOff,
    /// The client has ended the connection itself.
    Left,
}

pub struct Client {
    pub id: String,
    status: Arc<Mutex<Status>>,
    /// The time from the last byte of the first line to the answer.
    answered_after: Arc<Mutex<Option<Duration>>>,
    leave: Arc<AtomicBool>,
    /// How long the client waits for its answer, in ms; 0 without a limit.
    patience_ms: Arc<AtomicU64>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Client {
    /// Connects and asks to be served. Each client has a new id.
    pub fn open(balancer: SocketAddr, class: &str, wait_ms: u64, record: &Arc<Record>) -> Self {
        let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let client = Client {
            id: format!("{:08x}{number:08x}", std::process::id()),
            status: Arc::new(Mutex::new(Status::Waiting)),
            answered_after: Arc::default(),
            leave: Arc::default(),
            patience_ms: Arc::default(),
        };
        let line = format!(
            "OPEN {} {number:016x} c={class},d={wait_ms},g=group{}",
            client.id, number
        );
        let (status, leave) = (client.status.clone(), client.leave.clone());
        let (id, record) = (client.id.clone(), record.clone());
        let answered_after = client.answered_after.clone();
        let patience_ms = client.patience_ms.clone();
        thread::spawn(move || {
            let set = |new: Status| {
                record.add(&format!("client {id}: {new:?}"));
                *status.lock().unwrap() = new;
            };
            record.add(&format!("client {id}: sends '{line}'"));
            if run(balancer, &line, &set, &answered_after, &leave, &patience_ms).is_err() {
                set(Status::CutOff);
            }
        });
        client
    }

    pub fn status(&self) -> Status {
        self.status.lock().unwrap().clone()
    }

    /// Returns the time from the last byte of the first line to the answer, if there was one.
    pub fn answered_after(&self) -> Option<Duration> {
        *self.answered_after.lock().unwrap()
    }

    /// Lets the client leave if it has no answer this long after its request.
    pub fn leave_unanswered_after(&self, patience: Duration) {
        let patience = patience.as_millis() as u64;
        self.patience_ms.store(patience, Ordering::SeqCst);
    }

    /// Ends the connection in order.
    pub fn leave(&self) {
        self.leave.store(true, Ordering::SeqCst);
    }

    /// Waits until the client has an answer.
    pub fn wait_for_answer(&self, longest: Duration) -> Status {
        let until = Instant::now() + longest;
        while self.status() == Status::Waiting && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        self.status()
    }
}

fn run(
    balancer: SocketAddr,
    first_line: &str,
    set: &dyn Fn(Status),
    answered_after: &Mutex<Option<Duration>>,
    leave: &AtomicBool,
    patience_ms: &AtomicU64,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(balancer)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(50)))?;
    stream.write_all(format!("{first_line}\r\n").as_bytes())?;
    let sent_at = Instant::now();
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    let mut is_up = false;
    let mut next_line_at = Instant::now() + Duration::from_secs(2);
    loop {
        let patience = Duration::from_millis(patience_ms.load(Ordering::SeqCst));
        let is_tired = !is_up && !patience.is_zero() && sent_at.elapsed() > patience;
        if is_tired || leave.load(Ordering::SeqCst) {
            set(Status::Left);
            return Ok(());
        }
        if is_up && Instant::now() >= next_line_at {
            next_line_at += Duration::from_secs(2);
            stream.write_all(b"hello\r\n")?;
        }
        match reader.read_line(&mut line) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            // What was read of a line so far stays in `line`.
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        let text = std::mem::take(&mut line);
        let text = text.trim_end();
        if !is_up {
            *answered_after.lock().unwrap() = Some(sent_at.elapsed());
        }
        if !is_up && text.starts_with("UP ") {
            is_up = true;
            next_line_at = Instant::now() + Duration::from_secs(2);
            set(Status::Up);
        } else if !is_up {
            set(Status::Answered(text.to_string()));
            return Ok(());
        } else if text == "MOVE" {
            set(Status::Moved);
            return Ok(());
        }
    }
}
