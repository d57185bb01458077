//! What a scale run writes: one JSON object a line, each whole and flushed before the next size
//! begins, so that a run that is cut off leaves whole lines only. It owns the form, which
//! docs/operators/scale.md describes.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::scenario::Counts;

/// The part of a run that a measurement is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// The policy and the flow table alone.
    #[serde(rename = "module")]
    Decisions,
    /// Real balancers on loopback sockets.
    Sockets,
    /// Failures of many processes at once.
    Storm,
}

impl Part {
    /// As it stands in the run and in the pages.
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
    /// Own connections of each real balancer.
    Connections,
    /// Groups of connections.
    Groups,
    /// Changes of the endpoint list a second.
    ChangesPerSecond,
}

impl Varied {
    /// As it stands in the run and in the pages.
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

/// The figures of one measurement; those that weren't measured are left out. Figures a second and
/// of a balancer are the mean of the real balancers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Figures {
    /// Time of one call of `place` that gave a server, median and 99th percentile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_p50_us: Option<f64>,
    /// The 99th percentile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_p99_us: Option<f64>,
    /// Time of all calls of `place` for one flow, those that held it too: the mean.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_us_per_flow: Option<f64>,
    /// Calls of `place` for each flow that was placed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place_calls_per_placement: Option<f64>,
    /// Servers that the policy looked at for a flow that it gave a server: the mean, worked out
    /// from where it went.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub servers_per_placement: Option<f64>,
    /// Part of the flows that were given a server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_share: Option<f64>,
    /// Health checks of a balancer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probes_per_second: Option<f64>,
    /// Bytes that the policy keeps of each listed server, of each own connection, and the flow
    /// table of each flow.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes_per_server: Option<f64>,
    /// Of each own connection.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes_per_connection: Option<f64>,
    /// Of each flow in the flow table.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flow_table_bytes_per_connection: Option<f64>,
    /// Payload of health checks and of the endpoint list, both ways.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_bytes_per_second: Option<f64>,
    /// Payload of health checks, both ways.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probe_bytes_per_second: Option<f64>,
    /// Payload of the endpoint list, both ways.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_bytes_per_second: Option<f64>,
    /// Of the whole list, or in a storm of all calls by all balancers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_bytes: Option<f64>,
    /// Calls of a balancer for the endpoint list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_calls_per_second: Option<f64>,
    /// Calls that discovery answers a second, of all balancers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery_calls_per_second: Option<f64>,
    /// Processor of a balancer, in percent of a core.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cpu_percent_of_core: Option<f64>,
    /// Resident at the end, and at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
    /// Resident at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_peak_mb: Option<f64>,
    /// Open descriptors of a balancer at the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<f64>,
    /// Attempts of a balancer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_per_second: Option<f64>,
    /// Clients' connections that were up when the measurement began.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections_up: Option<f64>,
    /// From a change at discovery until the new server gets its first health check or attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change_seen_ms_p50: Option<f64>,
    /// The 99th percentile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change_seen_ms_p99: Option<f64>,
    /// Changes whose new server was seen in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes_seen: Option<f64>,
    /// Changes whose new server wasn't.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes_unseen: Option<f64>,
    /// In a storm, summed over the fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_calls: Option<f64>,
    /// Connections that broke.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections_lost: Option<f64>,
    /// Attempts for clients that come for the first time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_first: Option<f64>,
    /// Attempts for clients whose connection broke or was moved.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_returning: Option<f64>,
    /// Attempts after one that failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connects_retried: Option<f64>,
    /// Connections at each listed server before the storm and after it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections_mean: Option<f64>,
    /// The most at one server before the storm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections_max_before: Option<f64>,
    /// The most at one server after it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connections_max: Option<f64>,
    /// The most attempts that any server was sent within a second, and any server that was new.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_connects_in_a_second_max: Option<f64>,
    /// The most that any new server was sent within a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub new_server_connects_in_a_second_max: Option<f64>,
    /// From the loss of a connection until its client holds another.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_again_ms_p50: Option<f64>,
    /// The 99th percentile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_again_ms_p99: Option<f64>,
    /// Part of the lost connections whose client holds another at the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placed_again_share: Option<f64>,
}

impl Figures {
    /// Names and values of those that were measured.
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
    /// All memory, in MB.
    pub memory_mb: u64,
    /// Descriptors that a process may have.
    pub descriptors: u64,
    /// Processes that ran or waited on it in the minute before: a busy machine's times are no good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_average: Option<f64>,
}

/// One line of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// The first one.
    Start {
        /// The run's name.
        run: String,
        /// The machine that it is made on.
        machine: Machine,
        /// Names the text that is measured.
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
        /// Its size.
        size: f64,
        /// The counts and what else was set.
        fixed: Fixed,
        /// What was measured.
        figures: Box<Figures>,
    },
    /// A straight line through the sizes of one count; `residual` is the root mean square of what
    /// it misses by.
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
        /// How much the figure grows with one more.
        slope: f64,
        /// The root mean square of what the line misses by.
        residual: f64,
    },
}

/// The counts of a measurement, and what else was set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fixed {
    /// The counts.
    #[serde(flatten)]
    pub counts: Counted,
    /// Real balancers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub real_balancers: Option<u64>,
    /// Simulated balancers.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "hollow_balancers")]
    pub simulated_balancers: Option<u64>,
    /// What a health check costs, in flows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probe_price: Option<f64>,
    /// In a storm: balancers that were killed, or servers that were replaced.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub killed: Option<u64>,
    /// Servers that were replaced.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replaced: Option<u64>,
}

impl Fixed {
    /// Returns these counts with nothing else set.
    pub fn new(counts: Counts) -> Self {
        let counts = Counted::from(counts);
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

/// [`Counts`] as they are written inside of other keys.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Counted {
    /// Servers on the endpoint list.
    pub servers: u64,
    /// Balancers that share the servers.
    pub balancers: u64,
    /// Own connections of each real balancer.
    pub connections: u64,
    /// Groups of connections.
    pub groups: u64,
    /// Changes of the endpoint list a second.
    pub changes_per_second: f64,
}

impl From<Counts> for Counted {
    fn from(counts: Counts) -> Self {
        let Counts {
            servers,
            balancers,
            connections,
            groups,
            changes_per_second,
        } = counts;
        Counted {
            servers,
            balancers,
            connections,
            groups,
            changes_per_second,
        }
    }
}

/// Writes lines, each with one call and flushed.
pub struct LineWriter<W: Write> {
    out: W,
    /// What was written, for the table and the plot.
    pub lines: Vec<Line>,
}

impl LineWriter<File> {
    /// Writes to a new file.
    ///
    /// # Errors
    /// It can't be made.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(LineWriter::new(File::create(path)?))
    }
}

impl<W: Write> LineWriter<W> {
    /// Returns a writer that has written nothing.
    pub fn new(out: W) -> Self {
        LineWriter {
            out,
            lines: Vec::new(),
        }
    }

    /// Writes one line.
    ///
    /// # Errors
    /// As writing has them.
    pub fn write(&mut self, line: Line) -> io::Result<()> {
        let mut text = serde_json::to_string(&line)?;
        text.push('\n');
        // Whole in one call: guards against a half line where the run is ended between two.
        self.out.write_all(text.as_bytes())?;
        self.out.flush()?;
        self.lines.push(line);
        Ok(())
    }
}

/// A line of a run that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct LineError {
    /// The line, counted from one.
    pub line: usize,
    /// What the JSON reader found.
    pub source: serde_json::Error,
}

/// Reads the lines of a run.
///
/// # Errors
/// Names the line that is none.
pub fn read(text: &str) -> Result<Vec<Line>, LineError> {
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
