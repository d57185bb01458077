//! The assumptions file: what the operators have said, what they haven't, constants of the program
//! and what is taken for granted, each with its reason. Read strictly: a key that is missing,
//! unknown, without a reason or without a sane value is an error.

use std::path::Path;

use serde::Deserialize;

use super::error::{AssumptionsError, CapacityError, ParameterError};

/// How many values an unknown is worked out for: low, middle and high.
pub const CASES: usize = 3;

/// A value with its reason.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawValue")]
pub struct Parameter {
    /// The value, over 0.
    pub value: f64,
    /// Why it is taken.
    pub why: String,
}

/// Three values with a reason, in rising order.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawValues")]
pub struct Unknown {
    /// Low, middle and high, all over 0.
    pub values: [f64; CASES],
    /// Why they are taken.
    pub why: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawValue {
    value: f64,
    why: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawValues {
    values: Vec<f64>,
    why: String,
}

impl TryFrom<RawValue> for Parameter {
    type Error = ParameterError;
    fn try_from(raw: RawValue) -> Result<Self, ParameterError> {
        check_value(raw.value, "value")?;
        check_reason(&raw.why)?;
        Ok(Parameter {
            value: raw.value,
            why: raw.why,
        })
    }
}

impl TryFrom<RawValues> for Unknown {
    type Error = ParameterError;
    fn try_from(raw: RawValues) -> Result<Self, ParameterError> {
        let count = raw.values.len();
        let values: [f64; CASES] =
            raw.values
                .try_into()
                .map_err(|_| ParameterError::WrongCount {
                    count,
                    expected: CASES,
                })?;
        values
            .iter()
            .try_for_each(|value| check_value(*value, "values"))?;
        if !values.is_sorted() {
            return Err(ParameterError::NotRising);
        }
        check_reason(&raw.why)?;
        Ok(Unknown {
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

fn check_reason(why: &str) -> Result<(), ParameterError> {
    match why.trim().is_empty() {
        true => Err(ParameterError::EmptyReason),
        false => Ok(()),
    }
}

/// One entry as the page lists it.
pub struct Entry<'a> {
    /// The section of the file.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// One value, or low, middle and high.
    pub values: Vec<f64>,
    /// Why they are taken.
    pub why: &'a str,
}

/// Declares a section: its keys, all of one kind, and how to list them.
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

impl Unknown {
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
    /// What the operators have said of the fleet ahead.
    Requirements, "requirements", Parameter,
    [
        /// Balancers.
        balancers,
        /// Clients' connections.
        connections,
        /// Shards, which are groups of connections.
        shards,
        /// Listeners of the largest topic.
        largest_topic_listeners,
        /// Messages delivered to clients a second.
        deliveries_per_second,
        /// Milliseconds within which 99 in 100 deliveries must come.
        delivery_limit_ms,
        /// Regions.
        regions,
        /// Zones, over all regions.
        zones,
        /// Changes of the configuration a day.
        configuration_changes_per_day,
        /// Seconds within which a change of the configuration must be in force.
        configuration_limit_s,
        /// Processor that control may take of a balancer, in percent of a core.
        control_percent_of_core,
        /// Memory that control may take of a balancer, in MB.
        control_memory_mb,
        /// Bytes a second that control may send and receive at a balancer.
        control_bytes_per_second,
        /// Machines that are set aside for control.
        control_machines,
        /// Failures of servers a day.
        failures_per_day,
        /// Restarts of servers a day.
        restarts_per_day,
        /// Racks that fail a year.
        racks_per_year,
        /// Zones that fail a year.
        zones_per_year,
        /// Cuts between regions a year.
        region_cuts_per_year,
        /// Clients of one zone.
        zone_clients,
        /// Seconds within which a balancer must be ready.
        ready_within_s,
        /// Seconds within which a change of the endpoint list must be known.
        change_known_within_s,
    ]
);

section!(
    /// What they haven't said.
    Unknowns, "unknown", Unknown,
    [
        /// Servers.
        servers,
        /// Mean life of a connection, in seconds.
        connection_life_s,
        /// Bytes of one change of the configuration.
        change_bytes,
        /// Seconds over which lost clients come back.
        return_spread_s,
    ]
);

section!(
    /// Constants of the program.
    Code, "code", Parameter,
    [
        /// The longest health check interval, in seconds.
        probe_interval_longest_s,
        /// Seconds for which a call for the endpoint list is held.
        watch_hold_s,
        /// The largest answer of discovery that is read, in bytes.
        answer_limit_bytes,
        /// Memory that a flow may take, in KB.
        flow_memory_kb,
        /// Descriptors that a flow takes.
        descriptors_per_flow,
        /// Descriptors that a balancer has beside those of flows and checks.
        descriptors_standing,
        /// The part of descriptors that health checks may hold is one in so many.
        probe_descriptor_part,
        /// The part of descriptors that waiting connections may hold is one in so many.
        waiting_descriptor_part,
        /// Gossip messages that a balancer accepts a second.
        peer_messages_heard_per_second,
        /// Seconds after which a gossip message is repeated.
        peer_message_repeat_s,
        /// Numbers that groups are told apart by in gossip.
        peer_message_groups,
        /// Where the limits of attempts in flight of all balancers together start.
        attempts_in_flight_fleet,
        /// Where the limit of attempts in flight of one balancer starts at most.
        attempts_in_flight_most,
        /// How often a server is filled while it warms up.
        cold_fill_factor,
        /// Seconds after which a silent client counts as gone.
        idle_client_s,
        /// Seconds after which a silent server counts as failed.
        silent_server_s,
    ]
);

section!(
    /// What is taken for granted until it is measured or told.
    Assumed, "assumed", Parameter,
    [
        /// Bytes of a packet's headers.
        packet_header_bytes,
        /// Payload of a health check, both ways, in bytes.
        probe_payload_bytes,
        /// Packets of a health check.
        probe_packets,
        /// Payload of a call for the endpoint list that brings nothing, in bytes.
        watch_payload_bytes,
        /// Packets of such a call.
        watch_packets,
        /// Bytes of an entry of the endpoint list.
        list_entry_bytes,
        /// Changes of the endpoint list for a failure.
        list_changes_per_failure,
        /// Changes of the endpoint list for a restart.
        list_changes_per_restart,
        /// Bytes of a control message beside its change.
        control_message_header_bytes,
        /// Processor of a server for a health check, in microseconds.
        server_probe_us,
        /// Attempts that a server takes a second.
        server_attempts_per_second,
        /// Milliseconds of an attempt.
        attempt_ms,
        /// Processor of a balancer for a delivery, in microseconds.
        delivery_us,
        /// Bytes of a delivery.
        delivery_bytes,
        /// Bytes of a client's line that keeps its connection.
        client_line_bytes,
        /// Seconds until a client notices a silent loss.
        notice_s,
        /// Machines of a rack.
        rack_machines,
        /// Capacity of a server at its start, of its full one.
        cold_start_share,
        /// Attempts at which a server in slow start collapses, as a multiple of what it can serve.
        cold_multiple,
        /// Seconds of slow start.
        warm_up_s,
        /// Part of the connections whose balancer and server are in two regions.
        crossing_share,
    ]
);

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// What the operators have said of the fleet ahead.
    pub requirements: Requirements,
    /// What they haven't said.
    pub unknown: Unknowns,
    /// Constants of the program.
    pub code: Code,
    /// What is taken for granted.
    pub assumed: Assumed,
}

impl Assumptions {
    /// Reads the file.
    ///
    /// # Errors
    /// Names the file, the line and the key at fault.
    pub fn load(file: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(file).map_err(|e| CapacityError::in_file(file, e))?;
        Self::parse(file, &text)
    }

    /// Reads assumptions that are in hand; `file` is named in errors.
    ///
    /// # Errors
    /// Names the file, the line and the key at fault.
    pub fn parse(file: &Path, text: &str) -> Result<Self, CapacityError> {
        toml::from_str(text).map_err(|e| toml_error(file, text, e))
    }

    /// All entries, section by section.
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

/// Names the line and the key that the TOML reader has refused.
fn toml_error(file: &Path, text: &str, error: toml::de::Error) -> CapacityError {
    let start = error.span().map(|span| span.start);
    let source = Box::new(error);
    let Some(start) = start else {
        return CapacityError::in_file(file, AssumptionsError::Text(source));
    };
    let line = text[..start].matches('\n').count();
    let key = text
        .lines()
        .nth(line)
        .and_then(|line| line.split_once('='))
        .map(|(key, _)| key.trim().to_string());
    let reason = match key {
        Some(key) => AssumptionsError::Key { key, source },
        None => AssumptionsError::Text(source),
    };
    CapacityError::in_line(file, line + 1, reason)
}
