//! Starts health checks and closes the sessions of servers that are no longer listed. This module
//! owns the queue of checks that wait for a descriptor, and must never do I/O itself.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use nettlemux_policy::ServerId;

use super::context::HealthCheckContext;
use super::requests::{RequestSender, request_channel};
use super::session::Session;
use crate::messages::Server;

/// Runs health checks, with one coroutine for each server.
pub struct HealthChecker {
    context: HealthCheckContext,
    /// The request channel of the session of each server that is being checked or whose connection
    /// is kept. The channel of an ended session stays here until the server's next check.
    sessions: BTreeMap<ServerId, RequestSender>,
    /// Checks that wait for a descriptor, oldest first; at most one for each server.
    queue: VecDeque<QueuedCheck>,
}

/// A check that waits for a descriptor.
struct QueuedCheck {
    server_id: ServerId,
    server: Arc<Server>,
}

impl HealthChecker {
    /// Returns a checker without any checks.
    pub fn new(context: HealthCheckContext) -> Self {
        HealthChecker {
            context,
            sessions: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Checks a server now, or as soon as a descriptor is available.
    pub fn check(&mut self, server_id: ServerId, server: Arc<Server>) {
        if self.send_to_session(server_id, &server) {
            return;
        }
        self.enqueue(server_id, server);
        self.start_queued();
    }

    /// Starts queued checks while descriptors are available. With more servers than descriptors,
    /// the queue ensures that all servers are checked, not only the first ones. A waiting check has
    /// no coroutine and so takes no stack; only a check with a connection has one.
    pub fn start_queued(&mut self) {
        while !self.queue.is_empty() {
            let Some(permit) = self.context.acquire_permit() else {
                return;
            };
            let Some(QueuedCheck { server_id, server }) = self.queue.pop_front() else {
                return;
            };
            let (sender, requests) = request_channel();
            let session = Session::new(server_id, requests, permit, self.context.clone());
            may::go!(move || session.run(server));
            self.sessions.insert(server_id, sender);
        }
    }

    /// Returns whether any check waits for a descriptor.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Removes servers that are no longer listed, and closes the kept connections to them.
    pub fn retain_listed(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.sessions.retain(|server_id, _| is_listed(*server_id));
        self.queue.retain(|queued| is_listed(queued.server_id));
    }

    /// Requests the check from the server's running session; returns false if there is none.
    fn send_to_session(&self, server_id: ServerId, server: &Arc<Server>) -> bool {
        self.sessions
            .get(&server_id)
            .is_some_and(|session| session.send(server.clone()))
    }

    /// Queues a check. If a check of the same server is already queued, updates that one in place.
    fn enqueue(&mut self, server_id: ServerId, server: Arc<Server>) {
        let queued = self
            .queue
            .iter_mut()
            .find(|queued| queued.server_id == server_id);
        match queued {
            Some(queued) => queued.server = server,
            None => self.queue.push_back(QueuedCheck { server_id, server }),
        }
    }
}
