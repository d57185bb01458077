//! The server's side of one connection: its lines, and the ways in which it ends.

use std::time::Duration;

use nettlemux_fleet_model::server::ServerStatus;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::sockets::shared_run::SharedRun;

/// Longest line in bytes: the platform's limit of a first line, with its CRLF.
const LINE_BYTES_MAX: usize = 4096 + 2;
/// Initial size of the buffer for received bytes.
const READ_BUFFER_BYTES: usize = 512;
/// How often a silent connection looks whether the server's machine is back.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Both halves of a connection.
pub(super) struct Connection {
    lines: BufReader<OwnedReadHalf>,
    out: OwnedWriteHalf,
    line: Vec<u8>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, out) = stream.into_split();
        Connection {
            lines: BufReader::with_capacity(READ_BUFFER_BYTES, read),
            out,
            line: Vec::new(),
        }
    }

    /// Reads the next line, without its line end. Returns `None` if the connection is closed or the
    /// line is too long.
    pub(super) async fn read_line(&mut self) -> Option<&str> {
        // An incomplete line is kept in `self.line` if this future is dropped.
        loop {
            let bytes = self
                .lines
                .fill_buf()
                .await
                .ok()
                .filter(|bytes| !bytes.is_empty())?;
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let count = end.map_or(bytes.len(), |end| end + 1);
            if self.line.last() == Some(&b'\n') {
                self.line.clear();
            }
            self.line.extend_from_slice(&bytes[..count]);
            self.lines.consume(count);
            if end.is_some() {
                return std::str::from_utf8(&self.line).ok().map(str::trim_end);
            }
            if self.line.len() > LINE_BYTES_MAX {
                return None;
            }
        }
    }

    /// Writes a text. Returns whether this succeeded.
    pub(super) async fn send(&mut self, text: &str) -> bool {
        self.out.write_all(text.as_bytes()).await.is_ok()
    }

    /// Closes the connection with a reset.
    pub(super) fn reset(self) {
        let _ = self.out.as_ref().set_zero_linger();
    }

    /// Sends nothing until the other side closes the connection, or resets the connection once the
    /// server's machine is back.
    pub(super) async fn hold_silent(mut self, shared: &SharedRun, server: usize) {
        loop {
            let up = shared.lock().model.servers[server].status == ServerStatus::Up;
            let received = tokio::time::timeout(SILENCE_CHECK_INTERVAL, self.read_line()).await;
            if matches!(received, Ok(None)) {
                return;
            }
            if up && received.is_err() {
                return self.reset();
            }
        }
    }
}
