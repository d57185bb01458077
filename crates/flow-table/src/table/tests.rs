//! Tests of the flow table with a scripted policy.

use nettlemux_admission::{AdmissionConfig, AdmissionController};
use nettlemux_policy::{Actions, Placement, PolicyEvent};

use super::*;

/// Returns the given placements one after the other. Records for each ended attempt whether its
/// flow was still unanswered.
#[derive(Default)]
struct ScriptedPolicy {
    placements: Vec<Placement>,
    unanswered_at_attempt_end: Vec<bool>,
    /// The flow whose placement panics.
    panics_on: Option<FlowId>,
}

impl LoadBalancingPolicy for ScriptedPolicy {
    fn place(&mut self, _: Time, flow: &Flow) -> Placement {
        assert_ne!(self.panics_on, Some(flow.id), "panic intended by the test");
        self.placements.remove(0)
    }
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        let mut actions = Actions::default();
        match event {
            PolicyEvent::AttemptEnded { unanswered, .. } => {
                self.unanswered_at_attempt_end.push(unanswered.is_some());
                actions.placement = unanswered.map(|flow| self.place(now, flow));
            }
            PolicyEvent::ClientLeft { flow } => actions.cancel.push(flow),
            PolicyEvent::HealthChecked { server_id, .. } => {
                (actions.health_checks, actions.migrate) = (vec![server_id], vec![9])
            }
            _ => {}
        }
        actions
    }
    fn time_to_next_timer(&self, _: Time) -> Option<Time> {
        None
    }
    fn update_endpoints(&mut self, _: Time, _: &[Endpoint], _: bool) {}
    fn on_endpoint_poll_failed(&mut self, _: Time) {}
    fn adopt_connection(&mut self, _: &Flow, _: ServerId) {}
    fn update_connection_load(&mut self, _: FlowId, _: f64) {}
}

fn flow_table(placements: &[Placement]) -> FlowTable<ScriptedPolicy> {
    FlowTable::new(ScriptedPolicy {
        placements: placements.to_vec(),
        ..ScriptedPolicy::default()
    })
}

/// Accepts a flow with default values in all fields but its ID.
fn accept(
    flow_table: &mut FlowTable<ScriptedPolicy>,
    now: Time,
    id: FlowId,
    commands: &mut Vec<PolicyCommand>,
) {
    let flow = Flow {
        id,
        ..Flow::default()
    };
    flow_table.accept(now, flow, AdmissionAttributes::default(), commands);
}

#[test]
fn flow_with_failed_attempts_is_retried_and_answered_once() {
    let mut flow_table = flow_table(&[
        Placement::Forward {
            server_id: 4,
            timeout: 70,
            send_within: 70,
        },
        Placement::Forward {
            server_id: 5,
            timeout: 60,
            send_within: 30,
        },
        Placement::Reject {
            retry_after: Some(8),
        },
    ]);
    let mut commands = Vec::new();
    accept(&mut flow_table, 1, 7, &mut commands);
    let report = LoadReport {
        utilization: Some(0.4),
        connections: None,
    };
    flow_table.attempt_ended(
        2,
        EndedAttempt {
            flow: 7,
            number: 0,
            server_id: 4,
            end: AttemptEnd::Overloaded,
            known_unexecuted: true,
            report,
        },
        &mut commands,
    );
    assert!(
        flow_table.has_attempt_in_flight(7)
            && flow_table
                .flow(7)
                .is_some_and(|f| f.attempts[0].known_unexecuted)
    );
    flow_table.attempt_ended(
        3,
        EndedAttempt {
            flow: 7,
            number: 1,
            server_id: 5,
            end: AttemptEnd::ConnectionLost,
            known_unexecuted: false,
            report: LoadReport::default(),
        },
        &mut commands,
    );
    assert_eq!(
        commands,
        [
            PolicyCommand::StartAttempt {
                flow: 7,
                server_id: 4,
                number: 0,
                timeout: 70,
                send_within: 70
            },
            PolicyCommand::CheckHealth { server_id: 4 },
            PolicyCommand::Migrate { flow: 9 },
            PolicyCommand::StartAttempt {
                flow: 7,
                server_id: 5,
                number: 1,
                timeout: 60,
                send_within: 30
            },
            PolicyCommand::Reject {
                flow: 7,
                retry_after: Some(8)
            },
        ]
    );
    // The end of an attempt after the answer must not lead to a second answer.
    flow_table.attempt_ended(
        4,
        EndedAttempt {
            flow: 7,
            number: 1,
            server_id: 5,
            end: AttemptEnd::ConnectionLost,
            known_unexecuted: false,
            report: LoadReport::default(),
        },
        &mut commands,
    );
    assert_eq!(
        (
            commands.len(),
            flow_table.policy.unanswered_at_attempt_end.as_slice()
        ),
        (5, &[true, true, false][..])
    );
    flow_table.remove(5, 7, &mut commands);
    assert!(
        flow_table.flows.is_empty() && flow_table.policy.unanswered_at_attempt_end.len() == 3,
        "the policy is not notified if no attempt is in flight"
    );
}

/// Guards against an attempt that counts as in flight forever. This happens if the client
/// disconnects just as the attempt is started, so that nothing else reports the attempt's end.
#[test]
fn removing_a_flow_reports_its_unfinished_attempt_to_the_policy_once() {
    let mut flow_table = flow_table(&[Placement::Forward {
        server_id: 4,
        timeout: 9,
        send_within: 9,
    }]);
    let mut commands = Vec::new();
    accept(&mut flow_table, 1, 1, &mut commands);
    // The client disconnects before the command to start the attempt is executed.
    flow_table.client_left(2, 1, &mut commands);
    flow_table.remove(3, 1, &mut commands);
    assert_eq!(
        flow_table.policy.unanswered_at_attempt_end,
        [false],
        "the policy is told that the attempt has ended"
    );
    flow_table.remove(4, 1, &mut commands);
    assert_eq!(flow_table.policy.unanswered_at_attempt_end, [false]);
}

#[test]
fn queued_flows_are_placed_when_the_timer_expires_unless_their_clients_have_left() {
    let mut flow_table = flow_table(&[
        Placement::Wait,
        Placement::Wait,
        Placement::Forward {
            server_id: 4,
            timeout: 9,
            send_within: 9,
        },
    ]);
    let mut commands = Vec::new();
    accept(&mut flow_table, 1, 1, &mut commands);
    accept(&mut flow_table, 1, 2, &mut commands);
    flow_table.client_left(2, 1, &mut commands);
    flow_table.timer_expired(3, &mut commands);
    assert_eq!(
        commands,
        [
            PolicyCommand::CancelAttempt { flow: 1, number: 0 },
            PolicyCommand::StartAttempt {
                flow: 2,
                server_id: 4,
                number: 0,
                timeout: 9,
                send_within: 9
            }
        ]
    );
    assert_eq!(flow_table.begin_shutdown(5, &mut commands), [2]);
    assert_eq!(flow_table.flow(2).map(|f| f.deadline), Some(0));
}

/// Guards against a panic in one placement that keeps this flow, and the other queued flows,
/// waiting up to their deadlines.
#[test]
fn policy_panic_fails_the_flow_being_placed_at_once_and_no_other() {
    let attempt = Placement::Forward {
        server_id: 4,
        timeout: 9,
        send_within: 9,
    };
    let mut flow_table = flow_table(&[Placement::Wait, Placement::Wait, attempt]);
    let mut commands = Vec::new();
    flow_table.policy.panics_on = Some(1);
    accept(&mut flow_table, 1, 1, &mut commands);
    assert_eq!(commands, [PolicyCommand::Fail { flow: 1 }]);
    assert!(!flow_table.awaits_answer(1));
    commands.clear();
    accept(&mut flow_table, 1, 2, &mut commands);
    accept(&mut flow_table, 1, 3, &mut commands);
    flow_table.policy.panics_on = Some(2);
    flow_table.timer_expired(2, &mut commands);
    assert_eq!(
        commands,
        [
            PolicyCommand::Fail { flow: 2 },
            PolicyCommand::StartAttempt {
                flow: 3,
                server_id: 4,
                number: 0,
                timeout: 9,
                send_within: 9
            }
        ]
    );
}

/// Guards against admission control that keeps a flow after its client has disconnected or after
/// the balancer has shut down, and against admission of more flows than the policy can place.
#[test]
fn flows_wait_in_admission_while_the_policy_queue_is_full_and_none_is_left_at_the_end() {
    let placements = [
        Placement::Wait,
        Placement::Wait,
        Placement::Forward {
            server_id: 4,
            timeout: 9,
            send_within: 9,
        },
        Placement::Wait,
        Placement::Reject {
            retry_after: Some(3),
        },
        Placement::Wait,
    ];
    let config = AdmissionConfig {
        policy_queue_limit: 2,
        ..AdmissionConfig::default()
    };
    let mut flow_table = flow_table(&placements)
        .with_admission(AdmissionController::new(config, 1), RetryAfterHint::Sent);
    let mut commands = Vec::new();
    for id in 1..=5 {
        let identity = AdmissionAttributes {
            key: id,
            client: id,
            is_retry: false,
            latency_deadline: 1_000_000_000,
        };
        flow_table.accept(
            0,
            Flow {
                id,
                ..Flow::default()
            },
            identity,
            &mut commands,
        );
    }
    assert_eq!(
        (
            commands.as_slice(),
            flow_table.admission().unwrap().queue_length()
        ),
        (&[][..], 3),
        "the policy has queued two flows, the other three wait in admission control"
    );
    flow_table.client_left(1, 5, &mut commands);
    assert_eq!(flow_table.admission().unwrap().queue_length(), 2);
    // The policy places flow 1 and queues flow 2 again, so flow 3 is admitted. The policy rejects
    // it, and it gets the Retry-After of admission control.
    flow_table.timer_expired(2, &mut commands);
    assert!(
        matches!(
            commands[..],
            [PolicyCommand::StartAttempt { flow: 1, .. }, PolicyCommand::Reject { flow: 3, retry_after: Some(retry_after) }] if retry_after > 3
        ),
        "{commands:?}"
    );
    commands.clear();
    let unanswered = flow_table.begin_shutdown(4, &mut commands);
    assert!(
        unanswered.contains(&1) && unanswered.contains(&2) && !unanswered.contains(&5),
        "{unanswered:?}"
    );
    (1..=5).for_each(|id| flow_table.remove(5, id, &mut commands));
    assert_eq!(flow_table.admission().unwrap().queue_length(), 0);
}
