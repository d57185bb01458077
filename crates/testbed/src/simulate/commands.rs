//! Calls of a balancer's flow table, and the execution of the actions that it returns.

use nettlemux_fleet_model::observation::FinalAnswer;
use nettlemux_flow_table::PolicyCommand;
use nettlemux_policy::{MS, Time};

use super::balancer::{Incarnation, SimulatedFlowTable};
use super::event::Event;
use super::flow::Attempt;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Calls a running balancer's flow table, executes its actions and schedules its next wakeup.
    pub(super) fn call_flow_table(
        &mut self,
        balancer: usize,
        call: impl FnOnce(&mut SimulatedFlowTable, Time, &mut Vec<PolicyCommand>),
    ) {
        let Some(flow_table) = &mut self.balancers[balancer].flow_table else {
            return;
        };
        let mut actions = Vec::new();
        call(flow_table, self.now, &mut actions);
        self.execute_all(balancer, actions);
        self.schedule_wakeup(balancer);
    }

    /// Executes a flow table's actions in order.
    pub(super) fn execute_all(&mut self, balancer: usize, actions: Vec<PolicyCommand>) {
        for action in actions {
            self.execute(balancer, action);
        }
    }

    fn execute(&mut self, balancer: usize, action: PolicyCommand) {
        match action {
            PolicyCommand::StartAttempt {
                flow,
                server_id,
                number,
                timeout,
                ..
            } => {
                let attempt = Attempt {
                    number,
                    server: server_id as usize,
                };
                self.start_attempt(flow, attempt, timeout);
            }
            PolicyCommand::Reject { flow, retry_after } => {
                self.send_answer(flow, FinalAnswer::Rejected, retry_after)
            }
            PolicyCommand::Fail { flow } => self.send_answer(flow, FinalAnswer::Failed, None),
            PolicyCommand::Migrate { flow } => self.migrate_client(flow),
            PolicyCommand::CancelAttempt { flow, .. } => self.cancel_attempt(flow),
            PolicyCommand::CheckHealth { server_id } => {
                self.start_health_check(balancer, server_id as usize)
            }
            // The endpoint list is delivered whenever it changes, and messages between balancers
            // are not simulated.
            PolicyCommand::PollEndpoints | PolicyCommand::Gossip(_) => {}
        }
    }

    /// Schedules a wakeup if the flow table's next timer expires before the scheduled wakeup.
    fn schedule_wakeup(&mut self, balancer: usize) {
        let incarnation = self.incarnation(balancer);
        let state = &mut self.balancers[balancer];
        let wait = state
            .flow_table
            .as_ref()
            .and_then(|flow_table| flow_table.time_to_next_timer(self.now));
        let Some(wait) = wait else { return };
        let at = self.now + wait.max(MS);
        if state.wakeup.is_none_or(|scheduled| at < scheduled) {
            state.wakeup = Some(at);
            self.schedule(
                at,
                Event::Wakeup {
                    balancer: incarnation,
                },
            );
        }
    }

    /// Calls the flow table when its timer expires, unless an earlier wakeup has replaced this
    /// one.
    pub(super) fn wake_up(&mut self, incarnation: Incarnation) {
        let balancer = incarnation.balancer;
        if self.is_current(incarnation) && self.balancers[balancer].wakeup == Some(self.now) {
            self.balancers[balancer].wakeup = None;
            self.call_flow_table(balancer, |flow_table, now, actions| {
                flow_table.timer_expired(now, actions)
            });
        }
    }
}
