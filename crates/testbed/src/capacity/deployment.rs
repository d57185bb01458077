//! The fleet that is worked out: the operators' size or a part of it, with one value of each
//! unknown.

use super::assumptions::{Assumptions, CASE_COUNT};

/// A quantity that the operators haven't told and that a figure is worked out for three values of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownQuantity {
    /// Servers of the fleet.
    Servers,
    /// The mean life of a connection.
    ConnectionLife,
    /// The size of a change of the configuration.
    ChangeBytes,
    /// The time over which lost clients come back.
    ReturnSpread,
}

/// The middle one of the three values.
pub const MIDDLE_CASE: usize = 1;

/// Counts and rates of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The part of the operators' size.
    pub scale: f64,
    /// Balancers.
    pub balancers: f64,
    /// Servers.
    pub servers: f64,
    /// Clients' connections.
    pub connections: f64,
    /// Shards, which are groups of connections.
    pub shards: f64,
    /// Listeners of the largest topic.
    pub largest_topic_listeners: f64,
    /// Messages delivered to clients a second.
    pub deliveries_per_second: f64,
    /// Changes of the configuration a day.
    pub configuration_changes_per_day: f64,
    /// Machines that are set aside for control.
    pub control_machines: f64,
    /// Failures of servers a day.
    pub failures_per_day: f64,
    /// Restarts of servers a day.
    pub restarts_per_day: f64,
    /// Clients of one zone.
    pub zone_clients: f64,
    /// Zones, over all regions.
    pub zones: f64,
    /// Regions.
    pub regions: f64,
    /// Mean life of a connection, in seconds.
    pub connection_life_s: f64,
    /// Bytes of one change of the configuration.
    pub change_bytes: f64,
    /// Seconds over which lost clients come back.
    pub return_spread_s: f64,
}

impl Deployment {
    /// A part of the operators' fleet with the middle value of each unknown.
    pub fn new(assumptions: &Assumptions, scale: f64) -> Self {
        let (requirements, unknown) = (&assumptions.requirements, &assumptions.unknown);
        Deployment {
            scale,
            balancers: requirements.balancers.value * scale,
            servers: unknown.servers.values[MIDDLE_CASE] * scale,
            connections: requirements.connections.value * scale,
            shards: requirements.shards.value * scale,
            largest_topic_listeners: requirements.largest_topic_listeners.value * scale,
            deliveries_per_second: requirements.deliveries_per_second.value * scale,
            configuration_changes_per_day: requirements.configuration_changes_per_day.value * scale,
            // There are no parts of a machine.
            control_machines: (requirements.control_machines.value * scale).ceil(),
            failures_per_day: requirements.failures_per_day.value * scale,
            restarts_per_day: requirements.restarts_per_day.value * scale,
            zone_clients: requirements.zone_clients.value * scale,
            zones: requirements.zones.value,
            regions: requirements.regions.value,
            connection_life_s: unknown.connection_life_s.values[MIDDLE_CASE],
            change_bytes: unknown.change_bytes.values[MIDDLE_CASE],
            return_spread_s: unknown.return_spread_s.values[MIDDLE_CASE],
        }
    }

    /// The same with each of the three values of one unknown.
    pub fn cases(
        &self,
        assumptions: &Assumptions,
        unknown: UnknownQuantity,
    ) -> [Deployment; CASE_COUNT] {
        std::array::from_fn(|case| {
            let mut deployment = *self;
            let values = &assumptions.unknown;
            match unknown {
                UnknownQuantity::Servers => {
                    deployment.servers = values.servers.values[case] * self.scale
                }
                UnknownQuantity::ConnectionLife => {
                    deployment.connection_life_s = values.connection_life_s.values[case]
                }
                UnknownQuantity::ChangeBytes => {
                    deployment.change_bytes = values.change_bytes.values[case]
                }
                UnknownQuantity::ReturnSpread => {
                    deployment.return_spread_s = values.return_spread_s.values[case]
                }
            }
            deployment
        })
    }

    /// Connections that one balancer holds.
    pub fn connections_per_balancer(&self) -> f64 {
        self.connections / self.balancers
    }

    /// Connections that one server holds.
    pub fn connections_per_server(&self) -> f64 {
        self.connections / self.servers
    }

    /// New connections a second in the whole fleet, while as many end.
    pub fn placements_per_second(&self) -> f64 {
        self.connections / self.connection_life_s
    }

    /// New connections a second at one balancer.
    pub fn placements_per_second_per_balancer(&self) -> f64 {
        self.placements_per_second() / self.balancers
    }

    /// Servers on which a balancer holds a connection, where connections are spread by chance.
    pub fn servers_held(&self) -> f64 {
        self.servers * (1.0 - (-self.connections_per_balancer() / self.servers).exp())
    }

    /// All machines: balancers, servers and those for control.
    pub fn machines(&self) -> f64 {
        self.balancers + self.servers + self.control_machines
    }
}
