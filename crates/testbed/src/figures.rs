//! The figures of a run, by name. The simulation or the socket run collects them; they are printed
//! as a table or as JSON and compared with the scenario's expectations. This module owns the names.
//! A name means the same in simulations and in socket runs.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use nettlemux_fleet_model::observation::FinalAnswer;
use nettlemux_fleet_model::population::Client;
use nettlemux_fleet_model::scenario::{ExpectedRange, Scenario};
use nettlemux_policy::{SEC, Time};
use serde_json::{Value, json};

use crate::rules::Verdict;

/// The names of all figures, each with its description.
pub const NAMES: [(&str, &str); 32] = [
    (
        "worth",
        "share of the requested value that was served in time, after the settling time",
    ),
    ("worth_worst", "the same, in the worst 5 s"),
    (
        "goodput",
        "value served in time per second, after the settling time",
    ),
    (
        "setup_p50",
        "seconds from accepting a flow to its connection, median",
    ),
    ("setup_p99", "the same, 99th percentile"),
    (
        "setup_in_target",
        "share of established flows that met their latency objective",
    ),
    (
        "message_p50",
        "mean seconds of a message on its server, median over connections and time",
    ),
    ("message_p99", "the same, 99th percentile"),
    ("flows", "flows accepted"),
    (
        "established",
        "share of the answered flows that were established",
    ),
    ("rejected", "share of the answered flows that were rejected"),
    ("aborted", "share of the answered flows that failed"),
    ("unanswered", "flows whose client gave up without an answer"),
    ("connects_per_flow", "connection attempts per flow"),
    (
        "moves_per_established",
        "connections migrated by balancers per established flow",
    ),
    (
        "lost_per_established",
        "connections reset by servers or lost with their balancer, per established flow",
    ),
    (
        "reconnects_worst",
        "reconnecting clients in the worst second",
    ),
    (
        "spread",
        "standard deviation of the servers' utilization over its mean, average of all samples",
    ),
    ("hot", "share of server time above 0.8 of capacity"),
    ("fell", "servers that collapsed in slow start"),
    ("clients_lost", "clients that gave up permanently"),
    ("standing", "connections at the end of the run"),
    ("rules_broken", "violations of the four rules"),
    ("probes", "health checks sent"),
    (
        "quiet_p50",
        "seconds from a client's first request to its connection, retries included, for all tenants but the first, median",
    ),
    ("quiet_p99", "the same, 99th percentile"),
    (
        "quiet_lost",
        "share of the answers to clients of these tenants that were rejections or failures",
    ),
    (
        "told_served",
        "share of the clients that retried at their Retry-After time that were then established",
    ),
    (
        "told_slice",
        "most clients that retried at their Retry-After time in a tenth of a second, over the mean of the tenths with any",
    ),
    (
        "balancer_cpu",
        "CPU seconds per second of a balancer process, average; 0 in virtual time",
    ),
    (
        "balancer_mb",
        "largest resident memory of a balancer process, in MB; 0 in virtual time",
    ),
    ("steps", "events in virtual time, or lines on sockets"),
];

/// Collects the counts and histograms of a run that is in progress.
pub struct FigureCollector {
    settle: Time,
    requested_value: f64,
    served_value: f64,
    measured_seconds: f64,
    /// Start, requested value and served value of the current [`VALUE_WINDOW`].
    window: (Time, f64, f64),
    worst_window: f64,
    setup_time: Histogram<u64>,
    message_time: Histogram<u64>,
    within_objective: u64,
    /// Flows that balancers accepted.
    pub flows: u64,
    answers: BTreeMap<FinalAnswer, u64>,
    /// Flows without an answer.
    pub unanswered: u64,
    /// Connection attempts.
    pub attempts: u64,
    /// Connections that balancers migrated.
    pub moves: u64,
    /// Connections that were reset.
    pub lost: u64,
    /// The current second, its reconnecting clients, and the most in any second.
    reconnecting: (Time, u64, u64),
    other_tenants_setup: Histogram<u64>,
    other_tenants_lost: u64,
    other_tenants_answers: u64,
    retries_established: u64,
    retries_answered: u64,
    /// Clients that retried at their Retry-After time, by tenth of a second.
    retries: BTreeMap<u64, u64>,
    /// Sum of the relative standard deviations, and the number of samples.
    spread: (f64, f64),
    /// Samples above [`HOT_UTILIZATION`], and all samples, each of one server.
    hot: (f64, f64),
    /// Servers that collapsed in slow start.
    pub fell: u64,
    /// Clients that gave up permanently.
    pub clients_lost: u64,
    /// Health checks sent.
    pub probes: u64,
    /// Events that the simulation handled.
    pub steps: u64,
}

/// Length of the windows whose lowest served share is `worth_worst`.
const VALUE_WINDOW: Time = 5 * SEC;
/// The utilization above which a server is hot, as the design defines it.
const HOT_UTILIZATION: f64 = 0.8;

fn histogram() -> Histogram<u64> {
    // From 1 µs to ten minutes, with three significant digits.
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid constants")
}

impl FigureCollector {
    /// Creates an empty collector whose methods ignore what happens before the settling time `settle`.
    pub fn new(settle: Time) -> Self {
        FigureCollector {
            settle,
            requested_value: 0.0,
            served_value: 0.0,
            measured_seconds: 0.0,
            window: (settle, 0.0, 0.0),
            worst_window: 1.0,
            setup_time: histogram(),
            message_time: histogram(),
            within_objective: 0,
            flows: 0,
            answers: BTreeMap::new(),
            unanswered: 0,
            attempts: 0,
            moves: 0,
            lost: 0,
            reconnecting: (0, 0, 0),
            other_tenants_setup: histogram(),
            other_tenants_lost: 0,
            other_tenants_answers: 0,
            retries_established: 0,
            retries_answered: 0,
            retries: BTreeMap::new(),
            spread: (0.0, 0.0),
            hot: (0.0, 0.0),
            fell: 0,
            clients_lost: 0,
            probes: 0,
            steps: 0,
        }
    }

    /// Adds the value requested and served during the last `seconds`, each multiplied by that time.
    pub fn worth(&mut self, now: Time, (wanted, served): (f64, f64), seconds: f64) {
        if now < self.settle {
            return;
        }
        self.measured_seconds += seconds;
        self.requested_value += wanted;
        self.served_value += served;
        let (since, w, s) = self.window;
        (self.window.1, self.window.2) = (w + wanted, s + served);
        if now >= since + VALUE_WINDOW {
            self.worst_window = self.worst_window.min(ratio(s + served, w + wanted));
            self.window = (now, 0.0, 0.0);
        }
    }

    /// Records a sample of every server's utilization.
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
            .filter(|utilization| **utilization > HOT_UTILIZATION)
            .count() as f64;
        self.hot.1 += utilizations.len() as f64;
    }

    /// Records the mean time of a message on one server, in seconds, once for each of the server's
    /// connections.
    pub fn message(&mut self, now: Time, seconds: f64, connections: u64) {
        if now >= self.settle && connections > 0 {
            self.message_time
                .saturating_record_n((seconds * 1e6) as u64, connections);
        }
    }

    /// Records the final answer to a flow, the time that it took and the flow's latency objective.
    pub fn answered(&mut self, now: Time, with: FinalAnswer, took: Time, target: Time) {
        if now < self.settle {
            return;
        }
        *self.answers.entry(with).or_default() += 1;
        if with == FinalAnswer::Connected {
            self.setup_time.saturating_record(took / 1000);
            self.within_objective += u64::from(took <= target);
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

    /// Records the final answer to a flow for the figures of its client.
    pub fn of_client(&mut self, now: Time, client: &Client, with: FinalAnswer) {
        if now < self.settle {
            return;
        }
        let established = with == FinalAnswer::Connected;
        if client.follows_retry_after {
            self.retries_answered += 1;
            self.retries_established += u64::from(established);
        }
        if client.tenant > 0 {
            self.other_tenants_answers += 1;
            self.other_tenants_lost += u64::from(!established);
            if established {
                self.other_tenants_setup
                    .saturating_record(now.saturating_sub(client.connecting_since) / 1000);
            }
        }
    }

    /// Counts a client that retries at its Retry-After time.
    pub fn came_when_told(&mut self, now: Time) {
        if now >= self.settle {
            *self.retries.entry(now / (SEC / 10)).or_default() += 1;
        }
    }

    fn retry_peak_ratio(&self) -> f64 {
        let most = self.retries.values().max().copied().unwrap_or(0) as f64;
        ratio(
            most * self.retries.len() as f64,
            self.retries.values().sum::<u64>() as f64,
        )
    }

    /// Returns the figures of the run. `standing` is the number of connections at its end.
    pub fn finish(self, standing: usize, verdict: &Verdict) -> Figures {
        let answer = |with| self.answers.get(&with).copied().unwrap_or(0) as f64;
        let answered: f64 = self.answers.values().sum::<u64>() as f64;
        let established = answer(FinalAnswer::Connected);
        let seconds = |histogram: &Histogram<u64>, at| histogram.value_at_quantile(at) as f64 / 1e6;
        let values = [
            ratio(self.served_value, self.requested_value),
            self.worst_window,
            ratio(self.served_value, self.measured_seconds),
            seconds(&self.setup_time, 0.5),
            seconds(&self.setup_time, 0.99),
            ratio(self.within_objective as f64, established),
            seconds(&self.message_time, 0.5),
            seconds(&self.message_time, 0.99),
            self.flows as f64,
            ratio(established, answered),
            ratio(answer(FinalAnswer::Rejected), answered),
            ratio(answer(FinalAnswer::Failed), answered),
            self.unanswered as f64,
            ratio(self.attempts as f64, self.flows as f64),
            ratio(self.moves as f64, established),
            ratio(self.lost as f64, established),
            self.reconnecting.2 as f64,
            ratio(self.spread.0, self.spread.1),
            ratio(self.hot.0, self.hot.1),
            self.fell as f64,
            self.clients_lost as f64,
            standing as f64,
            verdict.violations.values().sum::<usize>() as f64,
            self.probes as f64,
            seconds(&self.other_tenants_setup, 0.5),
            seconds(&self.other_tenants_setup, 0.99),
            ratio(
                self.other_tenants_lost as f64,
                self.other_tenants_answers as f64,
            ),
            ratio(
                self.retries_established as f64,
                self.retries_answered as f64,
            ),
            self.retry_peak_ratio(),
            0.0,
            0.0,
            self.steps as f64,
        ];
        Figures(NAMES.iter().map(|(name, _)| *name).zip(values).collect())
    }
}

/// Returns `part / whole`, and 0 if `whole` is 0.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// A run's figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures(pub BTreeMap<&'static str, f64>);

impl Figures {
    /// Returns a figure by its name, NaN if there is no figure of that name.
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).copied().unwrap_or(f64::NAN)
    }

    /// Returns all figures as a JSON object.
    pub fn json(&self) -> Value {
        json!(self.0)
    }

    /// Returns the figures as a table, in the order of [`NAMES`].
    pub fn table(&self) -> String {
        let mut out = String::new();
        for (name, description) in NAMES {
            writeln!(
                out,
                "{name:<22} {:>12}  {description}",
                show(self.get(name))
            )
            .expect("writing to a string never fails");
        }
        out
    }

    /// Returns a message for each figure that is outside the bounds that the scenario expects.
    pub fn unmet(&self, scenario: &Scenario) -> Vec<String> {
        let check = |(name, expect): (&String, &ExpectedRange)| {
            let value = self.get(name);
            let below = expect.min.is_some_and(|min| value.is_nan() || value < min);
            let above = expect.max.is_some_and(|max| value.is_nan() || value > max);
            let bound = if below {
                ("below", expect.min)
            } else {
                ("above", expect.max)
            };
            (below || above).then(|| {
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

/// Formats a value with at most four decimals, fewer for larger values.
pub fn show(value: f64) -> String {
    match value.abs() {
        size if size >= 1000.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
