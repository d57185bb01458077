//! The configuration of a policy: one struct for each kind of decision that has settings.

use crate::endpoints::EndpointConfig;
use crate::gossip::GossipConfig;
use crate::health_checks::HealthCheckConfig;
use crate::migration::MigrationConfig;
use crate::retry::RetryConfig;
use crate::shedding::SheddingConfig;
use crate::slow_start::SlowStartConfig;

/// The settings of a [`Policy`](crate::Policy): one field for each kind of decision.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Number of balancers that place flows on the same servers, including this one; at least one.
    pub balancers: f64,
    /// How the endpoint list is obtained.
    pub endpoints: EndpointConfig,
    /// How many attempts a flow may have.
    pub retry: RetryConfig,
    /// How flows that are given up are answered.
    pub shedding: SheddingConfig,
    /// Whether servers may be checked, and what a check costs.
    pub health_checks: HealthCheckConfig,
    /// How servers warm up.
    pub slow_start: SlowStartConfig,
    /// Which connections may be migrated.
    pub migration: MigrationConfig,
    /// Whether balancers exchange gossip messages.
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
