//! A guard for a client's connection before it has a flow. It owns the connection until a flow takes
//! it over. It must never leave a client without an answer if the client's line may have been read.

use std::ops::Deref;
use std::thread;

use nettlemux_dataplane::connection::Connection;
use nettlemux_dataplane::wire;

/// A client that has no flow yet. If a panic drops it, the client is told that its request failed.
pub struct UnansweredClient {
    /// `None` once a flow has taken over the connection.
    connection: Option<Connection>,
}

impl UnansweredClient {
    /// Takes over a client's connection.
    pub fn new(connection: Connection) -> Self {
        UnansweredClient {
            connection: Some(connection),
        }
    }

    /// Returns the connection. The caller must answer the client from now on.
    pub fn into_connection(mut self) -> Connection {
        self.connection
            .take()
            .expect("present until into_connection")
    }
}

impl Deref for UnansweredClient {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        let connection = self.connection.as_ref();
        connection.expect("present until into_connection")
    }
}

impl Drop for UnansweredClient {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection
            && thread::panicking()
        {
            let _ = connection.socket.write(wire::REPLY_FAILED);
            connection.socket.shutdown_write();
        }
    }
}

#[cfg(test)]
mod tests;
