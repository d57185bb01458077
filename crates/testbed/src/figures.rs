//! The figures of a run, by name: gathered by a driver, told as a table, as JSON and against
//! expectations. It owns their names; what a name means is the same for both drivers.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use nettlemux_fleet_model::observation::FinalAnswer;
use nettlemux_fleet_model::population::Client;
use nettlemux_fleet_model::scenario::{ExpectedRange, Scenario};
use nettlemux_policy::{SEC, Time};
use serde_json::{Value, json};

use crate::rules::Verdict;

/// All figures, each with what it means.
pub const NAMES: [(&str, &str); 32] = [
    (
        "worth",
        "part of the worth wanted that was served in time, from the settling on",
    ),
    ("worth_worst", "the same in the worst 5 s"),
    (
        "goodput",
        "worth served in time a second, from the settling on",
    ),
    (
        "setup_p50",
        "seconds from a flow's taking to its connection, median",
    ),
    ("setup_p99", "the same, 99th percentile"),
    (
        "setup_in_target",
        "part of established flows that were so within their target",
    ),
    (
        "message_p50",
        "seconds of a message on average on the server where it is, median over connections and time",
    ),
    ("message_p99", "the same, 99th percentile"),
    ("flows", "flows taken"),
    (
        "established",
        "part of the flows answered that were established",
    ),
    ("rejected", "part that was rejected"),
    ("aborted", "part that was aborted"),
    ("unanswered", "flows whose client gave up without an answer"),
    ("connects_per_flow", "connects made for each flow"),
    (
        "moves_per_established",
        "connections moved by balancers for each established",
    ),
    (
        "lost_per_established",
        "connections reset by servers or with their balancer for each established",
    ),
    ("reconnects_worst", "returning clients in the worst second"),
    (
        "spread",
        "deviation of the servers' load over their mean, on average",
    ),
    ("hot", "part of server time over 0.8 of capacity"),
    ("fell", "cold servers that fell over"),
    ("clients_lost", "clients that gave up for good"),
    ("standing", "connections at the end"),
    ("rules_broken", "breaks of the four rules"),
    ("probes", "probes made"),
    (
        "quiet_p50",
        "seconds from when a client of any tenant but the first wants service until it has it, tries and all, median",
    ),
    ("quiet_p99", "the same, 99th percentile"),
    (
        "quiet_lost",
        "part of such clients' answers that were rejections or failures",
    ),
    (
        "told_served",
        "part of those that came back when they were told to and were then established",
    ),
    (
        "told_slice",
        "most that came back when told to in one tenth of a second, over the mean of those that have any",
    ),
    (
        "balancer_cpu",
        "processor seconds a second of each balancer's process, on average; 0 in virtual time",
    ),
    (
        "balancer_mb",
        "largest resident memory of a balancer's process, in MB; 0 in virtual time",
    ),
    ("steps", "events of virtual time, or lines on sockets"),
];

/// Counts and histograms while a run goes on.
pub struct FigureCollector {
    settle: Time,
    wanted: f64,
    served: f64,
    seconds: f64,
    recent: (Time, f64, f64),
    worst: f64,
    setup: Histogram<u64>,
    message: Histogram<u64>,
    in_target: u64,
    /// Flows that balancers have accepted.
    pub flows: u64,
    answers: BTreeMap<FinalAnswer, u64>,
    /// Flows without an answer.
    pub unanswered: u64,
    /// Attempts that were made.
    pub attempts: u64,
    /// Connections that balancers migrated.
    pub moves: u64,
    /// Connections that were reset.
    pub lost: u64,
    reconnecting: (Time, u64, u64),
    quiet: Histogram<u64>,
    quiet_lost: u64,
    quiet_answers: u64,
    told_served: u64,
    told_answers: u64,
    /// By tenth of a second.
    told: BTreeMap<u64, u64>,
    spread: (f64, f64),
    hot: (f64, f64),
    /// Servers that collapsed in their slow start.
    pub fell: u64,
    /// Clients that gave up for good.
    pub clients_lost: u64,
    /// Health checks that were sent.
    pub probes: u64,
    /// Events that the simulation has handled.
    pub steps: u64,
}

/// Worth is looked at over so long for its worst.
const STRETCH: Time = 5 * SEC;
/// The figure past which a server is hot, as the design has it.
const HOT: f64 = 0.8;

fn histogram() -> Histogram<u64> {
    // Microseconds to ten minutes, three digits.
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds")
}

impl FigureCollector {
    /// Makes an empty collection that counts from the settling time on.
    pub fn new(settle: Time) -> Self {
        FigureCollector {
            settle,
            wanted: 0.0,
            served: 0.0,
            seconds: 0.0,
            recent: (settle, 0.0, 0.0),
            worst: 1.0,
            setup: histogram(),
            message: histogram(),
            in_target: 0,
            flows: 0,
            answers: BTreeMap::new(),
            unanswered: 0,
            attempts: 0,
            moves: 0,
            lost: 0,
            reconnecting: (0, 0, 0),
            quiet: histogram(),
            quiet_lost: 0,
            quiet_answers: 0,
            told_served: 0,
            told_answers: 0,
            told: BTreeMap::new(),
            spread: (0.0, 0.0),
            hot: (0.0, 0.0),
            fell: 0,
            clients_lost: 0,
            probes: 0,
            steps: 0,
        }
    }

    /// Worth wanted and served over the last stretch, both times its length in seconds.
    pub fn worth(&mut self, now: Time, (wanted, served): (f64, f64), seconds: f64) {
        if now < self.settle {
            return;
        }
        self.seconds += seconds;
        self.wanted += wanted;
        self.served += served;
        let (since, w, s) = self.recent;
        (self.recent.1, self.recent.2) = (w + wanted, s + served);
        if now >= since + STRETCH {
            self.worst = self.worst.min(part(s + served, w + wanted));
            self.recent = (now, 0.0, 0.0);
        }
    }

    /// Takes the utilization of each server.
    pub fn load(&mut self, now: Time, utilizations: &[f64]) {
        if now < self.settle || utilizations.is_empty() {
            return;
        }
        let mean = utilizations.iter().sum::<f64>() / utilizations.len() as f64;
        let square = utilizations
            .iter()
            .map(|utilization| (utilization - mean).powi(2))
            .sum::<f64>()
            / utilizations.len() as f64;
        self.spread = (
            self.spread.0 + square.sqrt() / mean.max(1e-9),
            self.spread.1 + 1.0,
        );
        self.hot.0 += utilizations
            .iter()
            .filter(|utilization| **utilization > HOT)
            .count() as f64;
        self.hot.1 += utilizations.len() as f64;
    }

    /// Takes the mean time of a message on one server, in seconds, and its connections.
    pub fn message(&mut self, now: Time, seconds: f64, connections: u64) {
        if now >= self.settle && connections > 0 {
            self.message
                .saturating_record_n((seconds * 1e6) as u64, connections);
        }
    }

    /// Takes a final answer, the time that it took and its latency objective.
    pub fn answered(&mut self, now: Time, with: FinalAnswer, took: Time, target: Time) {
        if now < self.settle {
            return;
        }
        *self.answers.entry(with).or_default() += 1;
        if with == FinalAnswer::Connected {
            self.setup.saturating_record(took / 1000);
            self.in_target += u64::from(took <= target);
        }
    }

    /// Counts a client that reconnects.
    pub fn returned(&mut self, now: Time) {
        let second = now / SEC;
        if self.reconnecting.0 != second {
            (self.reconnecting.0, self.reconnecting.1) = (second, 0);
        }
        self.reconnecting.1 += 1;
        if now >= self.settle {
            self.reconnecting.2 = self.reconnecting.2.max(self.reconnecting.1);
        }
    }

    /// A client's flow was answered.
    pub fn of_client(&mut self, now: Time, client: &Client, with: FinalAnswer) {
        if now < self.settle {
            return;
        }
        let established = with == FinalAnswer::Connected;
        if client.follows_retry_after {
            self.told_answers += 1;
            self.told_served += u64::from(established);
        }
        if client.tenant > 0 {
            self.quiet_answers += 1;
            self.quiet_lost += u64::from(!established);
            if established {
                self.quiet
                    .saturating_record(now.saturating_sub(client.connecting_since) / 1000);
            }
        }
    }

    /// A client comes back when it was told to.
    pub fn came_when_told(&mut self, now: Time) {
        if now >= self.settle {
            *self.told.entry(now / (SEC / 10)).or_default() += 1;
        }
    }

    fn told_slice(&self) -> f64 {
        let most = self.told.values().max().copied().unwrap_or(0) as f64;
        part(
            most * self.told.len() as f64,
            self.told.values().sum::<u64>() as f64,
        )
    }

    /// Returns the figures of the run.
    pub fn finish(self, standing: usize, verdict: &Verdict) -> Figures {
        let answer = |with| self.answers.get(&with).copied().unwrap_or(0) as f64;
        let answered: f64 = self.answers.values().sum::<u64>() as f64;
        let established = answer(FinalAnswer::Connected);
        let seconds = |histogram: &Histogram<u64>, at| histogram.value_at_quantile(at) as f64 / 1e6;
        let values = [
            part(self.served, self.wanted),
            self.worst,
            part(self.served, self.seconds),
            seconds(&self.setup, 0.5),
            seconds(&self.setup, 0.99),
            part(self.in_target as f64, established),
            seconds(&self.message, 0.5),
            seconds(&self.message, 0.99),
            self.flows as f64,
            part(established, answered),
            part(answer(FinalAnswer::Rejected), answered),
            part(answer(FinalAnswer::Failed), answered),
            self.unanswered as f64,
            part(self.attempts as f64, self.flows as f64),
            part(self.moves as f64, established),
            part(self.lost as f64, established),
            self.reconnecting.2 as f64,
            part(self.spread.0, self.spread.1),
            part(self.hot.0, self.hot.1),
            self.fell as f64,
            self.clients_lost as f64,
            standing as f64,
            verdict.violations.values().sum::<usize>() as f64,
            self.probes as f64,
            seconds(&self.quiet, 0.5),
            seconds(&self.quiet, 0.99),
            part(self.quiet_lost as f64, self.quiet_answers as f64),
            part(self.told_served as f64, self.told_answers as f64),
            self.told_slice(),
            0.0,
            0.0,
            self.steps as f64,
        ];
        Figures(NAMES.iter().map(|(name, _)| *name).zip(values).collect())
    }
}

/// A part of a whole; all of it where there is nothing to have a part of, 0 where the part is 0
/// too.
fn part(of: f64, whole: f64) -> f64 {
    if whole > 0.0 { of / whole } else { 0.0 }
}

/// A run's figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures(pub BTreeMap<&'static str, f64>);

impl Figures {
    /// Returns a figure by its name; 0 where there is none of that name.
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).copied().unwrap_or(f64::NAN)
    }

    /// Returns all figures as a JSON object.
    pub fn json(&self) -> Value {
        json!(self.0)
    }

    /// A table, in the order of [`NAMES`].
    pub fn table(&self) -> String {
        let mut out = String::new();
        for (name, means) in NAMES {
            writeln!(out, "{name:<22} {:>12}  {means}", show(self.get(name)))
                .expect("a string takes all");
        }
        out
    }

    /// What is not as the scenario expects; empty where all is.
    pub fn unmet(&self, scenario: &Scenario) -> Vec<String> {
        let check = |(name, expect): (&String, &ExpectedRange)| {
            let value = self.get(name);
            let under = expect.min.is_some_and(|min| value.is_nan() || value < min);
            let over = expect.max.is_some_and(|max| value.is_nan() || value > max);
            let bound = if under {
                ("under", expect.min)
            } else {
                ("over", expect.max)
            };
            (under || over).then(|| {
                format!(
                    "{name} {} is {} {}",
                    show(value),
                    bound.0,
                    show(bound.1.unwrap_or(f64::NAN))
                )
            })
        };
        scenario.expect.iter().filter_map(check).collect()
    }
}

/// Four digits that count.
pub fn show(value: f64) -> String {
    match value.abs() {
        size if size >= 1000.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
