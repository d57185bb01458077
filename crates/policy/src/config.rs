//! The configuration of a policy: one struct for each decision that has settings.

use crate::endpoints::EndpointConfig;
use crate::gossip::GossipConfig;
use crate::health_checks::HealthCheckConfig;
use crate::migration::MigrationConfig;
use crate::retry::RetryConfig;
use crate::shedding::SheddingConfig;
use crate::slow_start::SlowStartConfig;

/// The settings of a [`Policy`](crate::Policy), a part for each decision.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Balancers that place on the same servers, this one included; at least one.
    pub balancers: f64,
    /// How the endpoint list is had.
    pub endpoints: EndpointConfig,
    /// How many attempts a flow may have.
    pub retry: RetryConfig,
    /// How flows that are given up are answered.
    pub shedding: SheddingConfig,
    /// Whether servers may be checked, and at what cost.
    pub health_checks: HealthCheckConfig,
    /// How servers warm up.
    pub slow_start: SlowStartConfig,
    /// Which connections may be migrated.
    pub migration: MigrationConfig,
    /// Whether balancers exchange messages.
    pub gossip: GossipConfig,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        PolicyConfig {
            balancers: 1.0,
            endpoints: EndpointConfig::default(),
            retry: RetryConfig::default(),
            shedding: SheddingConfig::default(),
            health_checks: HealthCheckConfig::default(),
            slow_start: SlowStartConfig::default(),
            migration: MigrationConfig::default(),
            gossip: GossipConfig::default(),
        }
    }
}
