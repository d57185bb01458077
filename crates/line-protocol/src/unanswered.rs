//! The guard of a client before its flow. It owns the connection until a flow takes it over, and
//! must never let a client go without an answer whose line may have been read.

use std::ops::Deref;
use std::thread;

use nettlemux_dataplane::connection::Connection;
use nettlemux_dataplane::wire;

/// A client that has no flow yet. Where it is dropped by a panic, it is told that it has failed.
pub struct UnansweredClient {
    /// None once a flow has it.
    connection: Option<Connection>,
}

impl UnansweredClient {
    /// Takes over a client's connection.
    pub fn new(connection: Connection) -> Self {
        UnansweredClient {
            connection: Some(connection),
        }
    }

    /// Gives the connection to whoever owes the answer from now on.
    pub fn into_connection(mut self) -> Connection {
        self.connection.take().expect("held until it is given away")
    }
}

impl Deref for UnansweredClient {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        let connection = self.connection.as_ref();
        connection.expect("held until it is given away")
    }
}

impl Drop for UnansweredClient {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection
            && thread::panicking()
        {
            let _ = connection.socket.write(wire::REPLY_FAILED);
            connection.socket.end_sending();
        }
    }
}

#[cfg(test)]
mod tests;
