//! Scale scenarios: which counts are fixed, which grow, and to which sizes. This module owns the
//! names of the scenario keys and the errors that name file, key and reason. It never runs anything.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::measurement::Varied;
use crate::file::{self, ScenarioFileError, ScenarioProblem};

/// A scenario as read from its file. A part that the file leaves out is not run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleScenario {
    /// The name of the run in all its lines.
    pub name: String,
    /// Seed of all random draws of the run.
    #[serde(default)]
    pub seed: u64,
    /// The resources that the run may use.
    #[serde(default)]
    pub limits: LimitKeys,
    /// Measures the policy and the flow table without sockets.
    pub module: Option<DecisionsPart>,
    /// Measures a fleet on sockets.
    pub sockets: Option<SocketPart>,
    /// Measures storms on a fleet on sockets.
    pub storm: Option<StormPart>,
}

/// Resources that the testbed and its processes may use. The system's limits apply as well.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitKeys {
    /// Memory of all processes together, in MB.
    pub memory_mb: u64,
    /// Processes, this one included.
    pub processes: u64,
    /// Descriptors of each process. The system's limit applies if it is lower or if this is `None`.
    pub descriptors: Option<u64>,
}

impl Default for LimitKeys {
    fn default() -> Self {
        LimitKeys {
            memory_mb: 12 * 1024,
            processes: 200,
            descriptors: None,
        }
    }
}

/// The counts at which a size is measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Servers on the endpoint list.
    pub servers: u64,
    /// All balancers that share the servers, real and simulated.
    pub balancers: u64,
    /// Connections of each real balancer to servers for its own clients.
    pub connections: u64,
    /// Groups of connections.
    pub groups: u64,
    /// Endpoint list changes per second.
    #[serde(default)]
    pub changes_per_second: f64,
}

impl Counts {
    /// Returns these counts with the varied one set to this size.
    pub fn with(mut self, varied: Varied, size: f64) -> Self {
        match varied {
            Varied::Servers => self.servers = size as u64,
            Varied::Balancers => self.balancers = size as u64,
            Varied::Connections => self.connections = size as u64,
            Varied::Groups => self.groups = size as u64,
            Varied::ChangesPerSecond => self.changes_per_second = size,
        }
        self
    }
}

/// The sizes of each count that grows, one count at a time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sizes {
    /// Servers on the endpoint list.
    pub servers: Vec<f64>,
    /// Balancers that share the servers.
    pub balancers: Vec<f64>,
    /// Connections of each real balancer to servers for its own clients.
    pub connections: Vec<f64>,
    /// Groups of connections.
    pub groups: Vec<f64>,
    /// Endpoint list changes per second.
    pub changes_per_second: Vec<f64>,
}

impl Sizes {
    /// Each count with its sizes, in the order in which they are measured.
    pub fn all(&self) -> [(Varied, &[f64]); 5] {
        [
            (Varied::Servers, &self.servers),
            (Varied::Balancers, &self.balancers),
            (Varied::Connections, &self.connections),
            (Varied::Groups, &self.groups),
            (Varied::ChangesPerSecond, &self.changes_per_second),
        ]
    }
}

/// Measurement of the policy and the flow table without sockets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionsPart {
    /// The counts at their fixed sizes, used while another count grows.
    pub fixed: Counts,
    /// The sizes of the counts that grow.
    #[serde(default)]
    pub sizes: Sizes,
    /// Flows that are placed at each size.
    pub placements: u64,
    /// New flows per second of virtual time.
    pub placements_per_second: f64,
    /// Cost of a health check, in flows.
    #[serde(default)]
    pub probe_price: f64,
    /// Whether balancers gossip the placements of groups to one another.
    #[serde(default, alias = "may_tell")]
    pub may_gossip: bool,
}

/// Measurement of real and simulated balancers on sockets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SocketPart {
    /// The counts at their fixed sizes, used while another count grows.
    pub fixed: Counts,
    /// The sizes of the counts that grow.
    #[serde(default)]
    pub sizes: Sizes,
    /// Real balancers.
    pub real_balancers: u64,
    /// Highest number of simulated balancers, even if the settings say that more balancers share
    /// the servers.
    #[serde(rename = "hollow_limit")]
    pub simulated_balancers_max: u64,
    /// Connections of each simulated balancer.
    #[serde(rename = "hollow_connections")]
    pub connections_per_simulated_balancer: u64,
    /// Health checks per second of each simulated balancer.
    #[serde(rename = "hollow_probes_per_second")]
    pub probes_per_second_of_simulated_balancer: f64,
    /// Cost of a health check, in flows.
    #[serde(default)]
    pub probe_price: f64,
    /// Mean life of a client's connection, in seconds.
    pub connection_seconds: f64,
    /// Seconds from the start until the measurement begins.
    pub settle_seconds: f64,
    /// Duration of the measurement, in seconds.
    pub measure_seconds: f64,
}

/// Measurement of two storms: many balancers killed at once, and many servers replaced at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StormPart {
    /// The counts of the fleet.
    pub fixed: Counts,
    /// Real balancers.
    pub real_balancers: u64,
    /// Connections of each simulated balancer.
    #[serde(rename = "hollow_connections")]
    pub connections_per_simulated_balancer: u64,
    /// Health checks per second of each simulated balancer.
    #[serde(rename = "hollow_probes_per_second")]
    pub probes_per_second_of_simulated_balancer: f64,
    /// Number of balancers that are killed in the first storm.
    pub killed: u64,
    /// Number of servers that are replaced in the second storm.
    pub replaced: u64,
    /// Seconds from the start until the storm.
    pub settle_seconds: f64,
    /// Duration of the measurement from the start of the storm, in seconds.
    pub measure_seconds: f64,
}

impl ScaleScenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// The error names the file and the invalid key, and for an unknown key the nearest known one.
    pub fn load(file: &Path) -> Result<Self, ScenarioFileError> {
        let text = std::fs::read_to_string(file)
            .map_err(|e| ScenarioFileError::new(file, file::WHOLE_FILE, ScenarioProblem::Io(e)))?;
        Self::parse(&text, file)
    }

    /// Parses the text of a scenario. Errors name `file`.
    ///
    /// # Errors
    /// As [`ScaleScenario::load`].
    pub fn parse(text: &str, file: &Path) -> Result<Self, ScenarioFileError> {
        let scenario: Self = toml::from_str(text).map_err(|error| {
            let (key, problem) = file::key_and_problem(error.message());
            // For a value of the wrong type the error has only a position: the key is taken from
            // the line at that position.
            let line_key = error.span().and_then(|span| key_at(text, span.start));
            let key = line_key.filter(|_| key == file::WHOLE_FILE).unwrap_or(key);
            ScenarioFileError::new(file, key, problem)
        })?;
        scenario
            .check()
            .map_err(|InvalidKey { key, problem }| ScenarioFileError::new(file, key, problem))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), InvalidKey> {
        if let Some(module) = &self.module {
            check_counts("module", &module.fixed, &module.sizes)?;
            check_positive("module.placements", module.placements as f64)?;
            check_positive("module.placements_per_second", module.placements_per_second)?;
        }
        if let Some(sockets) = &self.sockets {
            check_counts("sockets", &sockets.fixed, &sockets.sizes)?;
            check_positive("sockets.real_balancers", sockets.real_balancers as f64)?;
            check_positive("sockets.connection_seconds", sockets.connection_seconds)?;
            check_seconds("sockets.settle_seconds", sockets.settle_seconds)?;
            check_seconds("sockets.measure_seconds", sockets.measure_seconds)?;
        }
        if let Some(storm) = &self.storm {
            check_counts("storm", &storm.fixed, &Sizes::default())?;
            check_at_most(
                "storm.real_balancers",
                storm.real_balancers,
                "storm.fixed.balancers",
                storm.fixed.balancers,
            )?;
            check_at_most(
                "storm.killed",
                storm.killed,
                "storm.fixed.balancers",
                storm.fixed.balancers - 1,
            )?;
            check_at_most(
                "storm.replaced",
                storm.replaced,
                "storm.fixed.servers",
                storm.fixed.servers - 1,
            )?;
            check_seconds("storm.settle_seconds", storm.settle_seconds)?;
            check_seconds("storm.measure_seconds", storm.measure_seconds)?;
        }
        Ok(())
    }
}

/// Longest duration of a single phase, which bounds the time of a run.
const PHASE_SECONDS_MAX: f64 = 60.0;
/// Largest count, which guards against sizes with a digit too many.
const SIZE_MAX: f64 = 1e8;

/// A key of a scale scenario with an invalid value.
struct InvalidKey {
    key: String,
    problem: ScenarioProblem,
}

fn check_positive(key: &str, value: f64) -> Result<(), InvalidKey> {
    let valid = value.is_finite() && value > 0.0 && value <= SIZE_MAX;
    if valid {
        Ok(())
    } else {
        Err(InvalidKey {
            key: key.into(),
            problem: ScenarioProblem::OutOfRange {
                value,
                limit: SIZE_MAX,
            },
        })
    }
}

fn check_seconds(key: &str, value: f64) -> Result<(), InvalidKey> {
    let valid = value.is_finite() && value > 0.0 && value <= PHASE_SECONDS_MAX;
    if valid {
        Ok(())
    } else {
        Err(InvalidKey {
            key: key.into(),
            problem: ScenarioProblem::DurationOutOfRange {
                value,
                limit: PHASE_SECONDS_MAX,
            },
        })
    }
}

fn check_at_most(key: &str, value: u64, other: &'static str, limit: u64) -> Result<(), InvalidKey> {
    if value <= limit {
        Ok(())
    } else {
        Err(InvalidKey {
            key: key.into(),
            problem: ScenarioProblem::TooMany {
                value,
                other,
                limit,
            },
        })
    }
}

fn check_counts(part: &str, fixed: &Counts, sizes: &Sizes) -> Result<(), InvalidKey> {
    check_positive(&format!("{part}.fixed.servers"), fixed.servers as f64)?;
    check_positive(&format!("{part}.fixed.balancers"), fixed.balancers as f64)?;
    check_positive(
        &format!("{part}.fixed.connections"),
        fixed.connections as f64,
    )?;
    check_positive(&format!("{part}.fixed.groups"), fixed.groups as f64)?;
    for (varied, sizes) in sizes.all() {
        for size in sizes {
            check_positive(&format!("{part}.sizes.{}", varied.name()), *size)?;
        }
    }
    Ok(())
}

/// Returns the key of the line that contains the byte at this offset.
fn key_at(text: &str, offset: usize) -> Option<String> {
    let line_start = text[..offset].rfind('\n').map_or(0, |newline| newline + 1);
    let line = text[line_start..].lines().next()?;
    let (key, _) = line.split_once('=')?;
    Some(key.trim().to_string())
}
