//! Mutants: balancers that each break one rule on purpose, to show that the rule checker detects it.
//! If the fault is in the decisions, it is made by a [`LoadBalancingPolicy`] that wraps the correct
//! policy. Other faults are made by the simulation or the socket run where actions are executed.
//! Mutants run only if they are requested.

use nettlemux_flow_table::LoadBalancingPolicy;
use nettlemux_policy::{
    Actions, Endpoint, EndpointState, Flow, FlowId, Idempotency, Placement, PolicyEvent, ServerId,
    Time,
};
use nettlemux_settings::Settings;
use serde_json::Value;

use crate::rules::Rule;

/// A balancer that breaks one rule on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Leaves some flows without an answer.
    LosesAnswers,
    /// Answers some flows twice.
    AnswersTwice,
    /// Answers some flows after their deadline.
    AnswersLate,
    /// Makes two attempts at the same time.
    ConnectsTwice,
    /// Treats draining servers as ready.
    SendsToDraining,
    /// Sends all flows to the server that started last.
    FloodsCold,
    /// Closes connections without telling the client to move.
    CutsWithoutMove,
    /// Repeats flows that must not be repeated because they are not idempotent.
    RepeatsNonIdempotent,
    /// Rejects flows of which an attempt may have been executed.
    RejectsWhatMayHaveRun,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Mutant; 9] = [
        Mutant::LosesAnswers,
        Mutant::AnswersTwice,
        Mutant::AnswersLate,
        Mutant::ConnectsTwice,
        Mutant::SendsToDraining,
        Mutant::FloodsCold,
        Mutant::CutsWithoutMove,
        Mutant::RepeatsNonIdempotent,
        Mutant::RejectsWhatMayHaveRun,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Mutant::LosesAnswers => "loses-answers",
            Mutant::AnswersTwice => "answers-twice",
            Mutant::AnswersLate => "answers-late",
            Mutant::ConnectsTwice => "connects-twice",
            Mutant::SendsToDraining => "sends-to-draining",
            Mutant::FloodsCold => "floods-cold",
            Mutant::CutsWithoutMove => "cuts-without-move",
            Mutant::RepeatsNonIdempotent => "repeats-non-idempotent",
            Mutant::RejectsWhatMayHaveRun => "rejects-what-may-have-run",
        }
    }

    /// The rule that the mutant breaks.
    pub fn violated_rule(self) -> Rule {
        match self {
            Mutant::LosesAnswers => Rule::Lost,
            Mutant::AnswersTwice => Rule::AnsweredTwice,
            Mutant::AnswersLate => Rule::Late,
            Mutant::ConnectsTwice => Rule::TwoInFlight,
            Mutant::SendsToDraining => Rule::Drain,
            Mutant::FloodsCold => Rule::Cold,
            Mutant::CutsWithoutMove => Rule::Cut,
            Mutant::RepeatsNonIdempotent | Mutant::RejectsWhatMayHaveRun => Rule::Twice,
        }
    }

    /// Returns the mutant's policy: a faulty one if the mutant breaks its rule in its decisions, else
    /// the correct one.
    pub fn policy(self, settings: &Value, seed: u64) -> Box<dyn LoadBalancingPolicy> {
        let correct = |settings: &Value| -> Box<dyn LoadBalancingPolicy> {
            let settings =
                Settings::from_embedded(settings).expect("the testbed makes valid settings");
            Box::new(crate::baselines::balancer_policy(&settings, seed))
        };
        match self {
            Mutant::SendsToDraining
            | Mutant::FloodsCold
            | Mutant::RepeatsNonIdempotent
            | Mutant::RejectsWhatMayHaveRun => Box::new(MutantPolicy {
                inner: correct(settings),
                mutant: self,
                last_started: None,
            }),
            _ => correct(settings),
        }
    }
}

/// A correct policy whose input or whose placements are changed.
struct MutantPolicy {
    inner: Box<dyn LoadBalancingPolicy>,
    mutant: Mutant,
    /// The server that started last.
    last_started: Option<(Time, ServerId)>,
}

impl MutantPolicy {
    /// Returns the flow as the mutant takes it.
    fn alter_flow(&self, flow: &Flow) -> Flow {
        let mut flow = flow.clone();
        if self.mutant == Mutant::RepeatsNonIdempotent {
            flow.class.idempotency = Idempotency::Idempotent;
        }
        flow
    }

    fn alter_placement(&self, placement: Placement, flow: &Flow) -> Placement {
        match (placement, self.mutant, self.last_started) {
            (
                Placement::Forward {
                    timeout,
                    send_within,
                    ..
                },
                Mutant::FloodsCold,
                Some((_, server_id)),
            ) => Placement::Forward {
                server_id,
                timeout,
                send_within,
            },
            (Placement::Fail, Mutant::RejectsWhatMayHaveRun, _) if !flow.attempts.is_empty() => {
                Placement::Reject { retry_after: None }
            }
            (placement, ..) => placement,
        }
    }
}

impl LoadBalancingPolicy for MutantPolicy {
    fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        let placement = self.inner.place(now, &self.alter_flow(flow));
        self.alter_placement(placement, flow)
    }

    fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        let PolicyEvent::AttemptEnded {
            flow,
            server_id,
            end,
            unanswered: Some(unanswered),
        } = event
        else {
            return self.inner.on_event(now, event);
        };
        let altered = PolicyEvent::AttemptEnded {
            flow,
            server_id,
            end,
            unanswered: Some(&self.alter_flow(unanswered)),
        };
        let mut actions = self.inner.on_event(now, altered);
        let placement = actions.placement;
        actions.placement = placement.map(|placement| self.alter_placement(placement, unanswered));
        actions
    }

    fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        self.inner.time_to_next_timer(now)
    }

    fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        let mut entries = entries.to_vec();
        for entry in &mut entries {
            if self.mutant == Mutant::SendsToDraining && entry.state == EndpointState::Draining {
                entry.state = EndpointState::Ready;
            }
            if self.mutant == Mutant::FloodsCold && entry.started > 0 {
                self.last_started = self
                    .last_started
                    .max(Some((entry.started, entry.server_id)));
                entry.started = 0;
            }
        }
        self.inner.update_endpoints(now, &entries, is_complete);
    }

    fn on_endpoint_poll_failed(&mut self, now: Time) {
        self.inner.on_endpoint_poll_failed(now);
    }

    fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        self.inner.adopt_connection(flow, server_id);
    }

    fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        self.inner.update_connection_load(flow, load);
    }
}
