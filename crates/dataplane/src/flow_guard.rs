//! The guard of one flow, from its admission to its end. It owns the client's connection, sends the
//! client its one final answer, reports the result of each attempt to the dispatcher, and releases
//! everything when it is dropped. It must never answer twice and never drop a flow without an
//! answer.

use std::mem;
use std::sync::Arc;

use nettlemux_flow_table::EndedAttempt;
use nettlemux_policy::{Flow, FlowId, Idempotency, MS, Time};
use tracing::{debug, error, info, warn};

use crate::client_ids::{ClientId, RepeatEffect};
use crate::clock;
use crate::connection::{Connection, LINGER_TIMEOUT};
use crate::dataplane::Dataplane;
use crate::messages::{AttemptOutcome, AttemptTarget, DispatcherMessage};
use crate::wire;

/// Size of the read that detects data from a client that has to wait for its answer.
const EARLY_READ_BYTES: usize = 256;

/// One admitted flow. If it is dropped before the client was answered, the client is told that the
/// flow has failed.
pub struct FlowGuard {
    dataplane: Arc<Dataplane>,
    /// The flow's number.
    pub id: FlowId,
    /// The client's connection.
    pub client: Connection,
    /// When the flow's first line was complete.
    pub accepted_at: Time,
    /// When the client must have its answer.
    pub deadline: Time,
    /// If set, the client is to be migrated as soon as it is connected. Until this time the
    /// migration waits for the end of a line that the server has begun.
    pub migrate_by: Option<Time>,
    answer_pending: bool,
    /// The unwritten rest of the answer to a client that has closed or half-closed its connection.
    unwritten_answer: &'static [u8],
    /// The client's own id, reserved until the guard is dropped.
    client_id: ClientId,
    idempotency: Idempotency,
}

impl FlowGuard {
    /// Returns the guard of a flow that has not been answered.
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
            answer_pending: true,
            unwritten_answer: b"",
            client_id,
            idempotency: flow.class.idempotency,
        }
    }

    /// Returns whether the client has left. A client that sends more data counts as gone too, because
    /// it has to wait until it is served.
    pub fn client_has_left(&mut self) -> bool {
        self.client.socket.rearm_notification();
        match self.client.socket.read(&mut [0; EARLY_READ_BYTES]) {
            Ok(None) => false,
            Ok(Some(0)) | Err(_) => true,
            Ok(Some(_)) => {
                warn!(
                    id = self.id,
                    "client sent data before its first line was answered"
                );
                true
            }
        }
    }

    /// Returns whether the client has not been answered yet.
    pub fn answer_pending(&self) -> bool {
        self.answer_pending
    }

    /// Sends a message to the dispatcher.
    pub fn notify_dispatcher(&self, message: DispatcherMessage) {
        self.dataplane.dispatcher.send(message);
    }

    /// Records that the last byte of the first line has been written to a server, which may execute
    /// the request from now on.
    pub fn record_line_sent(&mut self) {
        self.client_id.repeat_effect = match self.idempotency {
            Idempotency::Idempotent => RepeatEffect::Harmless,
            Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent => RepeatEffect::Harmful,
        };
    }

    /// Records that a server has accepted the client. The server's answer is forwarded, so the
    /// balancer sends none of its own.
    pub fn record_connected(&mut self, target: &AttemptTarget) {
        self.answer_pending = false;
        let elapsed = clock::now().saturating_sub(self.accepted_at);
        debug!(
            id = self.id,
            server = target.server.name,
            took_ms = elapsed / MS,
            "flow connected"
        );
        self.notify_dispatcher(DispatcherMessage::Connected {
            flow: self.id,
            elapsed,
        });
    }

    /// Logs and reports an attempt that produced no connection.
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

    /// Reports to the dispatcher how an attempt or the connection that it opened has ended.
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

    /// Answers that the flow is rejected. `retry_after` is the time after which the client may
    /// retry.
    pub fn reject(&mut self, retry_after: Option<Time>) {
        info!(
            id = self.id,
            retry_after_ms = retry_after.map(|after| after / MS),
            "flow rejected"
        );
        self.answer(wire::rejection_line(retry_after).as_bytes());
    }

    /// Answers that the flow has failed.
    pub fn fail(&mut self) {
        info!(id = self.id, "flow failed");
        self.answer(wire::REPLY_FAILED);
    }

    fn answer(&mut self, line: &[u8]) {
        self.answer_pending = false;
        let deadline = clock::now() + LINGER_TIMEOUT;
        let _ = self.client.write(line, deadline);
        self.client.close_lingering(deadline);
    }

    /// Records that the client has left. Starts to send a last answer if it has not been answered.
    pub fn record_client_left(&mut self) {
        debug!(id = self.id, "client left");
        if mem::take(&mut self.answer_pending) {
            // A client that has half-closed its connection still waits for an answer. It can't be
            // distinguished from a client that has closed, to which the answer does no harm.
            self.unwritten_answer = wire::REPLY_FAILED;
            self.continue_answer();
            self.notify_dispatcher(DispatcherMessage::ClientLeft { flow: self.id });
        }
    }

    /// Writes as much as possible of the answer to a client that has left, without waiting.
    pub fn continue_answer(&mut self) {
        if self.unwritten_answer.is_empty() {
            return;
        }
        // A write error means that the client has closed: the rest is discarded.
        let written = self
            .client
            .socket
            .write(self.unwritten_answer)
            .unwrap_or(self.unwritten_answer.len());
        self.unwritten_answer = &self.unwritten_answer[written..];
        if self.unwritten_answer.is_empty() {
            self.client.socket.shutdown_write();
        }
    }

    /// Writes the rest of the answer to a client that has left and closes the connection gracefully.
    /// Unread data from the client would otherwise cause a reset, which discards the answer.
    pub fn finish_answer(&mut self) {
        let deadline = clock::now() + LINGER_TIMEOUT;
        let rest = mem::take(&mut self.unwritten_answer);
        let _ = self.client.write(rest, deadline);
        self.client.close_lingering(deadline);
    }
}

impl Drop for FlowGuard {
    fn drop(&mut self) {
        // Guards against a client that is never answered because the flow's coroutine panicked.
        if self.answer_pending {
            error!(id = self.id, "flow dropped without an answer, failing it");
            let _ = self.client.socket.write(wire::REPLY_FAILED);
            self.client.socket.shutdown_write();
        }
        self.notify_dispatcher(DispatcherMessage::FlowClosed { flow: self.id });
    }
}

#[cfg(test)]
mod tests;
