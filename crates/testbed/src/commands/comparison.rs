//! The command that compares two policies, or two programs on sockets.

use std::fmt::Write as _;
use std::path::Path;

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_testbed::baselines::PolicyKind;
use nettlemux_testbed::experiment::{self, Row};
use nettlemux_testbed::simulate::PolicyChoice;
use nettlemux_testbed::sockets::{self, Program};

use super::error::CommandError;
use super::files::load_scenario;
use crate::cli::{CompareArguments, Side};
use crate::report::{Comparison, Output};

/// Compares policies in virtual time, or programs on sockets, over the same seeds.
pub fn compare(arguments: CompareArguments) -> Result<Output, CommandError> {
    let CompareArguments {
        a,
        b,
        seeds,
        threads,
        json,
        scenario,
    } = arguments;
    let plan = ComparisonPlan {
        scenario: &scenario,
        seeds: seeds.max(1),
        json,
    };
    match (a, b) {
        (Side::Policy(a), None) => plan.compare_policies(a, &PolicyKind::BASELINES, threads),
        (Side::Policy(a), Some(Side::Policy(b))) => plan.compare_policies(a, &[b], threads),
        (Side::Program(a), Some(Side::Program(b))) => plan.compare_programs(&a, &b),
        _ => Err(CommandError::MismatchedSides),
    }
}

/// The arguments that both kinds of comparison share.
struct ComparisonPlan<'a> {
    scenario: &'a Path,
    /// Number of seeds, at least 1.
    seeds: u64,
    json: bool,
}

impl ComparisonPlan<'_> {
    fn compare_policies(
        &self,
        a: PolicyKind,
        others: &[PolicyKind],
        threads: usize,
    ) -> Result<Output, CommandError> {
        let scenario = load_scenario(self.scenario)?;
        let mut text = String::new();
        for b in others {
            let (one, other) = (PolicyChoice::Policy(a), PolicyChoice::Policy(*b));
            let rows = experiment::compare(&scenario, one, other, self.seeds, threads);
            let comparison = Comparison {
                scenario: &scenario,
                a: a.name(),
                b: b.name(),
                how: "simulated",
                seeds: self.seeds,
                rows: &rows,
            };
            text += &comparison.output(self.json);
        }
        Ok(Output::new(text, true))
    }

    fn compare_programs(&self, a: &Path, b: &Path) -> Result<Output, CommandError> {
        let scenario = load_scenario(self.scenario)?;
        let seeds = self.seeds;
        let (rows, void) = run_pairs(&scenario, a, b, seeds)?;
        let comparison = Comparison {
            scenario: &scenario,
            a: &a.display().to_string(),
            b: &b.display().to_string(),
            how: "on sockets",
            seeds: seeds - void,
            rows: &rows,
        };
        let mut text = comparison.output(self.json);
        if void > 0 {
            writeln!(text, "{void} of {seeds} pairs were void")
                .expect("writing to a string cannot fail");
        }
        Ok(Output::new(text, true))
    }
}

/// Runs two programs alternately on the same seeds. Returns the compared figures and the number of
/// pairs that were skipped because one of their runs was void.
fn run_pairs(
    scenario: &Scenario,
    a: &Path,
    b: &Path,
    seeds: u64,
) -> Result<(Vec<Row>, u64), CommandError> {
    let (mut first, mut second, mut void) = (Vec::new(), Vec::new(), 0);
    for seed in (0..seeds).map(|k| scenario.seed + k) {
        let run = |path: &Path| {
            sockets::run(
                scenario,
                seed,
                &Program::serve_command(path.into()),
                None,
                None,
            )
        };
        let (one, other) = (run(a)?, run(b)?);
        if one.void.is_some() || other.void.is_some() {
            void += 1;
            continue;
        }
        first.push(one.figures);
        second.push(other.figures);
    }
    match first.is_empty() {
        true => Err(CommandError::EveryPairVoid),
        false => Ok((experiment::rows(&first, &second), void)),
    }
}
