//! A stand-in of a server. It answers probes, brings connections up and sends each line back.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// What a server does with a first line.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Brings the connection up.
    Serves,
    /// Runs the request, and gives no answer for now.
    Hangs,
    /// Turns it away, as a server that drains does.
    TurnsAway,
}

/// A first line that a server has received.
#[derive(Clone)]
pub struct Received {
    pub at: Duration,
    pub id: String,
}

pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    behavior: Mutex<Behavior>,
    received: Mutex<Vec<Received>>,
    /// The connections whose request hangs.
    hanging: Mutex<Vec<TcpStream>>,
    /// The connections that were brought up.
    up: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(name: &str, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Server {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            behavior: Mutex::new(Behavior::Serves),
            received: Mutex::default(),
            hanging: Mutex::default(),
            up: Mutex::default(),
            record: record.clone(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        server
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns the first lines received so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Breaks the connections whose request hangs.
    pub fn break_hanging(&self) {
        for stream in self.hanging.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Answers the requests that hang.
    pub fn answer_hanging(&self) {
        for mut stream in self.hanging.lock().unwrap().drain(..) {
            let _ = stream.write_all(b"UP late\r\n");
            self.up.lock().unwrap().push(stream);
        }
    }

    /// Stops the server's work: the connections that are left are cut off.
    pub fn stop(&self) {
        self.record.add(&format!("{}: stops", self.name));
        self.set_behavior(Behavior::TurnsAway);
        for stream in self.up.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut line = String::new();
        loop {
            // The time of the first byte counts.
            reader.fill_buf()?;
            let at = self.record.now();
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            match line.trim_end() {
                "PING" => stream.write_all(b"PONG\r\n")?,
                "STATS" => stream.write_all(b"PONG inflight=2,util=0.2,x0=0.2\r\n")?,
                open => return self.open(at, open, stream, reader),
            }
        }
    }

    /// Handles a connection that begins with this first line.
    fn open(
        &self,
        at: Duration,
        line: &str,
        mut stream: TcpStream,
        mut reader: BufReader<TcpStream>,
    ) -> std::io::Result<()> {
        let id = line.split(' ').nth(1).unwrap_or("").to_string();
        let behavior = *self.behavior.lock().unwrap();
        self.record
            .add(&format!("{}: received '{line}'", self.name));
        self.received
            .lock()
            .unwrap()
            .push(Received { at, id: id.clone() });
        match behavior {
            Behavior::Serves => {}
            Behavior::Hangs => {
                self.record
                    .add(&format!("{}: ran {id}, no answer yet", self.name));
                self.hanging.lock().unwrap().push(stream);
                return Ok(());
            }
            Behavior::TurnsAway => return stream.write_all(b"BUSY\r\n"),
        }
        self.record
            .add(&format!("{}: ran {id}, answered UP", self.name));
        self.up.lock().unwrap().push(stream.try_clone()?);
        stream.write_all(format!("UP {id}\r\n").as_bytes())?;
        let mut text = String::new();
        while reader.read_line(&mut text)? > 0 {
            stream.write_all(format!("ok {text}").as_bytes())?;
            text.clear();
        }
        Ok(())
    }
}
