//! What several roles and the ranking work out alike: bytes of health checks and lists, processor
//! time of placing, changes.

use super::deployment::{Deployment, MIDDLE_CASE};
use super::markdown::number;
use super::row::Inputs;
use super::stored_run::{Part, Varied};

pub const SECONDS_PER_DAY: f64 = 86_400.0;
pub const MICROSECONDS_PER_SECOND: f64 = 1e6;
pub const BYTES_PER_MB: f64 = 1e6;
pub const BYTES_PER_KB: f64 = 1e3;
pub const PERCENT: f64 = 100.0;

/// Bytes of a health check with its packet headers: the payload as measured, else as assumed.
pub fn health_check_bytes(inputs: &Inputs) -> f64 {
    let assumed = &inputs.assumptions.assumed;
    let payload = health_check_payload_bytes(inputs).unwrap_or(assumed.probe_payload_bytes.value);
    payload + assumed.probe_packets.value * assumed.packet_header_bytes.value
}

/// Payload of a health check more, as the run has it; where health checks don't grow with the
/// endpoint list, of a health check at the middle size.
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

/// What a health check more a second adds to a figure: the ratio of both slopes over servers.
fn per_health_check(inputs: &Inputs, figure: &'static str) -> Option<f64> {
    let slope = |figure| {
        inputs
            .slope(Part::Sockets, Varied::Servers, figure)
            .per_unit()
    };
    ratio(slope(figure)?, slope("probes_per_second")?)
}

/// Processor time of setting a connection up, in percent of a core for each a second: the ratio of
/// both slopes over connections.
pub fn cpu_percent_per_connect(inputs: &Inputs) -> Option<f64> {
    let slope = |figure| {
        inputs
            .slope(Part::Sockets, Varied::Connections, figure)
            .per_unit()
    };
    ratio(slope("cpu_percent_of_core")?, slope("connects_per_second")?)
}

fn ratio(of: f64, to: f64) -> Option<f64> {
    (to > 0.0).then(|| of / to)
}

/// How the page tells of the bytes of a health check.
pub fn health_check_bytes_basis(inputs: &Inputs) -> String {
    let assumed = &inputs.assumptions.assumed;
    let headers = assumed.probe_packets.value * assumed.packet_header_bytes.value;
    let headers = format!("{} of packet headers (*assumed*)", number(headers));
    match health_check_payload_bytes(inputs) {
        Some(payload) => {
            let way = if per_health_check(inputs, "probe_bytes_per_second").is_some() {
                "slopes"
            } else {
                "figures"
            };
            format!("{} (measured, ratio of {way}) + {headers}", number(payload))
        }
        None => format!(
            "{} (*assumed*) + {headers}",
            number(assumed.probe_payload_bytes.value)
        ),
    }
}

/// Health checks a second of the policy alone, with as many own connections as the operators have
/// told.
pub fn policy_health_checks_per_second(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    inputs
        .slope(Part::Decisions, Varied::Servers, "probes_per_second")
        .at(fleet.servers)
}

/// Bytes of a call for the endpoint list that brings nothing, with its packet headers.
pub fn empty_watch_bytes(inputs: &Inputs) -> f64 {
    let assumed = &inputs.assumptions.assumed;
    assumed.watch_payload_bytes.value
        + assumed.watch_packets.value * assumed.packet_header_bytes.value
}

/// Health checks a second of a balancer that health checks each server that holds a connection of
/// its own at the longest interval.
pub fn health_checks_at_longest_interval(inputs: &Inputs, fleet: &Deployment) -> f64 {
    fleet.servers_held() / inputs.assumptions.code.probe_interval_longest_s.value
}

/// Payload and packet headers of a balancer's control, as measured and extrapolated.
pub fn measured_control_bytes_per_second(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let assumed = &inputs.assumptions.assumed;
    let over_servers = |figure| {
        inputs
            .slope(Part::Sockets, Varied::Servers, figure)
            .at(fleet.servers)
    };
    let probes = over_servers("probes_per_second")? * assumed.probe_packets.value;
    let calls = over_servers("list_calls_per_second")? * assumed.watch_packets.value;
    Some(
        over_servers("control_bytes_per_second")?
            + (probes + calls) * assumed.packet_header_bytes.value,
    )
}

/// Bytes of a whole list: measured, else by the assumed size of an entry.
pub fn full_list_bytes(inputs: &Inputs, servers: f64) -> f64 {
    let slope = inputs.slope(Part::Sockets, Varied::Servers, "list_bytes");
    slope
        .at(servers)
        .unwrap_or(servers * inputs.assumptions.assumed.list_entry_bytes.value)
}

/// Bytes of one entry of the endpoint list: measured, else assumed.
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

/// Changes of the endpoint list a day: of servers only, in proportion to their part of all
/// machines.
pub fn list_changes_per_day(inputs: &Inputs, fleet: &Deployment) -> f64 {
    let assumed = &inputs.assumptions.assumed;
    let failures = fleet.failures_per_day * assumed.list_changes_per_failure.value;
    let restarts = fleet.restarts_per_day * assumed.list_changes_per_restart.value;
    (failures + restarts) * fleet.servers / fleet.machines()
}

/// Processor time of placing one new connection, all calls together, in microseconds.
pub fn placement_us(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    inputs
        .slope(Part::Decisions, Varied::Servers, "place_us_per_flow")
        .at(fleet.servers)
}

/// Processor time of placing, in percent of a core.
pub fn placement_cpu_percent(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let seconds = placement_us(inputs, fleet)? / MICROSECONDS_PER_SECOND;
    Some(seconds * fleet.placements_per_second_per_balancer() * PERCENT)
}

/// Processor time of so many health checks a second, in percent of a core: what a health check more
/// took in the run, times the health checks.
pub fn health_check_cpu_percent(inputs: &Inputs, probes: f64) -> Option<f64> {
    Some(per_health_check(inputs, "cpu_percent_of_core")? * probes)
}

/// Bytes of one change of the configuration as it comes to one balancer.
pub fn change_message_bytes(inputs: &Inputs, fleet: &Deployment) -> f64 {
    fleet.change_bytes
        + inputs
            .assumptions
            .assumed
            .control_message_header_bytes
            .value
}

/// Bytes a second at one balancer while a change has to come into force.
pub fn change_bytes_per_second(inputs: &Inputs, fleet: &Deployment) -> f64 {
    change_message_bytes(inputs, fleet)
        / inputs.assumptions.requirements.configuration_limit_s.value
}

/// Descriptors that the process has to be allowed, as they are shared out: flows, health checks,
/// clients that wait.
pub fn descriptors_needed(inputs: &Inputs, fleet: &Deployment) -> f64 {
    let code = &inputs.assumptions.code;
    let flows = fleet.connections_per_balancer() * code.descriptors_per_flow.value;
    let rest =
        1.0 - code.probe_descriptor_part.value.recip() - code.waiting_descriptor_part.value.recip();
    (flows + code.descriptors_standing.value) / rest
}

/// The policy's state of own connections.
pub fn connection_state_mb(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let of_connection = inputs.slope(Part::Decisions, Varied::Connections, "bytes_per_connection");
    let own = fleet.connections_per_balancer();
    Some(of_connection.at(own)? * own / BYTES_PER_MB)
}

/// Memory for control: the process as it was on sockets with few flows, and the policy's state of
/// own connections.
pub fn control_memory_mb(inputs: &Inputs, fleet: &Deployment) -> Option<f64> {
    let process = inputs
        .slope(Part::Sockets, Varied::Servers, "memory_mb")
        .at(fleet.servers)?;
    Some(process + connection_state_mb(inputs, fleet)?)
}
