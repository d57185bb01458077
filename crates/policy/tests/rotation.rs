//! The weighted round-robin rotation over servers.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against an unusable weight that gives a server no flows or all of them.
#[test]
fn flows_rotate_by_weight_and_unusable_weights_count_as_one() {
    // Weights of the servers, number of flows, expected flows of each server.
    for (weights, flows, expected) in [
        (vec![1.0, 1.0, 1.0], 9, vec![3, 3, 3]),
        (vec![2.0, 1.0, 1.0], 8, vec![4, 2, 2]),
        (
            vec![f64::NAN, 0.0, -3.0, f64::INFINITY],
            8,
            vec![2, 2, 2, 2],
        ),
    ] {
        let mut policy = balancer();
        let list: Vec<Endpoint> = weights
            .iter()
            .enumerate()
            .map(|(server_id, weight)| Endpoint {
                weight: *weight,
                ..ready(server_id as ServerId)
            })
            .collect();
        policy.update_endpoints(T0, &list, true);
        let mut placed = vec![0; weights.len()];
        for id in 0..flows {
            placed[place_one(&mut policy, T0, id) as usize] += 1;
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
        for (placed, expected) in placed.iter().zip(&expected) {
            assert!(
                (placed - expected as &i32).abs() <= 1,
                "weights {weights:?}: {placed} flows at a server, expected {expected}"
            );
        }
    }
}

/// Guards against balancers that all place their first flow on the same server.
#[test]
fn rotation_starts_at_different_servers_for_different_seeds() {
    let first_servers: std::collections::BTreeSet<ServerId> = (0..40)
        .map(|seed| {
            let config = PolicyConfig {
                retry: RetryConfig {
                    deadline_margin: MS,
                    ..retry_config()
                },
                ..PolicyConfig::default()
            };
            let mut policy = Policy::new(seed, 0, config);
            policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
            place_one(&mut policy, T0, 0)
        })
        .collect();
    assert_eq!(first_servers.len(), 3);
}
