//! The flows in a balancer's hands. A [`FlowTable`] owns one decision module, the flows that it has been asked about and the
//! time at which it wants to be asked again; it turns what the module says into [`PolicyCommand`]s, in the order in which they are to
//! be carried out. The balancer on sockets, the adapter and the testbed all keep their flows here, so that none of
//! them keeps them differently. It has no I/O, clock, thread or chance of its own and must never decide
//! anything: where a flow goes, whether it goes again and what is refused is the module's word.

use std::collections::BTreeMap;

use nettlemux_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, LOOK_AGAIN,
};
use nettlemux_policy::{
    Actions, Attempt, AttemptEnd, Endpoint, Flow, FlowId, GroupPlacement, LoadReport, Placement,
    Policy, PolicyEvent, ServerId, Time,
};

/// What is asked of a decision module; times are nanoseconds of the caller's clock. [`Policy`] is the one that serves;
/// the testbed has others to compare it with.
pub trait LoadBalancingPolicy {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement;
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions;
    fn time_to_next_timer(&self, now: Time) -> Option<Time>;
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool);
    fn endpoint_poll_failed(&mut self, now: Time);
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId);
    fn update_connection_load(&mut self, flow: FlowId, load: f64);
    /// Other settings from now on; only the module that serves takes any.
    fn apply_settings(&mut self, _new: Policy) {}
    /// A gossip message of another balancer; those that don't listen need do nothing.
    fn receive_gossip(&mut self, _now: Time, _placement: GroupPlacement) {}
}

impl LoadBalancingPolicy for Policy {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        Policy::place(self, now, flow)
    }
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        Policy::on_event(self, now, event)
    }
    fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        Policy::time_to_next_timer(self, now)
    }
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        Policy::update_endpoints(self, now, entries, is_complete);
    }
    fn endpoint_poll_failed(&mut self, now: Time) {
        Policy::endpoint_poll_failed(self, now);
    }
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        Policy::adopt_connection(self, flow, server_id);
    }
    fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        Policy::update_connection_load(self, flow, load);
    }
    fn apply_settings(&mut self, new: Policy) {
        Policy::apply_settings(self, new);
    }
    fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        Policy::receive_gossip(self, now, placement);
    }
}

impl LoadBalancingPolicy for Box<dyn LoadBalancingPolicy> {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        (**self).place(now, flow)
    }
    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        (**self).on_event(now, event)
    }
    fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        (**self).time_to_next_timer(now)
    }
    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        (**self).update_endpoints(now, entries, is_complete);
    }
    fn endpoint_poll_failed(&mut self, now: Time) {
        (**self).endpoint_poll_failed(now);
    }
    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        (**self).adopt_connection(flow, server_id);
    }
    fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        (**self).update_connection_load(flow, load);
    }
    fn apply_settings(&mut self, new: Policy) {
        (**self).apply_settings(new);
    }
    fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        (**self).receive_gossip(now, placement);
    }
}

/// What is to be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyCommand {
    /// Start the flow's attempt of that number.
    StartAttempt {
        flow: FlowId,
        server_id: ServerId,
        number: usize,
        /// How long the server's answer is waited for.
        timeout: Time,
        /// The attempt is made only if its last byte is written within this span.
        send_within: Time,
    },
    Reject {
        flow: FlowId,
        retry_after: Option<Time>,
    },
    Fail {
        flow: FlowId,
    },
    /// Send its client away.
    Migrate {
        flow: FlowId,
    },
    /// Stop waiting for the attempt of that number: its client is gone.
    CancelAttempt {
        flow: FlowId,
        number: usize,
    },
    CheckHealth {
        server_id: ServerId,
    },
    /// Ask for the list.
    PollEndpoints,
    /// Tell the other balancers.
    Gossip(GroupPlacement),
}

/// Who asks, for the door: whose turn a flow takes, and when it is too late for one. Nobody's where there is no door.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientIdentity {
    /// The tenant or client whose turn it takes.
    pub key: u64,
    /// The client, to be known again.
    pub client: u64,
    /// It says that it has tried before.
    pub retry: bool,
    /// When its latency objective runs out.
    pub target: Time,
}

struct FlowEntry {
    flow: Flow,
    /// Still owed an answer.
    awaits_answer: bool,
}

/// The flows in hand and the module that says what becomes of them.
pub struct FlowTable<B = Policy> {
    policy: B,
    flows: BTreeMap<FlowId, FlowEntry>,
    /// Flows to ask about again.
    queued: Vec<FlowId>,
    /// Before the module, where there is one.
    admission: Option<AdmissionController>,
    /// Clients may be told when to come back.
    tells: bool,
}

impl<B: LoadBalancingPolicy> FlowTable<B> {
    pub fn new(policy: B) -> Self {
        FlowTable {
            policy,
            flows: BTreeMap::new(),
            queued: Vec::new(),
            admission: None,
            tells: true,
        }
    }

    /// Puts a door before the module. `tells`: clients may be told when to come back.
    pub fn with_admission(mut self, admission: AdmissionController, tells: bool) -> Self {
        (self.admission, self.tells) = (Some(admission), tells);
        self
    }

    /// The module goes on under other settings, with all flows that are in hand.
    pub fn apply_settings(&mut self, new: Policy) {
        self.policy.apply_settings(new);
    }

    /// New limits and weights for the door, where there is one; nobody who waits is dropped.
    pub fn change_admission(&mut self, config: AdmissionConfig) {
        if let Some(admission) = &mut self.admission {
            admission.change(config);
        }
    }

    pub fn admission(&self) -> Option<&AdmissionController> {
        self.admission.as_ref()
    }

    /// How long until [`FlowTable::elapsed`] is to be called at the latest; none where nothing is due.
    pub fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        let admission = self
            .admission
            .as_ref()
            .filter(|admission| admission.waiting() > 0);
        let admission = admission
            .and_then(AdmissionController::due)
            .map(|at| at.saturating_sub(now).min(LOOK_AGAIN));
        self.policy
            .time_to_next_timer(now)
            .into_iter()
            .chain(admission)
            .min()
    }

    /// A flow that has just been taken: it is owed an answer from now on.
    pub fn accept(
        &mut self,
        now: Time,
        flow: Flow,
        who: ClientIdentity,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let id = flow.id;
        let Some(admission) = &mut self.admission else {
            let place = self.policy.place(now, &flow);
            self.flows.insert(
                id,
                FlowEntry {
                    flow,
                    awaits_answer: true,
                },
            );
            return self.apply_placement(now, id, place, commands);
        };
        self.flows.insert(
            id,
            FlowEntry {
                flow,
                awaits_answer: true,
            },
        );
        let mut turns = Vec::new();
        let ClientIdentity {
            key,
            client,
            retry,
            target,
        } = who;
        admission.arrives(
            now,
            AdmissionRequest {
                flow: id,
                key,
                client,
                retry,
                target,
            },
            &mut turns,
        );
        self.apply_decisions(now, turns, commands);
        self.admit_queued(now, commands);
    }

    /// Lets in whose turn it is, until the module holds as many as it may or nobody waits.
    fn admit_queued(&mut self, now: Time, commands: &mut Vec<PolicyCommand>) {
        while let Some(admission) = &mut self.admission {
            admission.holds(&self.queued);
            let mut turns = Vec::new();
            admission.turns(now, &mut turns);
            if turns.is_empty() {
                return;
            }
            self.apply_decisions(now, turns, commands);
        }
    }

    fn apply_decisions(
        &mut self,
        now: Time,
        turns: Vec<AdmissionDecision>,
        commands: &mut Vec<PolicyCommand>,
    ) {
        for turn in turns {
            match turn {
                AdmissionDecision::Admit(id) => {
                    let Some(entry) = self.flows.get(&id).filter(|f| f.awaits_answer) else {
                        continue;
                    };
                    let place = self.policy.place(now, &entry.flow);
                    self.apply_placement(now, id, place, commands);
                }
                // No attempt was made, so coming again is safe whatever the traffic class.
                AdmissionDecision::Reject {
                    flow, retry_after, ..
                } => {
                    self.mark_answered(flow);
                    commands.push(PolicyCommand::Reject {
                        flow,
                        retry_after: self.tells.then_some(retry_after),
                    });
                }
            }
        }
    }

    /// A connection that was open at that server before the balancer started.
    pub fn adopt_connection(&mut self, flow: Flow, server_id: ServerId) {
        self.policy.adopt_connection(&flow, server_id);
        self.flows.insert(
            flow.id,
            FlowEntry {
                flow,
                awaits_answer: false,
            },
        );
    }

    /// An attempt was answered with a connection: the client has its answer.
    pub fn connected(
        &mut self,
        now: Time,
        flow: FlowId,
        took: Time,
        commands: &mut Vec<PolicyCommand>,
    ) {
        self.mark_answered(flow);
        if let Some(admission) = &mut self.admission {
            admission.flow_connected(now);
        }
        let actions = self
            .policy
            .on_event(now, PolicyEvent::Connected { flow, took });
        self.apply_actions(actions, commands);
        self.admit_queued(now, commands);
    }

    /// An attempt, or the connection that it became, has ended. `known_unexecuted`: the attempt is known not to have run.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_ended(
        &mut self,
        now: Time,
        (flow, number): (FlowId, usize),
        server_id: ServerId,
        (end, known_unexecuted): (AttemptEnd, bool),
        report: LoadReport,
        commands: &mut Vec<PolicyCommand>,
    ) {
        // A load report that came with an answer counts like a probe's: it is the server's own.
        if report.utilization.is_some() {
            self.health_checked(now, server_id, true, report, commands);
        }
        let mut unanswered = None;
        if let Some(entry) = self.flows.get_mut(&flow) {
            if let Some(attempt) = entry.flow.attempts.get_mut(number) {
                (attempt.in_flight, attempt.known_unexecuted) = (false, known_unexecuted);
            }
            unanswered = entry.awaits_answer.then_some(&entry.flow);
        }
        let actions = self.policy.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow,
                server_id,
                end,
                unanswered,
            },
        );
        if let Some(place) = actions.placement {
            self.apply_placement(now, flow, place, commands);
        }
        self.apply_actions(actions, commands);
        self.admit_queued(now, commands);
    }

    /// The client went away: it is owed nothing any more.
    pub fn client_left(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        self.mark_answered(flow);
        if let Some(admission) = &mut self.admission
            && admission.waits(flow)
        {
            // The module was never asked about it.
            return admission.over(flow);
        }
        let actions = self.policy.on_event(now, PolicyEvent::ClientLeft { flow });
        self.apply_actions(actions, commands);
    }

    pub fn health_checked(
        &mut self,
        now: Time,
        server_id: ServerId,
        passed: bool,
        report: LoadReport,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let actions = self.policy.on_event(
            now,
            PolicyEvent::HealthChecked {
                server_id,
                passed,
                report,
            },
        );
        self.apply_actions(actions, commands);
    }

    /// The wait has passed: what was held is asked about again.
    pub fn timer_expired(&mut self, now: Time, commands: &mut Vec<PolicyCommand>) {
        let actions = self.policy.on_event(now, PolicyEvent::TimerExpired);
        for id in std::mem::take(&mut self.queued) {
            if let Some(entry) = self.flows.get(&id).filter(|f| f.awaits_answer) {
                let place = self.policy.place(now, &entry.flow);
                self.apply_placement(now, id, place, commands);
            }
        }
        self.apply_actions(actions, commands);
        if let Some(admission) = &mut self.admission {
            admission.look(now);
        }
        self.admit_queued(now, commands);
    }

    pub fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        self.policy.update_connection_load(flow, load);
    }

    pub fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        self.policy.update_endpoints(now, entries, is_complete);
    }

    /// A gossip message of another balancer.
    pub fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        self.policy.receive_gossip(now, placement);
    }

    pub fn endpoint_poll_failed(&mut self, now: Time) {
        self.policy.endpoint_poll_failed(now);
    }

    /// The flow is owed no answer any more, for a reason that the module is not asked about.
    pub fn mark_answered(&mut self, flow: FlowId) {
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.awaits_answer = false;
        }
    }

    /// Aborts a flow without asking the module, which has failed on it.
    pub fn fail(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        self.apply_placement(now, flow, Placement::Fail, commands);
    }

    /// From now on no flow that is owed an answer has longer than till then; returns these. Nobody waits at the door any
    /// more.
    pub fn shorten_deadlines(
        &mut self,
        at: Time,
        commands: &mut Vec<PolicyCommand>,
    ) -> Vec<FlowId> {
        if let Some(admission) = &mut self.admission {
            admission.close();
            self.admit_queued(at, commands);
        }
        let awaits_answer = self.flows.iter_mut().filter(|(_, f)| f.awaits_answer);
        awaits_answer
            .map(|(id, entry)| {
                entry.flow.deadline = entry.flow.deadline.min(at);
                *id
            })
            .collect()
    }

    /// Nothing more comes of this flow: the one place where it is given back.
    pub fn remove(&mut self, now: Time, flow: FlowId, commands: &mut Vec<PolicyCommand>) {
        let entry = self.flows.remove(&flow);
        if let Some(admission) = &mut self.admission {
            admission.over(flow);
        }
        // Guards against an attempt that was ordered just as the client left, or whose flow has panicked: nobody else says
        // that nothing comes of it, and the module would count it as in flight for good.
        let out = entry.and_then(|entry| {
            entry
                .flow
                .attempts
                .into_iter()
                .find(|attempt| attempt.in_flight)
        });
        if let Some(Attempt { server_id, .. }) = out {
            let actions = self.policy.on_event(
                now,
                PolicyEvent::AttemptEnded {
                    flow,
                    server_id,
                    end: AttemptEnd::NotSent,
                    unanswered: None,
                },
            );
            self.apply_actions(actions, commands);
        }
    }

    /// Whether the flow is still owed an answer.
    pub fn awaits_answer(&self, flow: FlowId) -> bool {
        self.flows.get(&flow).is_some_and(|f| f.awaits_answer)
    }

    /// Whether an attempt of this flow is still out.
    pub fn has_attempt_in_flight(&self, flow: FlowId) -> bool {
        self.flows
            .get(&flow)
            .is_some_and(|f| f.flow.attempts.iter().any(|c| c.in_flight))
    }

    /// The flow as it was taken, with its attempts so far.
    pub fn flow(&self, flow: FlowId) -> Option<&Flow> {
        self.flows.get(&flow).map(|entry| &entry.flow)
    }

    fn apply_placement(
        &mut self,
        now: Time,
        id: FlowId,
        place: Placement,
        commands: &mut Vec<PolicyCommand>,
    ) {
        let Some(entry) = self.flows.get_mut(&id) else {
            return;
        };
        commands.push(match place {
            Placement::Forward {
                server_id,
                timeout,
                send_within,
            } => {
                entry.flow.attempts.push(Attempt {
                    server_id,
                    at: now,
                    in_flight: true,
                    known_unexecuted: false,
                });
                PolicyCommand::StartAttempt {
                    flow: id,
                    server_id,
                    number: entry.flow.attempts.len() - 1,
                    timeout,
                    send_within,
                }
            }
            Placement::Wait => return self.queued.push(id),
            Placement::Reject { retry_after } => {
                entry.awaits_answer = false;
                // What the queue really needs, where there is one.
                let admission = self.admission.as_mut().filter(|_| retry_after.is_some());
                let told = admission.and_then(|admission| admission.retry_after_for(now, id));
                PolicyCommand::Reject {
                    flow: id,
                    retry_after: told.or(retry_after),
                }
            }
            Placement::Fail => {
                entry.awaits_answer = false;
                PolicyCommand::Fail { flow: id }
            }
        });
    }

    fn apply_actions(&mut self, actions: Actions, commands: &mut Vec<PolicyCommand>) {
        commands.extend(
            actions
                .health_checks
                .into_iter()
                .map(|server_id| PolicyCommand::CheckHealth { server_id }),
        );
        commands.extend(
            actions
                .migrate
                .into_iter()
                .map(|flow| PolicyCommand::Migrate { flow }),
        );
        let number = |flow| {
            self.flow(flow)
                .map_or(0, |f: &Flow| f.attempts.len().saturating_sub(1))
        };
        commands.extend(
            actions
                .cancel
                .into_iter()
                .map(|flow| PolicyCommand::CancelAttempt {
                    flow,
                    number: number(flow),
                }),
        );
        commands.extend(
            actions
                .poll_endpoints
                .then_some(PolicyCommand::PollEndpoints),
        );
        commands.extend(actions.gossip.map(PolicyCommand::Gossip));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Says what the test wants next, and keeps what it was asked.
    #[derive(Default)]
    struct ScriptedPolicy {
        places: Vec<Placement>,
        awaits_answer: Vec<bool>,
    }

    impl LoadBalancingPolicy for ScriptedPolicy {
        fn place(&mut self, _: Time, _: &Flow) -> Placement {
            self.places.remove(0)
        }
        fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
            let mut actions = Actions::default();
            match event {
                PolicyEvent::AttemptEnded { unanswered, .. } => {
                    self.awaits_answer.push(unanswered.is_some());
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
        fn endpoint_poll_failed(&mut self, _: Time) {}
        fn adopt_connection(&mut self, _: &Flow, _: ServerId) {}
        fn update_connection_load(&mut self, _: FlowId, _: f64) {}
    }

    fn flow_table(places: &[Placement]) -> FlowTable<ScriptedPolicy> {
        FlowTable::new(ScriptedPolicy {
            places: places.to_vec(),
            ..ScriptedPolicy::default()
        })
    }

    #[test]
    fn a_flow_is_connected_again_and_answered_once() {
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
        flow_table.accept(
            1,
            Flow {
                id: 7,
                ..Flow::default()
            },
            ClientIdentity::default(),
            &mut commands,
        );
        let report = LoadReport {
            utilization: Some(0.4),
            connections: None,
        };
        flow_table.attempt_ended(
            2,
            (7, 0),
            4,
            (AttemptEnd::Overloaded, true),
            report,
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
            (7, 1),
            5,
            (AttemptEnd::ConnectionLost, false),
            LoadReport::default(),
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
        // Guards against a second answer for a flow that has had its own.
        flow_table.attempt_ended(
            4,
            (7, 1),
            5,
            (AttemptEnd::ConnectionLost, false),
            LoadReport::default(),
            &mut commands,
        );
        assert_eq!(
            (commands.len(), flow_table.policy.awaits_answer.as_slice()),
            (5, &[true, true, false][..])
        );
        flow_table.remove(5, 7, &mut commands);
        assert!(
            flow_table.flows.is_empty() && flow_table.policy.awaits_answer.len() == 3,
            "nothing is out, nothing is told"
        );
    }

    /// Guards against an attempt that is ordered just as its client leaves and counts as in flight for good.
    #[test]
    fn a_connect_that_nobody_made_is_told_when_its_flow_is_over() {
        let mut flow_table = flow_table(&[Placement::Forward {
            server_id: 4,
            timeout: 9,
            send_within: 9,
        }]);
        let mut commands = Vec::new();
        flow_table.accept(
            1,
            Flow {
                id: 1,
                ..Flow::default()
            },
            ClientIdentity::default(),
            &mut commands,
        );
        // The client's leave was on its way to us as the order was on its way out.
        flow_table.client_left(2, 1, &mut commands);
        flow_table.remove(3, 1, &mut commands);
        assert_eq!(
            flow_table.policy.awaits_answer,
            [false],
            "the module is told once that it is not out"
        );
        flow_table.remove(4, 1, &mut commands);
        assert_eq!(flow_table.policy.awaits_answer, [false]);
    }

    #[test]
    fn what_is_held_is_asked_about_again_unless_its_client_has_left() {
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
        flow_table.accept(
            1,
            Flow {
                id: 1,
                ..Flow::default()
            },
            ClientIdentity::default(),
            &mut commands,
        );
        flow_table.accept(
            1,
            Flow {
                id: 2,
                ..Flow::default()
            },
            ClientIdentity::default(),
            &mut commands,
        );
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
        assert_eq!(flow_table.shorten_deadlines(5, &mut commands), [2]);
        assert_eq!(flow_table.flow(2).map(|f| f.deadline), Some(0));
    }

    /// Guards against a door that holds a flow past its client's leaving or the balancer's end, and one that lets in more
    /// than the module can place.
    #[test]
    fn the_door_lets_in_while_the_module_places_and_answers_all_at_the_end() {
        let places = [
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
            held: 2,
            ..AdmissionConfig::default()
        };
        let mut flow_table =
            flow_table(&places).with_admission(AdmissionController::new(config, 1), true);
        let mut commands = Vec::new();
        for id in 1..=5 {
            let who = ClientIdentity {
                key: id,
                client: id,
                retry: false,
                target: 1_000_000_000,
            };
            flow_table.accept(
                0,
                Flow {
                    id,
                    ..Flow::default()
                },
                who,
                &mut commands,
            );
        }
        assert_eq!(
            (
                commands.as_slice(),
                flow_table.admission().unwrap().waiting()
            ),
            (&[][..], 3),
            "the module holds two"
        );
        flow_table.client_left(1, 5, &mut commands);
        assert_eq!(flow_table.admission().unwrap().waiting(), 2);
        // One is placed, one held again; so one more is let in, and refused by the module with the door's time.
        flow_table.timer_expired(2, &mut commands);
        assert!(
            matches!(
                commands[..],
                [PolicyCommand::StartAttempt { flow: 1, .. }, PolicyCommand::Reject { flow: 3, retry_after: Some(told) }] if told > 3
            ),
            "{commands:?}"
        );
        commands.clear();
        let awaits_answer = flow_table.shorten_deadlines(4, &mut commands);
        assert!(
            awaits_answer.contains(&1) && awaits_answer.contains(&2) && !awaits_answer.contains(&5),
            "{awaits_answer:?}"
        );
        (1..=5).for_each(|id| flow_table.remove(5, id, &mut commands));
        assert_eq!(flow_table.admission().unwrap().waiting(), 0);
    }
}
