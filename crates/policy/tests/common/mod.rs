//! Helpers of the tables of cases; not each file of them uses all.
#![allow(dead_code)]

use nettlemux_policy::*;

pub fn repeat(idempotency: Idempotency) -> TrafficClass {
    TrafficClass {
        latency_objective: 100 * MS,
        priority_weight: 1.0,
        idempotency,
    }
}

/// A balancer of zone 0 with one traffic class.
pub fn balancer(kind: Idempotency) -> Policy {
    Policy::new(7, 0, vec![repeat(kind)])
        .attempts(3, 4 * MS, false, true)
        .retry_after(Some(2 * SEC))
        .probing(true, 0.0)
        .cold(0.2, 20 * SEC, 2.5, 3 * SEC)
}

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

pub fn flow(now: Time, id: FlowId) -> Flow {
    Flow {
        id,
        accepted_at: now,
        deadline: now + 2 * SEC,
        ..Flow::default()
    }
}

pub fn attempt(server_id: ServerId, known_unexecuted: bool) -> Attempt {
    Attempt {
        server_id,
        at: 0,
        in_flight: false,
        known_unexecuted,
    }
}

pub fn utilization(utilization: f64) -> LoadReport {
    LoadReport {
        utilization: Some(utilization),
        connections: None,
    }
}

/// Places a flow and tells where.
pub fn take(policy: &mut Policy, now: Time, id: FlowId) -> ServerId {
    match policy.place(now, &flow(now, id)) {
        Placement::Forward { server_id, .. } => server_id,
        other => panic!("flow {id}: {other:?}"),
    }
}

/// A report, and the moves that follow from it.
pub fn probe(policy: &mut Policy, now: Time, server_id: ServerId, b: f64) -> Vec<FlowId> {
    policy
        .on_event(
            now,
            PolicyEvent::HealthChecked {
                server_id,
                passed: true,
                report: utilization(b),
            },
        )
        .migrate
}
