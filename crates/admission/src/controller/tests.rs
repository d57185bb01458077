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

/// Fills the policy's queue with flows of other keys.
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

fn decide(admission: &mut AdmissionController, now: Time) -> Vec<AdmissionDecision> {
    let mut decisions = Vec::new();
    admission.next_decisions(now, &mut decisions);
    decisions
}

/// A controller whose service rates are known.
fn with_service_rate(config: AdmissionConfig, per_second: u64) -> AdmissionController {
    let mut admission = AdmissionController::new(config, 7);
    for k in 0..20 * per_second {
        admission.flow_connected(k * SEC / per_second);
        admission.admission_rate.record(k * SEC / per_second);
    }
    admission
}

#[test]
fn flows_are_admitted_by_the_weights_of_keys_however_many_one_sends() {
    let config = AdmissionConfig {
        weights: BTreeMap::from([(3, 2.0)]),
        ..AdmissionConfig::default()
    };
    let mut admission = AdmissionController::new(config, 1);
    (0..50).for_each(|flow| assert_eq!(submit(&mut admission, 0, request(flow, 1)), None));
    assert_eq!(submit(&mut admission, 0, request(100, 2)), None);
    (200..204).for_each(|flow| assert_eq!(submit(&mut admission, 0, request(flow, 3)), None));
    let admitted: Vec<FlowId> = (0..8)
        .flat_map(|_| decide(&mut admission, 0))
        .map(|decision| match decision {
            AdmissionDecision::Admit(flow) => flow,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(admitted, [0, 100, 200, 201, 1, 202, 203, 2]);
}

#[test]
fn none_is_admitted_while_the_policy_queue_is_full_and_none_waits_past_its_objective() {
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
        (decide(&mut admission, 0), admission.next_deadline()),
        (vec![], Some(SEC))
    );
    assert!(matches!(
        decide(&mut admission, SEC)[..],
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
    assert_eq!(decide(&mut admission, SEC), []);
    // One key's flows that can't be placed take half of the policy's queue, and another's are
    // still admitted.
    (10..13).for_each(|flow| assert_eq!(submit(&mut admission, SEC, request(flow, 1)), None));
    assert_eq!(decide(&mut admission, SEC), [AdmissionDecision::Admit(10)]);
    assert_eq!(decide(&mut admission, SEC), [AdmissionDecision::Admit(11)]);
    admission.set_policy_queue(&[10, 11]);
    assert_eq!(decide(&mut admission, SEC), []);
    assert_eq!(submit(&mut admission, SEC, request(20, 2)), None);
    assert_eq!(decide(&mut admission, SEC), [AdmissionDecision::Admit(20)]);
}

#[test]
fn what_cannot_be_in_time_is_rejected_at_once_with_a_retry_after_no_shorter_than_needed() {
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
    // At 20 a second about 20 can be in time.
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
    // Another key is served next.
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
fn limits_hold_by_key() {
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
    // The next token comes after half a second, and the Retry-After is not shorter.
    assert!(submit(&mut admission, SEC, request(98, 9)).is_some_and(|(_, wait)| wait >= 490 * MS));
    assert_eq!(
        submit(&mut admission, SEC, request(99, 8)),
        None,
        "another key"
    );
    // Five are admitted: the key has as many as it may, until one is closed.
    while !decide(&mut admission, SEC).is_empty() {}
    assert_eq!(
        reasons(&mut admission, 9 * SEC, 20)[0],
        Some(RejectReason::FlowLimit)
    );
    admission.flow_closed(0);
    assert_eq!(reasons(&mut admission, 9 * SEC, 30)[0], None);
}

#[test]
fn retries_are_paid_for_by_connected_flows() {
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
        "a first attempt"
    );
    admission.flow_connected(0);
    admission.flow_connected(0);
    assert_eq!(submit(&mut admission, 0, retry(5)), None);
}

#[test]
fn a_client_back_at_its_retry_after_goes_before_new_ones_and_an_early_one_does_not() {
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
        // A new client was there a moment before.
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
            decide(&mut admission, back_at),
            [AdmissionDecision::Admit(first)],
            "early {early}"
        );
    }
}

/// Guards against memory that grows with the number of clients: 50,000 come, some hang up.
#[test]
fn memory_is_bounded_and_every_flow_is_decided_once() {
    let mut admission = with_service_rate(AdmissionConfig::default(), 100);
    let mut rng = WyRand::new_seed(3);
    let (mut admitted, mut rejected, mut hung_up) = (0, 0, 0);
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
            hung_up += 1;
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
    let left = decisions.len();
    assert_eq!(admitted + rejected + hung_up + left, 50_000);
    assert!(
        admitted > 4000 && rejected > 0 && hung_up > 0,
        "{admitted} {rejected} {hung_up}"
    );
    assert!(
        admission.queued.is_empty()
            && admission.deadlines.is_empty()
            && admission.queues.is_empty()
    );
    assert!(admission.admitted.is_empty() && admission.admitted_by_key.is_empty());
}

/// Work conserving: while a flow waits and the policy has none queued, each call admits one; and no
/// key starves.
#[test]
fn each_call_admits_a_flow_while_any_waits_and_no_key_starves() {
    let mut admission = AdmissionController::new(
        AdmissionConfig {
            queue_limit: 5000,
            queue_limit_per_key: 500,
            ..AdmissionConfig::default()
        },
        1,
    );
    let mut rng = WyRand::new_seed(5);
    let mut last = [0u64; 20];
    let mut flow = 0;
    for step in 0..5000u64 {
        for _ in 0..rng.generate_range(0..4u32) {
            flow += 1;
            // Key 0 sends half of all.
            let key = if rng.generate_range(0..2u32) == 0 {
                0
            } else {
                rng.generate_range(0..20u64)
            };
            let _ = submit(&mut admission, 0, request(flow * 32 + key, key));
        }
        let queued = admission.queue_length();
        match decide(&mut admission, 0)[..] {
            [AdmissionDecision::Admit(flow)] => last[(flow % 32) as usize] = step,
            ref other => assert!(
                queued == 0 && other.is_empty(),
                "{other:?} with {queued} queued"
            ),
        }
    }
    // Each key was served within the last few rounds.
    assert!(last.iter().all(|at| *at + 100 > 5000), "{last:?}");
}

#[test]
fn weights_and_limits_change_while_it_is_full() {
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
    let admitted = (0..16).flat_map(|_| decide(&mut admission, 0));
    let odd = admitted
        .filter(|decision| matches!(decision, AdmissionDecision::Admit(flow) if flow % 2 == 1))
        .count();
    assert!((11..=13).contains(&odd), "{odd} of 16");
}
