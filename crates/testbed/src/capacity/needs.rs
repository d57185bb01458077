//! Calculations shared by several roles and the ranking of gaps: bytes of health checks and endpoint
//! lists, CPU time of placement, and changes of the endpoint list and of the configuration.

use super::deployment::{Deployment, MIDDLE_CASE};
use super::markdown::number;
use super::row::Inputs;
use super::stored_run::{Part, Varied};

pub const SECONDS_PER_DAY: f64 = 86_400.0;
pub const MICROSECONDS_PER_SECOND: f64 = 1e6;
pub const BYTES_PER_MB: f64 = 1e6;
pub const BYTES_PER_KB: f64 = 1e3;
pub const PERCENT: f64 = 100.0;

/// Bytes of a health check, including packet headers. The payload is the measured value, or the
/// assumed value if there is no measured one.
pub fn health_check_bytes(inputs: &Inputs) -> f64 {
    let assumed = &inputs.assumptions.assumed;
    let payload = health_check_payload_bytes(inputs).unwrap_or(assumed.probe_payload_bytes.value);
    payload + assumed.probe_packets.value * assumed.packet_header_bytes.value
}

/// Measured payload of one additional health check, in bytes. If the number of health checks does
/// not grow with the endpoint list, this is the mean payload at the middle number of servers.
fn health_check_payload_bytes(inputs: &Inputs) -> Option<f64> {
    per_health_check(inputs, "probe_bytes_per_second")
        .or_else(|| payload_bytes_at_middle_case(inputs))
}

fn payload_bytes_at_middle_case(inputs: &Inputs) -> Option<f64> {
    let servers = inputs.assumptions.unknown.servers.values[MIDDLE_CASE];
    let figure = |figure| {
        inputs
            .slope(Part::Sockets, Varied::Servers, figure)
            .at(servers)
    };
    ratio(
        figure("probe_bytes_per_second")?,
        figure("probes_per_second")?,
    )
}

/// Increase of a figure per additional health check per second: the ratio of the slopes of both over
/// servers.
fn per_health_check(inputs: &Inputs, figure: &'static str) -> Option<f64> {
    let slope = |figure| {
        inputs
            .slope(Part::Sockets, Varied::Servers, figure)
            .per_unit()
    };
    ratio(slope(figure)?, slope("probes_per_second")?)
}

/// CPU time to establish a connection, in percent of a core per connection per second: the ratio of
/// the slopes of CPU time and connects over connections.
pub fn cpu_percent_per_connect(inputs: &Inputs) -> Option<f64> {
    let slope = |figure| {
        inputs
            .slope(Part::Sockets, Varied::Connections, figure)
            .per_unit()
    };
    ratio(slope("cpu_percent_of_core")?, slope("connects_per_second")?)
}

fn ratio(numerator: f64, denominator: f64) -> Option<f64> {
    (denominator > 0.0).then(|| numerator / denominator)
}

/// Text of the page that says how the bytes of a health check are calculated.
pub fn health_check_bytes_basis(inputs: &Inputs) -> String {
    let assumed = &inputs.assumptions.assumed;
    let headers = assumed.probe_packets.value * assumed.packet_header_bytes.value;
    let headers = format!("{} of packet headers (*assumed*)", number(headers));
    match health_check_payload_bytes(inputs) {
        Some(payload) => {
            let source = if per_health_check(inputs, "probe_bytes_per_second").is_some() {
                "slopes"
            } else {
                "figures"
            };
            format!(
                "{} (measured, ratio of {source}) + {headers}",
                number(payload)
            )
        }
        None => format!(
            "{} (*assumed*) + {headers}",
            number(assumed.probe_payload_bytes.value)
        ),
    }
}

/// Health checks per second of one balancer's policy, with the number of connections per balancer
/// that the operators require.
pub fn policy_health_checks_per_second(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    inputs
        .slope(Part::Decisions, Varied::Servers, "probes_per_second")
        .at(fleet.servers)
}

/// Bytes of a call for the endpoint list that returns no change, including packet headers.
pub fn empty_watch_bytes(inputs: &Inputs) -> f64 {
    let assumed = &inputs.assumptions.assumed;
    assumed.watch_payload_bytes.value
        + assumed.watch_packets.value * assumed.packet_header_bytes.value
}

/// Health checks per second of a balancer that checks, at the longest interval, each server on which
/// it holds a connection.
pub fn health_checks_at_longest_interval(inputs: &Inputs, fleet: &Deployment) -> f64 {
    fleet.servers_held() / inputs.assumptions.code.probe_interval_longest_s.value
}

/// Control bytes per second of a balancer, including packet headers, extrapolated from the stored
/// run.
pub fn measured_control_bytes_per_second(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let assumed = &inputs.assumptions.assumed;
    let over_servers = |figure| {
        inputs
            .slope(Part::Sockets, Varied::Servers, figure)
            .at(fleet.servers)
    };
    let check_packets = over_servers("probes_per_second")? * assumed.probe_packets.value;
    let call_packets = over_servers("list_calls_per_second")? * assumed.watch_packets.value;
    Some(
        over_servers("control_bytes_per_second")?
            + (check_packets + call_packets) * assumed.packet_header_bytes.value,
    )
}

/// Bytes of a full endpoint list: from the measured slope, or from the assumed size of an entry if
/// there is none.
pub fn full_list_bytes(inputs: &Inputs, servers: f64) -> f64 {
    let slope = inputs.slope(Part::Sockets, Varied::Servers, "list_bytes");
    slope
        .at(servers)
        .unwrap_or(servers * inputs.assumptions.assumed.list_entry_bytes.value)
}

/// Bytes of one entry of the endpoint list: the measured value, or the assumed value if there is no
/// measured one.
pub fn entry_bytes(inputs: &Inputs) -> f64 {
    let slope = inputs.slope(Part::Sockets, Varied::Servers, "list_bytes");
    slope
        .per_unit()
        .unwrap_or(inputs.assumptions.assumed.list_entry_bytes.value)
}

pub fn list_basis(inputs: &Inputs) -> String {
    let slope = inputs.slope(Part::Sockets, Varied::Servers, "list_bytes");
    match slope.per_unit() {
        Some(_) => slope.describe(),
        None => {
            let entry = number(inputs.assumptions.assumed.list_entry_bytes.value);
            format!("{entry} bytes x servers (*assumed*)")
        }
    }
}

/// Changes of the endpoint list per day. Only failures and restarts of servers count, taken as the
/// servers' share of all machines.
pub fn list_changes_per_day(inputs: &Inputs, fleet: &Deployment) -> f64 {
    let assumed = &inputs.assumptions.assumed;
    let failures = fleet.failures_per_day * assumed.list_changes_per_failure.value;
    let restarts = fleet.restarts_per_day * assumed.list_changes_per_restart.value;
    (failures + restarts) * fleet.servers / fleet.machines()
}

/// CPU time to place one new connection, in microseconds, for all calls of the policy together.
pub fn placement_us(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    inputs
        .slope(Part::Decisions, Varied::Servers, "place_us_per_flow")
        .at(fleet.servers)
}

/// CPU time of placement at one balancer, in percent of a core.
pub fn placement_cpu_percent(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let seconds = placement_us(inputs, fleet)? / MICROSECONDS_PER_SECOND;
    Some(seconds * fleet.placements_per_second_per_balancer() * PERCENT)
}

/// CPU time of a number of health checks per second, in percent of a core: the measured increase per
/// additional health check, times their number.
pub fn health_check_cpu_percent(inputs: &Inputs, checks_per_second: f64) -> Option<f64> {
    Some(per_health_check(inputs, "cpu_percent_of_core")? * checks_per_second)
}

/// Bytes of the message that carries one configuration change to one balancer.
pub fn change_message_bytes(inputs: &Inputs, fleet: &Deployment) -> f64 {
    fleet.change_bytes
        + inputs
            .assumptions
            .assumed
            .control_message_header_bytes
            .value
}

/// Bytes per second at one balancer if a configuration change arrives within its time limit.
pub fn change_bytes_per_second(inputs: &Inputs, fleet: &Deployment) -> f64 {
    change_message_bytes(inputs, fleet)
        / inputs.assumptions.requirements.configuration_limit_s.value
}

/// File descriptors that the process must be allowed to open. They are divided among flows, health
/// checks and waiting clients.
pub fn descriptors_needed(inputs: &Inputs, fleet: &Deployment) -> f64 {
    let code = &inputs.assumptions.code;
    let flows = fleet.connections_per_balancer() * code.descriptors_per_flow.value;
    let flow_share =
        1.0 - code.probe_descriptor_part.value.recip() - code.waiting_descriptor_part.value.recip();
    (flows + code.descriptors_standing.value) / flow_share
}

/// Memory of the policy's state for the connections of one balancer, in MB.
pub fn connection_state_mb(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let of_connection = inputs.slope(Part::Decisions, Varied::Connections, "bytes_per_connection");
    let connections = fleet.connections_per_balancer();
    Some(of_connection.at(connections)? * connections / BYTES_PER_MB)
}

/// Memory for control work, in MB: that of the process measured on sockets with few flows, plus the
/// policy's state for the connections of one balancer.
pub fn control_memory_mb(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let process = inputs
        .slope(Part::Sockets, Varied::Servers, "memory_mb")
        .at(fleet.servers)?;
    Some(process + connection_state_mb(inputs, fleet)?)
}
