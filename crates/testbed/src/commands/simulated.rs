//! Commands in virtual time and on records: simulate, hunt and judge.

use nettlemux_policy::MS;
use nettlemux_testbed::experiment;
use nettlemux_testbed::figures::show;
use nettlemux_testbed::file;
use nettlemux_testbed::file_error::FileError;
use nettlemux_testbed::record::{self, Writer};
use nettlemux_testbed::rules::{RuleChecker, Verdict};
use nettlemux_testbed::simulate::{PolicyChoice, simulate};

use super::error::CommandError;
use super::files::{create_record, load_scenario};
use crate::cli::{HuntArguments, JudgeArguments, SimulateArguments};
use crate::report::{Output, RunReport, rules, violations};

/// Runs a scenario in virtual time.
pub fn simulate_scenario(arguments: SimulateArguments) -> Result<Output, CommandError> {
    let SimulateArguments {
        seed,
        policy,
        record,
        json,
        scenario,
    } = arguments;
    let scenario = load_scenario(&scenario)?;
    let seed = seed.unwrap_or(scenario.seed);
    let mut writer = create_record(record.as_ref())?;
    let file = record.unwrap_or_default();
    let choice = PolicyChoice::Policy(policy);
    let outcome =
        simulate(&scenario, seed, choice, writer.as_mut()).map_err(FileError::at(&file))?;
    writer
        .map_or(Ok(()), Writer::finish)
        .map_err(FileError::at(&file))?;
    let report = RunReport {
        scenario: &scenario,
        seed,
        policy: policy.name(),
        figures: outcome.figures,
        verdict: outcome.verdict,
        balancers: Vec::new(),
        simulated: true,
    };
    Ok(report.output(json))
}

/// Searches for the faults that hurt the policy most.
pub fn hunt(arguments: &HuntArguments) -> Result<Output, CommandError> {
    let (scenario, mut table) = file::load(&arguments.scenario)?;
    let found = experiment::hunt(
        &scenario,
        arguments.seed,
        arguments.tries,
        arguments.threads,
    );
    table.insert("name".into(), found.scenario.name.clone().into());
    let faults = toml::Value::try_from(&found.scenario.faults)?;
    table.insert("faults".into(), faults);
    table.remove("expect");
    let text = toml::to_string(&table)?;
    if let Some(file) = &arguments.out {
        std::fs::write(file, &text).map_err(FileError::at(file))?;
    }
    let (tried, lost) = (
        found.scenarios_tried,
        show(found.badness - found.verdict.violations.len() as f64),
    );
    let summary = format!(
        "{text}\n# {tried} scenarios tried; worst: the best baseline serves {lost} of the worth more \
         than the policy, {}\n",
        rules(&found.verdict)
    );
    Ok(Output::new(summary, found.verdict.has_no_violations()))
}

/// Checks a record against the rules.
pub fn check_record(arguments: &JudgeArguments) -> Result<Output, CommandError> {
    let scenario = load_scenario(&arguments.scenario)?;
    let file = &arguments.record;
    let opened = std::fs::File::open(file).map_err(FileError::at(file))?;
    let read = record::read(opened).map_err(|source| CommandError::Record {
        file: file.clone(),
        source,
    })?;
    let mut checker = RuleChecker::new(&scenario, arguments.slack * MS);
    read.observations
        .iter()
        .for_each(|seen| checker.observe(seen));
    let end = read.observations.iter().filter_map(|seen| seen.at()).max();
    let verdict: Verdict = checker.finish(end.unwrap_or(0));
    let cut = read.truncated_line.map_or(String::new(), |line| {
        format!("the record is truncated at line {line}\n")
    });
    let text = format!("{cut}{}{}\n", violations(&verdict), rules(&verdict));
    Ok(Output::new(text, verdict.has_no_violations()))
}
