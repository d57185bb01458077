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
    pub section: &'static str,
    pub key: &'static str,
    pub values: Vec<f64>,
    pub why: &'a str,
}

/// Declares a section: its keys, all of one kind, and how to list them.
macro_rules! section {
    ($(#[$about:meta])* $name:ident, $section:literal, $kind:ty, [$($key:ident),* $(,)?]) => {
        $(#[$about])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name {
            $(pub $key: $kind,)*
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
        balancers, connections, shards, largest_topic_listeners, deliveries_per_second, delivery_limit_ms,
        regions, zones, configuration_changes_per_day, configuration_limit_s, control_percent_of_core,
        control_memory_mb, control_bytes_per_second, control_machines, failures_per_day, restarts_per_day,
        racks_per_year, zones_per_year, region_cuts_per_year, zone_clients, ready_within_s, change_known_within_s,
    ]
);

section!(
    /// What they haven't said.
    Unknowns, "unknown", Unknown,
    [servers, connection_life_s, change_bytes, return_spread_s]
);

section!(
    /// Constants of the program.
    Code, "code", Parameter,
    [
        probe_interval_longest_s, watch_hold_s, answer_limit_bytes, flow_memory_kb, descriptors_per_flow,
        descriptors_standing, probe_descriptor_part, waiting_descriptor_part, peer_messages_heard_per_second,
        peer_message_repeat_s, peer_message_groups, attempts_in_flight_fleet, attempts_in_flight_most,
        cold_fill_factor, idle_client_s, silent_server_s,
    ]
);

section!(
    /// What is taken for granted until it is measured or told.
    Assumed, "assumed", Parameter,
    [
        packet_header_bytes, probe_payload_bytes, probe_packets, watch_payload_bytes, watch_packets,
        list_entry_bytes, list_changes_per_failure, list_changes_per_restart, control_message_header_bytes,
        server_probe_us, server_attempts_per_second, attempt_ms, delivery_us, delivery_bytes,
        client_line_bytes, notice_s, rack_machines, cold_start_share, cold_multiple, warm_up_s,
        crossing_share,
    ]
);

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    pub requirements: Requirements,
    pub unknown: Unknowns,
    pub code: Code,
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
