//! The UDP socket for gossip, and the peers' addresses.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use may::io::{CoIo, WaitIo};
use nettlemux_policy::SEC;
use tracing::{debug, info, warn};

use super::codec::{self, DATAGRAM_BYTES_MAX};
use super::receive_limit::ReceiveLimit;
use crate::clock;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{DispatcherMessage, GossipMessage};

/// The most bytes that are read of a datagram: one more than the longest valid datagram, so that a
/// longer one is detected.
const READ_BYTES_MAX: usize = DATAGRAM_BYTES_MAX + 1;
/// The most datagrams that are read before the coroutine yields.
const RECEIVE_BATCH_MAX: usize = 16;

/// Sends gossip to all peers, and passes received gossip to the dispatcher.
pub struct GossipTransport {
    socket: CoIo<UdpSocket>,
    own_address: SocketAddr,
    peers: Mutex<Vec<SocketAddr>>,
}

impl GossipTransport {
    /// Opens the socket and starts to send and receive. Messages on the returned sender go to all
    /// peers except this balancer's own address.
    ///
    /// # Errors
    /// The socket can't be opened at the address `listen`.
    pub fn start(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        dispatcher: Sender<DispatcherMessage>,
    ) -> io::Result<(Arc<Self>, Sender<GossipMessage>)> {
        let socket = UdpSocket::bind(listen)?;
        let own_address = socket.local_addr()?;
        let socket = CoIo::new(socket).map_err(|e| io::Error::other(e.to_string()))?;
        let transport = Arc::new(GossipTransport {
            socket,
            own_address,
            peers: Mutex::new(peers),
        });
        let messages = Mailbox::new();
        let sender = messages.sender();
        let receiving = transport.clone();
        may::go!(move || receiving.receive(&dispatcher));
        let sending = transport.clone();
        may::go!(move || sending.send(&messages));
        Ok((transport, sender))
    }

    /// Replaces the peers' addresses.
    pub fn replace_peers(&self, peers: Vec<SocketAddr>) {
        info!(peers = peers.len(), "gossip peers replaced");
        *self.lock_peers() = peers;
    }

    fn lock_peers(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, messages: &Mailbox<GossipMessage>) {
        loop {
            if let Some(message) = messages.next(clock::now() + SEC) {
                self.send_to_peers(&message);
            }
        }
    }

    fn send_to_peers(&self, message: &GossipMessage) {
        let datagram = match codec::encode(message) {
            Ok(datagram) => datagram,
            Err(e) => {
                debug!(server = message.server, error = %e, "gossip message not sent");
                return;
            }
        };
        let peers = self.lock_peers();
        for peer in peers.iter().filter(|peer| **peer != self.own_address) {
            // A datagram that can't be sent at once is dropped.
            let _ = self.socket.inner().send_to(&datagram, peer);
        }
    }

    fn receive(&self, dispatcher: &Sender<DispatcherMessage>) {
        let mut limit = ReceiveLimit::default();
        let mut handler = DatagramHandler {
            dispatcher,
            undecodable: 0,
        };
        loop {
            self.socket.wait_io();
            self.receive_available(&mut limit, &mut handler);
        }
    }

    /// Reads datagrams until none is available.
    fn receive_available(&self, limit: &mut ReceiveLimit, handler: &mut DatagramHandler) {
        let mut buffer = [0; READ_BYTES_MAX];
        for count in 1.. {
            match self.socket.inner().recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let is_within_limit = limit.admits(clock::now());
                    if is_within_limit && self.is_peer(from) {
                        handler.deliver(&buffer[..length], from);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Includes the report that no socket received an earlier datagram at a peer.
                Err(_) => {}
            }
            if count % RECEIVE_BATCH_MAX == 0 {
                may::coroutine::yield_now();
            }
        }
    }

    /// Returns whether the address is a peer's. Datagrams from other addresses are ignored.
    fn is_peer(&self, address: SocketAddr) -> bool {
        self.lock_peers().contains(&address)
    }
}

/// Decodes peers' datagrams and passes the messages to the dispatcher.
struct DatagramHandler<'a> {
    dispatcher: &'a Sender<DispatcherMessage>,
    /// The number of peers' datagrams that could not be decoded, since the start.
    undecodable: u64,
}

impl DatagramHandler<'_> {
    /// Passes a peer's message to the dispatcher. A datagram that can't be decoded is counted and
    /// logged.
    fn deliver(&mut self, datagram: &[u8], from: SocketAddr) {
        match codec::decode(datagram) {
            Ok(message) => self
                .dispatcher
                .send(DispatcherMessage::GossipReceived(message)),
            Err(error) => {
                self.undecodable += 1;
                debug!(peer = %from, %error, "undecodable gossip message ignored");
                // Warns at exponentially growing counts, since a peer of another version sends
                // many.
                if self.undecodable.is_power_of_two() {
                    warn!(
                        peer = %from,
                        %error,
                        refused = self.undecodable,
                        "undecodable gossip messages ignored"
                    );
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
