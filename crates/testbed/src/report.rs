//! The output of the commands: the figures of a run, comparisons, and violations of the rules.

use std::fmt::Write as _;

use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_policy::SEC;
use nettlemux_testbed::experiment::{Estimate, Row};
use nettlemux_testbed::figures::{Figures, show};
use nettlemux_testbed::rules::{Verdict, Violation};
use serde_json::json;

/// The output of a command, and whether it passed.
pub struct Output {
    /// The text for standard output.
    pub text: String,
    /// Whether everything was as expected.
    pub passed: bool,
    /// Whether the run is void, for example because the machine was too slow.
    pub void: bool,
}

impl Output {
    /// Creates the output of a command whose result is valid.
    pub fn new(text: String, passed: bool) -> Self {
        Output {
            text,
            passed,
            void: false,
        }
    }
}

/// The result of one run of a scenario.
pub struct RunReport<'a> {
    pub scenario: &'a Scenario,
    pub seed: u64,
    /// The policy's name, or the version of the program that ran.
    pub policy: &'a str,
    pub figures: Figures,
    pub verdict: Verdict,
    /// In a run on sockets, the usage of each balancer: CPU seconds per second, and the largest
    /// resident memory in MB.
    pub balancers: Vec<(f64, f64)>,
    /// Whether the run was a simulation in virtual time.
    pub simulated: bool,
}

impl RunReport<'_> {
    /// Returns the run as text or as JSON, and whether the rules and all expectations were met.
    pub fn output(&self, json: bool) -> Output {
        let unmet = self.figures.unmet(self.scenario);
        let passed = unmet.is_empty() && self.verdict.has_no_violations();
        let text = match json {
            true => self.json(&unmet, passed),
            false => self.text(&unmet, passed),
        };
        Output::new(text, passed)
    }

    fn json(&self, unmet: &[String], passed: bool) -> String {
        let run = json!({"scenario": self.scenario.name, "seed": self.seed, "policy": self.policy,
            "simulated": self.simulated, "good": passed, "version": env!("CARGO_PKG_VERSION"),
            "figures": self.figures.json(), "balancers": self.balancers, "unmet": unmet,
            "rules": self.verdict});
        format!("{run}\n")
    }

    fn text(&self, unmet: &[String], passed: bool) -> String {
        let mut out = self.figures.table();
        for (balancer, (cpu, memory)) in self.balancers.iter().enumerate() {
            let usage = format!("{cpu:.4} CPU seconds per second, {memory:.1} MB at peak");
            writeln!(out, "balancer {balancer}: {usage}").expect("writing to a string never fails");
        }
        out += &violations(&self.verdict);
        for what in unmet {
            writeln!(out, "unmet: {what}").expect("writing to a string never fails");
        }
        out += &self.summary(unmet.len(), passed);
        out
    }

    fn summary(&self, unmet: usize, passed: bool) -> String {
        let word = if passed { "good" } else { "NOT GOOD" };
        let how = match self.simulated {
            true => "simulated",
            false => "on sockets",
        };
        let (name, policy, seed) = (&self.scenario.name, self.policy, self.seed);
        let (worth, rules) = (show(self.figures.get("worth")), rules(&self.verdict));
        let expected = self.scenario.expect.len();
        let met = expected - unmet;
        format!(
            "{word}: {name} ({how}, {policy}, seed {seed}): worth {worth}, {rules}, \
             {met} of {expected} expectations met\n"
        )
    }
}

/// Returns a short text that says whether the rules were kept, or which were broken how often.
pub fn rules(verdict: &Verdict) -> String {
    if verdict.has_no_violations() {
        return format!(
            "rules kept over {} flows and {} attempts",
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

/// Lists the first violations of the rules, one per line.
pub fn violations(verdict: &Verdict) -> String {
    let at = |violation: &Violation| violation.at as f64 / SEC as f64;
    verdict
        .examples
        .iter()
        .map(|example| {
            format!(
                "{:>9.3} s {:?}: {}\n",
                at(example),
                example.rule,
                example.what
            )
        })
        .collect()
}

/// Formats an estimate with its 95 % interval.
pub fn interval(estimate: Estimate) -> String {
    match estimate.confidence_half_width {
        Some(within) => format!("{} ± {}", show(estimate.mean), show(within)),
        None => show(estimate.mean),
    }
}

/// A comparison of two policies or programs on the same seeds.
pub struct Comparison<'a> {
    pub scenario: &'a Scenario,
    pub a: &'a str,
    pub b: &'a str,
    /// How the runs were made: simulated or on sockets.
    pub how: &'a str,
    /// Number of pairs of runs.
    pub seeds: u64,
    pub rows: &'a [Row],
}

impl Comparison<'_> {
    /// Returns the comparison as text or as JSON.
    pub fn output(&self, json: bool) -> String {
        if json { self.json() } else { self.text() }
    }

    fn json(&self) -> String {
        let estimate = |e: &Estimate| json!({"mean": e.mean, "within": e.confidence_half_width});
        let row = |row: &Row| {
            json!({"figure": row.name, "a": estimate(&row.a), "b": estimate(&row.b),
                "difference": estimate(&row.difference)})
        };
        let rows: Vec<_> = self.rows.iter().map(row).collect();
        let comparison = json!({"scenario": self.scenario.name, "a": self.a, "b": self.b,
            "seeds": self.seeds, "rows": rows});
        format!("{comparison}\n")
    }

    fn text(&self) -> String {
        let Comparison {
            scenario,
            a,
            b,
            how,
            seeds,
            ..
        } = self;
        let (name, first_seed) = (&scenario.name, scenario.seed);
        let mut out = format!("{name} ({how}), {seeds} seeds from {first_seed}: {a} against {b}\n");
        for row in self.rows {
            let cells = [interval(row.a), interval(row.b), interval(row.difference)];
            writeln!(
                out,
                "{:<22} {:>20} {:>20} {:>20}",
                row.name, cells[0], cells[1], cells[2]
            )
            .expect("writing to a string never fails");
        }
        out
    }
}
