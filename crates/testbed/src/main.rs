//! `nettlemux-testbed`: the command line of the testbed. It owns arguments, what is printed and the exit code, and nothing else.

mod capacity_command;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::{Bpaf, Parser};
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::{MS, SEC};
use nettlemux_testbed::baselines::PolicyKind;
use nettlemux_testbed::experiment::{self, Estimate, Row};
use nettlemux_testbed::figures::{Figures, show};
use nettlemux_testbed::mutants::Mutant;
use nettlemux_testbed::record::{self, Writer};
use nettlemux_testbed::rules::{RuleChecker, Verdict};
use nettlemux_testbed::scale::allocation::CountingAllocator;
use nettlemux_testbed::scale::limits::Limits;
use nettlemux_testbed::scale::measurement::LineWriter;
use nettlemux_testbed::scale::scenario::ScaleScenario;
use nettlemux_testbed::scale::{self, plot, table};
use nettlemux_testbed::simulate::{PolicyChoice, simulate};
use nettlemux_testbed::sockets::Program;
use nettlemux_testbed::{check, file, sockets};
use serde_json::json;

/// Counts what the decision module keeps, for scale runs.
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// the testbed of nettlemux: scenarios, experiments, and the judge of the rules
enum Command {
    /// Runs a scenario in virtual time; exit code 0 only if all expectations and the rules hold
    #[bpaf(command)]
    Simulate {
        /// Draws from this seed in place of the scenario's
        #[bpaf(argument("N"))]
        seed: Option<u64>,
        /// What decides: module, random, round-robin, least-connections or power-of-two
        #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
        policy: PolicyKind,
        /// Writes the record there
        #[bpaf(argument("FILE"))]
        record: Option<PathBuf>,
        /// Prints the figures as JSON
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// The same seeds under two policies, or two programs on sockets, with the paired difference and its 95 % interval
    #[bpaf(command)]
    Compare {
        /// A policy's name, or a program's path
        #[bpaf(
            long("a"),
            argument("NAME|PATH"),
            fallback(Side::Policy(PolicyKind::Nettlemux))
        )]
        a: Side,
        /// All baselines where it is not given
        #[bpaf(long("b"), argument("NAME|PATH"))]
        b: Option<Side>,
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,
        #[bpaf(external)]
        threads: usize,
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// One key of a scenario over several values
    #[bpaf(command)]
    Sweep {
        /// The key's path, for example clients.rate or faults.0.amount
        #[bpaf(argument("KEY"))]
        key: String,
        /// Values, set apart by commas
        #[bpaf(argument("V,V,…"))]
        values: String,
        #[bpaf(argument("NAME"), fallback(PolicyKind::Nettlemux))]
        policy: PolicyKind,
        #[bpaf(argument("N"), fallback(3))]
        seeds: u64,
        #[bpaf(external)]
        threads: usize,
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Looks for the faults that are worst for the module and cuts them down to a small scenario
    #[bpaf(command)]
    Hunt {
        #[bpaf(argument("N"), fallback(30))]
        tries: usize,
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Writes the scenario there
        #[bpaf(argument("FILE"))]
        out: Option<PathBuf>,
        #[bpaf(external)]
        threads: usize,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Judges a record by the rules
    #[bpaf(command)]
    Judge {
        /// Milliseconds by which each time limit is longer: 50 for a record from sockets
        #[bpaf(argument("MS"), fallback(0))]
        slack: u64,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
        #[bpaf(positional("RECORD"))]
        record: PathBuf,
    },
    /// Runs a scenario on sockets with real balancers; exit code 3 if the machine was too slow for a result
    #[bpaf(command)]
    Run {
        #[bpaf(external)]
        program: PathBuf,
        #[bpaf(argument("N"))]
        seed: Option<u64>,
        /// Writes the record there
        #[bpaf(argument("FILE"))]
        record: Option<PathBuf>,
        /// Keeps the balancers' logs there
        #[bpaf(argument("FOLDER"))]
        logs: Option<PathBuf>,
        json: bool,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Grows one count at a time and measures what a balancer takes and sends at each size
    #[bpaf(command)]
    Scale {
        #[bpaf(external)]
        program: PathBuf,
        /// Writes the lines there, the table and the plot beside them
        #[bpaf(argument("FILE"), fallback(PathBuf::from("scale.jsonl")))]
        out: PathBuf,
        /// Names the text that is measured, for the first line
        #[bpaf(argument("NAME"), fallback(env!("CARGO_PKG_VERSION").to_string()))]
        text: String,
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Runs balancers that break one rule each and fails unless each is caught and a sound one passes
    #[bpaf(command("self-check"))]
    SelfCheck {
        /// On sockets too, with the balancer itself among the sound ones
        sockets: bool,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// Checks the generated blocks of docs/CAPACITY.md against the stored run; exit code 1 if they differ
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_command::arguments))] capacity_command::Arguments),
    /// A small balancer on sockets that is sound or breaks one rule
    #[bpaf(command("faulty-balancer"), hide)]
    FaultyBalancer {
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// The program that is run as the balancers; the `nettlemux` beside this one where none is named.
fn program() -> impl Parser<PathBuf> {
    let beside = std::env::current_exe()
        .unwrap_or_default()
        .with_file_name("nettlemux");
    let help = "The balancer's program; without it, the nettlemux beside this one";
    bpaf::long("program")
        .help(help)
        .argument::<PathBuf>("PATH")
        .fallback(beside)
}

fn threads() -> impl Parser<usize> {
    let all = std::thread::available_parallelism().map_or(1, usize::from);
    bpaf::long("threads")
        .help("Runs at a time")
        .argument::<usize>("N")
        .fallback(all)
}

fn main() -> ExitCode {
    match run(command().run()) {
        Ok((text, good)) => {
            // A reader that has seen enough is no fault.
            let _ = std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes());
            match good {
                _ if text.contains(VOID) => ExitCode::from(3),
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Err(why) => {
            eprintln!("nettlemux-testbed: {why}");
            ExitCode::from(2)
        }
    }
}

/// How the last line of a run begins that is no result.
const VOID: &str = "VOID: ";

/// What to print, and whether all was as expected; an error is a fault in what was asked.
fn run(command: Command) -> Result<(String, bool), String> {
    match command {
        Command::Simulate {
            seed,
            policy,
            record,
            json,
            scenario,
        } => {
            let (scenario, _) = file::load(&scenario).map_err(|e| e.to_string())?;
            let seed = seed.unwrap_or(scenario.seed);
            let at = |e: std::io::Error| {
                format!(
                    "{}: {e}",
                    record.as_deref().unwrap_or(&PathBuf::new()).display()
                )
            };
            let mut writer = record
                .as_ref()
                .map(|file| Writer::create(file))
                .transpose()
                .map_err(at)?;
            let outcome = simulate(
                &scenario,
                seed,
                PolicyChoice::Policy(policy),
                writer.as_mut(),
            )
            .map_err(at)?;
            writer.map_or(Ok(()), Writer::finish).map_err(at)?;
            let (figures, verdict) = (outcome.figures, outcome.verdict);
            let run = RunReport {
                seed,
                policy: policy.name(),
                figures,
                verdict,
                balancers: Vec::new(),
                simulated: true,
            };
            Ok(run.told(&scenario, json))
        }
        Command::Compare {
            a,
            b,
            seeds,
            threads,
            json,
            scenario,
        } => {
            let (scenario, _) = file::load(&scenario).map_err(|e| e.to_string())?;
            let seeds = seeds.max(1);
            let mut out = String::new();
            match (a, b) {
                (Side::Policy(a), b) => {
                    let others = match b {
                        None => PolicyKind::BASELINES.to_vec(),
                        Some(Side::Policy(b)) => vec![b],
                        Some(Side::Program(_)) => return Err(UNLIKE.into()),
                    };
                    for b in others {
                        let (one, other) = (PolicyChoice::Policy(a), PolicyChoice::Policy(b));
                        let rows = experiment::compare(&scenario, one, other, seeds, threads);
                        out += &compared(
                            &scenario,
                            (a.name(), b.name()),
                            ("simulated", seeds),
                            &rows,
                            json,
                        );
                    }
                }
                (Side::Program(a), Some(Side::Program(b))) => {
                    let (rows, void) = on_sockets(&scenario, (&a, &b), seeds)?;
                    let names = (a.display().to_string(), b.display().to_string());
                    let done = ("on sockets", seeds - void);
                    out += &compared(&scenario, (&names.0, &names.1), done, &rows, json);
                    if void > 0 {
                        writeln!(out, "{void} of {seeds} pairs were void")
                            .expect("a string takes all");
                    }
                }
                _ => return Err(UNLIKE.into()),
            }
            Ok((out, true))
        }
        Command::Sweep {
            key,
            values,
            policy,
            seeds,
            threads,
            json,
            scenario: path,
        } => {
            let (_, table) = file::load(&path).map_err(|e| e.to_string())?;
            let mut out = String::new();
            for value in values.split(',') {
                let number: f64 = value
                    .trim()
                    .parse()
                    .map_err(|_| format!("--values: '{value}' is no number"))?;
                let mut table = table.clone();
                file::set(&mut table, &key, number).map_err(|why| format!("--key: {why}"))?;
                let scenario = file::read(&table, &path).map_err(|e| e.to_string())?;
                let runs: Vec<_> = (0..seeds.max(1))
                    .map(|k| {
                        (
                            scenario.clone(),
                            scenario.seed + k,
                            PolicyChoice::Policy(policy),
                        )
                    })
                    .collect();
                let outcomes = experiment::all(&runs, threads);
                let mean = |name: &str| {
                    let values: Vec<f64> = outcomes.iter().map(|o| o.figures.get(name)).collect();
                    experiment::estimate(&values)
                };
                let names = [
                    "worth",
                    "worth_worst",
                    "setup_p99",
                    "rejected",
                    "spread",
                    "rules_broken",
                ];
                if json {
                    let figures: serde_json::Map<_, _> = names
                        .iter()
                        .map(|name| (name.to_string(), json!(mean(name).mean)))
                        .collect();
                    writeln!(
                        out,
                        "{}",
                        json!({"key": key, "value": number, "figures": figures})
                    )
                } else {
                    let examples: Vec<String> = names
                        .iter()
                        .map(|n| format!("{n} {}", interval(mean(n))))
                        .collect();
                    writeln!(out, "{key} = {value:<8} {}", told.join("  "))
                }
                .expect("a string takes all");
            }
            Ok((out, true))
        }
        Command::Hunt {
            tries,
            seed,
            out,
            threads,
            scenario,
        } => {
            let (scenario, mut table) = file::load(&scenario).map_err(|e| e.to_string())?;
            let found = experiment::hunt(&scenario, seed, tries, threads);
            table.insert("name".into(), found.scenario.name.clone().into());
            let faults =
                toml::Value::try_from(&found.scenario.faults).map_err(|e| e.to_string())?;
            table.insert("faults".into(), faults);
            table.remove("expect");
            let text = toml::to_string(&table).map_err(|e| e.to_string())?;
            if let Some(file) = out {
                std::fs::write(&file, &text).map_err(|e| format!("{}: {e}", file.display()))?;
            }
            let told = format!(
                "{text}\n# {} days tried; worst: the best baseline serves {} of the worth more than the module, {}\n",
                found.tried,
                show(found.badness - found.verdict.violations.len() as f64),
                rules(&found.verdict)
            );
            Ok((told, found.verdict.kept()))
        }
        Command::Judge {
            slack,
            scenario,
            record,
        } => {
            let (scenario, _) = file::load(&scenario).map_err(|e| e.to_string())?;
            let name = record.display().to_string();
            let opened = std::fs::File::open(&record).map_err(|e| format!("{name}: {e}"))?;
            let read = record::read(opened).map_err(|e| format!("{name}: {e}"))?;
            let mut judge = RuleChecker::new(&scenario, slack * MS);
            read.seen.iter().for_each(|seen| judge.observe(seen));
            let end = read
                .seen
                .iter()
                .filter_map(|seen| seen.at())
                .max()
                .unwrap_or(0);
            let verdict = judge.finish(end);
            let cut = read.cut.map_or(String::new(), |line| {
                format!("the record is cut off at line {line}\n")
            });
            Ok((
                format!("{cut}{}{}\n", breaks(&verdict), rules(&verdict)),
                verdict.kept(),
            ))
        }
        Command::Run {
            program,
            seed,
            record,
            logs,
            json,
            scenario,
        } => {
            let (scenario, _) = file::load(&scenario).map_err(|e| e.to_string())?;
            let seed = seed.unwrap_or(scenario.seed);
            let at = |e: std::io::Error| {
                format!(
                    "{}: {e}",
                    record.as_deref().unwrap_or(&PathBuf::new()).display()
                )
            };
            let writer = record
                .as_ref()
                .map(|file| Writer::create(file))
                .transpose()
                .map_err(at)?;
            let balancer = Program {
                path: program,
                args: vec!["serve".into()],
            };
            let outcome = sockets::run(&scenario, seed, &balancer, writer, logs.as_deref())?;
            let version = sockets::version(&balancer);
            let died: String = outcome.died.iter().map(|why| format!("{why}\n")).collect();
            let (figures, verdict) = (outcome.figures, outcome.verdict);
            let run = RunReport {
                seed,
                policy: &version,
                figures,
                verdict,
                balancers: outcome.balancers,
                simulated: false,
            };
            let (mut text, good) = run.told(&scenario, json);
            if let Some(void) = outcome.void {
                text += &format!("{VOID}{}: {void}\n", scenario.name);
            }
            Ok((died.clone() + &text, good && died.is_empty()))
        }
        Command::Scale {
            program,
            out,
            text,
            scenario,
        } => scaled(&scenario, &program, &out, &text),
        Command::SelfCheck { sockets, program } => {
            let (mut text, mut good) = check::self_check()?;
            if sockets {
                let lab = std::env::current_exe().map_err(|e| e.to_string())?;
                let (more, also) = check::on_sockets(&lab, Some(&program))?;
                (text, good) = (text + &more, good && also);
            }
            Ok((text, good))
        }
        Command::Capacity(arguments) => capacity_command::run(&arguments),
        Command::FaultyBalancer { name } => {
            let mutant = Mutant::ALL.into_iter().find(|mutant| mutant.name() == name);
            if mutant.is_none() && name != "sound" {
                return Err(format!("'{name}' is no mischief"));
            }
            sockets::faulty::run(mutant).map(|()| (String::new(), true))
        }
    }
}

/// A scale run. The table and the plot are written also where it ends before its end, from what was measured.
fn scaled(file: &Path, program: &Path, out: &Path, text: &str) -> Result<(String, bool), String> {
    let scenario = ScaleScenario::load(file).map_err(|e| e.to_string())?;
    let at = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
    let mut lines = LineWriter::create(out).map_err(|e| at(out, e))?;
    let limits = Limits::of(&scenario.limits);
    let mut run = scale::Run {
        scenario: &scenario,
        program: program.into(),
        limits,
        out: &mut lines,
    };
    let ended = run.all(text);
    let (table_file, plot_file) = scale::beside(out);
    let told = table::markdown(&lines.lines);
    std::fs::write(&table_file, &told).map_err(|e| at(&table_file, e))?;
    let drawn = plot::svg(&lines.lines)?;
    std::fs::write(&plot_file, drawn).map_err(|e| at(&plot_file, e))?;
    ended.map_err(|failure| failure.to_string())?;
    Ok((told, true))
}

/// One run, to be told.
struct RunReport<'a> {
    seed: u64,
    policy: &'a str,
    figures: Figures,
    verdict: Verdict,
    /// On sockets, of each balancer: processor seconds a second, and largest resident memory in MB.
    balancers: Vec<(f64, f64)>,
    simulated: bool,
}

impl RunReport<'_> {
    fn told(&self, scenario: &Scenario, json: bool) -> (String, bool) {
        let unmet = self.figures.unmet(scenario);
        let good = unmet.is_empty() && self.verdict.kept();
        if json {
            let all = json!({"scenario": scenario.name, "seed": self.seed, "policy": self.policy,
                "simulated": self.simulated, "good": good, "version": env!("CARGO_PKG_VERSION"),
                "figures": self.figures.json(), "balancers": self.balancers, "unmet": unmet, "rules": self.verdict});
            return (format!("{all}\n"), good);
        }
        let mut out = self.figures.table();
        for (b, (cpu, memory)) in self.balancers.iter().enumerate() {
            writeln!(
                out,
                "balancer {b}: {cpu:.4} processor seconds a second, {memory:.1} MB at most"
            )
            .expect("a string takes all");
        }
        out += &breaks(&self.verdict);
        unmet
            .iter()
            .for_each(|what| writeln!(out, "unmet: {what}").expect("a string takes all"));
        let word = if good { "good" } else { "NOT GOOD" };
        let how = if self.simulated {
            "simulated"
        } else {
            "on sockets"
        };
        let (worth, rules) = (show(self.figures.get("worth")), rules(&self.verdict));
        let (count, met) = (scenario.expect.len(), scenario.expect.len() - unmet.len());
        let (name, policy, seed) = (&scenario.name, self.policy, self.seed);
        writeln!(
            out,
            "{word}: {name} ({how}, {policy}, seed {seed}): worth {worth}, {rules}, {met} of {count} expectations met"
        )
        .expect("a string takes all");
        (out, good)
    }
}

fn rules(verdict: &Verdict) -> String {
    if verdict.kept() {
        return format!(
            "rules kept over {} flows and {} connects",
            verdict.flows, verdict.attempts
        );
    }
    let each: Vec<String> = verdict
        .violations
        .iter()
        .map(|(rule, count)| format!("{rule:?} {count} times"))
        .collect();
    format!("RULES BROKEN: {}", each.join(", "))
}

fn breaks(verdict: &Verdict) -> String {
    let at = |one: &nettlemux_testbed::rules::Violation| one.at as f64 / SEC as f64;
    verdict
        .told
        .iter()
        .map(|one| format!("{:>9.3} s {:?}: {}\n", at(one), one.rule, one.what))
        .collect()
}

fn interval(estimate: Estimate) -> String {
    match estimate.within {
        Some(within) => format!("{} ± {}", show(estimate.mean), show(within)),
        None => show(estimate.mean),
    }
}

const UNLIKE: &str = "--a and --b must both be policies, or both be programs' paths";

/// One side of a comparison.
#[derive(Clone, Debug)]
enum Side {
    Policy(PolicyKind),
    Program(PathBuf),
}

impl FromStr for Side {
    type Err = String;
    fn from_str(name: &str) -> Result<Self, String> {
        match name.contains(std::path::MAIN_SEPARATOR) {
            true => Ok(Side::Program(name.into())),
            false => name.parse().map(Side::Policy),
        }
    }
}

/// Two programs in turn on the same seeds; pairs of which one is void are left out and counted.
fn on_sockets(
    scenario: &Scenario,
    (a, b): (&Path, &Path),
    seeds: u64,
) -> Result<(Vec<Row>, u64), String> {
    let (mut first, mut second, mut void) = (Vec::new(), Vec::new(), 0);
    for seed in (0..seeds).map(|k| scenario.seed + k) {
        let run = |path: &Path| {
            let program = Program {
                path: path.into(),
                args: vec!["serve".into()],
            };
            sockets::run(scenario, seed, &program, None, None)
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
        true => Err("every pair was void: the machine was too slow".into()),
        false => Ok((experiment::rows(&first, &second), void)),
    }
}

fn compared(
    scenario: &Scenario,
    (a, b): (&str, &str),
    (how, seeds): (&str, u64),
    rows: &[Row],
    json: bool,
) -> String {
    if json {
        let estimate = |e: &Estimate| json!({"mean": e.mean, "within": e.within});
        let rows: Vec<_> = rows
            .iter()
            .map(|row| {
                json!({"figure": row.name, "a": estimate(&row.a), "b": estimate(&row.b),
                    "difference": estimate(&row.difference)})
            })
            .collect();
        return format!(
            "{}\n",
            json!({"scenario": scenario.name, "a": a, "b": b, "seeds": seeds, "rows": rows})
        );
    }
    let mut out = format!(
        "{} ({how}), {seeds} seeds from {}: {a} against {b}\n",
        scenario.name, scenario.seed
    );
    for row in rows {
        let cells = [interval(row.a), interval(row.b), interval(row.difference)];
        writeln!(
            out,
            "{:<22} {:>20} {:>20} {:>20}",
            row.name, cells[0], cells[1], cells[2]
        )
        .expect("a string takes all");
    }
    out
}
