//! The rule checker's verdicts on short sequences of observations, one rule at a time.

use nettlemux_fleet_model::observation::DeduplicationScope;

use super::*;

fn scenario() -> Scenario {
    let text = r#"{"name": "t", "seconds": 9, "balancers": {"number": 1},
        "fleet": {"servers": 2, "capacity": 10, "newcomers": 4}, "clients": {"rate": 1, "life": 9},
        "types": [{"name": "chat"}]}"#;
    serde_json::from_str(text).unwrap()
}

fn accepted(flow: u64, idempotency: Idempotency) -> Observation {
    Observation::Accepted {
        at: 0,
        balancer: 0,
        flow,
        idempotency,
        deadline: SEC,
    }
}
fn attempt(at: Time, number: usize, server: usize) -> Observation {
    Observation::Attempt {
        at,
        balancer: 0,
        flow: 1,
        number,
        server,
    }
}
fn attempt_ended(number: usize, known_unexecuted: bool) -> Observation {
    Observation::AttemptEnded {
        at: 2,
        flow: 1,
        number,
        known_unexecuted,
    }
}
fn answered(at: Time, with: FinalAnswer) -> Observation {
    Observation::Answered {
        at,
        flow: 1,
        answer: with,
    }
}

fn violated_rules(observations: &[Observation]) -> Vec<Rule> {
    let mut checker = RuleChecker::new(&scenario(), 0);
    let servers = [(0, 0), (1, 1)].map(|(server, zone)| Observation::Server {
        at: 0,
        server,
        zone,
        cell: 0,
        machine: 0,
    });
    servers
        .iter()
        .chain(observations)
        .for_each(|one| checker.observe(one));
    checker.finish(9 * SEC).violations.into_keys().collect()
}

#[test]
fn each_sequence_of_observations_violates_only_the_expected_rules() {
    let zone = Idempotency::Deduplicated {
        scope: DeduplicationScope::Zone,
        window: 50,
    };
    let connected = answered(5, FinalAnswer::Connected);
    let balancer_closes = |client_notified, server_healthy| Observation::ConnectionClosed {
        at: 7,
        flow: 1,
        by: ClosedBy::Balancer,
        client_notified,
        server_healthy,
    };
    let not_ready = Observation::EndpointNotified {
        at: 0,
        balancer: 0,
        server: 0,
        ready: false,
    };
    let server_started = Observation::ServerStarted { at: 1, server: 0 };
    let too_many_attempts: Vec<Observation> = (0..20)
        .flat_map(|n| [attempt(2, n, 0), attempt_ended(n, true)])
        .collect();
    let idempotent = accepted(1, Idempotency::Idempotent);
    let cases: Vec<(Vec<Observation>, Vec<Rule>)> = vec![
        (
            vec![
                idempotent.clone(),
                attempt(1, 0, 0),
                attempt_ended(0, false),
                attempt(3, 1, 1),
                connected.clone(),
            ],
            vec![],
        ),
        (vec![idempotent.clone()], vec![Rule::Lost]),
        (
            vec![
                idempotent.clone(),
                Observation::ClientLeft { at: 3, flow: 1 },
            ],
            vec![],
        ),
        (
            vec![
                idempotent.clone(),
                Observation::ClientLeft {
                    at: SEC + 1,
                    flow: 1,
                },
            ],
            vec![Rule::Lost],
        ),
        (
            vec![
                idempotent.clone(),
                connected.clone(),
                answered(6, FinalAnswer::Rejected),
            ],
            vec![Rule::AnsweredTwice],
        ),
        (
            vec![idempotent.clone(), answered(SEC + 1, FinalAnswer::Failed)],
            vec![Rule::Late],
        ),
        (
            vec![
                idempotent.clone(),
                answered(5, FinalAnswer::Rejected),
                attempt(6, 0, 0),
            ],
            vec![Rule::AfterTheEnd],
        ),
        (
            vec![
                idempotent.clone(),
                connected.clone(),
                balancer_closes(false, true),
            ],
            vec![Rule::Cut],
        ),
        (
            vec![
                idempotent.clone(),
                connected.clone(),
                balancer_closes(true, true),
            ],
            vec![],
        ),
        (
            vec![
                idempotent.clone(),
                connected.clone(),
                balancer_closes(false, false),
            ],
            vec![],
        ),
        (
            vec![
                idempotent.clone(),
                attempt(1, 0, 0),
                attempt(1, 1, 1),
                connected.clone(),
            ],
            vec![Rule::TwoInFlight],
        ),
        (
            vec![
                accepted(1, Idempotency::NonIdempotent),
                attempt(1, 0, 0),
                attempt_ended(0, true),
                attempt(3, 1, 1),
                connected.clone(),
            ],
            vec![],
        ),
        (
            vec![
                accepted(1, Idempotency::NonIdempotent),
                attempt(1, 0, 0),
                attempt_ended(0, false),
                attempt(3, 1, 1),
                connected.clone(),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                accepted(1, Idempotency::NonIdempotent),
                attempt(1, 0, 0),
                attempt_ended(0, false),
                answered(5, FinalAnswer::Rejected),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                accepted(1, zone),
                attempt(1, 0, 0),
                attempt_ended(0, false),
                attempt(3, 1, 0),
                connected.clone(),
            ],
            vec![],
        ),
        (
            vec![
                accepted(1, zone),
                attempt(1, 0, 0),
                attempt_ended(0, false),
                attempt(3, 1, 1),
                connected.clone(),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                accepted(1, zone),
                attempt(1, 0, 0),
                attempt_ended(0, false),
                attempt(60, 1, 0),
                connected.clone(),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                idempotent.clone(),
                not_ready.clone(),
                attempt(400 * MS, 0, 0),
                connected.clone(),
            ],
            vec![],
        ),
        (
            vec![
                idempotent.clone(),
                not_ready,
                attempt(401 * MS, 0, 0),
                answered(500 * MS, FinalAnswer::Connected),
            ],
            vec![Rule::Drain],
        ),
        (
            [
                vec![idempotent.clone(), server_started],
                too_many_attempts,
                vec![connected.clone()],
            ]
            .concat(),
            vec![Rule::Cold],
        ),
        (
            vec![Observation::ServerCollapsed { at: 1, server: 0 }],
            vec![Rule::Cold],
        ),
        (
            vec![
                idempotent.clone(),
                Observation::BalancerEnded {
                    at: 1,
                    balancer: 0,
                    planned: false,
                },
            ],
            vec![],
        ),
        (
            vec![
                idempotent,
                Observation::BalancerEnded {
                    at: 1,
                    balancer: 0,
                    planned: true,
                },
            ],
            vec![Rule::Lost],
        ),
    ];
    for (i, (observations, expected)) in cases.into_iter().enumerate() {
        assert_eq!(
            violated_rules(&observations),
            expected,
            "case {i}: {observations:?}"
        );
    }
}
