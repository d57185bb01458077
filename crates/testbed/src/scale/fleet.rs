//! A fleet on sockets: starts simulated servers, discovery, real and simulated balancers and their
//! clients, and stops them. This module owns all of them, and decides which servers are listed.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::clients::{Balancer, Clients};
use super::discovery::{Change, Discovery, Lifecycle};
use super::error::{BalancersExited, ExitedBalancer, MeasurementError};
use super::processes::{LaunchConfig, RealBalancer, RunFolder};
use super::scenario::Counts;
use super::servers::Servers;
use super::settings::{VaryingSettings, settings};
use super::simulated_balancer::SimulatedBalancer;
use crate::balancer_process::ProcessUsage;

/// The composition of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub counts: Counts,
    /// Number of real balancers.
    pub real: u64,
    /// Number of simulated balancers.
    pub simulated: u64,
    /// Connections of each simulated balancer.
    pub connections_per_simulated_balancer: u64,
    /// Health checks per second of each simulated balancer.
    pub probes_per_second_of_simulated_balancer: f64,
    pub probe_price: f64,
    /// Mean life of a connection in seconds. With `None`, clients hold it until it is lost.
    pub connection_seconds: Option<f64>,
    /// Number of servers that may be listed later.
    pub spare_servers: u64,
    /// Descriptor limit in each balancer's configuration.
    pub descriptors: u64,
    pub seed: u64,
    pub program: PathBuf,
    /// Time over which the clients arrive.
    pub ramp: Duration,
}

/// A server that replaced another one on the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    pub server: usize,
    pub listed_at: Instant,
}

/// A running fleet.
pub struct Fleet {
    pub servers: Arc<Servers>,
    pub discovery: Arc<Discovery>,
    pub real: Vec<Arc<RealBalancer>>,
    pub simulated: Vec<Arc<SimulatedBalancer>>,
    pub clients: Arc<Clients>,
    /// Listed servers, starting with the one that has been listed longest.
    pub listed: VecDeque<usize>,
    next_server: usize,
    all_servers: usize,
    _folder: RunFolder,
}

impl Fleet {
    /// Starts all parts of the fleet.
    ///
    /// # Errors
    /// A balancer does not become ready, or an address or a file cannot be used.
    pub async fn start(plan: &FleetPlan) -> Result<Self, MeasurementError> {
        let counts = &plan.counts;
        let (listed, all) = (
            counts.servers as usize,
            (counts.servers + plan.spare_servers) as usize,
        );
        let connections = (plan.real * counts.connections
            + plan.simulated * plan.connections_per_simulated_balancer)
            as f64;
        let servers =
            Servers::start(all, listed, connections).map_err(MeasurementError::Servers)?;
        let discovery = Discovery::start()
            .await
            .map_err(MeasurementError::Discovery)?;
        let ready = |server| Change {
            server,
            address: servers.address(server),
            lifecycle: Lifecycle::Ready,
            just_started: false,
        };
        discovery.apply(&(0..listed).map(ready).collect::<Vec<_>>());
        let folder = RunFolder::new()?;
        let varying = VaryingSettings {
            balancers: counts.balancers,
            probe_price: plan.probe_price,
            may_gossip: false,
        };
        let launch = LaunchConfig::new(
            &plan.program,
            discovery.for_real,
            plan.descriptors,
            settings(varying),
            plan.seed,
        );
        let start = |number| RealBalancer::start(number, &launch, &folder).map(Arc::new);
        let real = (0..plan.real as usize)
            .map(start)
            .collect::<Result<Vec<_>, _>>()?;
        for balancer in &real {
            balancer.wait_until_ready().await?;
        }
        let rate = plan.probes_per_second_of_simulated_balancer;
        let simulated =
            |number| SimulatedBalancer::start(number, discovery.for_simulated, rate, plan.seed);
        let simulated: Vec<_> = (0..plan.simulated as usize).map(simulated).collect();
        let balancers = real.iter().cloned().map(Balancer::Real);
        let balancers = balancers
            .chain(simulated.iter().cloned().map(Balancer::Simulated))
            .collect();
        let clients = Clients::new(balancers, counts.groups, plan.connection_seconds, plan.seed);
        let clients_of = |balancer: &Balancer| match balancer {
            Balancer::Real(_) => counts.connections,
            Balancer::Simulated(_) => plan.connections_per_simulated_balancer,
        };
        clients.start(clients_of, plan.ramp);
        Ok(Fleet {
            servers,
            discovery,
            real,
            simulated,
            clients,
            listed: (0..listed).collect(),
            next_server: listed,
            all_servers: all,
            _folder: folder,
        })
    }

    /// Replaces this many of the servers that have been listed longest by new ones, as a single
    /// change of the endpoint list. Replaces fewer if not enough spare servers are left.
    pub fn replace(&mut self, number: usize) -> Vec<Replacement> {
        let number = number.min(self.all_servers - self.next_server);
        let new: Vec<usize> = (self.next_server..self.next_server + number).collect();
        let old: Vec<usize> = self.listed.drain(..number).collect();
        self.next_server += number;
        let change = |server, lifecycle, just_started| Change {
            server,
            address: self.servers.address(server),
            lifecycle,
            just_started,
        };
        let removed = old
            .iter()
            .map(|server| change(*server, Lifecycle::Removed, false));
        let ready = new
            .iter()
            .map(|server| change(*server, Lifecycle::Ready, true));
        self.discovery
            .apply(&removed.chain(ready).collect::<Vec<_>>());
        old.iter().for_each(|server| self.servers.remove(*server));
        self.listed.extend(&new);
        let listed_at = Instant::now();
        new.into_iter()
            .map(|server| Replacement { server, listed_at })
            .collect()
    }

    /// Mean resource usage of the real balancers.
    pub fn usage(&self) -> ProcessUsage {
        let all: Vec<ProcessUsage> = self.real.iter().map(|balancer| balancer.usage()).collect();
        let mean = |value: fn(&ProcessUsage) -> f64| {
            all.iter().map(value).sum::<f64>() / all.len().max(1) as f64
        };
        ProcessUsage {
            cpu_seconds: mean(|usage| usage.cpu_seconds),
            memory_mb: mean(|usage| usage.memory_mb),
            memory_peak_mb: mean(|usage| usage.memory_peak_mb),
            descriptors: mean(|usage| usage.descriptors),
        }
    }

    /// Checks that no real balancer has exited by itself.
    ///
    /// # Errors
    /// The error names the balancers that have, with the end of their logs.
    pub fn check_all_alive(&self) -> Result<(), BalancersExited> {
        let died: Vec<ExitedBalancer> = self
            .real
            .iter()
            .filter_map(|balancer| balancer.died())
            .collect();
        if died.is_empty() {
            Ok(())
        } else {
            Err(BalancersExited(died))
        }
    }

    /// Returns the mean and the highest number of connections of a listed server.
    pub fn server_connections(&self) -> (f64, f64) {
        let all: Vec<f64> = self
            .listed
            .iter()
            .map(|server| self.servers.connections(*server) as f64)
            .collect();
        let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
        (mean, all.into_iter().fold(0.0, f64::max))
    }
}
