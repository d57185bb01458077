//! The check of the rule checker itself: sound balancers must pass, and each that breaks a rule on
//! purpose must be caught at that rule. It owns the scenario on which all of them have the
//! occasion, and must never count a break of another rule as a catch.

use std::fmt::Write;
use std::path::Path;

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::MS;

use crate::baselines::PolicyKind;
use crate::file;
use crate::mutants::Mutant;
use crate::rules::Verdict;
use crate::simulate::{PolicyChoice, simulate};
use crate::sockets::{self, Program};

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
        self.say(name, verdict.kept() && verdict.flows > 0, &what);
    }

    fn caught(&mut self, name: &str, mutant: Mutant, verdict: &Verdict) {
        let count = verdict
            .violations
            .get(&mutant.breaks())
            .copied()
            .unwrap_or(0);
        self.say(
            name,
            count > 0,
            &format!("{:?} seen {count} times", mutant.breaks()),
        );
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

fn scenario((name, text): (&str, &str)) -> Result<Scenario, String> {
    let table: toml::Table = text
        .parse()
        .map_err(|e: toml::de::Error| format!("{name}: {e}"))?;
    file::read(&table, Path::new(name)).map_err(|e| e.to_string())
}

/// In virtual time: what to print, and whether the rule checker is to be trusted.
///
/// # Errors
/// The scenario is faulty.
pub fn self_check() -> Result<(String, bool), String> {
    let scenario = scenario(SCENARIO)?;
    let run = |who| simulate(&scenario, scenario.seed, who, None).map_err(|e| e.to_string());
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

/// The same on sockets, with small balancers started from this program (`lab`) and, where it is
/// named, the real one. All run side by side, each between stand-ins of its own.
///
/// # Errors
/// The scenario is faulty or a run could not be made; a run that is void is no pass.
pub fn on_sockets(lab: &Path, real: Option<&Path>) -> Result<(String, bool), String> {
    let scenario = scenario(ON_SOCKETS)?;
    let small = |name: &str| Program {
        path: lab.into(),
        args: vec!["faulty-balancer".into(), name.into()],
    };
    let mut runs = vec![("sound, on sockets".to_string(), None, small("sound"))];
    if let Some(path) = real {
        let program = Program {
            path: path.into(),
            args: vec!["serve".into()],
        };
        runs.push(("the balancer itself, on sockets".into(), None, program));
    }
    for mutant in Mutant::ALL {
        let name = mutant.name();
        runs.push((format!("{name}, on sockets"), Some(mutant), small(name)));
    }
    let mut report = CheckReport::default();
    // A few at a time: the stand-ins of all at once would need more cores than there are.
    for some in runs.chunks(AT_ONCE) {
        let done: Vec<_> = std::thread::scope(|scope| {
            let start = |(_, _, program): &(String, Option<Mutant>, Program)| {
                let (scenario, program) = (&scenario, program.clone());
                scope.spawn(move || sockets::run(scenario, scenario.seed, &program, None, None))
            };
            let all: Vec<_> = some.iter().map(start).collect();
            all.into_iter()
                .map(|one| one.join().unwrap_or_else(|_| Err("it panicked".into())))
                .collect()
        });
        for ((name, mutant, _), outcome) in some.iter().zip(done) {
            let outcome = outcome.map_err(|why| format!("{name}: {why}"))?;
            match (mutant, &outcome.void) {
                // A break that was seen was seen, however slow the machine.
                (Some(mutant), _) => report.caught(name, *mutant, &outcome.verdict),
                (None, Some(void)) => report.say(name, false, &format!("void: {void}")),
                (None, None) => {
                    report.sound(name, &outcome.verdict);
                    for one in outcome.verdict.examples.iter() {
                        report.text +=
                            &format!("     {:?} at {} ms: {}\n", one.rule, one.at / MS, one.what);
                    }
                    outcome
                        .died
                        .iter()
                        .for_each(|why| report.say(name, false, why));
                }
            }
        }
    }
    Ok(report.closed())
}

/// Runs on sockets at a time.
const AT_ONCE: usize = 4;
