//! One fleet on sockets: simulated servers, discovery, real and simulated balancers and their clients,
//! put together and taken apart. It owns them all and which servers are listed.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::clients::{Balancer, Clients};
use super::discovery::{Change, Discovery, Lifecycle};
use super::error::{BalancersDied, DeadBalancer, MeasurementError};
use super::processes::{Launch, RealBalancer, RunFolder};
use super::scenario::Counts;
use super::servers::Servers;
use super::settings::{SettingsOf, settings};
use super::simulated_balancer::SimulatedBalancer;
use crate::balancer_process::ProcessUsage;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub counts: Counts,
    pub real: u64,
    pub simulated: u64,
    /// Connections of each simulated balancer.
    pub hollow_connections: u64,
    pub hollow_probes_per_second: f64,
    pub probe_price: f64,
    /// Mean life of a connection in seconds; none lives until it is lost.
    pub connection_seconds: Option<f64>,
    /// Servers that may be listed later.
    pub spare_servers: u64,
    /// Descriptors that each balancer is told it may have.
    pub descriptors: u64,
    pub seed: u64,
    pub program: PathBuf,
    /// Clients come over this time.
    pub ramp: Duration,
}

/// A server that was put on the endpoint list in another's place.
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
    /// Listed servers, the longest listed first.
    pub listed: VecDeque<usize>,
    next_server: usize,
    all_servers: usize,
    _folder: RunFolder,
}

impl Fleet {
    /// Starts all of it.
    ///
    /// # Errors
    /// A balancer isn't ready, or addresses or files can't be had.
    pub async fn start(plan: &FleetPlan) -> Result<Self, MeasurementError> {
        let counts = &plan.counts;
        let (listed, all) = (
            counts.servers as usize,
            (counts.servers + plan.spare_servers) as usize,
        );
        let connections =
            (plan.real * counts.connections + plan.simulated * plan.hollow_connections) as f64;
        let servers =
            Servers::start(all, listed, connections).map_err(MeasurementError::Servers)?;
        let discovery = Discovery::start()
            .await
            .map_err(MeasurementError::Discovery)?;
        let ready = |server| Change {
            server,
            address: servers.address(server),
            lifecycle: Lifecycle::Ready,
            cold: false,
        };
        discovery.change(&(0..listed).map(ready).collect::<Vec<_>>());
        let folder = RunFolder::new()?;
        let of = SettingsOf {
            balancers: counts.balancers,
            probe_price: plan.probe_price,
            may_gossip: false,
        };
        let launch = Launch::new(
            &plan.program,
            discovery.for_real,
            plan.descriptors,
            settings(of),
            plan.seed,
        );
        let start = |number| RealBalancer::start(number, &launch, &folder).map(Arc::new);
        let real = (0..plan.real as usize)
            .map(start)
            .collect::<Result<Vec<_>, _>>()?;
        for balancer in &real {
            balancer.wait_until_ready().await?;
        }
        let rate = plan.hollow_probes_per_second;
        let simulated =
            |number| SimulatedBalancer::start(number, discovery.for_simulated, rate, plan.seed);
        let simulated: Vec<_> = (0..plan.simulated as usize).map(simulated).collect();
        let balancers = real.iter().cloned().map(Balancer::Real);
        let balancers = balancers
            .chain(simulated.iter().cloned().map(Balancer::Simulated))
            .collect();
        let clients = Clients::new(balancers, counts.groups, plan.connection_seconds, plan.seed);
        let each = |balancer: &Balancer| match balancer {
            Balancer::Real(_) => counts.connections,
            Balancer::Simulated(_) => plan.hollow_connections,
        };
        clients.start(each, plan.ramp);
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

    /// Takes so many servers off the endpoint list, the longest listed ones, and lists as many new
    /// ones. All are one change.
    pub fn replace(&mut self, number: usize) -> Vec<Replacement> {
        let number = number.min(self.all_servers - self.next_server);
        let new: Vec<usize> = (self.next_server..self.next_server + number).collect();
        let old: Vec<usize> = self.listed.drain(..number).collect();
        self.next_server += number;
        let change = |server, lifecycle, cold| Change {
            server,
            address: self.servers.address(server),
            lifecycle,
            cold,
        };
        let gone = old
            .iter()
            .map(|server| change(*server, Lifecycle::Removed, false));
        let ready = new
            .iter()
            .map(|server| change(*server, Lifecycle::Ready, true));
        self.discovery
            .change(&gone.chain(ready).collect::<Vec<_>>());
        old.iter().for_each(|server| self.servers.end(*server));
        self.listed.extend(&new);
        let listed_at = Instant::now();
        new.into_iter()
            .map(|server| Replacement { server, listed_at })
            .collect()
    }

    /// What the real balancers use, on average.
    pub fn usage(&self) -> ProcessUsage {
        let all: Vec<ProcessUsage> = self.real.iter().map(|balancer| balancer.usage()).collect();
        let mean = |of: fn(&ProcessUsage) -> f64| {
            all.iter().map(of).sum::<f64>() / all.len().max(1) as f64
        };
        ProcessUsage {
            cpu_seconds: mean(|usage| usage.cpu_seconds),
            memory_mb: mean(|usage| usage.memory_mb),
            memory_peak_mb: mean(|usage| usage.memory_peak_mb),
            descriptors: mean(|usage| usage.descriptors),
        }
    }

    /// The real balancers that have died by themselves.
    ///
    /// # Errors
    /// Names them, with the end of their logs.
    pub fn all_alive(&self) -> Result<(), BalancersDied> {
        let died: Vec<DeadBalancer> = self
            .real
            .iter()
            .filter_map(|balancer| balancer.died())
            .collect();
        if died.is_empty() {
            Ok(())
        } else {
            Err(BalancersDied(died))
        }
    }

    /// Connections at the listed servers: the mean, and the most at one.
    pub fn connections(&self) -> (f64, f64) {
        let all: Vec<f64> = self
            .listed
            .iter()
            .map(|server| self.servers.connections(*server) as f64)
            .collect();
        let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
        (mean, all.into_iter().fold(0.0, f64::max))
    }
}
