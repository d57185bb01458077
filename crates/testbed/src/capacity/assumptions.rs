//! The assumptions file: the operators' requirements, quantities that the operators have not given,
//! constants of the program and assumed values, each with a reason. It is parsed strictly: a key
//! that is missing or unknown, or that has no reason or an invalid value, is an error.

use std::path::Path;

use serde::Deserialize;

use super::error::{AssumptionsError, CapacityError, ParameterError};

/// Number of values of an unknown quantity: low, middle and high.
pub const CASE_COUNT: usize = 3;

/// A value and the reason for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawParameter")]
pub struct Parameter {
    /// The value, above 0.
    pub value: f64,
    /// Why this value is used.
    pub why: String,
}

/// Low, middle and high value of an unknown quantity, and the reason for them.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawThreeValues")]
pub struct ThreeValues {
    /// Low, middle and high value in ascending order, all above 0.
    pub values: [f64; CASE_COUNT],
    /// Why these values are used.
    pub why: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawParameter {
    value: f64,
    why: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawThreeValues {
    values: Vec<f64>,
    why: String,
}

impl TryFrom<RawParameter> for Parameter {
    type Error = ParameterError;
    fn try_from(raw: RawParameter) -> Result<Self, ParameterError> {
        check_value(raw.value, "value")?;
        check_why(&raw.why)?;
        Ok(Parameter {
            value: raw.value,
            why: raw.why,
        })
    }
}

impl TryFrom<RawThreeValues> for ThreeValues {
    type Error = ParameterError;
    fn try_from(raw: RawThreeValues) -> Result<Self, ParameterError> {
        let count = raw.values.len();
        let values: [f64; CASE_COUNT] =
            raw.values
                .try_into()
                .map_err(|_| ParameterError::WrongCount {
                    count,
                    expected: CASE_COUNT,
                })?;
        values
            .iter()
            .try_for_each(|value| check_value(*value, "values"))?;
        if !values.is_sorted() {
            return Err(ParameterError::NotAscending);
        }
        check_why(&raw.why)?;
        Ok(ThreeValues {
            values,
            why: raw.why,
        })
    }
}

fn check_value(value: f64, key: &'static str) -> Result<(), ParameterError> {
    match value.is_finite() && value > 0.0 {
        true => Ok(()),
        false => Err(ParameterError::NotPositive { key, value }),
    }
}

fn check_why(why: &str) -> Result<(), ParameterError> {
    match why.trim().is_empty() {
        true => Err(ParameterError::EmptyReason),
        false => Ok(()),
    }
}

/// One entry of the file, as listed on the page.
pub struct Entry<'a> {
    /// The section of the file.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// A single value, or the low, middle and high values.
    pub values: Vec<f64>,
    /// Why these values are used.
    pub why: &'a str,
}

/// Declares a section of the file: a struct with one field per key, all of the same type, and a
/// method that lists them as entries.
macro_rules! section {
    ($(#[$about:meta])* $name:ident, $section:literal, $kind:ty, [$($(#[$key_about:meta])* $key:ident),* $(,)?]) => {
        $(#[$about])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name {
            $($(#[$key_about])* pub $key: $kind,)*
        }

        impl $name {
            fn entries(&self) -> Vec<Entry<'_>> {
                vec![$(self.$key.entry($section, stringify!($key)),)*]
            }
        }
    };
}

impl Parameter {
    fn entry(&self, section: &'static str, key: &'static str) -> Entry<'_> {
        Entry {
            section,
            key,
            values: vec![self.value],
            why: &self.why,
        }
    }
}

impl ThreeValues {
    fn entry(&self, section: &'static str, key: &'static str) -> Entry<'_> {
        Entry {
            section,
            key,
            values: self.values.to_vec(),
            why: &self.why,
        }
    }
}

section!(
    /// The operators' requirements for the planned fleet.
    Requirements, "requirements", Parameter,
    [
        /// Number of balancers.
        balancers,
        /// Number of client connections.
        connections,
        /// Number of shards, which are groups of connections.
        shards,
        /// Number of listeners of the largest topic.
        largest_topic_listeners,
        /// Messages delivered to clients per second.
        deliveries_per_second,
        /// Milliseconds within which 99 in 100 messages must be delivered.
        delivery_limit_ms,
        /// Number of regions.
        regions,
        /// Number of zones in all regions together.
        zones,
        /// Configuration changes per day.
        configuration_changes_per_day,
        /// Seconds within which a configuration change must be in effect.
        configuration_limit_s,
        /// CPU time that control work may use on a balancer, in percent of a core.
        control_percent_of_core,
        /// Memory that control work may use on a balancer, in MB.
        control_memory_mb,
        /// Bytes per second that a balancer may send and receive for control work.
        control_bytes_per_second,
        /// Number of machines dedicated to control.
        control_machines,
        /// Server failures per day.
        failures_per_day,
        /// Server restarts per day.
        restarts_per_day,
        /// Rack failures per year.
        racks_per_year,
        /// Zone failures per year.
        zones_per_year,
        /// Network partitions between regions per year.
        region_cuts_per_year,
        /// Number of clients of one zone.
        zone_clients,
        /// Seconds after its start within which a balancer must be ready.
        ready_within_s,
        /// Seconds within which balancers must have a change of the endpoint list.
        change_known_within_s,
    ]
);

section!(
    /// Quantities that the operators have not given.
    Unknowns, "unknown", ThreeValues,
    [
        /// Number of servers.
        servers,
        /// Mean lifetime of a connection, in seconds.
        connection_life_s,
        /// Size of one configuration change, in bytes.
        change_bytes,
        /// Seconds over which the reconnects of disconnected clients are spread.
        return_spread_s,
    ]
);

section!(
    /// Constants of the program.
    Code, "code", Parameter,
    [
        /// The longest health check interval, in seconds.
        probe_interval_longest_s,
        /// Seconds for which a call for the endpoint list is held open if the list does not change.
        watch_hold_s,
        /// Maximum size of a discovery response that a balancer reads, in bytes.
        answer_limit_bytes,
        /// Maximum memory of a flow, in KB.
        flow_memory_kb,
        /// File descriptors of a flow.
        descriptors_per_flow,
        /// File descriptors that a balancer holds besides those of flows and health checks.
        descriptors_standing,
        /// Health checks may hold one descriptor in this many.
        probe_descriptor_part,
        /// Waiting connections may hold one descriptor in this many.
        waiting_descriptor_part,
        /// Gossip messages that a balancer accepts per second.
        peer_messages_heard_per_second,
        /// Seconds after which a gossip message is repeated.
        peer_message_repeat_s,
        /// Number of distinct group numbers in gossip.
        peer_message_groups,
        /// Initial limit of attempts in flight, summed over all balancers.
        attempts_in_flight_fleet,
        /// Maximum of the initial limit of attempts in flight of one balancer.
        attempts_in_flight_most,
        /// How many times its share of connections a server may be sent while it warms up.
        cold_fill_factor,
        /// Seconds after which a silent client is assumed to have disconnected.
        idle_client_s,
        /// Seconds after which a silent server is assumed to have failed.
        silent_server_s,
    ]
);

section!(
    /// Values that are assumed until they are measured or the operators give them.
    Assumed, "assumed", Parameter,
    [
        /// Size of the headers of a packet, in bytes.
        packet_header_bytes,
        /// Payload of a health check, request and reply together, in bytes.
        probe_payload_bytes,
        /// Number of packets of a health check.
        probe_packets,
        /// Payload of a call for the endpoint list that returns no change, in bytes.
        watch_payload_bytes,
        /// Number of packets of such a call.
        watch_packets,
        /// Size of an entry of the endpoint list, in bytes.
        list_entry_bytes,
        /// Changes of the endpoint list per failure.
        list_changes_per_failure,
        /// Changes of the endpoint list per restart.
        list_changes_per_restart,
        /// Size of a control message without the change that it carries, in bytes.
        control_message_header_bytes,
        /// CPU time of a server for a health check, in microseconds.
        server_probe_us,
        /// Attempts that a server can accept per second.
        server_attempts_per_second,
        /// Duration of an attempt, in milliseconds.
        attempt_ms,
        /// CPU time of a balancer for a delivery, in microseconds.
        delivery_us,
        /// Size of a delivered message, in bytes.
        delivery_bytes,
        /// Size of the line by which a client keeps its connection alive, in bytes.
        client_line_bytes,
        /// Seconds until a client detects that its connection was lost without a close.
        notice_s,
        /// Number of machines in a rack.
        rack_machines,
        /// Capacity of a server when it starts, as a fraction of its full capacity.
        cold_start_share,
        /// Attempts at which a server in slow start collapses, as a multiple of what it can serve.
        cold_multiple,
        /// Seconds of slow start.
        warm_up_s,
        /// Fraction of the connections whose balancer and server are in different regions.
        crossing_share,
    ]
);

/// The parsed assumptions file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// The operators' requirements for the planned fleet.
    pub requirements: Requirements,
    /// Quantities that the operators have not given.
    pub unknown: Unknowns,
    /// Constants of the program.
    pub code: Code,
    /// Assumed values.
    pub assumed: Assumed,
}

impl Assumptions {
    /// Loads the file.
    ///
    /// # Errors
    /// Names the file, the line and the invalid key.
    pub fn load(file: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(file).map_err(|e| CapacityError::in_file(file, e))?;
        Self::parse(file, &text)
    }

    /// Parses the text of an assumptions file. Errors name `file` as its origin.
    ///
    /// # Errors
    /// Names the file, the line and the invalid key.
    pub fn parse(file: &Path, text: &str) -> Result<Self, CapacityError> {
        toml::from_str(text).map_err(|e| toml_error(file, text, e))
    }

    /// Returns all entries, section by section.
    pub fn entries(&self) -> Vec<Entry<'_>> {
        let sections = [
            self.requirements.entries(),
            self.unknown.entries(),
            self.code.entries(),
            self.assumed.entries(),
        ];
        sections.into_iter().flatten().collect()
    }
}

/// Adds the line and the key to an error of the TOML parser.
fn toml_error(file: &Path, text: &str, error: toml::de::Error) -> CapacityError {
    let start = error.span().map(|span| span.start);
    let source = Box::new(error);
    let Some(start) = start else {
        return CapacityError::in_file(file, AssumptionsError::InvalidDocument(source));
    };
    let line = text[..start].matches('\n').count();
    let key = text
        .lines()
        .nth(line)
        .and_then(|line| line.split_once('='))
        .map(|(key, _)| key.trim().to_string());
    let reason = match key {
        Some(key) => AssumptionsError::InvalidKey { key, source },
        None => AssumptionsError::InvalidDocument(source),
    };
    CapacityError::in_line(file, line + 1, reason)
}
