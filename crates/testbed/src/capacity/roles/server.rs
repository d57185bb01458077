//! Load of one server that is caused by balancers.

use crate::capacity::deployment::{Deployment, UnknownQuantity};
use crate::capacity::markdown::number;
use crate::capacity::mechanism::{self, Mechanism};
use crate::capacity::needs::{
    MICROSECONDS_PER_SECOND, PERCENT, health_check_bytes, health_checks_at_longest_interval,
};
use crate::capacity::row::{Inputs, Row};
use crate::capacity::stored_run::{Part, Varied};

/// Returns the figures of the load that balancers cause on one server.
pub fn rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let groups = [
        connection_rows(),
        health_check_rows(inputs),
        health_check_cost_rows(inputs),
        connect_rows(inputs),
    ];
    groups.into_iter().flatten().collect()
}

/// Health checks per second that a server receives from all balancers at the longest interval.
fn health_checks_per_server(inputs: &Inputs, fleet: &Deployment) -> f64 {
    health_checks_at_longest_interval(inputs, fleet) * fleet.balancers / fleet.servers
}

/// Number of connections that a server holds.
fn connection_rows() -> Vec<Row<'static>> {
    vec![
        Row::new(
            "connections held",
            "",
            "connections / servers",
            |f| Some(f.connections_per_server()),
            Mechanism::Present(
                "no limit but load; PLACEMENT_UTILIZATION_MAX in crates/policy/src/placement.rs",
            ),
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// Health checks per second from all balancers.
fn health_check_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let policy_checks = inputs.slope(Part::Decisions, Varied::Servers, "probes_per_second");
    let checks_of_one_server =
        move |f: &Deployment| Some(policy_checks.at(f.servers)? * f.balancers / f.servers);
    vec![
        Row::new(
            "the policy's health checks, of all balancers",
            "a second",
            format!("{} x balancers / servers", policy_checks.describe()),
            checks_of_one_server,
            mechanism::FLEET_HEALTH_CHECK_BUDGET,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "probes at the longest interval, of all balancers",
            "a second",
            "a balancer's x balancers / servers (code)",
            move |f| Some(health_checks_per_server(inputs, f)),
            mechanism::FLEET_HEALTH_CHECK_BUDGET,
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// Bytes, CPU time and file descriptors of a server for health checks at the longest interval.
fn health_check_cost_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let assumed = &inputs.assumptions.assumed;
    vec![
        Row::new(
            "bytes of those probes",
            "a second",
            format!("probes x {} bytes", number(health_check_bytes(inputs))),
            move |f| Some(health_checks_per_server(inputs, f) * health_check_bytes(inputs)),
            mechanism::FLEET_HEALTH_CHECK_BUDGET,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "processor for those probes",
            "% of a core",
            format!(
                "probes x {} us (*assumed*)",
                number(assumed.server_probe_us.value)
            ),
            move |f| {
                let each =
                    inputs.assumptions.assumed.server_probe_us.value / MICROSECONDS_PER_SECOND;
                Some(health_checks_per_server(inputs, f) * each * PERCENT)
            },
            mechanism::FLEET_HEALTH_CHECK_BUDGET,
        )
        .over(UnknownQuantity::Servers),
        Row::new(
            "descriptors for probes, one a balancer",
            "",
            "balancers x servers held / servers",
            |f| Some(f.balancers * f.servers_held() / f.servers),
            mechanism::HEALTH_CHECK_CONNECTIONS,
        )
        .over(UnknownQuantity::Servers),
    ]
}

/// New connections per second.
fn connect_rows<'a>(inputs: &'a Inputs) -> Vec<Row<'a>> {
    let assumed = &inputs.assumptions.assumed;
    vec![
        Row::new(
            "new connections",
            "a second",
            "connections / life / servers (three lives)",
            |f| Some(f.placements_per_second() / f.servers),
            Mechanism::Present("weighted round robin, crates/policy/src/rotation.rs"),
        )
        .over(UnknownQuantity::ConnectionLife)
        .within(assumed.server_attempts_per_second.value),
    ]
}
