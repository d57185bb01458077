//! Scale scenarios: which counts are fixed, which grow and to what. It owns the names of their keys
//! and the errors that name file, key and reason. It must never run anything.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::measurement::Varied;
use crate::file::{self, ScenarioFileError, ScenarioProblem};

/// A scenario as its file has it. A part that is left out isn't run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleScenario {
    /// The name of the run in all its lines.
    pub name: String,
    /// What all random draws of the run come from.
    #[serde(default)]
    pub seed: u64,
    /// What the run may take.
    #[serde(default)]
    pub limits: LimitKeys,
    /// Measures the policy and the flow table alone.
    pub module: Option<DecisionsPart>,
    /// Measures a fleet on sockets.
    pub sockets: Option<SocketPart>,
    /// Measures storms on a fleet on sockets.
    pub storm: Option<StormPart>,
}

/// What the testbed and its processes may take, beside what the system allows.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitKeys {
    /// Memory of all processes together, in MB.
    pub memory_mb: u64,
    /// Processes, this one included.
    pub processes: u64,
    /// Of each process; the system's limit where this is larger or left out.
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

/// The counts that a run is made at.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Servers on the endpoint list.
    pub servers: u64,
    /// All balancers that share the servers, real and simulated.
    pub balancers: u64,
    /// Own connections of each real balancer.
    pub connections: u64,
    /// Groups of connections.
    pub groups: u64,
    /// Changes of the endpoint list a second.
    #[serde(default)]
    pub changes_per_second: f64,
}

impl Counts {
    /// The same with one of them at this size.
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
    /// Own connections of each real balancer.
    pub connections: Vec<f64>,
    /// Groups of connections.
    pub groups: Vec<f64>,
    /// Changes of the endpoint list a second.
    pub changes_per_second: Vec<f64>,
}

impl Sizes {
    /// Each count with its sizes, in the order in which they are run.
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

/// The policy and the flow table alone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionsPart {
    /// The counts that don't grow meanwhile.
    pub fixed: Counts,
    /// The sizes of those that grow.
    #[serde(default)]
    pub sizes: Sizes,
    /// Flows that are placed at each size.
    pub placements: u64,
    /// New flows a second of virtual time.
    pub placements_per_second: f64,
    /// What a health check costs, in flows.
    #[serde(default)]
    pub probe_price: f64,
    /// Whether balancers tell one another what is held where.
    #[serde(default, alias = "may_tell")]
    pub may_gossip: bool,
}

/// Real balancers beside simulated ones, on sockets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SocketPart {
    /// The counts that don't grow meanwhile.
    pub fixed: Counts,
    /// The sizes of those that grow.
    #[serde(default)]
    pub sizes: Sizes,
    /// Real balancers.
    pub real_balancers: u64,
    /// Simulated balancers are no more than this, also where more are told to share the servers.
    pub hollow_limit: u64,
    /// Connections of each simulated balancer.
    pub hollow_connections: u64,
    /// Health checks a second of each simulated balancer.
    pub hollow_probes_per_second: f64,
    /// What a health check costs, in flows.
    #[serde(default)]
    pub probe_price: f64,
    /// Mean life of a client's connection.
    pub connection_seconds: f64,
    /// Seconds from the start until the measurement begins.
    pub settle_seconds: f64,
    /// Seconds that are measured.
    pub measure_seconds: f64,
}

/// Many balancers killed at once, and many servers replaced at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StormPart {
    /// The counts of the fleet.
    pub fixed: Counts,
    /// Real balancers.
    pub real_balancers: u64,
    /// Connections of each simulated balancer.
    pub hollow_connections: u64,
    /// Health checks a second of each simulated balancer.
    pub hollow_probes_per_second: f64,
    /// Balancers that are killed in the first storm.
    pub killed: u64,
    /// Servers that are replaced in the second.
    pub replaced: u64,
    /// Seconds from the start until the storm.
    pub settle_seconds: f64,
    /// Seconds from the storm on that are measured.
    pub measure_seconds: f64,
}

impl ScaleScenario {
    /// Reads a scenario's file.
    ///
    /// # Errors
    /// Names the file and the key at fault; an unknown key with the nearest known one.
    pub fn load(file: &Path) -> Result<Self, ScenarioFileError> {
        let text = std::fs::read_to_string(file)
            .map_err(|e| ScenarioFileError::new(file, file::WHOLE_FILE, ScenarioProblem::Io(e)))?;
        Self::parse(&text, file)
    }

    /// Reads a scenario's text; `file` is named in errors.
    ///
    /// # Errors
    /// As [`ScaleScenario::load`].
    pub fn parse(text: &str, file: &Path) -> Result<Self, ScenarioFileError> {
        let scenario: Self = toml::from_str(text).map_err(|error| {
            let (key, problem) = file::key_and_problem(error.message());
            // A value of the wrong kind is told by its place alone: the line names its key.
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
            positive("module.placements", module.placements as f64)?;
            positive("module.placements_per_second", module.placements_per_second)?;
        }
        if let Some(sockets) = &self.sockets {
            check_counts("sockets", &sockets.fixed, &sockets.sizes)?;
            positive("sockets.real_balancers", sockets.real_balancers as f64)?;
            positive("sockets.connection_seconds", sockets.connection_seconds)?;
            seconds("sockets.settle_seconds", sockets.settle_seconds)?;
            seconds("sockets.measure_seconds", sockets.measure_seconds)?;
        }
        if let Some(storm) = &self.storm {
            check_counts("storm", &storm.fixed, &Sizes::default())?;
            at_most(
                "storm.real_balancers",
                storm.real_balancers,
                "storm.fixed.balancers",
                storm.fixed.balancers,
            )?;
            at_most(
                "storm.killed",
                storm.killed,
                "storm.fixed.balancers",
                storm.fixed.balancers - 1,
            )?;
            at_most(
                "storm.replaced",
                storm.replaced,
                "storm.fixed.servers",
                storm.fixed.servers - 1,
            )?;
            seconds("storm.settle_seconds", storm.settle_seconds)?;
            seconds("storm.measure_seconds", storm.measure_seconds)?;
        }
        Ok(())
    }
}

/// A single phase takes no longer than this: a run is bounded in time.
const SECONDS_LIMIT: f64 = 60.0;
/// Guards against sizes with a digit too many.
const SIZE_LIMIT: f64 = 1e8;

/// A key of a scale scenario whose value cannot be used.
struct InvalidKey {
    key: String,
    problem: ScenarioProblem,
}

fn positive(key: &str, value: f64) -> Result<(), InvalidKey> {
    let good = value.is_finite() && value > 0.0 && value <= SIZE_LIMIT;
    if good {
        Ok(())
    } else {
        Err(InvalidKey {
            key: key.into(),
            problem: ScenarioProblem::OutOfRange {
                value,
                limit: SIZE_LIMIT,
            },
        })
    }
}

fn seconds(key: &str, value: f64) -> Result<(), InvalidKey> {
    let good = value.is_finite() && value > 0.0 && value <= SECONDS_LIMIT;
    if good {
        Ok(())
    } else {
        Err(InvalidKey {
            key: key.into(),
            problem: ScenarioProblem::DurationOutOfRange {
                value,
                limit: SECONDS_LIMIT,
            },
        })
    }
}

fn at_most(key: &str, value: u64, other: &'static str, limit: u64) -> Result<(), InvalidKey> {
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
    positive(&format!("{part}.fixed.servers"), fixed.servers as f64)?;
    positive(&format!("{part}.fixed.balancers"), fixed.balancers as f64)?;
    positive(
        &format!("{part}.fixed.connections"),
        fixed.connections as f64,
    )?;
    positive(&format!("{part}.fixed.groups"), fixed.groups as f64)?;
    for (varied, sizes) in sizes.all() {
        for size in sizes {
            positive(&format!("{part}.sizes.{}", varied.name()), *size)?;
        }
    }
    Ok(())
}

/// The key of the line that this byte of the text is in.
fn key_at(text: &str, at: usize) -> Option<String> {
    let line_start = text[..at].rfind('\n').map_or(0, |newline| newline + 1);
    let line = text[line_start..].lines().next()?;
    let (key, _) = line.split_once('=')?;
    Some(key.trim().to_string())
}
