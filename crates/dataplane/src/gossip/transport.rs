//! The socket that gossip is sent and received on, and the peers' addresses.

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

/// Bytes that are read of a datagram: one more than any has, so that a longer one shows.
const READ_BYTES_MAX: usize = DATAGRAM_BYTES_MAX + 1;
/// Datagrams that are read before other coroutines get a turn.
const RECEIVE_BATCH_MAX: usize = 16;

/// Sends gossip to all peers, and hands the dispatcher what they send.
pub struct GossipTransport {
    socket: CoIo<UdpSocket>,
    own_address: SocketAddr,
    peers: Mutex<Vec<SocketAddr>>,
}

impl GossipTransport {
    /// Opens the socket and starts to receive. Messages sent by the returned sender go to all peers
    /// but the own address.
    ///
    /// # Errors
    /// The socket can't be opened at that address.
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
            // A datagram that can't be sent at once is lost.
            let _ = self.socket.inner().send_to(&datagram, peer);
        }
    }

    fn receive(&self, dispatcher: &Sender<DispatcherMessage>) {
        let mut limit = ReceiveLimit::default();
        let mut inbox = Inbox {
            dispatcher,
            refused: 0,
        };
        loop {
            self.socket.wait_io();
            self.receive_available(&mut limit, &mut inbox);
        }
    }

    /// Reads datagrams until none is left.
    fn receive_available(&self, limit: &mut ReceiveLimit, inbox: &mut Inbox) {
        let mut buffer = [0; READ_BYTES_MAX];
        for count in 1.. {
            match self.socket.inner().recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let is_within_limit = limit.admits(clock::now());
                    if is_within_limit && self.is_peer(from) {
                        inbox.deliver(&buffer[..length], from);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // A datagram that no socket took at a peer is reported here too.
                Err(_) => {}
            }
            if count % RECEIVE_BATCH_MAX == 0 {
                may::coroutine::yield_now();
            }
        }
    }

    /// Guards against messages of strangers.
    fn is_peer(&self, address: SocketAddr) -> bool {
        self.lock_peers().contains(&address)
    }
}

/// What becomes of the peers' datagrams.
struct Inbox<'a> {
    dispatcher: &'a Sender<DispatcherMessage>,
    /// Datagrams of peers that could not be read, since the start.
    refused: u64,
}

impl Inbox<'_> {
    /// Hands the dispatcher a peer's message, or counts it where it can't be read.
    fn deliver(&mut self, datagram: &[u8], from: SocketAddr) {
        match codec::decode(datagram) {
            Ok(message) => self
                .dispatcher
                .send(DispatcherMessage::GossipReceived(message)),
            Err(error) => {
                self.refused += 1;
                debug!(peer = %from, %error, "gossip message ignored");
                // Ever more rarely: a peer of another version sends many.
                if self.refused.is_power_of_two() {
                    warn!(peer = %from, %error, refused = self.refused, "gossip messages refused");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
