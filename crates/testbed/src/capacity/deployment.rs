//! The fleet that figures are calculated for: the size that the operators require or a fraction of
//! it, with one value of each unknown quantity.

use super::assumptions::{Assumptions, CASE_COUNT};

/// A quantity that the operators have not given. Figures that depend on it are calculated for three
/// values of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownQuantity {
    /// Number of servers.
    Servers,
    /// Mean lifetime of a connection.
    ConnectionLife,
    /// Size of a configuration change.
    ChangeBytes,
    /// Time over which the reconnects of disconnected clients are spread.
    ReturnSpread,
}

/// Index of the middle one of the three values.
pub const MIDDLE_CASE: usize = 1;

/// Counts and rates of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Fraction of the fleet size that the operators require.
    pub scale: f64,
    /// Number of balancers.
    pub balancers: f64,
    /// Number of servers.
    pub servers: f64,
    /// Number of client connections.
    pub connections: f64,
    /// Number of shards, which are groups of connections.
    pub shards: f64,
    /// Number of listeners of the largest topic.
    pub largest_topic_listeners: f64,
    /// Messages delivered to clients per second.
    pub deliveries_per_second: f64,
    /// Configuration changes per day.
    pub configuration_changes_per_day: f64,
    /// Number of machines dedicated to control.
    pub control_machines: f64,
    /// Server failures per day.
    pub failures_per_day: f64,
    /// Server restarts per day.
    pub restarts_per_day: f64,
    /// Number of clients of one zone.
    pub zone_clients: f64,
    /// Number of zones in all regions together.
    pub zones: f64,
    /// Number of regions.
    pub regions: f64,
    /// Mean lifetime of a connection, in seconds.
    pub connection_life_s: f64,
    /// Size of one configuration change, in bytes.
    pub change_bytes: f64,
    /// Seconds over which the reconnects of disconnected clients are spread.
    pub return_spread_s: f64,
}

impl Deployment {
    /// Creates a fleet of a fraction of the required size, with the middle value of each unknown
    /// quantity.
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
            // Rounded up to whole machines.
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

    /// Returns this fleet with each of the three values of one unknown quantity.
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

    /// Number of connections that one balancer holds.
    pub fn connections_per_balancer(&self) -> f64 {
        self.connections / self.balancers
    }

    /// Number of connections that one server holds.
    pub fn connections_per_server(&self) -> f64 {
        self.connections / self.servers
    }

    /// New connections per second in the whole fleet, if as many connections end.
    pub fn placements_per_second(&self) -> f64 {
        self.connections / self.connection_life_s
    }

    /// New connections per second at one balancer.
    pub fn placements_per_second_per_balancer(&self) -> f64 {
        self.placements_per_second() / self.balancers
    }

    /// Expected number of servers on which a balancer holds a connection, if connections are spread
    /// randomly.
    pub fn servers_held(&self) -> f64 {
        self.servers * (1.0 - (-self.connections_per_balancer() / self.servers).exp())
    }

    /// Number of all machines: balancers, servers and control machines.
    pub fn machines(&self) -> f64 {
        self.balancers + self.servers + self.control_machines
    }
}
