//! The commands: each loads what it is asked for, runs it and returns what is printed.

use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::MS;
use nettlemux_testbed::baselines::PolicyKind;
use nettlemux_testbed::experiment::{self, Row};
use nettlemux_testbed::figures::show;
use nettlemux_testbed::mutants::Mutant;
use nettlemux_testbed::record::{self, Writer};
use nettlemux_testbed::rules::{RuleChecker, Verdict};
use nettlemux_testbed::scale::limits::Limits;
use nettlemux_testbed::scale::measurement::LineWriter;
use nettlemux_testbed::scale::scenario::ScaleScenario;
use nettlemux_testbed::scale::{self, plot, table};
use nettlemux_testbed::simulate::{PolicyChoice, simulate};
use nettlemux_testbed::sockets::Program;
use nettlemux_testbed::{check, file, sockets};
use serde_json::json;

use crate::capacity_command;
use crate::cli::{Command, Side};
use crate::report::{Comparison, Output, RunReport, interval, rules, violations};

/// Two sides that cannot be compared.
const UNLIKE: &str = "--a and --b must both be policies, or both be programs' paths";
/// The figures that a sweep prints.
const SWEPT_FIGURES: [&str; 6] = [
    "worth",
    "worth_worst",
    "setup_p99",
    "rejected",
    "spread",
    "rules_broken",
];

/// Runs a command.
///
/// # Errors
/// Says what is wrong with what was asked.
pub fn run(command: Command) -> Result<Output, String> {
    match command {
        Command::Simulate {
            seed,
            policy,
            record,
            json,
            scenario,
        } => simulate_scenario(&scenario, policy, seed, record, json),
        Command::Compare {
            a,
            b,
            seeds,
            threads,
            json,
            scenario,
        } => {
            let seeds = seeds.max(1);
            match (a, b) {
                (Side::Policy(a), None) => {
                    compare_policies(&scenario, a, &PolicyKind::BASELINES, seeds, threads, json)
                }
                (Side::Policy(a), Some(Side::Policy(b))) => {
                    compare_policies(&scenario, a, &[b], seeds, threads, json)
                }
                (Side::Program(a), Some(Side::Program(b))) => {
                    compare_programs(&scenario, &a, &b, seeds, json)
                }
                _ => Err(UNLIKE.into()),
            }
        }
        Command::Sweep {
            key,
            values,
            policy,
            seeds,
            threads,
            json,
            scenario,
        } => {
            let sweep = Sweep {
                key: &key,
                policy,
                seeds: seeds.max(1),
                threads,
                json,
            };
            sweep.run(&scenario, &values)
        }
        Command::Hunt {
            tries,
            seed,
            out,
            threads,
            scenario,
        } => hunt(&scenario, seed, tries, threads, out.as_deref()),
        Command::Judge {
            slack,
            scenario,
            record,
        } => check_record(&scenario, &record, slack),
        Command::Run {
            program,
            seed,
            record,
            logs,
            json,
            scenario,
        } => run_on_sockets(&scenario, program, seed, record, logs.as_deref(), json),
        Command::Scale {
            program,
            out,
            text,
            scenario,
        } => run_scale(&scenario, &program, &out, &text),
        Command::SelfCheck { sockets, program } => self_check(sockets, &program),
        Command::Capacity(arguments) => {
            let (text, passed) = capacity_command::run(&arguments).map_err(|e| e.to_string())?;
            Ok(Output::new(text, passed))
        }
        Command::FaultyBalancer { name } => run_faulty_balancer(&name),
    }
}

fn load(file: &Path) -> Result<Scenario, String> {
    let (scenario, _) = file::load(file).map_err(|e| e.to_string())?;
    Ok(scenario)
}

/// An error of a file, with the file's name.
fn file_error(file: &Path) -> impl Fn(io::Error) -> String + '_ {
    move |error| format!("{}: {error}", file.display())
}

fn create_record(file: Option<&PathBuf>) -> Result<Option<Writer>, String> {
    file.map(|file| Writer::create(file).map_err(file_error(file)))
        .transpose()
}

fn simulate_scenario(
    scenario: &Path,
    policy: PolicyKind,
    seed: Option<u64>,
    record: Option<PathBuf>,
    json: bool,
) -> Result<Output, String> {
    let scenario = load(scenario)?;
    let seed = seed.unwrap_or(scenario.seed);
    let mut writer = create_record(record.as_ref())?;
    let file = record.unwrap_or_default();
    let choice = PolicyChoice::Policy(policy);
    let outcome = simulate(&scenario, seed, choice, writer.as_mut()).map_err(file_error(&file))?;
    writer
        .map_or(Ok(()), Writer::finish)
        .map_err(file_error(&file))?;
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

fn compare_policies(
    scenario: &Path,
    a: PolicyKind,
    others: &[PolicyKind],
    seeds: u64,
    threads: usize,
    json: bool,
) -> Result<Output, String> {
    let scenario = load(scenario)?;
    let mut text = String::new();
    for b in others {
        let (one, other) = (PolicyChoice::Policy(a), PolicyChoice::Policy(*b));
        let rows = experiment::compare(&scenario, one, other, seeds, threads);
        let comparison = Comparison {
            scenario: &scenario,
            a: a.name(),
            b: b.name(),
            how: "simulated",
            seeds,
            rows: &rows,
        };
        text += &comparison.output(json);
    }
    Ok(Output::new(text, true))
}

fn compare_programs(
    scenario: &Path,
    a: &Path,
    b: &Path,
    seeds: u64,
    json: bool,
) -> Result<Output, String> {
    let scenario = load(scenario)?;
    let (rows, void) = run_pairs(&scenario, a, b, seeds)?;
    let comparison = Comparison {
        scenario: &scenario,
        a: &a.display().to_string(),
        b: &b.display().to_string(),
        how: "on sockets",
        seeds: seeds - void,
        rows: &rows,
    };
    let mut text = comparison.output(json);
    if void > 0 {
        writeln!(text, "{void} of {seeds} pairs were void").expect("a string takes all");
    }
    Ok(Output::new(text, true))
}

/// Runs two programs in turn on the same seeds. Pairs of which one is void are left out and
/// counted.
fn run_pairs(
    scenario: &Scenario,
    a: &Path,
    b: &Path,
    seeds: u64,
) -> Result<(Vec<Row>, u64), String> {
    let (mut first, mut second, mut void) = (Vec::new(), Vec::new(), 0);
    for seed in (0..seeds).map(|k| scenario.seed + k) {
        let run = |path: &Path| sockets::run(scenario, seed, &serving(path.into()), None, None);
        let (one, other) = (run(a)?, run(b)?);
        if one.void.is_some() || other.void.is_some() {
            void += 1;
            continue;
        }
        first.push(one.figures);
        second.push(other.figures);
    }
    match first.is_empty() {
        true => Err("every pair was void: the machine was too slow".into()),
        false => Ok((experiment::rows(&first, &second), void)),
    }
}

/// A balancer's program, run to serve.
fn serving(path: PathBuf) -> Program {
    Program {
        path,
        args: vec!["serve".into()],
    }
}

/// A key that is given one value after another.
struct Sweep<'a> {
    key: &'a str,
    policy: PolicyKind,
    seeds: u64,
    threads: usize,
    json: bool,
}

impl Sweep<'_> {
    fn run(&self, path: &Path, values: &str) -> Result<Output, String> {
        let (_, table) = file::load(path).map_err(|e| e.to_string())?;
        let mut text = String::new();
        for value in values.split(',') {
            let number: f64 = value
                .trim()
                .parse()
                .map_err(|_| format!("--values: '{value}' is no number"))?;
            let mut table = table.clone();
            file::set(&mut table, self.key, number).map_err(|why| format!("--key: {why}"))?;
            let scenario = file::read(&table, path).map_err(|e| e.to_string())?;
            text += &self.line(&scenario, value, number);
        }
        Ok(Output::new(text, true))
    }

    fn line(&self, scenario: &Scenario, value: &str, number: f64) -> String {
        let choice = PolicyChoice::Policy(self.policy);
        let runs: Vec<_> = (0..self.seeds)
            .map(|k| (scenario.clone(), scenario.seed + k, choice))
            .collect();
        let outcomes = experiment::all(&runs, self.threads);
        let mean = |name: &str| {
            let values: Vec<f64> = outcomes.iter().map(|o| o.figures.get(name)).collect();
            experiment::estimate(&values)
        };
        let key = self.key;
        if self.json {
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
}

fn hunt(
    scenario: &Path,
    seed: u64,
    tries: usize,
    threads: usize,
    out: Option<&Path>,
) -> Result<Output, String> {
    let (scenario, mut table) = file::load(scenario).map_err(|e| e.to_string())?;
    let found = experiment::hunt(&scenario, seed, tries, threads);
    table.insert("name".into(), found.scenario.name.clone().into());
    let faults = toml::Value::try_from(&found.scenario.faults).map_err(|e| e.to_string())?;
    table.insert("faults".into(), faults);
    table.remove("expect");
    let text = toml::to_string(&table).map_err(|e| e.to_string())?;
    if let Some(file) = out {
        std::fs::write(file, &text).map_err(file_error(file))?;
    }
    let (tried, lost) = (
        found.tried,
        show(found.badness - found.verdict.violations.len() as f64),
    );
    let summary = format!(
        "{text}\n# {tried} days tried; worst: the best baseline serves {lost} of the worth more \
         than the policy, {}\n",
        rules(&found.verdict)
    );
    Ok(Output::new(summary, found.verdict.kept()))
}

fn check_record(scenario: &Path, record: &Path, slack_ms: u64) -> Result<Output, String> {
    let scenario = load(scenario)?;
    let opened = std::fs::File::open(record).map_err(file_error(record))?;
    let read = record::read(opened).map_err(|e| format!("{}: {e}", record.display()))?;
    let mut checker = RuleChecker::new(&scenario, slack_ms * MS);
    read.seen.iter().for_each(|seen| checker.observe(seen));
    let end = read.seen.iter().filter_map(|seen| seen.at()).max();
    let verdict: Verdict = checker.finish(end.unwrap_or(0));
    let cut = read.cut.map_or(String::new(), |line| {
        format!("the record is cut off at line {line}\n")
    });
    let text = format!("{cut}{}{}\n", violations(&verdict), rules(&verdict));
    Ok(Output::new(text, verdict.kept()))
}

fn run_on_sockets(
    scenario: &Path,
    program: PathBuf,
    seed: Option<u64>,
    record: Option<PathBuf>,
    logs: Option<&Path>,
    json: bool,
) -> Result<Output, String> {
    let scenario = load(scenario)?;
    let seed = seed.unwrap_or(scenario.seed);
    let writer = create_record(record.as_ref())?;
    let balancer = serving(program);
    let outcome = sockets::run(&scenario, seed, &balancer, writer, logs)?;
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
    let died: String = outcome.died.iter().map(|why| format!("{why}\n")).collect();
    let void = outcome.void.map_or(String::new(), |void| {
        format!("VOID: {}: {void}\n", scenario.name)
    });
    Ok(Output {
        passed: run.passed && died.is_empty(),
        void: !void.is_empty(),
        text: died + &run.text + &void,
    })
}

/// Makes a scale run. The table and the plot are written also where it ends early, from what was
/// measured by then.
fn run_scale(file: &Path, program: &Path, out: &Path, text: &str) -> Result<Output, String> {
    let scenario = ScaleScenario::load(file).map_err(|e| e.to_string())?;
    let mut lines = LineWriter::create(out).map_err(file_error(out))?;
    let mut run = scale::Run {
        scenario: &scenario,
        program: program.into(),
        limits: Limits::of(&scenario.limits),
        out: &mut lines,
    };
    let ended = run.all(text);
    let (table_file, plot_file) = scale::beside(out);
    let table = table::markdown(&lines.lines);
    std::fs::write(&table_file, &table).map_err(file_error(&table_file))?;
    let plot = plot::svg(&lines.lines).map_err(|e| e.to_string())?;
    std::fs::write(&plot_file, plot).map_err(file_error(&plot_file))?;
    ended.map_err(|failure| failure.to_string())?;
    Ok(Output::new(table, true))
}

fn self_check(sockets: bool, program: &Path) -> Result<Output, String> {
    let (mut text, mut passed) = check::self_check()?;
    if sockets {
        let testbed = std::env::current_exe().map_err(|e| e.to_string())?;
        let (on_sockets, all_passed) = check::on_sockets(&testbed, Some(program))?;
        text += &on_sockets;
        passed &= all_passed;
    }
    Ok(Output::new(text, passed))
}

fn run_faulty_balancer(name: &str) -> Result<Output, String> {
    let mutant = Mutant::ALL.into_iter().find(|mutant| mutant.name() == name);
    if mutant.is_none() && name != "sound" {
        return Err(format!("'{name}' is no mutant"));
    }
    sockets::faulty::run(mutant)?;
    Ok(Output::new(String::new(), true))
}
