//! Commands that run on sockets: run, scale, self-check and the faulty balancer.

use nettlemux_testbed::file_error::FileError;
use nettlemux_testbed::mutants::Mutant;
use nettlemux_testbed::scale::limits::Limits;
use nettlemux_testbed::scale::measurement::LineWriter;
use nettlemux_testbed::scale::scenario::ScaleScenario;
use nettlemux_testbed::scale::{self, plot, table};
use nettlemux_testbed::sockets::Program;
use nettlemux_testbed::{check, sockets};

use super::error::CommandError;
use super::files::{create_record, load_scenario};
use crate::cli::{RunArguments, ScaleArguments, SelfCheckArguments};
use crate::report::{Output, RunReport};

/// Runs a scenario on sockets.
pub fn run_scenario(arguments: RunArguments) -> Result<Output, CommandError> {
    let RunArguments {
        program,
        seed,
        record,
        logs,
        json,
        scenario,
    } = arguments;
    let scenario = load_scenario(&scenario)?;
    let seed = seed.unwrap_or(scenario.seed);
    let writer = create_record(record.as_ref())?;
    let balancer = Program::serve_command(program);
    let outcome = sockets::run(&scenario, seed, &balancer, writer, logs.as_deref())?;
    let version = sockets::version(&balancer);
    let report = RunReport {
        scenario: &scenario,
        seed,
        policy: &version,
        figures: outcome.figures,
        verdict: outcome.verdict,
        balancers: outcome.balancers,
        simulated: false,
    };
    let run = report.output(json);
    let died: String = outcome
        .unexpected_exits
        .iter()
        .map(|report| format!("{report}\n"))
        .collect();
    let void = outcome.void.map_or(String::new(), |void| {
        format!("VOID: {}: {void}\n", scenario.name)
    });
    Ok(Output {
        passed: run.passed && died.is_empty(),
        void: !void.is_empty(),
        text: died + &run.text + &void,
    })
}

/// Makes a scale run. If it ends early, the table and the plot are still written from what has been
/// measured until then.
pub fn run_scale(arguments: &ScaleArguments) -> Result<Output, CommandError> {
    let out = &arguments.out;
    let scenario = ScaleScenario::load(&arguments.scenario)?;
    let mut lines = LineWriter::create(out).map_err(FileError::at(out))?;
    let mut run = scale::Run {
        scenario: &scenario,
        program: arguments.program.clone(),
        limits: Limits::from_scenario(&scenario.limits),
        out: &mut lines,
    };
    let ended = run.measure_all(&arguments.text);
    let (table_file, plot_file) = scale::table_and_plot_paths(out);
    let table = table::markdown(&lines.lines);
    std::fs::write(&table_file, &table).map_err(FileError::at(&table_file))?;
    let plot = plot::svg(&lines.lines)?;
    std::fs::write(&plot_file, plot).map_err(FileError::at(&plot_file))?;
    ended?;
    Ok(Output::new(table, true))
}

/// Checks the rule checker against balancers that break one rule each.
pub fn self_check(arguments: &SelfCheckArguments) -> Result<Output, CommandError> {
    let (mut text, mut passed) = check::self_check()?;
    if arguments.sockets {
        let testbed = std::env::current_exe().map_err(CommandError::OwnPathUnknown)?;
        let (on_sockets, all_passed) = check::on_sockets(&testbed, Some(&arguments.program))?;
        text += &on_sockets;
        passed &= all_passed;
    }
    Ok(Output::new(text, passed))
}

/// Runs a minimal balancer that is correct or breaks one rule.
pub fn run_faulty_balancer(name: &str) -> Result<Output, CommandError> {
    let mutant = Mutant::ALL.into_iter().find(|mutant| mutant.name() == name);
    if mutant.is_none() && name != "sound" {
        return Err(CommandError::UnknownMutant { name: name.into() });
    }
    sockets::faulty::run(mutant)?;
    Ok(Output::new(String::new(), true))
}
