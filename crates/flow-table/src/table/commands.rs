//! Translates the policy's decisions into commands.

use std::panic::{AssertUnwindSafe, catch_unwind};

use nettlemux_policy::{Actions, Attempt, Flow, FlowId, Placement, Time};
use tracing::error;

use super::FlowTable;
use crate::command::PolicyCommand;
use crate::policy::LoadBalancingPolicy;

impl<P: LoadBalancingPolicy> FlowTable<P> {
    /// Asks the policy to place a flow, unless the flow no longer waits for an answer.
    pub(super) fn place_unanswered(
        &mut self,
        now: Time,
        id: FlowId,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let entry = self.flows.get(&id);
        if let Some(entry) = entry.filter(|entry| entry.awaits_answer) {
            let placement = place_or_fail(&mut self.policy, now, &entry.flow);
            self.apply_placement(now, id, placement, commands);
        }
    }

    /// Applies a placement to the flow's entry and issues the command for it.
    pub(super) fn apply_placement(
        &mut self,
        now: Time,
        id: FlowId,
        placement: Placement,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let Some(entry) = self.flows.get_mut(&id) else {
            return;
        };
        commands.push(match placement {
            Placement::Forward {
                server_id,
                timeout,
                send_within,
            } => {
                let number = entry.flow.attempts.len();
                entry.flow.attempts.push(Attempt {
                    server_id,
                    sent_at: now,
                    in_flight: true,
                    known_unexecuted: false,
                });
                PolicyCommand::StartAttempt {
                    flow: id,
                    server_id,
                    number,
                    timeout,
                    send_within,
                }
            }
            Placement::Wait => return self.policy_queue.push(id),
            Placement::Reject { retry_after } => {
                entry.awaits_answer = false;
                let retry_after = self.rejection_retry_after(now, id, retry_after);
                PolicyCommand::Reject {
                    flow: id,
                    retry_after,
                }
            }
            Placement::Fail => {
                entry.awaits_answer = false;
                PolicyCommand::Fail { flow: id }
            }
        });
    }

    /// Issues the commands for a policy's actions. The caller handles [`Actions::placement`].
    pub(super) fn apply_actions(&self, actions: Actions, commands: &mut Vec<PolicyCommand>) {
        let health_checks = actions.health_checks.into_iter();
        commands.extend(health_checks.map(|server_id| PolicyCommand::CheckHealth { server_id }));
        let migrations = actions.migrate.into_iter();
        commands.extend(migrations.map(|flow| PolicyCommand::Migrate { flow }));
        let cancellations = actions.cancel.into_iter();
        commands.extend(cancellations.map(|flow| PolicyCommand::CancelAttempt {
            flow,
            number: self.last_attempt_number(flow),
        }));
        if actions.poll_endpoints {
            commands.push(PolicyCommand::PollEndpoints);
        }
        commands.extend(actions.gossip.map(PolicyCommand::Gossip));
    }

    /// Returns the number of a flow's last attempt, 0 if none was made.
    fn last_attempt_number(&self, flow: FlowId) -> usize {
        self.flow(flow)
            .map_or(0, |flow: &Flow| flow.attempts.len().saturating_sub(1))
    }
}

/// Asks a policy to place a flow, and fails the flow if the policy panics. Without this, a bug in
/// one decision would keep the flow's client waiting up to its deadline and would keep the other
/// queued flows from being placed.
pub(super) fn place_or_fail(
    policy: &mut impl LoadBalancingPolicy,
    now: Time,
    flow: &Flow,
) -> Placement {
    let placed = catch_unwind(AssertUnwindSafe(|| policy.place(now, flow)));
    placed.unwrap_or_else(|_| {
        error!(flow = flow.id, "policy decision panicked, failing its flow");
        Placement::Fail
    })
}
