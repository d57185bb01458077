//! The command that runs a scenario with one key at several values.

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_testbed::experiment;
use nettlemux_testbed::file;
use nettlemux_testbed::simulate::PolicyChoice;
use serde_json::json;

use super::error::CommandError;
use crate::cli::SweepArguments;
use crate::report::{Output, interval};

/// The figures that a sweep prints.
const SWEPT_FIGURES: [&str; 6] = [
    "worth",
    "worth_worst",
    "setup_p99",
    "rejected",
    "spread",
    "rules_broken",
];

/// Runs a scenario once for each value of one key.
pub fn sweep(arguments: &SweepArguments) -> Result<Output, CommandError> {
    let path = &arguments.scenario;
    let (_, table) = file::load(path)?;
    let mut text = String::new();
    for value in arguments.values.split(',') {
        let number: f64 = value.trim().parse().map_err(|_| CommandError::SweepValue {
            value: value.into(),
        })?;
        let mut table = table.clone();
        file::set(&mut table, &arguments.key, number).map_err(CommandError::SweepKey)?;
        let scenario = file::read(&table, path)?;
        text += &output_line(arguments, &scenario, value, number);
    }
    Ok(Output::new(text, true))
}

/// Runs all seeds with one value and returns its output line.
fn output_line(
    arguments: &SweepArguments,
    scenario: &Scenario,
    value: &str,
    number: f64,
) -> String {
    let choice = PolicyChoice::Policy(arguments.policy);
    let runs: Vec<_> = (0..arguments.seeds.max(1))
        .map(|k| (scenario.clone(), scenario.seed + k, choice))
        .collect();
    let outcomes = experiment::run_all(&runs, arguments.threads);
    let mean = |name: &str| {
        let values: Vec<f64> = outcomes.iter().map(|o| o.figures.get(name)).collect();
        experiment::estimate(&values)
    };
    let key = &arguments.key;
    if arguments.json {
        let figures: serde_json::Map<_, _> = SWEPT_FIGURES
            .iter()
            .map(|name| (name.to_string(), json!(mean(name).mean)))
            .collect();
        let line = json!({"key": key, "value": number, "figures": figures});
        return format!("{line}\n");
    }
    let figures: Vec<String> = SWEPT_FIGURES
        .iter()
        .map(|name| format!("{name} {}", interval(mean(name))))
        .collect();
    format!("{key} = {value:<8} {}\n", figures.join("  "))
}
