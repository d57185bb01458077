//! Settings, endpoints, flows and events for the tests of the policy.
#![allow(dead_code, reason = "not every test file uses all helpers")]

use nettlemux_policy::*;

/// Time at which most test cases start. The policy takes 0 for "long ago".
pub const T0: Time = 1000 * SEC;

/// Returns a traffic class with a latency objective of 100 ms.
pub fn traffic_class(idempotency: Idempotency) -> TrafficClass {
    TrafficClass {
        number: 0,
        latency_objective: 100 * MS,
        priority_weight: 1.0,
        idempotency,
    }
}

/// Returns settings that allow up to three attempts of a flow, one at a time.
pub fn retry_config() -> RetryConfig {
    RetryConfig {
        attempts_max: 3,
        deadline_margin: 4 * MS,
        allow_hedging: false,
        allow_cancellation: true,
    }
}

/// Returns settings with health checks enabled at this cost.
pub fn health_check_config(cost: f64) -> HealthCheckConfig {
    HealthCheckConfig {
        enabled: true,
        cost_per_check: cost,
    }
}

/// Returns the settings of most test cases.
pub fn config() -> PolicyConfig {
    PolicyConfig {
        retry: retry_config(),
        shedding: SheddingConfig {
            retry_after_max: Some(2 * SEC),
            ..SheddingConfig::default()
        },
        health_checks: health_check_config(0.0),
        slow_start: SlowStartConfig {
            initial_capacity_fraction: 0.2,
            warm_up: 20 * SEC,
            overload_multiple: 2.5,
            overload_window: 3 * SEC,
        },
        ..PolicyConfig::default()
    }
}

/// Returns the settings of most test cases, for one of this many balancers with gossip enabled.
pub fn config_with_gossip(balancers: f64) -> PolicyConfig {
    PolicyConfig {
        balancers,
        gossip: GossipConfig { enabled: true },
        ..config()
    }
}

/// Returns the policy of a balancer in zone 0 with the settings of most test cases.
pub fn balancer() -> Policy {
    balancer_with(config())
}

/// Returns the policy of a balancer in zone 0 with these settings.
pub fn balancer_with(config: PolicyConfig) -> Policy {
    Policy::new(7, 0, config)
}

/// Returns a warm server of zone 0 that is ready.
pub fn ready(server_id: ServerId) -> Endpoint {
    Endpoint {
        server_id,
        zone: 0,
        machine: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started: 0,
    }
}

/// Returns an idempotent flow that is accepted now with a deadline in 2 s.
pub fn flow(now: Time, id: FlowId) -> Flow {
    Flow {
        id,
        class: traffic_class(Idempotency::Idempotent),
        accepted_at: now,
        deadline: now + 2 * SEC,
        ..Flow::default()
    }
}

/// Returns an attempt made at time 0 that has ended.
pub fn ended_attempt(server_id: ServerId, known_unexecuted: bool) -> Attempt {
    Attempt {
        server_id,
        sent_at: 0,
        in_flight: false,
        known_unexecuted,
    }
}

/// Returns a report with this utilization.
pub fn load_report(utilization: f64) -> LoadReport {
    LoadReport {
        utilization: Some(utilization),
        connections: None,
    }
}

/// Places a flow and returns its server. Panics if the flow is not forwarded.
pub fn place_one(policy: &mut Policy, now: Time, id: FlowId) -> ServerId {
    match policy.place(now, &flow(now, id)) {
        Placement::Forward { server_id, .. } => server_id,
        other => panic!("flow {id}: {other:?}"),
    }
}

/// Applies a passed health check that reported this utilization, and returns the connections to
/// migrate.
pub fn report_utilization(
    policy: &mut Policy,
    now: Time,
    server_id: ServerId,
    utilization: f64,
) -> Vec<FlowId> {
    policy
        .on_event(
            now,
            PolicyEvent::HealthChecked {
                server_id,
                passed: true,
                report: load_report(utilization),
            },
        )
        .migrate
}

/// Returns the policies of this many balancers. All list the same forty warm servers of this
/// utilization, and each balancer holds one connection at each of two of them.
pub fn fleet(balancers: u64, utilization: f64) -> impl Iterator<Item = Policy> {
    (0..balancers).map(move |seed| {
        let config = PolicyConfig {
            balancers: balancers as f64,
            retry: retry_config(),
            slow_start: SlowStartConfig {
                initial_capacity_fraction: 0.35,
                warm_up: 8 * SEC,
                overload_multiple: 3.0,
                overload_window: 3 * SEC,
            },
            migration: MigrationConfig {
                migrate_off_draining: true,
            },
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(seed, 0, config);
        policy.update_endpoints(T0, &(0..40).map(ready).collect::<Vec<_>>(), true);
        (0..2).for_each(|id| policy.adopt_connection(&flow(T0, id), (2 * seed + id) % 40));
        (0..40).for_each(|server_id| {
            drop(report_utilization(&mut policy, T0, server_id, utilization))
        });
        policy
    })
}
