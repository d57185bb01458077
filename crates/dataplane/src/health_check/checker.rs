//! The start and the end of health checks. It owns the queue of servers that wait for a
//! descriptor, and must never do I/O itself.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use nettlemux_policy::ServerId;

use super::context::HealthCheckContext;
use super::requests::{RequestSender, request_channel};
use super::session::Session;
use crate::messages::Server;

/// Checks servers, each in a coroutine of its own.
pub struct HealthChecker {
    context: HealthCheckContext,
    /// The way to the coroutine of each server that is being checked or whose connection is kept.
    /// One that has ended stays here until the server's next check.
    sessions: BTreeMap<ServerId, RequestSender>,
    /// Checks that no descriptor was left for, the oldest first; one for each server at most.
    queue: VecDeque<QueuedCheck>,
}

/// A check that waits for a descriptor.
struct QueuedCheck {
    server_id: ServerId,
    server: Arc<Server>,
}

impl HealthChecker {
    /// Returns a checker that checks nothing yet.
    pub fn new(context: HealthCheckContext) -> Self {
        HealthChecker {
            context,
            sessions: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Checks a server now, or once there is a descriptor.
    pub fn check(&mut self, server_id: ServerId, server: Arc<Server>) {
        if self.is_taken_by_session(server_id, &server) {
            return;
        }
        self.enqueue(server_id, server);
        self.start_queued();
    }

    /// Starts the checks that wait, as far as there are descriptors. Guards against more servers
    /// than descriptors, of which only the first would ever be checked, and against a stack for
    /// each of them: one is held only while there is a connection.
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

    /// Returns whether a check waits for a descriptor.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Forgets servers that are no longer listed, and closes the connections kept to them.
    pub fn retain_listed(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.sessions.retain(|server_id, _| is_listed(*server_id));
        self.queue.retain(|queued| is_listed(queued.server_id));
    }

    /// Asks the server's coroutine for a check; false where there is none.
    fn is_taken_by_session(&self, server_id: ServerId, server: &Arc<Server>) -> bool {
        self.sessions
            .get(&server_id)
            .is_some_and(|session| session.send(server.clone()))
    }

    /// Queues a check, in the place of the server's earlier one if that still waits.
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
