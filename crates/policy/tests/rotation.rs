//! The weighted round robin.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn rotation_follows_list_weights() {
    for (weights, turns, want) in [
        (vec![1.0, 1.0, 1.0], 9, vec![3, 3, 3]),
        (vec![2.0, 1.0, 1.0], 8, vec![4, 2, 2]),
        // Absurd weights count as one.
        (
            vec![f64::NAN, 0.0, -3.0, f64::INFINITY],
            8,
            vec![2, 2, 2, 2],
        ),
    ] {
        let mut policy = balancer(Idempotency::Idempotent);
        let list: Vec<Endpoint> = weights
            .iter()
            .enumerate()
            .map(|(i, w)| Endpoint {
                weight: *w,
                ..ready(i as ServerId)
            })
            .collect();
        policy.update_endpoints(T0, &list, true);
        let mut got = vec![0; weights.len()];
        for id in 0..turns {
            got[place_one(&mut policy, T0, id) as usize] += 1;
            policy.on_event(
                T0,
                PolicyEvent::AttemptEnded {
                    flow: id,
                    server_id: 0,
                    end: AttemptEnd::Done,
                    unanswered: None,
                },
            );
        }
        for (got, want) in got.iter().zip(&want) {
            assert!((got - want as &i32).abs() <= 1, "{weights:?}: {got:?}");
        }
    }
}

#[test]
fn rotation_starts_anywhere() {
    let firsts: std::collections::BTreeSet<ServerId> = (0..40)
        .map(|seed| {
            let config = PolicyConfig {
                retry: RetryConfig {
                    deadline_margin: MS,
                    ..three_attempts()
                },
                ..PolicyConfig::default()
            };
            let mut policy = Policy::new(
                seed,
                0,
                vec![traffic_class(Idempotency::Idempotent)],
                config,
            );
            policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
            place_one(&mut policy, T0, 0)
        })
        .collect();
    assert_eq!(firsts.len(), 3);
}
