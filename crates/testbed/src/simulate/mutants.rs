//! Faults of mutant balancers in the execution of their actions, rather than in their decisions.
//! For a correct balancer these functions change nothing.

use nettlemux_fleet_model::observation::{FinalAnswer, Observation};
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{FlowId, MS, Time};

use super::PolicyChoice;
use super::clients::CLIENT_GIVES_UP_AFTER_DEADLINE;
use super::event::Event;
use super::flow::Attempt;
use super::simulation::Simulation;
use crate::mutants::Mutant;

/// [`Mutant::ConnectsTwice`] sends one in this many attempts twice.
const ATTEMPTS_PER_DUPLICATE: u64 = 10;
/// The time between the two answers of [`Mutant::AnswersTwice`].
const SECOND_ANSWER_DELAY: Time = 10 * MS;
/// The time after the deadline at which [`Mutant::AnswersLate`] answers: before the client gives
/// up.
const LATE_ANSWER_DELAY: Time = CLIENT_GIVES_UP_AFTER_DEADLINE / 2;

impl Simulation<'_> {
    fn is_mutant(&self, mutant: Mutant) -> bool {
        self.policy == PolicyChoice::Mutant(mutant)
    }

    /// Sends a rejection or failure to a client. Mutants may drop, delay or repeat it.
    pub(super) fn send_answer(
        &mut self,
        flow: FlowId,
        answer: FinalAnswer,
        retry_after: Option<Time>,
    ) {
        if self.is_mutant(Mutant::LosesAnswers) {
            return;
        }
        if self.is_mutant(Mutant::AnswersLate) {
            return self.answer_late(flow, answer, retry_after);
        }
        let was_waiting = self.waiting_flow(flow).is_some();
        self.answer(flow, answer, retry_after);
        if was_waiting && self.is_mutant(Mutant::AnswersTwice) {
            let second = Event::DelayedAnswer {
                flow,
                answer,
                retry_after,
            };
            self.schedule(self.now + SECOND_ANSWER_DELAY, second);
        }
    }

    fn answer_late(&mut self, flow: FlowId, answer: FinalAnswer, retry_after: Option<Time>) {
        let Some(state) = self.waiting_flow(flow) else {
            return;
        };
        let known = self.clients.get(state.client);
        let wait = known.map_or(0.0, |client| self.model.scenario.types[client.class].wait);
        let late = state.accepted + seconds(wait) + LATE_ANSWER_DELAY;
        self.schedule(
            late,
            Event::DelayedAnswer {
                flow,
                answer,
                retry_after,
            },
        );
    }

    /// Sends a delayed answer. If the client was answered before, it receives this answer as
    /// well.
    pub(super) fn delayed_answer(
        &mut self,
        flow: FlowId,
        answer: FinalAnswer,
        retry_after: Option<Time>,
    ) {
        if self.waiting_flow(flow).is_some() {
            self.answer(flow, answer, retry_after);
        } else {
            self.observe(Observation::Answered {
                at: self.now,
                flow,
                answer,
            });
        }
    }

    /// Counts an attempt that has arrived. [`Mutant::ConnectsTwice`] sends some attempts to a second
    /// server at the same time.
    pub(super) fn duplicate_attempt(&mut self, balancer: usize, flow: FlowId, attempt: Attempt) {
        self.attempts_arrived += 1;
        let chosen = self.attempts_arrived.is_multiple_of(ATTEMPTS_PER_DUPLICATE);
        if chosen && self.is_mutant(Mutant::ConnectsTwice) {
            let server = (attempt.server + 1) % self.model.servers.len();
            self.observe_attempt(
                balancer,
                flow,
                Attempt {
                    number: attempt.number + 1,
                    server,
                },
            );
        }
    }

    /// Whether the balancer tells clients to move before it closes their connection.
    pub(super) fn announces_migrations(&self) -> bool {
        !self.is_mutant(Mutant::CutsWithoutMove)
    }
}
