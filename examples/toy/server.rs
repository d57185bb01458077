//! A toy server. It speaks the platform's line protocol and can simulate faults.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The load that a server reports until another load is set.
pub const INITIAL_LOAD: f64 = 0.01;
/// How often a silent server checks whether it is still silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How a server handles its clients. Only a silent server leaves health checks unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Answers a first line with `UP 1` and each further line with `ok` and the line.
    Serving,
    /// Answers each line with `BUSY`.
    Busy,
    /// Answers each line with `ERR`.
    Failing,
    /// Reads lines and answers none, not even on connections that are already open.
    Silent,
    /// Closes a connection when it receives a client's line, without an answer.
    Closing,
}

/// A server that speaks the platform's line protocol.
pub struct ToyServer {
    pub address: SocketAddr,
    behavior: Mutex<ServerBehavior>,
    load: Mutex<f64>,
    first_lines: Mutex<Vec<String>>,
    health_check_count: Mutex<usize>,
    open: Mutex<Vec<TcpStream>>,
    closed_connection_count: Mutex<usize>,
}

impl ToyServer {
    /// Starts a server that listens at this address, with a thread for each connection.
    ///
    /// # Errors
    /// If listening at the address fails.
    pub fn start(address: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(ToyServer {
            address: listener.local_addr()?,
            behavior: Mutex::new(ServerBehavior::Serving),
            load: Mutex::new(INITIAL_LOAD),
            first_lines: Mutex::default(),
            health_check_count: Mutex::default(),
            open: Mutex::default(),
            closed_connection_count: Mutex::default(),
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        Ok(server)
    }

    /// Changes how the server handles its clients, including those on open connections.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    fn behavior(&self) -> ServerBehavior {
        *self.behavior.lock().unwrap()
    }

    /// Sets the load that the server reports.
    pub fn set_load(&self, load: f64) {
        *self.load.lock().unwrap() = load;
    }

    /// Returns the first lines that the server has received, in order.
    pub fn first_lines(&self) -> Vec<String> {
        self.first_lines.lock().unwrap().clone()
    }

    /// Returns the number of health checks that the server has received.
    pub fn health_check_count(&self) -> usize {
        *self.health_check_count.lock().unwrap()
    }

    /// Returns the number of connections that the balancer has closed.
    pub fn closed_connection_count(&self) -> usize {
        *self.closed_connection_count.lock().unwrap()
    }

    /// Sends this text on all open connections.
    pub fn send_to_all(&self, text: &str) {
        for mut stream in self.open.lock().unwrap().iter() {
            let _ = stream.write_all(text.as_bytes());
        }
    }

    /// Sends this text on all open connections and closes them.
    pub fn send_and_close(&self, text: &str) {
        for mut stream in self.open.lock().unwrap().iter() {
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Serves one connection; `None` if the server closed it or it failed before the client ended it.
    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        while let Some(Ok(line)) = lines.next() {
            if line == "PING" || line == "STATS" {
                self.answer_health_check(&line, &mut out)?;
            } else {
                self.answer_line(&line, &mut out)?;
            }
        }
        *self.closed_connection_count.lock().unwrap() += 1;
        // A silent server keeps its side open. This simulates a machine that has vanished.
        while self.behavior() == ServerBehavior::Silent {
            thread::sleep(SILENCE_CHECK_INTERVAL);
        }
        Some(())
    }

    fn answer_health_check(&self, request: &str, out: &mut TcpStream) -> Option<()> {
        let behavior = self.behavior();
        *self.health_check_count.lock().unwrap() += 1;
        let load = *self.load.lock().unwrap();
        let report = if request == "STATS" {
            format!(" x0={load},util={load}")
        } else {
            String::new()
        };
        if behavior == ServerBehavior::Silent {
            return Some(());
        }
        write!(out, "PONG{report}\r\n").ok()
    }

    /// Answers a client's first line or a later line; `None` if the connection is closed.
    fn answer_line(&self, line: &str, out: &mut TcpStream) -> Option<()> {
        let behavior = self.behavior();
        let is_first = line.starts_with("OPEN ");
        if is_first {
            self.first_lines.lock().unwrap().push(line.to_string());
        }
        if is_first && matches!(behavior, ServerBehavior::Serving | ServerBehavior::Silent) {
            self.open.lock().unwrap().push(out.try_clone().ok()?);
        }
        match behavior {
            ServerBehavior::Silent => Some(()),
            ServerBehavior::Serving if is_first => out.write_all(b"UP 1\r\n").ok(),
            ServerBehavior::Serving => write!(out, "ok {line}\r\n").ok(),
            ServerBehavior::Busy => out.write_all(b"BUSY\r\n").ok(),
            ServerBehavior::Failing => out.write_all(b"ERR\r\n").ok(),
            ServerBehavior::Closing => {
                let _ = out.shutdown(Shutdown::Both);
                None
            }
        }
    }
}
