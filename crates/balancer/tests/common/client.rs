//! A client that speaks the platform's line protocol.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How long a client waits for a line.
const READ_TIMEOUT: Duration = Duration::from_secs(9);

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects and sends this text.
    ///
    /// # Panics
    /// If the connection can't be established or the text can't be sent.
    pub fn connect_and_send(address: SocketAddr, text: &[u8]) -> Self {
        Client::try_connect_and_send(address, text)
            .expect("connecting to the address and sending the text")
    }

    /// Connects and sends this text. Returns `None` if the connection can't be established or the
    /// text can't be sent.
    pub fn try_connect_and_send(address: SocketAddr, text: &[u8]) -> Option<Self> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.write_all(text).ok()?;
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    /// Connects and sends an `OPEN` first line with a new connection id and these values.
    pub fn connect_with_open_line(address: SocketAddr, values: &str) -> Self {
        // Every connection has its own id.
        static IDS: AtomicU64 = AtomicU64::new(0x9b1f);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        Client::connect_and_send(address, format!("OPEN {id:x} 7f3a {values}\r\n").as_bytes())
    }

    /// Returns the next line without its line end. Returns `end` at the end of the stream, `reset`
    /// after a connection reset, and `nothing` on a time-out or another error.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => "end".into(),
            Ok(_) => line.trim_end().into(),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => "reset".into(),
            Err(_) => "nothing".into(),
        }
    }

    /// Reads the next line and returns whether it is the expected one.
    pub fn next_line_is(&mut self, expected: &str) -> bool {
        self.read_line() == expected
    }

    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Sends this line and asserts that the server answers it with `ok` and the line.
    pub fn assert_echo(&mut self, line: &str) {
        self.send(&format!("{line}\r\n"));
        assert_eq!(self.read_line(), format!("ok {line}"));
    }
}
