//! Helpers of the tables of cases.
#![allow(dead_code, reason = "not each test file uses all helpers")]

use nettlemux_policy::*;

/// When most cases begin: 0 would be "long ago".
pub const T0: Time = 1000 * SEC;

/// A traffic class with a latency objective of 100 ms.
pub fn traffic_class(idempotency: Idempotency) -> TrafficClass {
    TrafficClass {
        latency_objective: 100 * MS,
        priority_weight: 1.0,
        idempotency,
    }
}

/// Up to three attempts of a flow, one at a time.
pub fn three_attempts() -> RetryConfig {
    RetryConfig {
        attempts_max: 3,
        deadline_margin: 4 * MS,
        allow_hedging: false,
        allow_cancellation: true,
    }
}

/// Health checks that are allowed at this cost.
pub fn health_checks(cost: f64) -> HealthCheckConfig {
    HealthCheckConfig {
        enabled: true,
        cost,
    }
}

/// The settings of most cases.
pub fn config() -> PolicyConfig {
    PolicyConfig {
        retry: three_attempts(),
        shedding: SheddingConfig {
            retry_after_max: Some(2 * SEC),
            ..SheddingConfig::default()
        },
        health_checks: health_checks(0.0),
        slow_start: SlowStartConfig {
            initial_capacity_fraction: 0.2,
            warm_up: 20 * SEC,
            overload_multiple: 2.5,
            overload_window: 3 * SEC,
        },
        ..PolicyConfig::default()
    }
}

/// The settings of most cases, of one of so many balancers that exchange messages.
pub fn gossiping(balancers: f64) -> PolicyConfig {
    PolicyConfig {
        balancers,
        gossip: GossipConfig { enabled: true },
        ..config()
    }
}

/// A balancer of zone 0 with one traffic class.
pub fn balancer(kind: Idempotency) -> Policy {
    balancer_with(kind, config())
}

/// The same under other settings.
pub fn balancer_with(kind: Idempotency, config: PolicyConfig) -> Policy {
    Policy::new(7, 0, vec![traffic_class(kind)], config)
}

/// A server that is ready.
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

/// A flow that was accepted now and may wait for 2 s.
pub fn flow(now: Time, id: FlowId) -> Flow {
    Flow {
        id,
        accepted_at: now,
        deadline: now + 2 * SEC,
        ..Flow::default()
    }
}

/// An attempt at time 0 that has ended.
pub fn attempt(server_id: ServerId, known_unexecuted: bool) -> Attempt {
    Attempt {
        server_id,
        at: 0,
        in_flight: false,
        known_unexecuted,
    }
}

/// A report of this utilization.
pub fn load_report(utilization: f64) -> LoadReport {
    LoadReport {
        utilization: Some(utilization),
        connections: None,
    }
}

/// Places a flow and returns the server.
pub fn place_one(policy: &mut Policy, now: Time, id: FlowId) -> ServerId {
    match policy.place(now, &flow(now, id)) {
        Placement::Forward { server_id, .. } => server_id,
        other => panic!("flow {id}: {other:?}"),
    }
}

/// Takes in a health check that passed with this utilization, and returns the connections to
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

/// Balancers of one fleet, each with a connection at two of forty warm servers of that load.
pub fn fleet(balancers: u64, utilization: f64) -> impl Iterator<Item = Policy> {
    (0..balancers).map(move |seed| {
        let config = PolicyConfig {
            balancers: balancers as f64,
            retry: three_attempts(),
            slow_start: SlowStartConfig {
                initial_capacity_fraction: 0.35,
                warm_up: 8 * SEC,
                overload_multiple: 3.0,
                overload_window: 3 * SEC,
            },
            migration: MigrationConfig { off_draining: true },
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(
            seed,
            0,
            vec![traffic_class(Idempotency::Idempotent)],
            config,
        );
        policy.update_endpoints(T0, &(0..40).map(ready).collect::<Vec<_>>(), true);
        (0..2).for_each(|id| policy.adopt_connection(&flow(T0, id), (2 * seed + id) % 40));
        (0..40).for_each(|server_id| {
            drop(report_utilization(&mut policy, T0, server_id, utilization))
        });
        policy
    })
}
