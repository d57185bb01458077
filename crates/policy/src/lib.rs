//! Decisions of a load balancer for long-lived connections: where a flow goes, which actions follow
//! from each event, and how long to wait for the next event.
//!
//! This crate makes all decisions about flows and servers. Each kind of decision has a module with
//! its state, constants and configuration; [`Policy`] holds them together. The crate must never do
//! I/O, read a clock, start a thread or depend on the order of a hash map: with the same seed, the
//! same calls lead to the same decisions. The design is described in `docs/design.md`.
//!
//! Terms that the modules share:
//!
//! - A *flow* is a client's request that awaits an answer. An *attempt* sends it to a server. An
//!   attempt that the server accepts becomes a connection.
//! - *Own connections* go through this balancer. Those that existed before the balancer started are
//!   *adopted*.
//! - Flows of one *group* share common work, which a server does once for the group. A server
//!   *holds* a group while it has connections of the group. A group that no server holds has a
//!   *home server*.
//! - A *long list* is an endpoint list of more than [`EndpointConfig::full_scan_servers_max`]
//!   servers. For each flow only some of its servers, the *candidates*, are considered.
//!
//! ```
//! use nettlemux_policy::*;
//!
//! let class = TrafficClass {
//!     number: 0,
//!     latency_objective: 300 * MS,
//!     priority_weight: 1.0,
//!     idempotency: Idempotency::Idempotent,
//! };
//! let config = PolicyConfig {
//!     retry: RetryConfig { attempts_max: 3, deadline_margin: 4 * MS, ..RetryConfig::default() },
//!     ..PolicyConfig::default()
//! };
//! let mut policy = Policy::new(1, 0, config);
//! let state = EndpointState::Ready;
//! let server = Endpoint { server_id: 51, state, weight: 1.0, ..Endpoint::default() };
//! policy.update_endpoints(0, &[server], true);
//!
//! let flow = Flow { id: 7, class, deadline: 2 * SEC, ..Flow::default() };
//! let Placement::Forward { server_id, timeout, .. } = policy.place(0, &flow) else {
//!     panic!("there is room")
//! };
//! assert_eq!((server_id, timeout), (51, 2 * SEC - 4 * MS));
//! let actions = policy.on_event(MS, PolicyEvent::Connected { flow: 7, connect_duration: MS });
//! assert_eq!(actions, Actions::default());
//! ```

#![warn(missing_docs)]

mod concurrency;
mod config;
mod connections;
mod endpoints;
mod fleet_view;
mod gossip;
mod group_affinity;
mod health_checks;
mod load_reports;
mod migration;
mod outlier;
mod placement;
mod policy;
mod queue;
mod recent_connections;
mod retry;
mod rotation;
mod shedding;
mod slow_start;
mod types;

pub use config::PolicyConfig;
pub use endpoints::EndpointConfig;
pub use gossip::GossipConfig;
pub use health_checks::{CHECK_INTERVAL_MAX, CHECK_INTERVAL_MIN, HealthCheckConfig};
pub use load_reports::{EXCLUSION_REPORT_AGE_MAX, OVERLOAD_UTILIZATION, PLACEMENT_REPORT_AGE_MAX};
pub use migration::MigrationConfig;
pub use placement::{NEW_GROUP_UTILIZATION_MAX, PLACEMENT_UTILIZATION_MAX};
pub use policy::Policy;
pub use queue::QUEUE_RECHECK_INTERVAL;
pub use retry::RetryConfig;
pub use shedding::SheddingConfig;
pub use slow_start::SlowStartConfig;
pub use types::*;
