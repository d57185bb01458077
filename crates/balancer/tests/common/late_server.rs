//! A server whose connections are established late.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::pending_connects;

/// How long the server waits for a connection, and then for its first line.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// A server whose connections are established late. Its accept queue is full, so the kernel drops
/// the SYN of a further connection, which stays pending. It is established once the queue has room
/// and the client's kernel retransmits the SYN, one second after the first.
pub struct DelayedAcceptServer {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Fills the accept queue.
    _first: TcpStream,
}

impl DelayedAcceptServer {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        DelayedAcceptServer {
            listener,
            address,
            _first: TcpStream::connect(address).unwrap(),
        }
    }

    /// Returns whether any connection to this server is pending: begun but not yet established.
    pub fn has_pending_connect(&self) -> bool {
        let SocketAddr::V4(address) = self.address else {
            unreachable!()
        };
        pending_connects::has_pending_to(address)
    }

    /// Makes room in the accept queue, accepts the next connection and returns its first line, or
    /// all that it sent if it ended before a whole line. Returns an empty string if no connection
    /// is accepted within 2 s.
    pub fn accept_first_line(&self) -> String {
        drop(self.listener.accept().unwrap());
        self.listener.set_nonblocking(true).unwrap();
        let mut received = String::new();
        let deadline = Instant::now() + ACCEPT_TIMEOUT;
        while Instant::now() < deadline {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(ACCEPT_TIMEOUT)).unwrap();
                    let _ = BufReader::new(stream).read_line(&mut received);
                    return received;
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
        received
    }
}
