//! The last stage: the book of one flow, kept from its admission on. It owns the client's socket, gives the client its one final answer, tells the desk what came of each attempt, and gives
//! everything back. It must never answer twice, and never let a flow go without an answer.

use std::sync::Arc;

use nettlemux_policy::{AttemptEnd, Flow, FlowId, LoadReport, MS, Time};
use tracing::{debug, error, info, warn};

use crate::clock;
use crate::messages::{AttemptTarget, DispatcherMessage};
use crate::net::{Caller, LINGER};
use crate::shared::{Dataplane, Id};
use crate::wire;

/// How an attempt has ended that brought no connection.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub end: AttemptEnd,
    pub known_unexecuted: bool,
    pub report: LoadReport,
}

pub struct Book {
    dataplane: Arc<Dataplane>,
    pub id: FlowId,
    pub caller: Caller,
    pub accepted_at: Time,
    pub deadline: Time,
    /// The client is to be sent away as soon as it is up, and how long a line that its server has begun is waited for.
    pub move_by: Option<Time>,
    owed: bool,
    /// What is still to be written of the answer to a client that has left, or has only ended its sending.
    unwritten: &'static [u8],
    /// The client's own id, nobody else's while this is kept.
    _id: Id,
}

impl Book {
    pub fn open(dataplane: &Arc<Dataplane>, flow: &Flow, caller: Caller, id: Id) -> Self {
        let Flow {
            id: number,
            accepted_at,
            deadline,
            ..
        } = *flow;
        Book {
            dataplane: dataplane.clone(),
            id: number,
            caller,
            accepted_at,
            deadline,
            move_by: None,
            owed: true,
            unwritten: b"",
            _id: id,
        }
    }

    /// Whether the client has gone away, or has said more before it was served: it is to wait.
    pub fn client_left(&mut self) -> bool {
        self.caller.socket.looked_at();
        match self.caller.socket.read(&mut [0; 256]) {
            Ok(None) => false,
            Ok(Some(0)) | Err(_) => true,
            Ok(Some(_)) => {
                warn!(id = self.id, "the client goes on before it is served");
                true
            }
        }
    }

    pub fn tell(&self, ask: DispatcherMessage) {
        self.dataplane.dispatcher.send(ask);
    }

    pub fn connected(&mut self, target: &AttemptTarget) {
        self.owed = false;
        let took = clock::now().saturating_sub(self.accepted_at);
        debug!(
            id = self.id,
            server = target.server.name,
            took_ms = took / MS,
            "established"
        );
        self.tell(DispatcherMessage::Connected {
            flow: self.id,
            took,
        });
    }

    pub fn ended(
        &self,
        target: &AttemptTarget,
        Ended {
            end,
            known_unexecuted,
            report,
        }: Ended,
    ) {
        let left_ms = self.deadline.saturating_sub(clock::now()) / MS;
        info!(
            id = self.id,
            server = target.server.name,
            ?end,
            known_unexecuted,
            left_ms,
            "connect ended"
        );
        self.tell(DispatcherMessage::AttemptEnded {
            flow: self.id,
            server_id: target.server_id,
            number: target.number,
            end,
            known_unexecuted,
            report,
        });
    }

    pub fn reject(&mut self, retry_after: Option<Time>) {
        info!(
            id = self.id,
            retry_after_ms = retry_after.map(|after| after / MS),
            "rejected"
        );
        self.answer(wire::rejected(retry_after).as_bytes());
    }

    pub fn fail(&mut self) {
        info!(id = self.id, "aborted");
        self.answer(wire::FAILED);
    }

    /// Whether the client still waits for an answer.
    pub fn owed(&self) -> bool {
        self.owed
    }

    /// The client has left: it is owed nothing more than its answer.
    pub fn left(&mut self) {
        debug!(id = self.id, "the client left");
        if std::mem::take(&mut self.owed) {
            // Guards against a client that has only ended its sending and still waits: it can't be told from one
            // that has closed, to which this does no harm.
            self.unwritten = wire::FAILED;
            self.write_on();
            self.tell(DispatcherMessage::ClientLeft { flow: self.id });
        }
    }

    /// Writes what there is room for of the answer to a client that has left, without waiting.
    pub fn write_on(&mut self) {
        if self.unwritten.is_empty() {
            return;
        }
        // A client that has closed takes nothing.
        let written = self
            .caller
            .socket
            .write(self.unwritten)
            .unwrap_or(self.unwritten.len());
        self.unwritten = &self.unwritten[written..];
        if self.unwritten.is_empty() {
            self.caller.socket.end_sending();
        }
    }

    /// Writes the rest of the answer to a client that has left, and ends orderly: what it has sent meanwhile must not reset
    /// the connection, and the answer with it.
    pub fn finish_left(&mut self) {
        let until = clock::now() + LINGER;
        let _ = self
            .caller
            .write(std::mem::take(&mut self.unwritten), until);
        self.caller.finish(until);
    }

    fn answer(&mut self, line: &[u8]) {
        self.owed = false;
        let until = clock::now() + LINGER;
        let _ = self.caller.write(line, until);
        self.caller.finish(until);
    }
}

impl Drop for Book {
    fn drop(&mut self) {
        // Guards against a flow that is lost in silence when its coroutine panics.
        if self.owed {
            error!(id = self.id, "a flow ends without an answer; aborted");
            let _ = self.caller.socket.write(wire::FAILED);
            self.caller.socket.end_sending();
        }
        self.dataplane
            .dispatcher
            .send(DispatcherMessage::FlowClosed { flow: self.id });
    }
}

#[cfg(test)]
mod tests {
    use std::io::Read;
    use std::net::{TcpListener, TcpStream};
    use std::sync::atomic::AtomicU64;

    use super::*;
    use crate::mailbox::Mailbox;
    use crate::pool::{Buffers, DescriptorBudgets, Descriptors};

    /// Guards against a flow that is lost, and a desk that keeps it, when its coroutine panics.
    #[test]
    fn a_flow_that_panics_is_answered_and_given_back() {
        let messages = Mailbox::new();
        let descriptors = Descriptors::new(9);
        let dataplane = Arc::new(Dataplane {
            dispatcher: messages.sender(),
            buffers: Buffers::new(),
            budgets: DescriptorBudgets::new(256, 32 << 20),
            ids: Arc::default(),
            settings: Arc::default(),
            numbers: AtomicU64::new(1),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client
            .set_read_timeout(Some(std::time::Duration::from_secs(2)))
            .unwrap();
        let stream = listener.accept().unwrap().0;
        stream.set_nonblocking(true).unwrap();
        let slot = descriptors.take(0).unwrap();
        let id = dataplane.ids.take("9b1f").unwrap();
        // Guards against a flow that is opened under another's id, also once that has ended.
        assert!(dataplane.ids.take("9b1f").is_none());
        let ids = dataplane.ids.clone();
        let flow = Flow {
            id: 5,
            deadline: Time::MAX,
            ..Flow::default()
        };
        let panicked = may::go!(move || {
            let _book = Book::open(&dataplane, &flow, Caller::new(stream, slot), id);
            panic!("on purpose");
        });
        assert!(panicked.join().is_err());
        assert!(ids.take("9b1f").is_none() && ids.take("9b20").is_some());
        let mut answer = String::new();
        client.read_to_string(&mut answer).unwrap();
        assert_eq!(answer.as_bytes(), wire::FAILED);
        let told = may::go!(move || messages.next(clock::now() + 1000 * MS))
            .join()
            .unwrap();
        assert!(matches!(
            told,
            Some(DispatcherMessage::FlowClosed { flow: 5 })
        ));
        let until = clock::now() + 1000 * MS;
        while descriptors.open() > 0 {
            assert!(clock::now() < until, "its descriptor is given back");
            std::thread::yield_now();
        }
    }
}
