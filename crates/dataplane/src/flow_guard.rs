//! The guard of one flow, from its admission to its end. It owns the client's connection, gives the
//! client its one final answer, reports to the dispatcher what came of each attempt, and gives
//! everything back when it is dropped. It must never answer twice, and never let a flow go without
//! an answer.

use std::mem;
use std::sync::Arc;

use nettlemux_flow_table::EndedAttempt;
use nettlemux_policy::{Flow, FlowId, MS, Time};
use tracing::{debug, error, info, warn};

use crate::client_ids::ClientId;
use crate::clock;
use crate::connection::{Connection, LINGER_TIMEOUT};
use crate::dataplane::Dataplane;
use crate::messages::{AttemptOutcome, AttemptTarget, DispatcherMessage};
use crate::wire;

/// Bytes that are looked at of what a client sends before it is served.
const EARLY_BYTES_MAX: usize = 256;

/// One admitted flow. Where it is dropped while an answer is owed, the client is told that the flow
/// has failed.
pub struct FlowGuard {
    dataplane: Arc<Dataplane>,
    /// The flow's number.
    pub id: FlowId,
    /// The client's connection.
    pub client: Connection,
    /// When the flow's first line had come.
    pub accepted_at: Time,
    /// When the client has to have its answer.
    pub deadline: Time,
    /// The client is to be migrated as soon as it is connected; until then a line that its server
    /// has begun is waited for.
    pub migrate_by: Option<Time>,
    owes_answer: bool,
    /// What is still to be written of the answer to a client that has left, or has only ended its
    /// sending.
    unwritten_answer: &'static [u8],
    /// The client's own id, reserved until this is dropped.
    _client_id: ClientId,
}

impl FlowGuard {
    /// Takes over a flow that is owed an answer.
    pub fn new(
        dataplane: &Arc<Dataplane>,
        flow: &Flow,
        client: Connection,
        client_id: ClientId,
    ) -> Self {
        FlowGuard {
            dataplane: dataplane.clone(),
            id: flow.id,
            client,
            accepted_at: flow.accepted_at,
            deadline: flow.deadline,
            migrate_by: None,
            owes_answer: true,
            unwritten_answer: b"",
            _client_id: client_id,
        }
    }

    /// Whether the client has gone away, or has sent more before it was served, where it has to
    /// wait.
    pub fn client_has_left(&mut self) -> bool {
        self.client.socket.rearm_notification();
        match self.client.socket.read(&mut [0; EARLY_BYTES_MAX]) {
            Ok(None) => false,
            Ok(Some(0)) | Err(_) => true,
            Ok(Some(_)) => {
                warn!(id = self.id, "client sends more before it is served");
                true
            }
        }
    }

    /// Whether the client still waits for an answer.
    pub fn owes_answer(&self) -> bool {
        self.owes_answer
    }

    /// Sends a message to the dispatcher.
    pub fn notify_dispatcher(&self, message: DispatcherMessage) {
        self.dataplane.dispatcher.send(message);
    }

    /// Records that a server has accepted the client: its answer is passed on, and none is owed any
    /// more.
    pub fn record_connected(&mut self, target: &AttemptTarget) {
        self.owes_answer = false;
        let took = clock::now().saturating_sub(self.accepted_at);
        debug!(
            id = self.id,
            server = target.server.name,
            took_ms = took / MS,
            "flow connected"
        );
        self.notify_dispatcher(DispatcherMessage::Connected {
            flow: self.id,
            elapsed: took,
        });
    }

    /// Records an attempt that brought no connection.
    pub fn record_attempt_ended(&self, target: &AttemptTarget, outcome: AttemptOutcome) {
        let left_ms = self.deadline.saturating_sub(clock::now()) / MS;
        info!(
            id = self.id,
            server = target.server.name,
            end = ?outcome.end,
            known_unexecuted = outcome.known_unexecuted,
            left_ms,
            "attempt ended"
        );
        self.report_attempt_ended(target, outcome);
    }

    /// Reports to the dispatcher how an attempt, or the connection that it brought, has ended.
    pub fn report_attempt_ended(&self, target: &AttemptTarget, outcome: AttemptOutcome) {
        self.notify_dispatcher(DispatcherMessage::AttemptEnded(EndedAttempt {
            flow: self.id,
            server_id: target.server_id,
            number: target.number,
            end: outcome.end,
            known_unexecuted: outcome.known_unexecuted,
            report: outcome.report,
        }));
    }

    /// Answers that the flow is rejected, with the time after which the client may retry, where
    /// there is one.
    pub fn reject(&mut self, retry_after: Option<Time>) {
        info!(
            id = self.id,
            retry_after_ms = retry_after.map(|after| after / MS),
            "flow rejected"
        );
        self.answer(wire::rejection(retry_after).as_bytes());
    }

    /// Answers that the flow has failed.
    pub fn fail(&mut self) {
        info!(id = self.id, "flow failed");
        self.answer(wire::REPLY_FAILED);
    }

    fn answer(&mut self, line: &[u8]) {
        self.owes_answer = false;
        let deadline = clock::now() + LINGER_TIMEOUT;
        let _ = self.client.write(line, deadline);
        self.client.close_lingering(deadline);
    }

    /// Records that the client has left, which is owed nothing more than a last answer.
    pub fn record_client_left(&mut self) {
        debug!(id = self.id, "client left");
        if mem::take(&mut self.owes_answer) {
            // Guards against a client that has only ended its sending and still waits: it can't be
            // told from one that has closed, to which this does no harm.
            self.unwritten_answer = wire::REPLY_FAILED;
            self.continue_answer();
            self.notify_dispatcher(DispatcherMessage::ClientLeft { flow: self.id });
        }
    }

    /// Writes what there is room for of the answer to a client that has left, without waiting.
    pub fn continue_answer(&mut self) {
        if self.unwritten_answer.is_empty() {
            return;
        }
        // A client that has closed takes nothing.
        let written = self
            .client
            .socket
            .write(self.unwritten_answer)
            .unwrap_or(self.unwritten_answer.len());
        self.unwritten_answer = &self.unwritten_answer[written..];
        if self.unwritten_answer.is_empty() {
            self.client.socket.end_sending();
        }
    }

    /// Writes the rest of the answer to a client that has left, and closes orderly: what it has
    /// sent meanwhile must not reset the connection, and the answer with it.
    pub fn finish_answer(&mut self) {
        let deadline = clock::now() + LINGER_TIMEOUT;
        let rest = mem::take(&mut self.unwritten_answer);
        let _ = self.client.write(rest, deadline);
        self.client.close_lingering(deadline);
    }
}

impl Drop for FlowGuard {
    fn drop(&mut self) {
        // Guards against a flow that is lost in silence when its coroutine panics.
        if self.owes_answer {
            error!(id = self.id, "flow dropped without an answer; failed");
            let _ = self.client.socket.write(wire::REPLY_FAILED);
            self.client.socket.end_sending();
        }
        self.notify_dispatcher(DispatcherMessage::FlowClosed { flow: self.id });
    }
}

#[cfg(test)]
mod tests;
