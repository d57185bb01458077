//! A server whose connections come up late.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::pending_connects;

/// How long a connection, and then its first line, is waited for.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// A server whose connections come up late: its queue is full, so the system leaves a connection
/// begun, until it is accepted and the caller's machine tries again, a second after its first try.
pub struct LateServer {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Fills the queue.
    _first: TcpStream,
}

impl LateServer {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        LateServer {
            listener,
            address,
            _first: TcpStream::connect(address).unwrap(),
        }
    }

    /// Returns whether any connection to it has begun and is not up.
    pub fn has_pending_connect(&self) -> bool {
        let SocketAddr::V4(address) = self.address else {
            unreachable!()
        };
        pending_connects::any_to(address)
    }

    /// Lets connections come up, and returns what the next one sends, up to its end or its first
    /// line.
    pub fn accept_first_line(&self) -> String {
        drop(self.listener.accept().unwrap());
        self.listener.set_nonblocking(true).unwrap();
        let mut received = String::new();
        let until = Instant::now() + ACCEPT_TIMEOUT;
        while Instant::now() < until {
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
