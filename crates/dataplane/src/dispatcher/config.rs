//! The configuration of a dispatcher.

use std::sync::Arc;

use nettlemux_flow_table::FlowTable;
use nettlemux_policy::Time;

use crate::descriptors::DescriptorBudget;
use crate::health_check::HealthChecker;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{DispatcherMessage, GossipMessage};
use crate::shutdown::AnswerDeadline;

/// The parts and settings that a dispatcher is built from.
pub struct DispatcherConfig {
    /// The flows, and the policy that decides about them.
    pub flow_table: FlowTable,
    /// The messages that the dispatcher reads.
    pub messages: Mailbox<DispatcherMessage>,
    /// The zones of the settings, in the order of the settings.
    pub zones: Vec<String>,
    /// The machine models of the settings, in the order of the settings.
    pub machines: Vec<String>,
    /// Checks the servers that the policy names.
    pub health_checker: HealthChecker,
    /// Sends messages to the other balancers; `None` if no peers are configured.
    pub gossip: Option<Sender<GossipMessage>>,
    /// The seed of policies that are built from new settings.
    pub seed: u64,
    /// The time that policies built from new settings leave before a flow's deadline, in
    /// nanoseconds.
    pub deadline_margin: Time,
    /// When the last answer is due after SIGTERM.
    pub answer_deadline: AnswerDeadline,
    /// The descriptors of connections that are not flows yet or are being closed.
    pub pending_connections: Arc<DescriptorBudget>,
}
