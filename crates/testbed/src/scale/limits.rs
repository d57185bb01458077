//! Estimates of the resources that a size needs, and the limits of the machine and the scenario. This
//! module never starts anything. A size that would exceed a limit is reported and not started.

use std::fmt;

use rustix::process::{Resource, Rlimit};

use super::scenario::Counts;
use super::scenario::{DecisionsPart, LimitKeys, SocketPart, StormPart};

/// Memory of the testbed process itself. This and the estimates below are rounded up to twice the
/// actual use.
const TESTBED_MB: u64 = 64;
/// Memory of a real balancer without its servers and connections.
const REAL_BALANCER_MB: u64 = 24;
/// Memory per listed server, in the testbed and in each real balancer.
const SERVER_BYTES: u64 = 4 << 10;
/// Memory of a simulated balancer per listed server.
const SIMULATED_SERVER_BYTES: u64 = 96;
/// Memory of a client's or a server's end of a connection.
const CONNECTION_BYTES: u64 = 4 << 10;
/// Memory of an own connection with its flow table entry, if the policy is measured alone.
const OWN_CONNECTION_BYTES: u64 = 2 << 10;
/// Descriptors of a process that are not connections.
const STANDING_DESCRIPTORS: u64 = 64;
/// Health checks and discovery may hold a balancer's descriptors divided by this. The rest are for the
/// connections of its clients and servers.
const HEALTH_CHECK_DESCRIPTORS_DIVISOR: u64 = 16;

/// A limited resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitedResource {
    /// Memory, in MB.
    Memory,
    /// Descriptors of one process.
    Descriptors,
    /// Processes.
    Processes,
}

impl fmt::Display for LimitedResource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            LimitedResource::Memory => "memory (MB)",
            LimitedResource::Descriptors => "descriptors of one process",
            LimitedResource::Processes => "processes",
        })
    }
}

/// A limit that a size would exceed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// The limited resource.
    pub resource: LimitedResource,
    /// Amount that the size needs.
    pub needed: u64,
    /// Amount that is allowed.
    pub limit: u64,
}

impl fmt::Display for Exceeded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "would pass the limit of {}: needs {}, {} allowed",
            self.resource, self.needed, self.limit
        )
    }
}

/// The resources that a run may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of all processes together, in MB.
    pub memory_mb: u64,
    /// Descriptors of each process.
    pub descriptors: u64,
    /// Processes, this one included.
    pub processes: u64,
}

impl Limits {
    /// Returns for each resource the lower one of the scenario's and the system's limit. Raises the
    /// descriptor limit of this process to the maximum that the system allows.
    pub fn from_scenario(keys: &LimitKeys) -> Self {
        let system = rustix::process::getrlimit(Resource::Nofile);
        let all = Rlimit {
            current: system.maximum,
            maximum: system.maximum,
        };
        let _ = rustix::process::setrlimit(Resource::Nofile, all);
        let system_descriptors = system.maximum.unwrap_or(u64::MAX);
        let descriptors = keys.descriptors.unwrap_or(u64::MAX).min(system_descriptors);
        let memory_mb = keys
            .memory_mb
            .min(available_memory_mb().unwrap_or(u64::MAX));
        Limits {
            memory_mb,
            descriptors,
            processes: keys.processes,
        }
    }

    /// Checks that the need is within all limits.
    ///
    /// # Errors
    /// The first limit that the need exceeds.
    pub fn check(&self, need: &Need) -> Result<(), Exceeded> {
        let resources = [
            (LimitedResource::Memory, need.memory_mb, self.memory_mb),
            (
                LimitedResource::Descriptors,
                need.descriptors,
                self.descriptors,
            ),
            (LimitedResource::Processes, need.processes, self.processes),
        ];
        let exceeded = resources
            .into_iter()
            .find(|(_, needed, limit)| needed > limit);
        exceeded.map_or(Ok(()), |(resource, needed, limit)| {
            Err(Exceeded {
                resource,
                needed,
                limit,
            })
        })
    }
}

fn available_memory_mb() -> Option<u64> {
    memory_mb("MemAvailable:")
}

/// Total memory of the machine.
pub fn total_memory_mb() -> Option<u64> {
    memory_mb("MemTotal:")
}

/// The system's load average over the last minute.
pub fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

fn memory_mb(name: &str) -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes >> 10)
}

/// The resources that a size needs. Memory and processes are totals; descriptors are those of the
/// process that needs the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors of the process that needs the most.
    pub descriptors: u64,
    /// Processes, this one included.
    pub processes: u64,
}

/// Returns the need of a measurement of the policy alone at these counts.
pub fn decisions_need(counts: &Counts, _part: &DecisionsPart) -> Need {
    let bytes = counts.servers * SERVER_BYTES + counts.connections * OWN_CONNECTION_BYTES;
    Need {
        memory_mb: TESTBED_MB + (bytes >> 20),
        descriptors: STANDING_DESCRIPTORS,
        processes: 1,
    }
}

/// Returns the need of a fleet on sockets at these counts.
pub fn sockets_need(counts: &Counts, part: &SocketPart, descriptors_per_process: u64) -> Need {
    let simulated = counts
        .balancers
        .saturating_sub(part.real_balancers)
        .min(part.simulated_balancers_max);
    of_fleet(
        counts,
        part.real_balancers,
        simulated,
        part.connections_per_simulated_balancer,
        descriptors_per_process,
    )
}

/// Returns the need of a storm.
pub fn storm_need(part: &StormPart, descriptors_per_process: u64) -> Need {
    let simulated = part.fixed.balancers - part.real_balancers;
    of_fleet(
        &part.fixed,
        part.real_balancers,
        simulated,
        part.connections_per_simulated_balancer,
        descriptors_per_process,
    )
}

fn of_fleet(
    counts: &Counts,
    real: u64,
    simulated: u64,
    connections_per_simulated_balancer: u64,
    descriptors_per_process: u64,
) -> Need {
    let probes_per_balancer = counts
        .servers
        .min(descriptors_per_process / HEALTH_CHECK_DESCRIPTORS_DIVISOR);
    // Descriptors in the testbed process: both ends of each connection of a simulated balancer,
    // and for a real balancer the clients' ends and the servers' ends of its connections.
    let simulated_ends = simulated * (2 + 2 * connections_per_simulated_balancer + 2);
    let real_ends = real * (2 * counts.connections + probes_per_balancer + 1);
    let balancer_connections = 2 * counts.connections + probes_per_balancer;
    let connections = simulated_ends + real_ends;
    let bytes = counts.servers * SERVER_BYTES
        + simulated * counts.servers * SIMULATED_SERVER_BYTES
        + connections * CONNECTION_BYTES
        + real * counts.servers * SERVER_BYTES;
    Need {
        memory_mb: TESTBED_MB + real * REAL_BALANCER_MB + (bytes >> 20),
        descriptors: STANDING_DESCRIPTORS + connections.max(balancer_connections),
        processes: 1 + real,
    }
}
