//! Cost of health checks at a balancer, calculated in three ways: from the health checks that the
//! policy requests at the required number of connections per balancer, from the minimum that follows
//! from the longest interval, and from the health checks counted on sockets.

use crate::capacity::deployment::{Deployment, UnknownQuantity};
use crate::capacity::markdown::number;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::{
    health_check_bytes, health_check_bytes_basis, health_check_cpu_percent,
    health_checks_at_longest_interval, measured_control_bytes_per_second,
    policy_health_checks_per_second,
};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// Text of the page that says how the CPU time of health checks is calculated.
const PROCESSOR_BASIS: &str =
    "those probes x the ratio of slopes of processor and probes over servers (measured, sockets)";

/// Returns the figures of the cost of health checks.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        policy_rows(inputs),
        longest_interval_rows(inputs),
        measured_rows(inputs),
    ];
    groups.into_iter().flatten().collect()
}

/// Creates a figure of health checks that depends on the number of servers and has a budget.
fn health_check_row<'a>(
    quantity: &'static str,
    unit: &'static str,
    basis: impl Into<String>,
    value: impl Fn(&Deployment) -> Option<f64> + 'a,
    budget: f64,
) -> Row<'a> {
    Row::new(quantity, unit, basis, value, mechanism::CONTROL_BUDGET)
        .over(UnknownQuantity::Servers)
        .within(budget)
}

/// Text of the page that says how the bytes of health checks are calculated.
fn bytes_basis(inputs: &Inputs) -> String {
    format!("probes x {} bytes", number(health_check_bytes(inputs)))
}

/// Health checks per second that fit into the budget of control bytes.
fn health_checks_within_budget(inputs: &Inputs) -> f64 {
    inputs
        .assumptions
        .requirements
        .control_bytes_per_second
        .value
        / health_check_bytes(inputs)
}

/// Health checks that the policy requests.
fn policy_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let bytes = inputs
        .assumptions
        .requirements
        .control_bytes_per_second
        .value;
    let percent = inputs
        .assumptions
        .requirements
        .control_percent_of_core
        .value;
    let policy_checks = inputs.slope(Part::Decisions, Varied::Servers, "probes_per_second");
    vec![
        Row::new(
            "one probe",
            "bytes",
            health_check_bytes_basis(inputs),
            |_| Some(health_check_bytes(inputs)),
            Mechanism::Present("one line each way, crates/dataplane/src/health_check/checker.rs"),
        ),
        health_check_row(
            "health checks with the operators' own connections",
            "a second",
            policy_checks.describe(),
            |f| policy_health_checks_per_second(inputs, f),
            health_checks_within_budget(inputs),
        ),
        health_check_row(
            "bytes of the policy's health checks",
            "a second",
            bytes_basis(inputs),
            |f| Some(policy_health_checks_per_second(inputs, f)? * health_check_bytes(inputs)),
            bytes,
        ),
        health_check_row(
            "processor for the policy's health checks",
            "% of a core",
            PROCESSOR_BASIS,
            |f| health_check_cpu_percent(inputs, policy_health_checks_per_second(inputs, f)?),
            percent,
        ),
    ]
}

/// Minimum of health checks, which follows from the longest interval.
fn longest_interval_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let bytes = inputs
        .assumptions
        .requirements
        .control_bytes_per_second
        .value;
    let percent = inputs
        .assumptions
        .requirements
        .control_percent_of_core
        .value;
    let longest = format!(
        "servers held, by chance / {} s (code)",
        number(inputs.assumptions.code.probe_interval_longest_s.value)
    );
    vec![
        health_check_row(
            "probes at the longest interval, without a control budget",
            "a second",
            longest,
            |f| Some(health_checks_at_longest_interval(inputs, f)),
            health_checks_within_budget(inputs),
        ),
        health_check_row(
            "bytes of probes at the longest interval, without a control budget",
            "a second",
            bytes_basis(inputs),
            |f| Some(health_checks_at_longest_interval(inputs, f) * health_check_bytes(inputs)),
            bytes,
        ),
        health_check_row(
            "processor for probes at the longest interval, without a control budget",
            "% of a core",
            PROCESSOR_BASIS,
            |f| health_check_cpu_percent(inputs, health_checks_at_longest_interval(inputs, f)),
            percent,
        ),
    ]
}

/// Health checks counted on sockets.
fn measured_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let bytes = inputs
        .assumptions
        .requirements
        .control_bytes_per_second
        .value;
    let percent = inputs
        .assumptions
        .requirements
        .control_percent_of_core
        .value;
    let sockets = |figure| inputs.slope(Part::Sockets, Varied::Servers, figure);
    let (on_sockets, processor) = (sockets("probes_per_second"), sockets("cpu_percent_of_core"));
    vec![
        health_check_row(
            "probes on sockets, at the run's price",
            "a second",
            on_sockets.describe(),
            move |f| on_sockets.at(f.servers),
            health_checks_within_budget(inputs),
        ),
        health_check_row(
            "control bytes on sockets, at the run's price",
            "a second",
            format!(
                "{} + packet headers (*assumed*)",
                sockets("control_bytes_per_second").describe()
            ),
            |f| measured_control_bytes_per_second(inputs, f),
            bytes,
        ),
        health_check_row(
            "processor on sockets, at the run's price",
            "% of a core",
            processor.describe(),
            move |f| processor.at(f.servers),
            percent,
        ),
    ]
}
