//! Faults that a mutant balancer commits where its actions are executed, rather than in its
//! decisions. A sound balancer passes through these functions unchanged.

use nettlemux_fleet_model::observation::{FinalAnswer, Observation};
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{FlowId, MS, Time};

use super::PolicyChoice;
use super::clients::PATIENCE;
use super::event::Event;
use super::flow::Attempt;
use super::simulation::Simulation;
use crate::mutants::Mutant;

/// One in so many attempts is sent twice by the mutant that does this.
const DUPLICATE_EVERY: u64 = 10;
/// How long after the first the mutant that answers twice sends its second answer.
const SECOND_ANSWER_DELAY: Time = 10 * MS;
/// How long past the deadline the mutant that answers late does so: before the client's patience is
/// over.
const LATENESS: Time = PATIENCE / 2;

impl Simulation<'_> {
    fn is_mutant(&self, mutant: Mutant) -> bool {
        self.policy == PolicyChoice::Mutant(mutant)
    }

    /// Sends a rejection or failure to a client; mutants may lose, delay or repeat it.
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
        let late = state.accepted + seconds(wait) + LATENESS;
        self.schedule(
            late,
            Event::DelayedAnswer {
                flow,
                answer,
                retry_after,
            },
        );
    }

    /// A held-back answer is sent. Where the client was answered before, it receives this one as
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

    /// Counts an attempt that has arrived; a mutant sends some to a second server at the same time.
    pub(super) fn duplicate_attempt(&mut self, balancer: usize, flow: FlowId, attempt: Attempt) {
        self.attempts_arrived += 1;
        let chosen = self.attempts_arrived.is_multiple_of(DUPLICATE_EVERY);
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

    /// Whether clients are told to move before their connection is closed.
    pub(super) fn announces_moves(&self) -> bool {
        !self.is_mutant(Mutant::CutsWithoutMove)
    }
}
