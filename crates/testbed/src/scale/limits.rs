//! What a size would need, and what the machine and the scenario allow. It owns the estimates and
//! must never start anything: a size that would pass a limit is named and not begun.

use std::fmt;

use rustix::process::{Resource, Rlimit};

use super::scenario::Counts;
use super::scenario::{DecisionsPart, LimitKeys, SocketPart, StormPart};

/// Memory of the testbed itself, and of each thing that it keeps; measured ones are rounded up to
/// twice.
const TESTBED_MB: u64 = 64;
const REAL_BALANCER_MB: u64 = 24;
const SERVER_BYTES: u64 = 4 << 10;
/// A simulated balancer keeps so much of each listed server, a client or the server's end of a
/// connection so much.
const SIMULATED_SERVER_BYTES: u64 = 96;
const CONNECTION_BYTES: u64 = 4 << 10;
/// In the policy alone: an own connection with its place in the flow table.
const OWN_BYTES: u64 = 2 << 10;
/// Descriptors that a process has beside its connections.
const STANDING_DESCRIPTORS: u64 = 64;
/// Part of a balancer's descriptors that its health checks and discovery may hold; the rest are its
/// clients' and servers'.
const HEALTH_CHECK_PART: u64 = 16;

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resources {
    /// Memory, in MB.
    Memory,
    /// Descriptors of one process.
    Descriptors,
    /// Processes.
    Processes,
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Resources::Memory => "memory (MB)",
            Resources::Descriptors => "descriptors of one process",
            Resources::Processes => "processes",
        })
    }
}

/// A limit that a size would pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// What is limited.
    pub resource: Resources,
    /// How much the size needs.
    pub needed: u64,
    /// How much is allowed.
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

/// What a run may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of all processes together, in MB.
    pub memory_mb: u64,
    /// Of each process.
    pub descriptors: u64,
    /// Processes, this one included.
    pub processes: u64,
}

impl Limits {
    /// The scenario's, or the system's where those are lower. Takes all descriptors that the system
    /// lets this process have.
    pub fn of(keys: &LimitKeys) -> Self {
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

    /// Whether all of this is allowed.
    ///
    /// # Errors
    /// The first limit that it would pass.
    pub fn allow(&self, need: &Need) -> Result<(), Exceeded> {
        let each = [
            (Resources::Memory, need.memory_mb, self.memory_mb),
            (Resources::Descriptors, need.descriptors, self.descriptors),
            (Resources::Processes, need.processes, self.processes),
        ];
        let passed = each.into_iter().find(|(_, needed, limit)| needed > limit);
        passed.map_or(Ok(()), |(resource, needed, limit)| {
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

/// All memory of the machine.
pub fn total_memory_mb() -> Option<u64> {
    memory_mb("MemTotal:")
}

/// The system's load average of the last minute.
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

/// What a size would take, all processes together; descriptors are those of the process that needs
/// most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors of the process that needs most.
    pub descriptors: u64,
    /// Processes, this one included.
    pub processes: u64,
}

/// What the policy alone needs at these counts.
pub fn of_decisions(counts: &Counts, _part: &DecisionsPart) -> Need {
    let bytes = counts.servers * SERVER_BYTES + counts.connections * OWN_BYTES;
    Need {
        memory_mb: TESTBED_MB + (bytes >> 20),
        descriptors: STANDING_DESCRIPTORS,
        processes: 1,
    }
}

/// What a fleet on sockets needs at these counts.
pub fn of_sockets(counts: &Counts, part: &SocketPart, descriptors_of_each: u64) -> Need {
    let simulated = counts
        .balancers
        .saturating_sub(part.real_balancers)
        .min(part.hollow_limit);
    of_fleet(
        counts,
        part.real_balancers,
        simulated,
        part.hollow_connections,
        descriptors_of_each,
    )
}

/// What a storm needs.
pub fn of_storm(part: &StormPart, descriptors_of_each: u64) -> Need {
    let simulated = part.fixed.balancers - part.real_balancers;
    of_fleet(
        &part.fixed,
        part.real_balancers,
        simulated,
        part.hollow_connections,
        descriptors_of_each,
    )
}

fn of_fleet(
    counts: &Counts,
    real: u64,
    simulated: u64,
    hollow_connections: u64,
    descriptors_of_each: u64,
) -> Need {
    let probes_of_each = counts.servers.min(descriptors_of_each / HEALTH_CHECK_PART);
    // In the testbed: both ends of what is simulated, the clients' and the servers' ends of what is
    // real.
    let of_simulated = simulated * (2 + 2 * hollow_connections + 2);
    let of_real = real * (2 * counts.connections + probes_of_each + 1);
    let of_balancer = 2 * counts.connections + probes_of_each;
    let connections = of_simulated + of_real;
    let bytes = counts.servers * SERVER_BYTES
        + simulated * counts.servers * SIMULATED_SERVER_BYTES
        + connections * CONNECTION_BYTES
        + real * counts.servers * SERVER_BYTES;
    Need {
        memory_mb: TESTBED_MB + real * REAL_BALANCER_MB + (bytes >> 20),
        descriptors: STANDING_DESCRIPTORS + connections.max(of_balancer),
        processes: 1 + real,
    }
}
