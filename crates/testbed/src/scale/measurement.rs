//! The output of a scale run: one JSON object per line. Each line is complete and flushed before the
//! next size begins, so that an interrupted run leaves complete lines only. This module owns the
//! format, which docs/operators/scale.md describes.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::scenario::Counts;

/// The part of a run that a measurement belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// The policy and the flow table alone.
    #[serde(rename = "module")]
    Decisions,
    /// Real balancers on loopback sockets.
    Sockets,
    /// Failures or replacements of many processes at once.
    Storm,
}

impl Part {
    /// Name in the run's lines and in the generated pages.
    pub fn name(self) -> &'static str {
        match self {
            Part::Decisions => "module",
            Part::Sockets => "sockets",
            Part::Storm => "storm",
        }
    }
}

/// The count that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Varied {
    /// Servers on the endpoint list.
    Servers,
    /// Balancers that share the servers.
    Balancers,
    /// Connections of each real balancer to servers for its own clients.
    Connections,
    /// Groups of connections.
    Groups,
    /// Endpoint list changes per second.
    ChangesPerSecond,
}

impl Varied {
    /// Name in the run's lines and in the generated pages.
    pub fn name(self) -> &'static str {
        match self {
            Varied::Servers => "servers",
            Varied::Balancers => "balancers",
            Varied::Connections => "connections",
            Varied::Groups => "groups",
            Varied::ChangesPerSecond => "changes_per_second",
        }
    }
}

/// The figures of one measurement. Figures that were not measured are left out. Figures per balancer
/// are the mean of the real balancers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Figures {
    /// Time of a call of `place` that chose a server, in microseconds: the median.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_p50_us: Option<f64>,
    /// Time of a call of `place` that chose a server, in microseconds: the 99th percentile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_p99_us: Option<f64>,
    /// Mean time of all calls of `place` for one flow, in microseconds, including the calls that
    /// queued it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_us_per_flow: Option<f64>,
    /// Calls of `place` per placed flow.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_calls_per_placement: Option<f64>,
    /// Mean number of servers that the policy considered for a placed flow, derived from the server
    /// that it chose.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub servers_per_placement: Option<f64>,
    /// Share of the flows that were placed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_share: Option<f64>,
    /// Health checks per second of a balancer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probes_per_second: Option<f64>,
    /// Bytes that the policy holds per listed server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes_per_server: Option<f64>,
    /// Bytes that the policy holds per own connection.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes_per_connection: Option<f64>,
    /// Bytes that the flow table holds per own connection.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flow_table_bytes_per_connection: Option<f64>,
    /// Payload bytes of health checks and of the endpoint list, in both directions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_bytes_per_second: Option<f64>,
    /// Payload bytes of health checks, in both directions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probe_bytes_per_second: Option<f64>,
    /// Payload bytes of the endpoint list, in both directions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_bytes_per_second: Option<f64>,
    /// Bytes of the complete endpoint list; in a storm, bytes of all list calls of all balancers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_bytes: Option<f64>,
    /// Endpoint list calls per second of a balancer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_calls_per_second: Option<f64>,
    /// Calls of all balancers that discovery answers per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery_calls_per_second: Option<f64>,
    /// CPU use of a balancer, in percent of a core.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cpu_percent_of_core: Option<f64>,
    /// Resident memory of a balancer at the end, in MB.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
    /// Peak resident memory of a balancer, in MB.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_peak_mb: Option<f64>,
    /// Open descriptors of a balancer at the end of the measurement.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<f64>,
    /// Attempts per second of a balancer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_per_second: Option<f64>,
    /// Established client connections when the measurement began.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections_up: Option<f64>,
    /// Time from a change at discovery until the new server receives its first health check or
    /// attempt, in milliseconds: the median.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change_seen_ms_p50: Option<f64>,
    /// The 99th percentile of that time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change_seen_ms_p99: Option<f64>,
    /// Changes whose new server received a health check or an attempt in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes_seen: Option<f64>,
    /// Changes whose new server received neither in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes_unseen: Option<f64>,
    /// Endpoint list calls in a storm, summed over the fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_calls: Option<f64>,
    /// Client connections that were lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections_lost: Option<f64>,
    /// Attempts for clients that connect for the first time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_first: Option<f64>,
    /// Attempts for clients whose connection was lost or migrated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_returning: Option<f64>,
    /// Attempts that retry a failed one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_retried: Option<f64>,
    /// Mean number of connections of a listed server after the storm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections_mean: Option<f64>,
    /// Highest number of connections of a listed server before the storm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections_max_before: Option<f64>,
    /// Highest number of connections of a listed server after the storm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections_max: Option<f64>,
    /// Highest number of attempts that any server received within a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connects_in_a_second_max: Option<f64>,
    /// Highest number of attempts that any new server received within a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub new_server_connects_in_a_second_max: Option<f64>,
    /// Time from the loss of a connection until its client has another, in milliseconds: the median.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_again_ms_p50: Option<f64>,
    /// The 99th percentile of that time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_again_ms_p99: Option<f64>,
    /// Share of the lost connections whose client has obtained another by the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_again_share: Option<f64>,
}

impl Figures {
    /// Returns the names and values of the figures that were measured.
    pub fn measured(&self) -> Vec<(String, f64)> {
        let value = serde_json::to_value(self).unwrap_or_default();
        let pairs = value.as_object().into_iter().flatten();
        pairs
            .filter_map(|(name, value)| Some((name.clone(), value.as_f64()?)))
            .collect()
    }
}

/// The machine that a run was made on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Processor cores.
    pub cores: u64,
    /// Total memory, in MB.
    pub memory_mb: u64,
    /// Descriptor limit of a process.
    pub descriptors: u64,
    /// Load average of the minute before the run. Times measured on a busy machine are unreliable.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_average: Option<f64>,
}

/// One line of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// The first line.
    Start {
        /// The run's name.
        run: String,
        /// The machine that the run is made on.
        machine: Machine,
        /// Names the source revision that is measured.
        text: String,
    },
    /// The figures at one size.
    Measurement {
        /// The run's name.
        run: String,
        /// The part of the run.
        part: Part,
        /// The count that grows.
        varied: Varied,
        /// The size of that count.
        size: f64,
        /// The counts and the other settings.
        fixed: Fixed,
        /// The measured figures.
        figures: Box<Figures>,
    },
    /// A straight line through the sizes of one count.
    Fit {
        /// The run's name.
        run: String,
        /// The part of the run.
        part: Part,
        /// The figure's name.
        fit: String,
        /// The count that grew.
        varied: Varied,
        /// The figure at a count of zero.
        intercept: f64,
        /// Increase of the figure per unit of the count.
        slope: f64,
        /// Root mean square of the residuals.
        residual: f64,
    },
}

/// The counts of a measurement, and the other settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fixed {
    /// The counts.
    #[serde(flatten)]
    pub counts: FlattenedCounts,
    /// Real balancers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub real_balancers: Option<u64>,
    /// Simulated balancers.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "hollow_balancers")]
    pub simulated_balancers: Option<u64>,
    /// Cost of a health check, in flows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probe_price: Option<f64>,
    /// Number of balancers that were killed in a storm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub killed: Option<u64>,
    /// Number of servers that were replaced in a storm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replaced: Option<u64>,
}

impl Fixed {
    /// Returns these counts with no other setting.
    pub fn new(counts: Counts) -> Self {
        let counts = FlattenedCounts::from(counts);
        Fixed {
            counts,
            real_balancers: None,
            simulated_balancers: None,
            probe_price: None,
            killed: None,
            replaced: None,
        }
    }
}

/// [`Counts`] as written flattened among other keys.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlattenedCounts {
    /// Servers on the endpoint list.
    pub servers: u64,
    /// Balancers that share the servers.
    pub balancers: u64,
    /// Connections of each real balancer to servers for its own clients.
    pub connections: u64,
    /// Groups of connections.
    pub groups: u64,
    /// Endpoint list changes per second.
    pub changes_per_second: f64,
}

impl From<Counts> for FlattenedCounts {
    fn from(counts: Counts) -> Self {
        let Counts {
            servers,
            balancers,
            connections,
            groups,
            changes_per_second,
        } = counts;
        FlattenedCounts {
            servers,
            balancers,
            connections,
            groups,
            changes_per_second,
        }
    }
}

/// Writes each line with a single call, then flushes it.
pub struct LineWriter<W: Write> {
    out: W,
    /// The lines written so far, for the table and the plot.
    pub lines: Vec<Line>,
}

impl LineWriter<File> {
    /// Creates the file and returns a writer to it.
    ///
    /// # Errors
    /// The file could not be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(LineWriter::new(File::create(path)?))
    }
}

impl<W: Write> LineWriter<W> {
    /// Returns a writer that has not written any line.
    pub fn new(out: W) -> Self {
        LineWriter {
            out,
            lines: Vec::new(),
        }
    }

    /// Writes one line.
    ///
    /// # Errors
    /// The line could not be serialized, written or flushed.
    pub fn write(&mut self, line: Line) -> io::Result<()> {
        let mut text = serde_json::to_string(&line)?;
        text.push('\n');
        // One call for the complete line: if the process is killed between two calls, no partial
        // line is left.
        self.out.write_all(text.as_bytes())?;
        self.out.flush()?;
        self.lines.push(line);
        Ok(())
    }
}

/// A line of a run could not be parsed.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct LineError {
    /// Line number, counted from one.
    pub line: usize,
    /// The JSON parser's error.
    pub source: serde_json::Error,
}

/// Parses the lines of a run.
///
/// # Errors
/// The error names the first line that could not be parsed.
pub fn parse(text: &str) -> Result<Vec<Line>, LineError> {
    let lines = text.lines().enumerate();
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|source| LineError {
                line: index + 1,
                source,
            })
        })
        .collect()
}
