//! Discrete-event simulation of a scenario in virtual time.
//!
//! [`simulate`] runs a scenario's model (servers, discovery, clients and faults) against simulated
//! balancers. Their decisions come from a [`PolicyChoice`]: the policy, a baseline, or a balancer
//! that breaks a rule on purpose. The simulation itself decides nothing: it delivers events between
//! clients, balancers and servers, passes every observation to the rule checker, and collects the
//! figures. Events take effect in order of time, and events of the same time in the order in which
//! they were scheduled, so the same scenario, seed and decisions always give the same record.

mod answers;
mod attempts;
mod balancer;
mod clients;
mod commands;
mod connections;
mod discovery;
mod event;
mod faults;
mod flow;
mod mutants;
mod probes;
mod queue;
mod restarts;
mod sampling;
mod simulation;
mod startup;

use std::io;

use nettlemux_fleet_model::scenario::Scenario;

use crate::baselines;
use crate::figures::Figures;
use crate::mutants::Mutant;
use crate::record::Writer;
use crate::rules::Verdict;
use simulation::Simulation;

/// The source of every balancer's decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// A sound policy.
    Policy(baselines::PolicyKind),
    /// A mutant that breaks one rule on purpose.
    Mutant(Mutant),
}

impl PolicyChoice {
    /// Returns the name as it is written on the command line.
    pub fn name(self) -> &'static str {
        match self {
            PolicyChoice::Policy(kind) => kind.name(),
            PolicyChoice::Mutant(mutant) => mutant.name(),
        }
    }
}

/// The result of a run.
pub struct Outcome {
    /// The figures, from the settling time on.
    pub figures: Figures,
    /// The verdict of the rule checker.
    pub verdict: Verdict,
}

/// Runs a scenario to its end. `record` receives every observation.
///
/// # Errors
/// The record cannot be written.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    policy: PolicyChoice,
    record: Option<&mut Writer>,
) -> io::Result<Outcome> {
    Simulation::new(scenario.clone(), seed, policy, record).run()
}
