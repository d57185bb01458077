//! Messages between balancers: datagrams that say which server holds connections of which group. It owns the socket that they
//! come and go by and the list of the others' addresses. It must never judge a message, wait for one, or hold up a flow: what
//! can't be sent now is lost, as it may be on the way.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use may::io::{CoIo, WaitIo};
use nettlemux_policy::{SEC, Time};
use tracing::{info, warn};

use crate::clock;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{DispatcherMessage, GossipMessage};

/// The form of our messages; what begins otherwise is another version's and passed over.
const VERSION: u8 = 1;
/// A message is no longer than this, so a server's name of over 253 bytes is not told.
const MESSAGE_BYTES_MAX: usize = 256;
/// Messages of a second that are heard, as many as a thousand balancers may tell: guards against a flood, each message of which
/// would cost the desk a turn.
const RECEIVED_PER_SECOND_MAX: usize = 200;
/// Datagrams that are read before others get a turn.
const RECEIVE_BATCH_MAX: usize = 16;

/// The way of messages to and from the others.
pub struct Peers {
    socket: CoIo<UdpSocket>,
    own: SocketAddr,
    others: Mutex<Vec<SocketAddr>>,
}

impl Peers {
    /// Listens for messages and tells the desk of them; what is sent to the mailbox goes to all others.
    ///
    /// # Errors
    /// Where nothing can listen at that address.
    pub fn start(
        listen: SocketAddr,
        others: Vec<SocketAddr>,
        dispatcher: Sender<DispatcherMessage>,
    ) -> io::Result<(Arc<Self>, Sender<GossipMessage>)> {
        let socket = UdpSocket::bind(listen)?;
        let own = socket.local_addr()?;
        let socket = CoIo::new(socket).map_err(|e| io::Error::other(e.to_string()))?;
        let peers = Arc::new(Peers {
            socket,
            own,
            others: Mutex::new(others),
        });
        let messages = Mailbox::new();
        let sender = messages.sender();
        let (receives, sends) = (peers.clone(), peers.clone());
        may::go!(move || receives.receive(&dispatcher));
        may::go!(move || {
            loop {
                if let Some(message) = messages.next(clock::now() + SEC) {
                    sends.send_to_peers(&message);
                }
            }
        });
        Ok((peers, sender))
    }

    /// From now on these are the others.
    pub fn change(&self, others: Vec<SocketAddr>) {
        info!(others = others.len(), "other balancers");
        *self.others() = others;
    }

    fn others(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.others.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send_to_peers(&self, message: &GossipMessage) {
        let Some(bytes) = write(message) else { return };
        for other in self.others().iter().filter(|other| **other != self.own) {
            // Lost where it can't go now.
            let _ = self.socket.inner().send_to(&bytes, other);
        }
    }

    fn receive(&self, dispatcher: &Sender<DispatcherMessage>) {
        let mut bytes = [0; MESSAGE_BYTES_MAX];
        let (mut second, mut received): (Time, usize) = (0, 0);
        loop {
            self.socket.wait_io();
            for turn in 1.. {
                match self.socket.inner().recv_from(&mut bytes) {
                    Ok((length, from)) => {
                        let now = clock::now() / SEC;
                        if now != second {
                            (second, received) = (now, 0);
                        }
                        received += 1;
                        if received == RECEIVED_PER_SECOND_MAX {
                            warn!(
                                "more messages than are received in a second; the rest are passed over"
                            );
                        }
                        // Guards against messages of strangers.
                        let known =
                            received < RECEIVED_PER_SECOND_MAX && self.others().contains(&from);
                        if let Some(message) = read(&bytes[..length]).filter(|_| known) {
                            dispatcher.send(DispatcherMessage::GossipReceived(message));
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    // One that was told and isn't there shows here too.
                    Err(_) => {}
                }
                if turn % RECEIVE_BATCH_MAX == 0 {
                    may::coroutine::yield_now();
                }
            }
        }
    }
}

/// A message as it goes on the wire; none where its server's name is too long.
fn write(message: &GossipMessage) -> Option<Vec<u8>> {
    let bytes = [
        &[VERSION],
        &message.group.to_be_bytes()[..],
        message.server.as_bytes(),
    ]
    .concat();
    (bytes.len() <= MESSAGE_BYTES_MAX).then_some(bytes)
}

/// None where this is no message of ours.
fn read(bytes: &[u8]) -> Option<GossipMessage> {
    let (head, name) = bytes.split_first_chunk::<3>()?;
    let server = std::str::from_utf8(name)
        .ok()
        .filter(|name| !name.is_empty())?;
    (head[0] == VERSION).then(|| GossipMessage {
        group: u16::from_be_bytes([head[1], head[2]]),
        server: server.into(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_read_as_they_are_written_and_others_passed_over() {
        let message = GossipMessage {
            group: 51_966,
            server: "s-17".into(),
        };
        assert_eq!(write(&message).unwrap(), b"\x01\xca\xfes-17");
        assert_eq!(read(&write(&message).unwrap()), Some(message));
        assert_eq!(
            write(&GossipMessage {
                group: 1,
                server: "s".repeat(254)
            }),
            None
        );
        for bad in [
            &b""[..],
            b"\x01",
            b"\x01\x00\x01",
            b"\x02\x00\x01s-1",
            b"\x01\x00\x01\xff",
        ] {
            assert_eq!(read(bad), None, "{bad:?}");
        }
    }
}
