//! The rule checker's verdict on short records, one rule at a time.

use nettlemux_fleet_model::observation::DeduplicationScope;

use super::*;

fn scenario() -> Scenario {
    let text = r#"{"name": "t", "seconds": 9, "balancers": {"number": 1},
        "fleet": {"servers": 2, "capacity": 10, "newcomers": 4}, "clients": {"rate": 1, "life": 9},
        "types": [{"name": "chat"}]}"#;
    serde_json::from_str(text).unwrap()
}

fn taken(flow: u64, idempotency: Idempotency) -> Observation {
    Observation::Accepted {
        at: 0,
        balancer: 0,
        flow,
        idempotency,
        deadline: SEC,
    }
}
fn connect(at: Time, number: usize, server: usize) -> Observation {
    Observation::Attempt {
        at,
        balancer: 0,
        flow: 1,
        number,
        server,
    }
}
fn ended(number: usize, known_unexecuted: bool) -> Observation {
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

fn judge(seen: &[Observation]) -> Vec<Rule> {
    let mut rules = RuleChecker::new(&scenario(), 0);
    let servers = [(0, 0), (1, 1)].map(|(server, zone)| Observation::Server {
        at: 0,
        server,
        zone,
        cell: 0,
        machine: 0,
    });
    servers
        .iter()
        .chain(seen)
        .for_each(|one| rules.observe(one));
    rules.finish(9 * SEC).violations.into_keys().collect()
}

#[test]
fn each_rule_is_judged_by_what_was_seen() {
    let zone = Idempotency::Deduplicated {
        scope: DeduplicationScope::Zone,
        window: 50,
    };
    let up = answered(5, FinalAnswer::Connected);
    let cut = |told, server_healthy| Observation::ConnectionClosed {
        at: 7,
        flow: 1,
        by: ClosedBy::Balancer,
        client_notified: told,
        server_healthy,
    };
    let told = Observation::EndpointNotified {
        at: 0,
        balancer: 0,
        server: 0,
        ready: false,
    };
    let started = Observation::ServerStarted { at: 1, server: 0 };
    let flood: Vec<Observation> = (0..20)
        .flat_map(|n| [connect(2, n, 0), ended(n, true)])
        .collect();
    let free = taken(1, Idempotency::Idempotent);
    let cases: Vec<(Vec<Observation>, Vec<Rule>)> = vec![
        (
            vec![
                free.clone(),
                connect(1, 0, 0),
                ended(0, false),
                connect(3, 1, 1),
                up.clone(),
            ],
            vec![],
        ),
        (vec![free.clone()], vec![Rule::Lost]),
        (
            vec![free.clone(), Observation::ClientLeft { at: 3, flow: 1 }],
            vec![],
        ),
        (
            vec![
                free.clone(),
                Observation::ClientLeft {
                    at: SEC + 1,
                    flow: 1,
                },
            ],
            vec![Rule::Lost],
        ),
        (
            vec![free.clone(), up.clone(), answered(6, FinalAnswer::Rejected)],
            vec![Rule::AnsweredTwice],
        ),
        (
            vec![free.clone(), answered(SEC + 1, FinalAnswer::Failed)],
            vec![Rule::Late],
        ),
        (
            vec![
                free.clone(),
                answered(5, FinalAnswer::Rejected),
                connect(6, 0, 0),
            ],
            vec![Rule::AfterTheEnd],
        ),
        (
            vec![free.clone(), up.clone(), cut(false, true)],
            vec![Rule::Cut],
        ),
        (vec![free.clone(), up.clone(), cut(true, true)], vec![]),
        (vec![free.clone(), up.clone(), cut(false, false)], vec![]),
        (
            vec![free.clone(), connect(1, 0, 0), connect(1, 1, 1), up.clone()],
            vec![Rule::TwoInFlight],
        ),
        (
            vec![
                taken(1, Idempotency::NonIdempotent),
                connect(1, 0, 0),
                ended(0, true),
                connect(3, 1, 1),
                up.clone(),
            ],
            vec![],
        ),
        (
            vec![
                taken(1, Idempotency::NonIdempotent),
                connect(1, 0, 0),
                ended(0, false),
                connect(3, 1, 1),
                up.clone(),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                taken(1, Idempotency::NonIdempotent),
                connect(1, 0, 0),
                ended(0, false),
                answered(5, FinalAnswer::Rejected),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                taken(1, zone),
                connect(1, 0, 0),
                ended(0, false),
                connect(3, 1, 0),
                up.clone(),
            ],
            vec![],
        ),
        (
            vec![
                taken(1, zone),
                connect(1, 0, 0),
                ended(0, false),
                connect(3, 1, 1),
                up.clone(),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                taken(1, zone),
                connect(1, 0, 0),
                ended(0, false),
                connect(60, 1, 0),
                up.clone(),
            ],
            vec![Rule::Twice],
        ),
        (
            vec![
                free.clone(),
                told.clone(),
                connect(400 * MS, 0, 0),
                up.clone(),
            ],
            vec![],
        ),
        (
            vec![
                free.clone(),
                told,
                connect(401 * MS, 0, 0),
                answered(500 * MS, FinalAnswer::Connected),
            ],
            vec![Rule::Drain],
        ),
        (
            [vec![free.clone(), started], flood, vec![up.clone()]].concat(),
            vec![Rule::Cold],
        ),
        (
            vec![Observation::ServerCollapsed { at: 1, server: 0 }],
            vec![Rule::Cold],
        ),
        (
            vec![
                free.clone(),
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
                free,
                Observation::BalancerEnded {
                    at: 1,
                    balancer: 0,
                    planned: true,
                },
            ],
            vec![Rule::Lost],
        ),
    ];
    for (i, (seen, broken)) in cases.into_iter().enumerate() {
        assert_eq!(judge(&seen), broken, "case {i}: {seen:?}");
    }
}
