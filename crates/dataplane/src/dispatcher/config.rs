//! The parts and settings that a dispatcher is made of.

use std::sync::Arc;

use nettlemux_flow_table::FlowTable;
use nettlemux_policy::Time;

use crate::descriptors::DescriptorBudget;
use crate::health_check::HealthChecker;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{DispatcherMessage, GossipMessage};
use crate::shutdown::AnswerDeadline;

/// What a dispatcher is made of.
pub struct DispatcherConfig {
    /// The flows, and the policy that decides about them.
    pub flow_table: FlowTable,
    /// The messages that the dispatcher reads.
    pub messages: Mailbox<DispatcherMessage>,
    /// The settings' zones, in their order.
    pub zones: Vec<String>,
    /// The settings' machine models, in their order.
    pub machines: Vec<String>,
    /// Checks the servers that the policy names.
    pub health_checker: HealthChecker,
    /// The way to the other balancers, where there is one.
    pub gossip: Option<Sender<GossipMessage>>,
    /// The seed of policies that are made of new settings.
    pub seed: u64,
    /// The time that policies made of new settings leave before a flow's deadline, in nanoseconds.
    pub margin: Time,
    /// When the last answer is due once the balancer is told to end.
    pub answer_deadline: AnswerDeadline,
    /// Connections that are no flow yet, or that are being closed.
    pub pending_connections: Arc<DescriptorBudget>,
}
