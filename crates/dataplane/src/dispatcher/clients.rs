//! The clients of the flows in progress, with the mailboxes of their coroutines.

use std::collections::BTreeMap;

use nettlemux_policy::{Flow, FlowId, ServerId};

use crate::mailbox::Sender;
use crate::messages::{CoroutineEvent, FlowCommand};

/// A connection that was open before the balancer started and has not been reopened yet.
pub(super) struct Adoption {
    pub flow: Flow,
    pub server_id: ServerId,
}

/// The client of one flow.
pub(super) struct Client {
    mailbox: Sender<CoroutineEvent>,
    /// Set until the adopted connection is reopened; `None` for new flows.
    pub adoption: Option<Adoption>,
}

/// The clients of all flows in progress, in the order of the flows' numbers.
#[derive(Default)]
pub(super) struct ClientTable {
    clients: BTreeMap<FlowId, Client>,
}

impl ClientTable {
    /// Adds the client of a flow. `adoption` is set for a connection that was open before the start.
    pub fn insert(
        &mut self,
        flow: FlowId,
        mailbox: Sender<CoroutineEvent>,
        adoption: Option<Adoption>,
    ) {
        self.clients.insert(flow, Client { mailbox, adoption });
    }

    /// Removes the client of a closed flow.
    pub fn remove(&mut self, flow: FlowId) {
        self.clients.remove(&flow);
    }

    /// Returns the client of a flow.
    pub fn get_mut(&mut self, flow: FlowId) -> Option<&mut Client> {
        self.clients.get_mut(&flow)
    }

    /// Returns whether the flow has a client.
    pub fn contains(&self, flow: FlowId) -> bool {
        self.clients.contains_key(&flow)
    }

    /// Returns the number of clients.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Returns whether there are no clients.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Returns the flows with a number of at least `first`, in order.
    pub fn flows_from(&self, first: FlowId) -> impl Iterator<Item = FlowId> {
        self.clients.range(first..).map(|(flow, _)| *flow)
    }

    /// Sends a command to the flow's coroutine. Does nothing if the flow has no client.
    pub fn command(&self, flow: FlowId, command: FlowCommand) {
        if let Some(client) = self.clients.get(&flow) {
            client.mailbox.send(CoroutineEvent::Command(command));
        }
    }

    /// Times out the attempts of all connections that are being adopted.
    pub fn time_out_adoptions(&self) {
        for client in self.clients.values() {
            if client.adoption.is_some() {
                let command = FlowCommand::AttemptTimedOut;
                client.mailbox.send(CoroutineEvent::Command(command));
            }
        }
    }
}
