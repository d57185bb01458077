//! Tests of admission control.

use super::*;
use crate::hash_key;

fn request(flow: FlowId, key: u64) -> AdmissionRequest {
    AdmissionRequest {
        flow,
        key,
        client: flow,
        is_retry: false,
        latency_deadline: 99 * SEC,
    }
}

/// Fills the policy's queue with flows of keys that the tests don't use otherwise.
fn fill_policy_queue(admission: &mut AdmissionController) {
    let flows = [9001, 9002, 9003, 9004];
    flows.iter().for_each(|flow| {
        _ = admission.admitted.insert(
            *flow,
            AdmittedFlow {
                key: *flow,
                client: *flow,
            },
        )
    });
    admission.set_policy_queue(&flows);
}

/// Submits a flow and returns the reason and Retry-After of its rejection, `None` if it is queued.
fn submit(
    admission: &mut AdmissionController,
    now: Time,
    request: AdmissionRequest,
) -> Option<(RejectReason, Time)> {
    let mut decisions = Vec::new();
    admission.submit(now, request, &mut decisions);
    decisions.first().map(|decision| match decision {
        AdmissionDecision::Reject {
            reason,
            retry_after,
            ..
        } => (*reason, *retry_after),
        other => panic!("{other:?}"),
    })
}

fn next_decisions(admission: &mut AdmissionController, now: Time) -> Vec<AdmissionDecision> {
    let mut decisions = Vec::new();
    admission.next_decisions(now, &mut decisions);
    decisions
}

/// Returns a controller whose service rates have settled at `flows_per_second`.
fn with_service_rate(config: AdmissionConfig, flows_per_second: u64) -> AdmissionController {
    let mut admission = AdmissionController::new(config, 7);
    for k in 0..20 * flows_per_second {
        admission.flow_connected(k * SEC / flows_per_second);
        admission.admission_rate.record(k * SEC / flows_per_second);
    }
    admission
}

#[test]
fn flows_are_admitted_in_proportion_to_key_weights_regardless_of_queue_lengths() {
    let config = AdmissionConfig {
        weights: BTreeMap::from([(3, 2.0)]),
        ..AdmissionConfig::default()
    };
    let mut admission = AdmissionController::new(config, 1);
    (0..50).for_each(|flow| assert_eq!(submit(&mut admission, 0, request(flow, 1)), None));
    assert_eq!(submit(&mut admission, 0, request(100, 2)), None);
    (200..204).for_each(|flow| assert_eq!(submit(&mut admission, 0, request(flow, 3)), None));
    let admitted: Vec<FlowId> = (0..8)
        .flat_map(|_| next_decisions(&mut admission, 0))
        .map(|decision| match decision {
            AdmissionDecision::Admit(flow) => flow,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(admitted, [0, 100, 200, 201, 1, 202, 203, 2]);
}

#[test]
fn full_policy_queue_blocks_admission_and_expired_flows_are_rejected() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), 1);
    fill_policy_queue(&mut admission);
    assert_eq!(
        submit(
            &mut admission,
            0,
            AdmissionRequest {
                latency_deadline: SEC,
                ..request(1, 1)
            }
        ),
        None
    );
    assert_eq!(
        (next_decisions(&mut admission, 0), admission.next_deadline()),
        (vec![], Some(SEC))
    );
    assert!(matches!(
        next_decisions(&mut admission, SEC)[..],
        [AdmissionDecision::Reject {
            flow: 1,
            reason: RejectReason::DeadlineExceeded,
            ..
        }]
    ));
    assert_eq!(
        (admission.queue_length(), admission.next_deadline()),
        (0, None)
    );
    admission.set_policy_queue(&[]);
    assert_eq!(next_decisions(&mut admission, SEC), []);
    // Flows of one key that can't be placed take only half of the policy's queue. Flows of another
    // key are still admitted.
    (10..13).for_each(|flow| assert_eq!(submit(&mut admission, SEC, request(flow, 1)), None));
    assert_eq!(
        next_decisions(&mut admission, SEC),
        [AdmissionDecision::Admit(10)]
    );
    assert_eq!(
        next_decisions(&mut admission, SEC),
        [AdmissionDecision::Admit(11)]
    );
    admission.set_policy_queue(&[10, 11]);
    assert_eq!(next_decisions(&mut admission, SEC), []);
    assert_eq!(submit(&mut admission, SEC, request(20, 2)), None);
    assert_eq!(
        next_decisions(&mut admission, SEC),
        [AdmissionDecision::Admit(20)]
    );
}

#[test]
fn flow_that_cannot_be_admitted_in_time_is_rejected_at_once_with_sufficient_retry_after() {
    let mut admission = with_service_rate(
        AdmissionConfig {
            queue_limit_per_key: 500,
            ..AdmissionConfig::default()
        },
        20,
    );
    let now = 20 * SEC;
    fill_policy_queue(&mut admission);
    let mut rejected = Vec::new();
    for flow in 0..100 {
        rejected.extend(submit(
            &mut admission,
            now,
            AdmissionRequest {
                latency_deadline: now + SEC,
                ..request(flow, 1)
            },
        ));
    }
    // At 20 flows per second, about 20 flows can be admitted within their latency objective of 1 s.
    assert!(
        (15..25).contains(&admission.queue_length()),
        "{}",
        admission.queue_length()
    );
    assert!(
        rejected
            .iter()
            .all(|(reason, wait)| *reason == RejectReason::DeadlineExceeded
                && *wait >= 700 * MS
                && *wait <= 2 * SEC),
        "{rejected:?}"
    );
    // A flow of another key is served next, so it is in time.
    assert_eq!(
        submit(
            &mut admission,
            now,
            AdmissionRequest {
                latency_deadline: now + SEC,
                ..request(500, 2)
            }
        ),
        None
    );
}

#[test]
fn rate_limit_and_flow_limit_apply_to_each_key_separately() {
    let config = AdmissionConfig {
        rate: 2.0,
        burst: 3.0,
        flow_limit_per_key: 5,
        ..AdmissionConfig::default()
    };
    let mut admission = AdmissionController::new(config, 1);
    let reasons = |admission: &mut AdmissionController, now, from: u64| {
        (from..from + 5)
            .map(|flow| submit(admission, now, request(flow, 9)).map(|(reason, _)| reason))
            .collect::<Vec<_>>()
    };
    let rate = Some(RejectReason::RateLimited);
    assert_eq!(
        reasons(&mut admission, 0, 0),
        [None, None, None, rate, rate]
    );
    assert_eq!(
        reasons(&mut admission, SEC, 10),
        [None, None, rate, rate, rate]
    );
    // The next token is available after half a second, and the Retry-After is not shorter.
    assert!(submit(&mut admission, SEC, request(98, 9)).is_some_and(|(_, wait)| wait >= 490 * MS));
    assert_eq!(
        submit(&mut admission, SEC, request(99, 8)),
        None,
        "the limits of another key are not reached"
    );
    // Five flows are admitted. The key is at its flow limit until one of them is closed.
    while !next_decisions(&mut admission, SEC).is_empty() {}
    assert_eq!(
        reasons(&mut admission, 9 * SEC, 20)[0],
        Some(RejectReason::FlowLimit)
    );
    admission.flow_closed(0);
    assert_eq!(reasons(&mut admission, 9 * SEC, 30)[0], None);
}

#[test]
fn retries_are_rejected_until_connected_flows_replenish_the_retry_budget() {
    let mut admission = AdmissionController::new(
        AdmissionConfig {
            retry_budget_ratio: 0.5,
            retry_budget_max: 2.0,
            ..AdmissionConfig::default()
        },
        1,
    );
    let retry = |flow| AdmissionRequest {
        is_retry: true,
        ..request(flow, flow)
    };
    assert_eq!(submit(&mut admission, 0, retry(1)), None);
    assert_eq!(submit(&mut admission, 0, retry(2)), None);
    assert_eq!(
        submit(&mut admission, 0, retry(3)).map(|(reason, _)| reason),
        Some(RejectReason::RetryBudgetExhausted)
    );
    assert_eq!(
        submit(&mut admission, 0, request(4, 4)),
        None,
        "a flow that is not a retry needs no budget"
    );
    admission.flow_connected(0);
    admission.flow_connected(0);
    assert_eq!(submit(&mut admission, 0, retry(5)), None);
}

#[test]
fn client_that_retries_at_its_retry_after_precedes_new_clients_but_an_early_one_does_not() {
    for (early, first) in [(false, 2), (true, 1)] {
        let mut admission = with_service_rate(
            AdmissionConfig {
                queue_limit_per_key: 1,
                ..AdmissionConfig::default()
            },
            10,
        );
        let now = 20 * SEC;
        fill_policy_queue(&mut admission);
        assert_eq!(submit(&mut admission, now, request(0, 1)), None);
        let (reason, wait) = submit(
            &mut admission,
            now,
            AdmissionRequest {
                client: 77,
                ..request(9, 1)
            },
        )
        .unwrap();
        assert_eq!(reason, RejectReason::QueueFull);
        admission.flow_closed(0);
        let back_at = if early { now + wait / 3 } else { now + wait };
        // A new client submits its flow just before.
        assert_eq!(submit(&mut admission, back_at, request(1, 5)), None);
        assert_eq!(
            submit(
                &mut admission,
                back_at,
                AdmissionRequest {
                    client: 77,
                    ..request(2, 6)
                }
            ),
            None
        );
        admission.set_policy_queue(&[]);
        assert_eq!(
            next_decisions(&mut admission, back_at),
            [AdmissionDecision::Admit(first)],
            "client retries early: {early}"
        );
    }
}

/// Guards against memory that grows with the number of clients. 50,000 clients send a flow each,
/// and some of them disconnect.
#[test]
fn queue_is_bounded_and_each_flow_is_decided_once_with_many_distinct_clients() {
    let mut admission = with_service_rate(AdmissionConfig::default(), 100);
    let mut rng = WyRand::new_seed(3);
    let (mut admitted, mut rejected, mut disconnected) = (0, 0, 0);
    let mut open_flows = Vec::new();
    for flow in 0..50_000u64 {
        let now = 20 * SEC + flow * MS / 10;
        let mut decisions = Vec::new();
        let latency_deadline = now + 300 * MS;
        admission.submit(
            now,
            AdmissionRequest {
                latency_deadline,
                ..request(flow, hash_key(1, &flow.to_le_bytes()))
            },
            &mut decisions,
        );
        if rng.generate_range(0..10u32) == 0 && admission.is_queued(flow) {
            admission.flow_closed(flow);
            disconnected += 1;
        }
        if flow % 10 == 0 {
            admission.next_decisions(now, &mut decisions);
        }
        for decision in decisions {
            match decision {
                AdmissionDecision::Admit(flow) => {
                    admitted += 1;
                    open_flows.push(flow);
                    admission.flow_connected(now);
                }
                AdmissionDecision::Reject { .. } => rejected += 1,
            }
        }
        assert!(admission.queue_length() <= 1024);
    }
    open_flows
        .into_iter()
        .for_each(|flow| admission.flow_closed(flow));
    admission.shut_down();
    let mut decisions = Vec::new();
    admission.next_decisions(60 * SEC, &mut decisions);
    let rejected_at_shutdown = decisions.len();
    assert_eq!(
        admitted + rejected + disconnected + rejected_at_shutdown,
        50_000
    );
    assert!(
        admitted > 4000 && rejected > 0 && disconnected > 0,
        "{admitted} admitted, {rejected} rejected, {disconnected} disconnected"
    );
    assert!(
        admission.queued.is_empty()
            && admission.deadlines.is_empty()
            && admission.queues.is_empty()
    );
    assert!(admission.admitted.is_empty() && admission.admitted_by_key.is_empty());
}

/// Checks that the queue is work-conserving: each call admits a flow if any flow is queued and the
/// policy's queue is empty.
#[test]
fn each_call_admits_a_flow_if_any_is_queued_and_no_key_starves() {
    let mut admission = AdmissionController::new(
        AdmissionConfig {
            queue_limit: 5000,
            queue_limit_per_key: 500,
            ..AdmissionConfig::default()
        },
        1,
    );
    let mut rng = WyRand::new_seed(5);
    let mut last_served_step = [0u64; 20];
    let mut flow = 0;
    for step in 0..5000u64 {
        for _ in 0..rng.generate_range(0..4u32) {
            flow += 1;
            // Key 0 sends at least half of all flows.
            let key = if rng.generate_range(0..2u32) == 0 {
                0
            } else {
                rng.generate_range(0..20u64)
            };
            let _ = submit(&mut admission, 0, request(flow * 32 + key, key));
        }
        let queued = admission.queue_length();
        match next_decisions(&mut admission, 0)[..] {
            [AdmissionDecision::Admit(flow)] => last_served_step[(flow % 32) as usize] = step,
            ref other => assert!(
                queued == 0 && other.is_empty(),
                "{other:?} with {queued} queued"
            ),
        }
    }
    // Each key was served within the last 100 steps.
    assert!(
        last_served_step.iter().all(|step| *step + 100 > 5000),
        "{last_served_step:?}"
    );
}

#[test]
fn changed_weights_and_limits_apply_while_flows_are_queued_and_drop_none() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), 1);
    (0..40).for_each(|flow| assert_eq!(submit(&mut admission, 0, request(flow, flow % 2)), None));
    let weights = BTreeMap::from([(1, 3.0)]);
    admission.apply_config(AdmissionConfig {
        queue_limit: 10,
        weights,
        ..AdmissionConfig::default()
    });
    assert_eq!(admission.queue_length(), 40, "no flow is dropped");
    assert_eq!(
        submit(&mut admission, 0, request(99, 5)).map(|(reason, _)| reason),
        Some(RejectReason::QueueFull)
    );
    let admitted = (0..16).flat_map(|_| next_decisions(&mut admission, 0));
    let odd = admitted
        .filter(|decision| matches!(decision, AdmissionDecision::Admit(flow) if flow % 2 == 1))
        .count();
    assert!(
        (11..=13).contains(&odd),
        "{odd} of 16 flows are of the key with weight 3"
    );
}
