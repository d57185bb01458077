//! Execution of the policy's commands. Each command becomes a message to a flow's coroutine, a
//! health check or a gossip message.

use nettlemux_flow_table::{FlowTable, PolicyCommand};
use nettlemux_policy::{FlowId, GroupPlacement, SEC, ServerId, Time};
use tracing::{info, warn};

use super::clients::ClientTable;
use super::server_directory::ServerDirectory;
use crate::health_check::HealthChecker;
use crate::mailbox::Sender;
use crate::messages::{AttemptTarget, FlowCommand, GossipMessage};

/// Time that a migration waits for the server to complete a line that it has begun.
const LINE_TIMEOUT: Time = 5 * SEC;

/// An attempt that the policy starts.
struct AttemptStart {
    flow: FlowId,
    server_id: ServerId,
    number: usize,
    deadline: Time,
    send_by: Time,
}

/// Executes commands on the parts of the dispatcher that they affect.
pub(super) struct CommandExecutor<'a> {
    /// The time at which the policy gave the commands.
    pub now: Time,
    pub flow_table: &'a mut FlowTable,
    pub clients: &'a ClientTable,
    pub servers: &'a ServerDirectory,
    pub health_checker: &'a mut HealthChecker,
    /// Sends messages to the other balancers; `None` if no peers are configured.
    pub gossip: Option<&'a Sender<GossipMessage>>,
}

impl CommandExecutor<'_> {
    /// Executes the commands in order.
    pub fn execute_all(&mut self, commands: Vec<PolicyCommand>) {
        let migrations = commands
            .iter()
            .filter(|command| matches!(command, PolicyCommand::Migrate { .. }))
            .count();
        if migrations > 0 {
            info!(count = migrations, "migrating connections");
        }
        for command in commands {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: PolicyCommand) {
        match command {
            PolicyCommand::StartAttempt {
                flow,
                server_id,
                number,
                timeout,
                send_within,
            } => self.start_attempt(AttemptStart {
                flow,
                server_id,
                number,
                deadline: self.now + timeout,
                send_by: self.now + send_within,
            }),
            PolicyCommand::Reject { flow, retry_after } => self
                .clients
                .command(flow, FlowCommand::Reject { retry_after }),
            PolicyCommand::Fail { flow } => self.clients.command(flow, FlowCommand::Fail),
            PolicyCommand::Migrate { flow } => self.clients.command(
                flow,
                FlowCommand::Migrate {
                    line_deadline: self.now + LINE_TIMEOUT,
                },
            ),
            PolicyCommand::CancelAttempt { flow, .. } => {
                self.clients.command(flow, FlowCommand::CancelAttempt)
            }
            PolicyCommand::CheckHealth { server_id } => self.check_health(server_id),
            // Nothing to do: discovery polls all the time.
            PolicyCommand::PollEndpoints => {}
            PolicyCommand::Gossip(placement) => self.gossip(placement),
        }
    }

    fn start_attempt(&mut self, attempt: AttemptStart) {
        let flow = attempt.flow;
        let server_id = attempt.server_id;
        let Some(server) = self.servers.get(server_id) else {
            warn!(
                id = flow,
                server_id,
                "policy chose a server that is not in the endpoint list, failing the flow"
            );
            self.flow_table.mark_answered(flow);
            self.clients.command(flow, FlowCommand::Fail);
            return;
        };
        let target = AttemptTarget {
            server_id,
            number: attempt.number,
            server: server.clone(),
            deadline: attempt.deadline,
            send_by: attempt.send_by,
        };
        self.clients
            .command(flow, FlowCommand::StartAttempt(target));
    }

    fn check_health(&mut self, server_id: ServerId) {
        if let Some(server) = self.servers.get(server_id) {
            self.health_checker.check(server_id, server.clone());
        }
    }

    fn gossip(&self, placement: GroupPlacement) {
        let Some(gossip) = self.gossip else { return };
        if let Some(server) = self.servers.get(placement.server_id) {
            gossip.send(GossipMessage {
                group: placement.group,
                server: server.name.clone(),
            });
        }
    }
}
