//! The check of the rule checker itself: sound balancers must pass, and each that breaks a rule on
//! purpose must be caught at that rule. It owns the scenario on which all of them have the
//! occasion, and must never count a break of another rule as a catch.

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

const SCENARIO: (&str, &str) = (
    "testbed/scenarios/self-check.toml",
    include_str!("../../../testbed/scenarios/self-check.toml"),
);
const ON_SOCKETS: (&str, &str) = (
    "testbed/scenarios/self-check-sockets.toml",
    include_str!("../../../testbed/scenarios/self-check-sockets.toml"),
);

/// Results so far, and how many were not as they must be.
#[derive(Default)]
struct CheckReport {
    text: String,
    all: usize,
    missed: usize,
}

impl CheckReport {
    fn say(&mut self, name: &str, good: bool, what: &str) {
        self.all += 1;
        self.missed += usize::from(!good);
        let word = if good { "ok  " } else { "FAIL" };
        writeln!(self.text, "{word} {name:<36} {what}").expect("a string takes all");
    }

    fn sound(&mut self, name: &str, verdict: &Verdict) {
        let what = format!(
            "rules kept over {} flows: {:?}",
            verdict.flows, verdict.violations
        );
        self.say(
            name,
            verdict.has_no_violations() && verdict.flows > 0,
            &what,
        );
    }

    fn caught(&mut self, name: &str, mutant: Mutant, verdict: &Verdict) {
        let count = verdict
            .violations
            .get(&mutant.violated_rule())
            .copied()
            .unwrap_or(0);
        self.say(
            name,
            count > 0,
            &format!("{:?} seen {count} times", mutant.violated_rule()),
        );
    }

    /// Reports a run on sockets; one that is void is no pass, but a break that was seen was seen,
    /// however slow the machine.
    fn socket_run(&mut self, run: &CheckedRun, outcome: &Outcome) {
        match (run.mutant, &outcome.void) {
            (Some(mutant), _) => self.caught(&run.name, mutant, &outcome.verdict),
            (None, Some(void)) => self.say(&run.name, false, &format!("void: {void}")),
            (None, None) => self.sound_socket_run(&run.name, outcome),
        }
    }

    fn sound_socket_run(&mut self, name: &str, outcome: &Outcome) {
        self.sound(name, &outcome.verdict);
        for example in &outcome.verdict.examples {
            let at_ms = example.at / MS;
            self.text += &format!("     {:?} at {at_ms} ms: {}\n", example.rule, example.what);
        }
        for why in &outcome.unexpected_exits {
            self.say(name, false, why);
        }
    }

    fn closed(mut self) -> (String, bool) {
        let good = self.missed == 0;
        writeln!(
            self.text,
            "{} passed, {} failed",
            self.all - self.missed,
            self.missed
        )
        .expect("a string takes all");
        (self.text, good)
    }
}

/// Why the rule checker could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A scenario of the check is no TOML.
    #[error("{file}: {source}")]
    Toml {
        /// The scenario's file.
        file: &'static str,
        /// What the TOML reader found.
        source: Box<toml::de::Error>,
    },
    /// A scenario of the check is faulty.
    #[error(transparent)]
    ScenarioFile(#[from] ScenarioFileError),
    /// A run in virtual time could not be made.
    #[error(transparent)]
    Simulation(#[from] io::Error),
    /// A run on sockets could not be made.
    #[error("{name}: {source}")]
    SocketRun {
        /// What was run.
        name: String,
        /// Why it could not be made.
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

/// In virtual time: what to print, and whether the rule checker is to be trusted.
///
/// # Errors
/// The scenario is faulty.
pub fn self_check() -> Result<(String, bool), CheckError> {
    let scenario = scenario(SCENARIO)?;
    let run = |who| simulate(&scenario, scenario.seed, who, None);
    let mut report = CheckReport::default();
    report.sound(
        "sound",
        &run(PolicyChoice::Policy(PolicyKind::Nettlemux))?.verdict,
    );
    for mutant in Mutant::ALL {
        report.caught(
            mutant.name(),
            mutant,
            &run(PolicyChoice::Mutant(mutant))?.verdict,
        );
    }
    Ok(report.closed())
}

/// The same on sockets, with small balancers started from the testbed's program and, where it is
/// named, the real one. All run side by side, each between stand-ins of its own.
///
/// # Errors
/// The scenario is faulty or a run could not be made; a run that is void is no pass.
pub fn on_sockets(testbed: &Path, real: Option<&Path>) -> Result<(String, bool), CheckError> {
    let scenario = scenario(ON_SOCKETS)?;
    let mut report = CheckReport::default();
    // A few at a time: the stand-ins of all at once would need more cores than there are.
    for runs in checked_runs(testbed, real).chunks(CONCURRENT_RUNS) {
        for (run, outcome) in runs.iter().zip(run_side_by_side(&scenario, runs)) {
            let outcome = outcome.map_err(|source| CheckError::SocketRun {
                name: run.name.clone(),
                source,
            })?;
            report.socket_run(run, &outcome);
        }
    }
    Ok(report.closed())
}

/// A run on sockets that the rule checker must judge rightly.
struct CheckedRun {
    name: String,
    /// What it breaks; none where it is sound.
    mutant: Option<Mutant>,
    program: Program,
}

/// All runs on sockets, the sound ones first.
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

/// Makes the runs at the same time, each on a thread of its own.
fn run_side_by_side(
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

/// Runs on sockets at a time.
const CONCURRENT_RUNS: usize = 4;
