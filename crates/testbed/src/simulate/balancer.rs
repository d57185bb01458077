//! The state of one simulated balancer.

use nettlemux_flow_table::{FlowTable, LoadBalancingPolicy};
use nettlemux_policy::Time;

/// The flow table of a simulated balancer, which can run any policy.
pub(super) type SimulatedFlowTable = FlowTable<Box<dyn LoadBalancingPolicy>>;

/// One run of a balancer's process. Events for an earlier process are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Incarnation {
    pub(super) balancer: usize,
    pub(super) epoch: u32,
}

/// A balancer, running or not.
pub(super) struct Balancer {
    /// `None` while the process is down.
    pub(super) flow_table: Option<SimulatedFlowTable>,
    /// The number of times that the process has ended.
    pub(super) epoch: u32,
    pub(super) zone: usize,
    /// The version of the endpoint list that the balancer has; 0 if it has none.
    pub(super) list_version: u64,
    /// The time of the next scheduled call of the flow table's timer.
    pub(super) wakeup: Option<Time>,
}

impl Balancer {
    /// Creates a balancer whose process has not been started.
    pub(super) fn new(zone: usize) -> Self {
        Balancer {
            flow_table: None,
            epoch: 0,
            zone,
            list_version: 0,
            wakeup: None,
        }
    }

    /// Whether the process runs.
    pub(super) fn is_running(&self) -> bool {
        self.flow_table.is_some()
    }
}
