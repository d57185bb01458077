//! Words between balancers: datagrams that say which server holds connections of which group. It owns the socket that they
//! come and go by and the list of the others' addresses. It must never judge a word, wait for one, or hold up a flow: what
//! can't be sent now is lost, as it may be on the way.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use may::io::{CoIo, WaitIo};
use nettlemux_policy::{SEC, Time};
use tracing::{info, warn};

use crate::clock;
use crate::mail::{Mailbox, Sender};
use crate::orders::{Ask, Word};

/// The form of our words; what begins otherwise is another version's and passed over.
const VERSION: u8 = 1;
/// A word is no longer than this, so a server's name of over 253 bytes is not told.
const LONGEST: usize = 256;
/// Words of a second that are heard, as many as a thousand balancers may tell: guards against a flood, each word of which
/// would cost the desk a turn.
const HEARD: usize = 200;
/// Datagrams that are read before others get a turn.
const AT_ONCE: usize = 16;

/// The way of words to and from the others.
pub struct Peers {
    socket: CoIo<UdpSocket>,
    own: SocketAddr,
    others: Mutex<Vec<SocketAddr>>,
}

impl Peers {
    /// Listens for words and tells the desk of them; what is sent to the mailbox goes to all others.
    ///
    /// # Errors
    /// Where nothing can listen at that address.
    pub fn start(
        listen: SocketAddr,
        others: Vec<SocketAddr>,
        desk: Sender<Ask>,
    ) -> io::Result<(Arc<Self>, Sender<Word>)> {
        let socket = UdpSocket::bind(listen)?;
        let own = socket.local_addr()?;
        let socket = CoIo::new(socket).map_err(|e| io::Error::other(e.to_string()))?;
        let peers = Arc::new(Peers {
            socket,
            own,
            others: Mutex::new(others),
        });
        let words = Mailbox::new();
        let sender = words.sender();
        let (hears, tells) = (peers.clone(), peers.clone());
        may::go!(move || hears.hear(&desk));
        may::go!(move || {
            loop {
                if let Some(word) = words.next(clock::now() + SEC) {
                    tells.tell(&word);
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

    fn tell(&self, word: &Word) {
        let Some(bytes) = write(word) else { return };
        for other in self.others().iter().filter(|other| **other != self.own) {
            // Lost where it can't go now.
            let _ = self.socket.inner().send_to(&bytes, other);
        }
    }

    fn hear(&self, desk: &Sender<Ask>) {
        let mut bytes = [0; LONGEST];
        let (mut second, mut heard): (Time, usize) = (0, 0);
        loop {
            self.socket.wait_io();
            for turn in 1.. {
                match self.socket.inner().recv_from(&mut bytes) {
                    Ok((length, from)) => {
                        let now = clock::now() / SEC;
                        if now != second {
                            (second, heard) = (now, 0);
                        }
                        heard += 1;
                        if heard == HEARD {
                            warn!(
                                "more words than are heard in a second; the rest are passed over"
                            );
                        }
                        // Guards against words of strangers.
                        let known = heard < HEARD && self.others().contains(&from);
                        if let Some(word) = read(&bytes[..length]).filter(|_| known) {
                            desk.send(Ask::Heard(word));
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    // One that was told and isn't there shows here too.
                    Err(_) => {}
                }
                if turn % AT_ONCE == 0 {
                    may::coroutine::yield_now();
                }
            }
        }
    }
}

/// A word as it goes on the wire; none where its server's name is too long.
fn write(word: &Word) -> Option<Vec<u8>> {
    let bytes = [
        &[VERSION],
        &word.group.to_be_bytes()[..],
        word.server.as_bytes(),
    ]
    .concat();
    (bytes.len() <= LONGEST).then_some(bytes)
}

/// None where this is no word of ours.
fn read(bytes: &[u8]) -> Option<Word> {
    let (head, name) = bytes.split_first_chunk::<3>()?;
    let server = std::str::from_utf8(name)
        .ok()
        .filter(|name| !name.is_empty())?;
    (head[0] == VERSION).then(|| Word {
        group: u16::from_be_bytes([head[1], head[2]]),
        server: server.into(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_are_read_as_they_are_written_and_others_passed_over() {
        let word = Word {
            group: 51_966,
            server: "s-17".into(),
        };
        assert_eq!(write(&word).unwrap(), b"\x01\xca\xfes-17");
        assert_eq!(read(&write(&word).unwrap()), Some(word));
        assert_eq!(
            write(&Word {
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
