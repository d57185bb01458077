//! The check of the rule checker itself: sound balancers must pass, and each mutant, which breaks a
//! rule on purpose, must be detected by a violation of that rule. A violation of another rule never
//! counts as a detection. This module owns the scenarios, which give every mutant the occasion to
//! break its rule.

use std::fmt::Write;
use std::io;
use std::path::Path;

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::MS;

use crate::baselines::PolicyKind;
use crate::file::{self, ScenarioFileError};
use crate::mutants::Mutant;
use crate::rules::Verdict;
use crate::simulate::{PolicyChoice, simulate};
use crate::sockets::{self, Outcome, Program, SocketRunError};

const SIMULATED_SCENARIO: (&str, &str) = (
    "testbed/scenarios/self-check.toml",
    include_str!("../../../testbed/scenarios/self-check.toml"),
);
const SOCKET_SCENARIO: (&str, &str) = (
    "testbed/scenarios/self-check-sockets.toml",
    include_str!("../../../testbed/scenarios/self-check-sockets.toml"),
);

/// The results so far as text, and the number of all and of failed checks.
#[derive(Default)]
struct CheckReport {
    text: String,
    all: usize,
    failed: usize,
}

impl CheckReport {
    fn add_result(&mut self, name: &str, passed: bool, what: &str) {
        self.all += 1;
        self.failed += usize::from(!passed);
        let word = if passed { "ok  " } else { "FAIL" };
        writeln!(self.text, "{word} {name:<36} {what}").expect("writing to a string never fails");
    }

    fn add_sound(&mut self, name: &str, verdict: &Verdict) {
        let what = format!(
            "rules kept over {} flows: {:?}",
            verdict.flows, verdict.violations
        );
        self.add_result(
            name,
            verdict.has_no_violations() && verdict.flows > 0,
            &what,
        );
    }

    fn add_mutant(&mut self, name: &str, mutant: Mutant, verdict: &Verdict) {
        let count = verdict
            .violations
            .get(&mutant.violated_rule())
            .copied()
            .unwrap_or(0);
        self.add_result(
            name,
            count > 0,
            &format!("{:?} detected {count} times", mutant.violated_rule()),
        );
    }

    /// Adds the result of a run on sockets. A void run of a sound balancer fails. A mutant's violation
    /// counts even if the run is void, because a slow machine does not take back what was observed.
    fn add_socket_run(&mut self, run: &CheckedRun, outcome: &Outcome) {
        match (run.mutant, &outcome.void) {
            (Some(mutant), _) => self.add_mutant(&run.name, mutant, &outcome.verdict),
            (None, Some(void)) => self.add_result(&run.name, false, &format!("void: {void}")),
            (None, None) => self.add_sound_socket_run(&run.name, outcome),
        }
    }

    fn add_sound_socket_run(&mut self, name: &str, outcome: &Outcome) {
        self.add_sound(name, &outcome.verdict);
        for example in &outcome.verdict.examples {
            let at_ms = example.at / MS;
            self.text += &format!("     {:?} at {at_ms} ms: {}\n", example.rule, example.what);
        }
        for death in &outcome.unexpected_exits {
            self.add_result(name, false, death);
        }
    }

    fn finish(mut self) -> (String, bool) {
        let passed = self.failed == 0;
        writeln!(
            self.text,
            "{} passed, {} failed",
            self.all - self.failed,
            self.failed
        )
        .expect("writing to a string never fails");
        (self.text, passed)
    }
}

/// Why the rule checker could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A scenario of the check is not valid TOML.
    #[error("{file}: {source}")]
    Toml {
        /// The scenario's file.
        file: &'static str,
        /// The error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// A scenario of the check is invalid.
    #[error(transparent)]
    ScenarioFile(#[from] ScenarioFileError),
    /// A run in virtual time failed.
    #[error(transparent)]
    Simulation(#[from] io::Error),
    /// A run on sockets failed.
    #[error("{name}: {source}")]
    SocketRun {
        /// The name of the run.
        name: String,
        /// The cause.
        source: SocketRunError,
    },
}

fn scenario((file, text): (&'static str, &str)) -> Result<Scenario, CheckError> {
    let table: toml::Table = text.parse().map_err(|e| CheckError::Toml {
        file,
        source: Box::new(e),
    })?;
    Ok(file::read(&table, Path::new(file))?)
}

/// Checks the rule checker in virtual time. Returns the report to print, and whether all checks
/// passed.
///
/// # Errors
/// The scenario is invalid, or a run failed.
pub fn self_check() -> Result<(String, bool), CheckError> {
    let scenario = scenario(SIMULATED_SCENARIO)?;
    let run = |who| simulate(&scenario, scenario.seed, who, None);
    let mut report = CheckReport::default();
    report.add_sound(
        "sound",
        &run(PolicyChoice::Policy(PolicyKind::Nettlemux))?.verdict,
    );
    for mutant in Mutant::ALL {
        report.add_mutant(
            mutant.name(),
            mutant,
            &run(PolicyChoice::Mutant(mutant))?.verdict,
        );
    }
    Ok(report.finish())
}

/// Checks the rule checker on sockets, like [`self_check`] in virtual time. `testbed` is the
/// testbed's own program, which is started as each of the small balancers. `real` is the program of
/// the real balancer, which is checked too if it is given. Several runs are made at the same time,
/// each with stand-ins of its own. A void run of a sound balancer does not pass.
///
/// # Errors
/// The scenario is invalid, or a run failed.
pub fn on_sockets(testbed: &Path, real: Option<&Path>) -> Result<(String, bool), CheckError> {
    let scenario = scenario(SOCKET_SCENARIO)?;
    let mut report = CheckReport::default();
    // The stand-ins of all runs at once would need more cores than the machine has.
    for runs in checked_runs(testbed, real).chunks(CONCURRENT_RUNS) {
        for (run, outcome) in runs.iter().zip(run_concurrently(&scenario, runs)) {
            let outcome = outcome.map_err(|source| CheckError::SocketRun {
                name: run.name.clone(),
                source,
            })?;
            report.add_socket_run(run, &outcome);
        }
    }
    Ok(report.finish())
}

/// A run on sockets whose verdict is checked.
struct CheckedRun {
    name: String,
    /// The mutant that runs; `None` for a sound balancer.
    mutant: Option<Mutant>,
    program: Program,
}

/// Returns all runs on sockets, those of sound balancers first.
fn checked_runs(testbed: &Path, real: Option<&Path>) -> Vec<CheckedRun> {
    let small = |name: &str| Program {
        path: testbed.into(),
        args: vec!["faulty-balancer".into(), name.into()],
    };
    let sound = CheckedRun {
        name: "sound, on sockets".into(),
        mutant: None,
        program: small("sound"),
    };
    let real = real.map(|path| CheckedRun {
        name: "the balancer itself, on sockets".into(),
        mutant: None,
        program: Program::serve_command(path.into()),
    });
    let mutants = Mutant::ALL.into_iter().map(|mutant| CheckedRun {
        name: format!("{}, on sockets", mutant.name()),
        mutant: Some(mutant),
        program: small(mutant.name()),
    });
    std::iter::once(sound).chain(real).chain(mutants).collect()
}

/// Makes the runs at the same time, each on its own thread.
fn run_concurrently(
    scenario: &Scenario,
    runs: &[CheckedRun],
) -> Vec<Result<Outcome, SocketRunError>> {
    std::thread::scope(|scope| {
        let start = |run: &CheckedRun| {
            let program = run.program.clone();
            scope.spawn(move || sockets::run(scenario, scenario.seed, &program, None, None))
        };
        let all: Vec<_> = runs.iter().map(start).collect();
        all.into_iter()
            .map(|thread| thread.join().unwrap_or(Err(SocketRunError::Panicked)))
            .collect()
    })
}

/// Runs on sockets that are made at the same time.
const CONCURRENT_RUNS: usize = 4;
