//! Tables of cases for what the module decides; each failure met in service has a case here.

mod common;

use common::*;
use nettlemux_policy::*;

const T0: Time = 1000 * SEC;

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

#[test]
fn sheds_largest_first_to_its_fraction() {
    // β, loads of our connections 0, 1, ..., how many moves at least and at most.
    for (beta_now, loads, least, most) in [
        (0.8, vec![5.0, 1.0, 1.0], 0, 0),
        (0.81, vec![1.0; 100], 1, 2),
        // A fifth of 100 equal connections, give or take the rounding.
        (1.0, vec![1.0; 100], 19, 21),
        (1.6, vec![1.0; 100], 49, 51),
        // Half of all: the largest alone covers it.
        (1.6, vec![1.0, 90.0, 1.0, 1.0], 0, 1),
    ] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        for server_id in 1..9 {
            report_utilization(&mut policy, T0, server_id, 0.2);
        }
        for (id, load) in loads.iter().enumerate() {
            policy.adopt_connection(&flow(T0, id as FlowId), 0);
            policy.update_connection_load(id as FlowId, *load);
        }
        let moved = report_utilization(&mut policy, T0, 0, beta_now);
        assert!(
            (least..=most).contains(&moved.len()),
            "β {beta_now}: {moved:?}"
        );
        if moved.len() == 1 && loads.contains(&90.0) {
            assert_eq!(moved, [1]);
        }
    }
}

#[test]
fn one_large_connection_moves_as_often_as_meets_the_goal() {
    // Guards against each of several balancers rounding up: a fifth of the load is one move in five figures.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.1)));
    policy.adopt_connection(&flow(T0, 1), 0);
    policy.update_connection_load(1, 10.0);
    let moved = (0..200u64).filter(|i| {
        let now = T0 + i * 3 * SEC;
        (1..3).for_each(|server_id| drop(report_utilization(&mut policy, now, server_id, 0.1)));
        !report_utilization(&mut policy, now, 0, 1.0 + (i % 2) as f64 * 0.01).is_empty()
    });
    let moved = moved.count();
    assert!((20..65).contains(&moved), "{moved} of 200");
}

#[test]
fn one_figure_sheds_once_and_all_hot_lets_nobody_in() {
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    for id in 0..100 {
        policy.adopt_connection(&flow(T0, id), 0);
    }
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.1)));
    assert!(!report_utilization(&mut policy, T0, 0, 1.5).is_empty());
    // Guards against a second shedding on a report that can't show the first.
    assert!(report_utilization(&mut policy, T0 + SEC, 0, 1.5).is_empty());
    assert!(!report_utilization(&mut policy, T0 + 3 * SEC, 0, 1.5).is_empty());
    // All hot: what is over still goes, and nobody is let in (incident i2f9edf).
    (1..3).for_each(|server_id| {
        drop(report_utilization(
            &mut policy,
            T0 + 6 * SEC,
            server_id,
            1.5,
        ))
    });
    assert!(!report_utilization(&mut policy, T0 + 6 * SEC, 0, 1.5).is_empty());
    let late = Flow {
        accepted_at: T0,
        ..flow(T0 + 6 * SEC, 999)
    };
    assert!(matches!(
        policy.place(T0 + 6 * SEC, &late),
        Placement::Reject {
            retry_after: Some(_)
        }
    ));
}

#[test]
fn without_told_loads_estimates_and_counts_decide() {
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
    (1..3).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.0)));
    let report = |b, count| LoadReport {
        utilization: Some(b),
        connections: count,
    };
    let probed = |report| PolicyEvent::HealthChecked {
        server_id: 0,
        passed: true,
        report,
    };
    policy.adopt_connection(&flow(T0, 7), 0);
    policy.on_event(T0, probed(report(0.8, Some(2.0)))); // 0.4 each
    policy.adopt_connection(&flow(T0, 3), 0);
    policy.on_event(T0, probed(report(0.3, Some(3.0)))); // 0.1 each
    let actions = policy.on_event(T0, probed(report(1.79, None)));
    assert_eq!(actions.migrate[0], 7);
}

#[test]
fn hot_and_silent_servers_are_passed_over() {
    for (what, b) in [("hot", 0.95), ("full for a group it doesn't hold", 0.7)] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        (100..120).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 2));
        report_utilization(&mut policy, T0, 0, b);
        report_utilization(&mut policy, T0, 1, 0.1);
        for id in 0..4 {
            assert_eq!(place_one(&mut policy, T0, id), 1, "{what}");
        }
    }
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    for _ in 0..2 {
        policy.on_event(
            T0,
            PolicyEvent::HealthChecked {
                server_id: 0,
                passed: false,
                report: LoadReport::default(),
            },
        );
    }
    (0..4).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 1));
}

#[test]
fn holders_of_a_group_come_first_and_take_more() {
    // Guards against a group's common work on every server (incident i51578f).
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &(0..6).map(ready).collect::<Vec<_>>(), true);
    (0..6).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.66)));
    (100..160).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 6));
    policy.adopt_connection(
        &Flow {
            group: Some("piste".into()),
            ..flow(T0, 160)
        },
        4,
    );
    for id in 0..2 {
        let one = Flow {
            group: Some("piste".into()),
            ..flow(T0, id)
        };
        assert!(matches!(
            policy.place(T0, &one),
            Placement::Forward { server_id: 4, .. }
        ));
    }
    // One that nobody holds finds no room, and is answered at once when its target has passed.
    let other = Flow {
        group: Some("lift".into()),
        accepted_at: T0 - SEC,
        ..flow(T0, 9)
    };
    assert!(matches!(
        policy.place(T0, &other),
        Placement::Reject {
            retry_after: Some(_)
        }
    ));
}

#[test]
fn connects_are_bounded_by_time_number_and_second_copies() {
    for (attempts, left, want_send) in [
        (vec![], 500 * MS, true),
        (vec![], MS, false),
        (vec![attempt(0, true); 1], 500 * MS, true),
        (vec![attempt(0, true); 3], 500 * MS, false),
        (
            vec![Attempt {
                in_flight: true,
                ..attempt(0, false)
            }],
            500 * MS,
            false,
        ),
    ] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        let one = Flow {
            deadline: T0 + left,
            attempts: attempts.clone(),
            ..flow(T0, 1)
        };
        match policy.place(T0, &one) {
            Placement::Forward {
                server_id,
                timeout,
                send_within,
            } => {
                assert!(
                    want_send && timeout < left && send_within == timeout,
                    "{attempts:?}"
                );
                assert!(
                    attempts.iter().all(|c| c.server_id != server_id),
                    "another server than before"
                );
            }
            other => assert!(!want_send, "{attempts:?}: {other:?}"),
        }
    }
}

/// A reject says that coming again is safe: while all that may have run is known to the servers, and only if the client comes
/// within that time. Guards against one that is told to come when they have forgotten.
#[test]
fn a_reject_brings_nobody_back_after_the_window() {
    let window = 3 * SEC;
    for (age, rejected) in [
        (0, true),
        (SEC, true),
        (2 * SEC, true),
        (2900 * MS, false),
        (3 * SEC, false),
        (9 * SEC, false),
    ] {
        let mut policy = balancer(Idempotency::Deduplicated {
            scope: DeduplicationScope::All,
            window,
        });
        let earlier = Attempt {
            at: T0 - age,
            ..attempt(0, false)
        };
        // Waits for no server any more: its latency objective has passed.
        let one = Flow {
            attempts: vec![earlier],
            accepted_at: T0 - 10 * SEC,
            ..flow(T0, 1)
        };
        match policy.place(T0, &one) {
            Placement::Reject {
                retry_after: Some(retry_after),
            } => {
                assert!(
                    rejected && T0 + retry_after < earlier.at + window,
                    "{age}: {retry_after}"
                );
            }
            Placement::Fail => assert!(!rejected, "{age}: aborted"),
            other => panic!("{age}: {other:?}"),
        }
    }
}

/// Guards against a repeat that is placed in time and sent too late, since its connection comes up late.
#[test]
fn a_repeat_is_sent_while_it_is_known_or_not_at_all() {
    let deduplicated = Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: SEC,
    };
    // Kind, whether the earlier attempts ran and their ages, the longest until it is sent: the margin is 10 ms, and the
    // balancer may be held up for 150 ms between its look at the clock and the write.
    for (kind, earlier, want) in [
        (deduplicated, vec![], 1990),
        (deduplicated, vec![(false, 300)], 540),
        (deduplicated, vec![(true, 900), (false, 300)], 540),
        (deduplicated, vec![(false, 300), (false, 830)], 10),
        (Idempotency::Idempotent, vec![(false, 980)], 1990),
        (Idempotency::NonIdempotent, vec![(true, 980)], 1990),
    ] {
        let five_attempts = RetryConfig {
            attempts_max: 5,
            deadline_margin: 10 * MS,
            ..three_attempts()
        };
        let config = PolicyConfig {
            retry: five_attempts,
            ..config()
        };
        let mut policy = balancer_with(kind, config);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        let made = |(known_unexecuted, age)| Attempt {
            at: T0 - age * MS,
            ..attempt(0, known_unexecuted)
        };
        let attempts: Vec<Attempt> = earlier.iter().copied().map(made).collect();
        let one = Flow {
            attempts,
            accepted_at: T0 - SEC,
            deadline: T0 + 2 * SEC,
            ..flow(T0, 1)
        };
        let Placement::Forward {
            timeout,
            send_within,
            ..
        } = policy.place(T0, &one)
        else {
            panic!("{kind:?}: {earlier:?}")
        };
        assert_eq!(
            (timeout / MS, send_within / MS),
            (1990, want),
            "{kind:?}: {earlier:?}"
        );
    }
}

#[test]
fn no_effect_twice() {
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window: SEC };
    let far = Endpoint {
        zone: 1,
        cell: 1,
        ..ready(1)
    };
    // Kind, whether the earlier attempt at server 0 ran, its age, servers ready, what may come.
    for (kind, known_unexecuted, age, list, want) in [
        (
            Idempotency::NonIdempotent,
            true,
            0,
            vec![ready(0), far],
            "to",
        ),
        (
            Idempotency::NonIdempotent,
            false,
            0,
            vec![ready(0), far],
            "abort",
        ),
        (Idempotency::Idempotent, false, 0, vec![ready(0), far], "to"),
        (
            deduplicated(DeduplicationScope::All),
            false,
            0,
            vec![ready(0), far],
            "to",
        ),
        (
            deduplicated(DeduplicationScope::All),
            false,
            2 * SEC,
            vec![ready(0), far],
            "abort",
        ),
        (
            deduplicated(DeduplicationScope::Zone),
            false,
            0,
            vec![ready(0), far],
            "to 0",
        ),
        (
            deduplicated(DeduplicationScope::Zone),
            false,
            2 * SEC,
            vec![ready(0), far],
            "abort",
        ),
        (
            deduplicated(DeduplicationScope::Cell),
            false,
            0,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..ready(0)
                },
                far,
            ],
            "abort",
        ),
        (
            deduplicated(DeduplicationScope::Cell),
            true,
            0,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..ready(0)
                },
                far,
            ],
            "to",
        ),
    ] {
        let mut policy = balancer(kind);
        policy.update_endpoints(T0, &list, true);
        let earlier = Attempt {
            at: T0 - age,
            ..attempt(0, known_unexecuted)
        };
        let one = Flow {
            attempts: vec![earlier],
            accepted_at: T0 - SEC,
            ..flow(T0, 1)
        };
        let got = match policy.place(T0, &one) {
            Placement::Forward { server_id, .. } if want == "to 0" => format!("to {server_id}"),
            Placement::Forward { .. } => "to".into(),
            Placement::Wait => "not yet".into(),
            Placement::Reject { .. } => "reject".into(),
            Placement::Fail => "abort".to_string(),
        };
        assert_eq!(
            got, want,
            "{kind:?}, never ran {known_unexecuted}, age {age}"
        );
    }
}

#[test]
fn clients_are_moved_before_their_server_goes() {
    let drains = |server_id| Endpoint {
        state: EndpointState::Draining,
        ..ready(server_id)
    };
    let gone = |server_id| Endpoint {
        state: EndpointState::Removed,
        ..ready(server_id)
    };
    // Guards against clients moved with nowhere to go, and against a list that loses servers which still serve.
    for (news, whole, expected) in [
        (vec![drains(1)], false, vec![1]),
        (vec![drains(1), ready(2)], true, vec![1]),
        (vec![drains(1), drains(2)], false, vec![]),
        (vec![drains(1)], true, vec![]),
        (vec![gone(1)], false, vec![]),
        (vec![], true, vec![]),
        (vec![ready(1)], false, vec![]),
    ] {
        let config = PolicyConfig {
            health_checks: HealthCheckConfig::default(),
            migration: MigrationConfig { off_draining: true },
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(0, &[ready(1), ready(2)], true);
        policy.adopt_connection(&flow(0, 1), 1);
        policy.adopt_connection(&flow(0, 2), 1);
        policy.adopt_connection(&flow(0, 3), 2);
        policy.on_event(SEC, PolicyEvent::TimerExpired);
        policy.update_endpoints(SEC, &news, whole);
        assert_eq!(
            policy
                .on_event(3 * SEC - 1, PolicyEvent::TimerExpired)
                .migrate,
            [],
            "too early"
        );
        // Looked at while any of ours stands on a server that drains, for room may come back.
        let drains = news
            .iter()
            .any(|server| server.state == EndpointState::Draining);
        assert_eq!(
            policy.time_to_next_timer(3 * SEC) == Some(0),
            drains,
            "{news:?}"
        );
        // Each once, one after the other, by the time in which a replacement is warm.
        let tick = |tick: u64| {
            policy
                .on_event(3 * SEC + tick * 60 * MS, PolicyEvent::TimerExpired)
                .migrate
        };
        let moved: Vec<FlowId> = (0..350).flat_map(tick).collect();
        assert_eq!(
            moved,
            [expected.clone(), expected.iter().map(|id| id + 1).collect()].concat(),
            "{news:?}"
        );
    }
    // Guards against moving clients twice where servers that drain send them away themselves.
    let config = PolicyConfig {
        migration: MigrationConfig { off_draining: true },
        ..config()
    };
    let mut policy = balancer_with(Idempotency::Idempotent, config);
    policy.update_endpoints(0, &[ready(1), ready(2)], true);
    (1..4).for_each(|id| policy.adopt_connection(&flow(0, id), 1));
    policy.update_endpoints(SEC, &[drains(1)], false);
    policy.on_event(
        SEC,
        PolicyEvent::AttemptEnded {
            flow: 1,
            server_id: 1,
            end: AttemptEnd::Cancelled,
            unanswered: None,
        },
    );
    assert!(
        policy
            .on_event(4 * SEC, PolicyEvent::TimerExpired)
            .migrate
            .is_empty()
    );
}

/// Balancers of one fleet, each with a connection at two of forty warm servers of that load.
fn fleet(balancers: u64, utilization: f64) -> impl Iterator<Item = Policy> {
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

#[test]
fn a_fleet_told_at_once_of_a_drain_does_not_move_all_at_once() {
    // Guards against 300 balancers that moved 204 clients within the second in which each was first due.
    let at = |n| Endpoint {
        state: EndpointState::Draining,
        ..ready(n)
    };
    // A whole list comes where discovery has moved.
    for whole in [false, true] {
        let (mut seconds, news) = ([0; 9], T0 + 9 * SEC);
        for mut policy in fleet(60, 0.3) {
            policy.update_endpoints(
                news,
                &(0..40).map(at).chain([ready(40)]).collect::<Vec<_>>(),
                whole,
            );
            for now in (0..9 * SEC).step_by((60 * MS) as usize) {
                seconds[(now / SEC) as usize] += policy
                    .on_event(news + now, PolicyEvent::TimerExpired)
                    .migrate
                    .len();
            }
        }
        // Two each, from 2 s after the news until a replacement is warm, at 8 s.
        assert_eq!(
            (seconds[..2].iter().sum::<usize>(), seconds.iter().sum()),
            (0, 120),
            "{seconds:?}"
        );
        assert!(
            seconds.iter().all(|moved| *moved < 40),
            "{whole}: {seconds:?}"
        );
    }
}

#[test]
fn a_fleet_of_balancers_fills_a_cold_server_within_the_rule() {
    // Guards against hundreds that each go by the few attempts they lately made: cold servers got nothing.
    let mut sent = Vec::new();
    for (n, mut policy) in fleet(60, 0.7).enumerate() {
        policy.update_endpoints(
            T0,
            &[Endpoint {
                started: T0,
                ..ready(40)
            }],
            false,
        );
        for tick in 0..16 {
            let now = T0 + (tick * 500 + n as u64 * 8) * MS;
            (0..40).for_each(|server_id| {
                drop(report_utilization(
                    &mut policy,
                    now,
                    server_id,
                    0.7 + tick as f64 * 1e-3,
                ))
            });
            report_utilization(&mut policy, now, 40, 0.0);
            // Only the cold one has room.
            let Placement::Forward { server_id, .. } = policy.place(now, &flow(now, 10 + tick))
            else {
                continue;
            };
            policy.on_event(
                now,
                PolicyEvent::Connected {
                    flow: 10 + tick,
                    took: MS,
                },
            );
            sent.extend((server_id == 40).then_some(now));
        }
    }
    // Three connections a warm server at 0.7: 4.3 fill one, four times that in eight seconds, times three, times
    // what a cold one has, 0.35 to 1: 35 in all and 17 in the last three seconds, and chance.
    let most = |from: Time| {
        sent.iter()
            .filter(|at| (from..from + 3 * SEC).contains(at))
            .count()
    };
    let most = sent.iter().map(|at| most(*at)).max();
    assert!(
        (20..=50).contains(&sent.len()) && most < Some(30),
        "{} in all, {most:?} in 3 s",
        sent.len()
    );
}

#[test]
fn nothing_new_to_draining_gone_or_unlisted_servers() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        policy.update_endpoints(T0, &[Endpoint { state, ..ready(0) }], false);
        (0..4).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 1));
        // What isn't in a whole list is gone.
        policy.update_endpoints(T0, &[ready(2)], true);
        (4..8).for_each(|id| assert_eq!(place_one(&mut policy, T0, id), 2));
        policy.update_endpoints(T0, &[], true);
        let late = Flow {
            accepted_at: T0 - SEC,
            ..flow(T0, 9)
        };
        assert!(matches!(
            policy.place(T0, &late),
            Placement::Reject {
                retry_after: Some(_)
            }
        ));
    }
}

#[test]
fn cold_servers_get_their_share_of_the_pace_only() {
    // Guards against a storm of attempts, which must not raise the budget, and a restart under one id.
    for (storm, restart) in [(false, false), (true, false), (false, true)] {
        let mut policy = balancer(Idempotency::Idempotent);
        policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
        let mut now = T0;
        let mut id = 0;
        let mut go = |policy: &mut Policy, now, establish: bool| {
            id += 1;
            let server_id = place_one(policy, now, id);
            if establish {
                policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
            }
            policy.on_event(
                now,
                PolicyEvent::AttemptEnded {
                    flow: id,
                    server_id,
                    end: AttemptEnd::ConnectionLost,
                    unanswered: None,
                },
            );
            server_id
        };
        for _ in 0..60 {
            now += SEC / 2;
            go(&mut policy, now, true);
        }
        let cold = if restart { 2 } else { 3 };
        policy.update_endpoints(
            now,
            &[Endpoint {
                started: now,
                weight: 50.0,
                ..ready(cold)
            }],
            false,
        );
        // Two a second over three servers; a cold one has 0.2 to 0.3 of its capacity in this span.
        let mut sent = 0;
        for _ in 0..if storm { 400 } else { 8 } {
            now += if storm { 10 * MS } else { SEC / 2 };
            sent += i32::from(go(&mut policy, now, !storm) == cold);
        }
        assert!(sent <= 2, "storm {storm}, restart {restart}: {sent}");
    }
}

#[test]
fn what_hundreds_of_balancers_saved_up_for_a_cold_server_is_not_spent_at_once() {
    // Guards against 300 balancers that turn to a cold server in one moment, since all others are full, with an attempt
    // saved up by each (roll+mass and join+mass of slate-quarry, seed 2: 5.0 times what the server could then do).
    let (mut sent, balancers) = (0, 300);
    for mut policy in fleet(balancers, 0.7) {
        policy.update_endpoints(
            T0,
            &[Endpoint {
                started: T0,
                ..ready(40)
            }],
            false,
        );
        let now = T0 + 6 * SEC;
        (0..40).for_each(|server_id| drop(report_utilization(&mut policy, now, server_id, 0.79)));
        report_utilization(&mut policy, now, 40, 0.0);
        for (id, later) in (10..).zip((0..SEC).step_by((100 * MS) as usize)) {
            sent += i32::from(matches!(
                policy.place(now + later, &flow(now + later, id)),
                Placement::Forward { server_id: 40, .. }
            ));
        }
    }
    // Fifteen connections on each fill them to 0.79. Four times that in 8 s, times three, times what the cold one has by
    // then, 0.84: 24 in a second, up to twice as many by the powers of two, and chance.
    assert!((8..=60).contains(&sent), "{sent} of {balancers}");
}

#[test]
fn a_jam_narrows_the_connects_in_flight() {
    // Guards against a store jammed by our own further attempts (kandy-patrol, rough-2).
    let in_flight = |policy: &mut Policy, now, from: FlowId| {
        (from..from + 40)
            .take_while(|id| {
                matches!(
                    policy.place(now, &flow(now, *id)),
                    Placement::Forward { .. }
                )
            })
            .count()
    };
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
    let before = in_flight(&mut policy, T0, 0);
    for id in 0..before as FlowId {
        let now = T0 + id * 300 * MS;
        policy.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow: id,
                server_id: 99,
                end: AttemptEnd::TimedOut,
                unanswered: None,
            },
        );
        policy.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow: id,
                server_id: id % 9,
                end: AttemptEnd::TimedOut,
                unanswered: None,
            },
        );
    }
    let later = T0 + 20 * SEC;
    let jammed = in_flight(&mut policy, later, 100);
    assert!(jammed < before / 2, "{before} then {jammed}");
    // Recovery is noticed.
    (100..100 + jammed as FlowId)
        .for_each(|id| drop(policy.on_event(later, PolicyEvent::Connected { flow: id, took: MS })));
    assert!(in_flight(&mut policy, later, 200) > jammed);
}

#[test]
fn hundreds_of_balancers_jam_the_store_no_sooner_than_a_few() {
    // Guards against 300 balancers that each start with eight attempts in flight and, in the jam that they find
    // out one by one, send their clients away for a second at most (roll+mass seeds 11 and 15, slow store).
    for (balancers, first) in [(1.0, 8), (75.0, 8), (300.0, 2), (1000.0, 1)] {
        let config = PolicyConfig {
            balancers,
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        let latest = |policy: &mut Policy| {
            let late = |id| Flow {
                accepted_at: T0 - SEC,
                ..flow(T0, id)
            };
            let told = (100..200).filter_map(|id| match policy.place(T0, &late(id)) {
                Placement::Reject { retry_after: told } => told,
                _ => None,
            });
            told.max()
        };
        let sent = (0..20)
            .filter(|id| matches!(policy.place(T0, &flow(T0, *id)), Placement::Forward { .. }))
            .count();
        assert_eq!(sent, first, "{balancers}");
        assert!(latest(&mut policy).is_some_and(|told| told <= SEC));
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 0,
                server_id: 0,
                end: AttemptEnd::TimedOut,
                unanswered: None,
            },
        );
        if first > 1 {
            (1..20).for_each(|id| {
                drop(policy.on_event(
                    T0,
                    PolicyEvent::AttemptEnded {
                        flow: id,
                        server_id: 0,
                        end: AttemptEnd::Done,
                        unanswered: None,
                    },
                ))
            });
            (0..first as u64 / 2).for_each(|id| {
                assert!(matches!(
                    policy.place(T0, &flow(T0, 50 + id)),
                    Placement::Forward { .. }
                ))
            });
            assert!(
                latest(&mut policy).is_some_and(|told| (SEC..=2 * SEC).contains(&told)),
                "{balancers}"
            );
        }
    }
}

#[test]
fn a_server_that_answers_nothing_gets_no_more() {
    // Guards against a silent server on which all attempts that may be in flight wait for their end.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    let silent = place_one(&mut policy, T0, 0);
    for id in 1..20 {
        let now = T0 + id * 500 * MS;
        assert_ne!(place_one(&mut policy, now, id), silent);
        policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
    }
}

#[test]
fn stuck_reports_neither_shut_servers_nor_move_clients() {
    // Guards against rejecting everything for good when all reports stand still at a high load.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0), ready(1)], true);
    (100..140).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 2));
    let mut now = T0;
    for round in 0..10 {
        now += 2 * SEC;
        let moved: usize = (0..2)
            .map(|server_id| report_utilization(&mut policy, now, server_id, 0.97).len())
            .sum();
        let late = Flow {
            accepted_at: now - SEC,
            ..flow(now, round)
        };
        let placed = matches!(policy.place(now, &late), Placement::Forward { .. });
        assert_eq!(placed, round >= 7, "round {round}");
        assert!(moved == 0 || round < 7, "round {round}");
    }
}

#[test]
fn a_flow_waits_only_while_it_can_be_asked_about_again_in_time() {
    // Guards against an answer after the deadline where a try is shorter than the latency objective.
    for (left, waits) in [(90 * MS, true), (70 * MS, true), (60 * MS, false)] {
        let mut policy = balancer(Idempotency::Idempotent);
        let place = policy.place(
            T0,
            &Flow {
                deadline: T0 + left,
                ..flow(T0, 1)
            },
        );
        assert_eq!(place == Placement::Wait, waits, "{left}");
        assert!(
            policy
                .time_to_next_timer(T0)
                .is_none_or(|wait| T0 + wait < T0 + left)
        );
    }
}

#[test]
fn in_a_jam_no_flow_gets_a_further_connect_and_few_get_one() {
    // Guards against five attempts a flow to a store that fails them all (colombo-maps, a slow store only).
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
    let mut sent = 0;
    for id in 0..200 {
        let now = T0 + id * 100 * MS;
        if let Placement::Forward { server_id, .. } = policy.place(now, &flow(now, id)) {
            sent += 1;
            let tried = Flow {
                attempts: vec![attempt(server_id, false)],
                ..flow(now, id)
            };
            let ended = PolicyEvent::AttemptEnded {
                flow: id,
                server_id,
                end: AttemptEnd::Error,
                unanswered: Some(&tried),
            };
            assert!(matches!(
                policy.on_event(now, ended).placement,
                Some(Placement::Reject { .. })
            ));
        }
    }
    assert!((4..30).contains(&sent), "{sent} connects in 20 s");
}

#[test]
fn room_is_kept_for_value_and_for_tenants_within_their_share() {
    // Loads told for types 0 and 1, values 1 and 5; tenant 0 holds three quarters of a half share.
    for (class, tenant, want) in [(0, 1, false), (1, 1, true), (1, 0, false)] {
        let types = [1.0, 5.0].map(|priority_weight| TrafficClass {
            priority_weight,
            ..traffic_class(Idempotency::Idempotent)
        });
        let config = PolicyConfig {
            retry: three_attempts(),
            shedding: SheddingConfig {
                tenant_quotas: vec![0.5, 0.5],
                surplus_weight: 0.1,
                retry_after_max: None,
            },
            health_checks: health_checks(0.0),
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(7, 0, types.to_vec(), config);
        policy.update_endpoints(T0, &[ready(0), ready(1)], true);
        for id in 0..40 {
            let held = Flow {
                class: id as usize % 2,
                tenant: usize::from(id >= 30),
                ..flow(T0, 1000 + id)
            };
            policy.adopt_connection(&held, id % 2);
            policy.update_connection_load(1000 + id, 10.0);
        }
        (0..2).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.57)));
        let one = Flow {
            class,
            tenant,
            accepted_at: T0 - SEC,
            ..flow(T0, 1)
        };
        let placed = matches!(policy.place(T0, &one), Placement::Forward { .. });
        assert_eq!(placed, want, "type {class}, tenant {tenant}");
    }
}

#[test]
fn absurd_news_and_late_outcomes_do_no_harm() {
    let mut policy = balancer(Idempotency::NonIdempotent);
    policy.update_endpoints(
        T0,
        &[
            ready(0),
            Endpoint {
                zone: u64::MAX,
                machine: 77,
                ..ready(ServerId::MAX)
            },
        ],
        true,
    );
    for b in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        report_utilization(&mut policy, T0, 0, b);
        report_utilization(&mut policy, T0, 42, b);
        policy.update_connection_load(42, b);
        policy.adopt_connection(&flow(T0, 7), 0);
        policy.update_connection_load(7, b);
    }
    for end in [
        AttemptEnd::Done,
        AttemptEnd::Error,
        AttemptEnd::Overloaded,
        AttemptEnd::TimedOut,
        AttemptEnd::ConnectionLost,
        AttemptEnd::Cancelled,
        AttemptEnd::NotSent,
    ] {
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 999,
                server_id: 42,
                end,
                unanswered: None,
            },
        );
        policy.on_event(
            T0,
            PolicyEvent::AttemptEnded {
                flow: 7,
                server_id: 0,
                end,
                unanswered: None,
            },
        );
    }
    policy.on_event(T0, PolicyEvent::Connected { flow: 999, took: 0 });
    assert!(
        policy
            .on_event(T0, PolicyEvent::ClientLeft { flow: 999 })
            .cancel
            .is_empty()
    );
    let unknown = Flow {
        class: 99,
        ..flow(T0, 5)
    };
    assert!(matches!(
        policy.place(T0, &unknown),
        Placement::Forward { .. }
    ));
    assert_eq!(
        policy
            .on_event(T0, PolicyEvent::ClientLeft { flow: 5 })
            .cancel,
        [5]
    );
}

#[test]
fn probes_and_lists_are_asked_for_when_due() {
    let polled = EndpointConfig {
        is_polled: true,
        ..EndpointConfig::default()
    };
    let mut policy = balancer_with(
        Idempotency::Idempotent,
        PolicyConfig {
            endpoints: polled,
            ..config()
        },
    );
    assert!(
        policy
            .on_event(T0, PolicyEvent::TimerExpired)
            .poll_endpoints
    );
    assert_eq!(policy.time_to_next_timer(T0), None);
    policy.endpoint_poll_failed(T0);
    let wait = policy
        .time_to_next_timer(T0)
        .expect("the list is asked for again");
    assert!(
        policy
            .on_event(T0 + wait, PolicyEvent::TimerExpired)
            .poll_endpoints
    );
    policy.update_endpoints(T0, &(0..50).map(ready).collect::<Vec<_>>(), true);
    let mut probed = std::collections::BTreeSet::new();
    let mut now = T0;
    while now < T0 + 10 * SEC {
        now += policy
            .time_to_next_timer(now)
            .expect("a probe is due")
            .max(MS);
        probed.extend(
            policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks,
        );
    }
    assert_eq!(probed.len(), 50);
    // Where probes aren't allowed none are asked for, and the rotation goes on.
    let config = PolicyConfig {
        health_checks: HealthCheckConfig::default(),
        ..config()
    };
    let mut blind = balancer_with(Idempotency::Idempotent, config);
    blind.update_endpoints(T0, &[ready(0)], true);
    assert_eq!(
        (blind.time_to_next_timer(T0), place_one(&mut blind, T0, 1)),
        (None, 0)
    );
    assert_eq!(load_report(0.5).connections, None);
}

#[test]
fn balancers_agree_on_a_groups_home_and_own_holders_come_first() {
    // Guards against 163 balancers that spread each group over the fleet.
    let of = |group: &str, id| Flow {
        group: Some(group.into()),
        ..flow(T0, id)
    };
    let placed = |seed, group: &str, holder: Option<ServerId>| {
        let config = PolicyConfig {
            balancers: 100.0,
            retry: RetryConfig {
                deadline_margin: MS,
                ..three_attempts()
            },
            health_checks: health_checks(0.0),
            ..PolicyConfig::default()
        };
        let mut policy = Policy::new(
            seed,
            0,
            vec![traffic_class(Idempotency::Idempotent)],
            config,
        );
        policy.update_endpoints(T0, &(0..20).map(ready).collect::<Vec<_>>(), true);
        if let Some(server_id) = holder {
            policy.adopt_connection(&of(group, 1), server_id);
        }
        match policy.place(T0, &of(group, 2)) {
            Placement::Forward { server_id, .. } => server_id,
            other => panic!("{other:?}"),
        }
    };
    let homes: Vec<ServerId> = ["a", "b", "c", "d", "e"]
        .map(|group| placed(1, group, None))
        .to_vec();
    for (seed, group, home) in [(2, "a", homes[0]), (3, "b", homes[1]), (4, "c", homes[2])] {
        assert_eq!(
            placed(seed, group, None),
            home,
            "seed {seed}, group {group}"
        );
    }
    assert!(
        homes.iter().any(|home| *home != homes[0]),
        "groups have homes of their own: {homes:?}"
    );
    let elsewhere = (homes[0] + 1) % 20;
    assert_eq!(placed(5, "a", Some(elsewhere)), elsewhere);
}

#[test]
fn probes_are_paid_for_by_own_flows_within_ten_seconds() {
    // Guards against 33 probes a try on a large fleet (colombo-maps-later, big-1). Price of a probe, own
    // connections at the start, probes of one server in 60 s at least and at most.
    for (price, own, least, most) in [
        (0.0, 0, 28, 32),
        (0.002, 0, 0, 0),
        (0.002, 5000, 28, 32),
        (0.02, 50, 6, 8),
    ] {
        let config = PolicyConfig {
            health_checks: health_checks(price),
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..50).map(ready).collect::<Vec<_>>(), true);
        (0..own).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 50));
        let (mut now, mut count) = (T0, 0);
        while now < T0 + 60 * SEC {
            now += policy
                .time_to_next_timer(now)
                .expect("a probe is due")
                .max(MS);
            for server_id in policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks
            {
                count += usize::from(server_id == 7);
                report_utilization(&mut policy, now, server_id, 0.6 + (now % 97) as f64 / 1e4);
            }
        }
        assert!(
            (least..=most).contains(&count),
            "price {price}, {own} own: {count}"
        );
    }
}

#[test]
fn a_balancer_that_has_just_restarted_lets_returning_clients_in_evenly() {
    // Guards against turning away the clients of the next balancer that restarts, or putting all of them on the first
    // server that shows room. Inherited connections, whether the clients return, whether all get in.
    for (own, reconnecting, all) in [(0, true, true), (0, false, false), (20, true, false)] {
        let config = PolicyConfig {
            balancers: 2.0,
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..5).map(ready).collect::<Vec<_>>(), true);
        (100..100 + own).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 5));
        (0..5).for_each(|server_id| drop(report_utilization(&mut policy, T0, server_id, 0.45)));
        let mut on = [0; 5];
        for id in 0..30 {
            let now = T0 + SEC / 2 + id * 25 * MS;
            if let Placement::Forward { server_id, .. } = policy.place(
                now,
                &Flow {
                    reconnecting,
                    ..flow(now, id)
                },
            ) {
                on[server_id as usize] += 1;
                policy.on_event(now, PolicyEvent::Connected { flow: id, took: MS });
            }
        }
        assert_eq!(
            on.iter().sum::<u64>() == 30,
            all,
            "{own} own, returning {reconnecting}: {on:?}"
        );
        assert!(!all || on.iter().all(|on| (5..=7).contains(on)), "{on:?}");
    }
}

#[test]
fn first_figures_after_a_restart_do_not_stand_for_ten_seconds() {
    // Guards against probes by a traffic that has not come yet: the figure stood while the servers filled.
    let config = PolicyConfig {
        health_checks: health_checks(0.002),
        ..config()
    };
    let mut policy = balancer_with(Idempotency::Idempotent, config);
    policy.update_endpoints(T0, &(0..5).map(ready).collect::<Vec<_>>(), true);
    let (mut now, mut count) = (T0, 0);
    while now < T0 + 8 * SEC {
        now += policy
            .time_to_next_timer(now)
            .expect("a probe is due")
            .max(MS);
        for server_id in policy
            .on_event(now, PolicyEvent::TimerExpired)
            .health_checks
        {
            count += usize::from(server_id == 3);
            report_utilization(&mut policy, now, server_id, 0.5);
        }
    }
    assert!(count >= 3, "{count} probes in 8 s");
}

#[test]
fn balancers_that_start_together_do_not_each_probe_for_flows_that_all_of_them_share() {
    // Guards against 100 balancers that each probed 12 servers every 2.9 s for eight flows and got one. Balancers,
    // probes of one of them in its first 10 s at least and at most.
    for (balancers, least, most) in [(4.0, 36, 72), (12.0, 36, 72), (100.0, 0, 0), (300.0, 0, 0)] {
        let config = PolicyConfig {
            balancers,
            health_checks: health_checks(0.0019),
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..12).map(ready).collect::<Vec<_>>(), true);
        let (mut now, mut count) = (T0, 0);
        while now < T0 + 10 * SEC {
            now += policy
                .time_to_next_timer(now)
                .expect("a probe is due")
                .max(MS);
            for server_id in policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks
            {
                count += 1;
                report_utilization(&mut policy, now, server_id, 0.5 + (now % 97) as f64 / 1e4);
            }
        }
        assert!(
            (least..=most).contains(&count),
            "{balancers} balancers: {count} probes"
        );
    }
}

#[test]
fn flows_wait_for_a_figure_where_probes_are_scarce() {
    // Guards against 47 probes a flow for figures of 15 s (four balancers to a server). What the probe brings,
    // whether the flow then goes to that server.
    for (load, goes) in [(Some(0.1), true), (None, true), (Some(0.9), false)] {
        let config = PolicyConfig {
            health_checks: health_checks(1.0),
            ..gossiping(1.0)
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        policy.update_endpoints(T0, &(0..9).map(ready).collect::<Vec<_>>(), true);
        let mut now = T0 + 3 * SEC;
        assert_eq!(
            policy
                .on_event(now, PolicyEvent::TimerExpired)
                .health_checks,
            [],
            "none holds a connection of ours"
        );
        let one = Flow {
            group: Some("a".into()),
            ..flow(now, 1)
        };
        assert_eq!(policy.place(now, &one), Placement::Wait);
        now += MS;
        let asked = policy
            .on_event(now, PolicyEvent::TimerExpired)
            .health_checks;
        assert!((1..=4).contains(&asked.len()), "{asked:?}");
        for server_id in &asked {
            let report = LoadReport {
                utilization: load,
                connections: None,
            };
            policy.on_event(
                now,
                PolicyEvent::HealthChecked {
                    server_id: *server_id,
                    passed: true,
                    report,
                },
            );
        }
        now += policy
            .time_to_next_timer(now)
            .expect("a look at the flow")
            .min(5 * MS);
        policy.on_event(now, PolicyEvent::TimerExpired);
        match policy.place(now, &one) {
            Placement::Forward { server_id, .. } => {
                assert!(goes && asked.contains(&server_id), "{load:?}: {server_id}")
            }
            other => assert!(!goes, "{load:?}: {other:?}"),
        }
    }
}

#[test]
fn groups_go_where_others_say_that_they_are_held() {
    // Guards against a group on as many servers as there are balancers. Whether messages are allowed, their age in
    // seconds, whether the group follows them into the other zone.
    for (may_gossip, age, follows) in [
        (true, 1, true),
        (true, 39, true),
        (true, 41, false),
        (false, 1, false),
    ] {
        let config = PolicyConfig {
            gossip: GossipConfig {
                enabled: may_gossip,
            },
            ..config()
        };
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        let list = |server_id| Endpoint {
            zone: u64::from(server_id > 3),
            ..ready(server_id)
        };
        policy.update_endpoints(T0, &(0..9).map(list).collect::<Vec<_>>(), true);
        let group = Some("a".to_string());
        // Whoever places one says so, once.
        let mut teller = balancer_with(Idempotency::Idempotent, gossiping(1.0));
        teller.update_endpoints(T0, &[list(7)], true);
        let mut messages = Vec::new();
        for id in 0..5 {
            let one = Flow {
                group: group.clone(),
                ..flow(T0 + id * SEC, id)
            };
            assert!(matches!(
                teller.place(one.accepted_at, &one),
                Placement::Forward { server_id: 7, .. }
            ));
            messages.extend(
                teller
                    .on_event(
                        one.accepted_at,
                        PolicyEvent::Connected { flow: id, took: MS },
                    )
                    .gossip,
            );
        }
        assert_eq!(messages.len(), 1, "{messages:?}");
        let bytes = messages[0].to_bytes();
        assert_eq!(
            (bytes.len(), GroupPlacement::from_bytes(&bytes)),
            (3, Some(messages[0]))
        );
        policy.receive_gossip(T0, messages[0]);
        policy.receive_gossip(
            T0,
            GroupPlacement {
                server_id: 99,
                ..messages[0]
            },
        );
        let now = T0 + age * SEC;
        let Placement::Forward { server_id, .. } = policy.place(
            now,
            &Flow {
                group,
                ..flow(now, 9)
            },
        ) else {
            panic!("room")
        };
        assert_eq!(
            server_id == 7,
            follows,
            "telling {may_gossip}, {age} s: {server_id}"
        );
    }
    for bad in [&b""[..], b"\x01", b"\x00\x01\x00\x07", b"\x00\x01123456789"] {
        assert_eq!(GroupPlacement::from_bytes(bad), None, "{bad:?}");
    }
}

#[test]
fn words_stay_within_what_all_can_hear() {
    // Guards against a storm in which each of hundreds tells of each client (4 million messages in 16 s). Balancers,
    // messages in 10 s at most.
    for (balancers, most) in [(1.0, 100), (30.0, 12), (600.0, 2)] {
        let mut policy = balancer_with(Idempotency::Idempotent, gossiping(balancers));
        policy.update_endpoints(T0, &[ready(0)], true);
        let mut messages = 0;
        for id in 0..100 {
            let now = T0 + id * SEC / 10;
            let one = Flow {
                group: Some(format!("group {id}")),
                ..flow(now, id)
            };
            policy.place(now, &one);
            messages += usize::from(
                policy
                    .on_event(now, PolicyEvent::Connected { flow: id, took: MS })
                    .gossip
                    .is_some(),
            );
            policy.on_event(
                now,
                PolicyEvent::AttemptEnded {
                    flow: id,
                    server_id: 0,
                    end: AttemptEnd::Done,
                    unanswered: None,
                },
            );
        }
        assert!(
            (1..=most).contains(&messages),
            "{balancers} balancers: {messages}"
        );
    }
}

#[test]
fn other_settings_keep_what_is_known_and_in_hand() {
    // Guards against a switch that forgets connections, drains or failures, and one that can't be taken back.
    let made = |may_gossip| {
        let config = PolicyConfig {
            gossip: GossipConfig {
                enabled: may_gossip,
            },
            ..config()
        };
        balancer_with(Idempotency::Idempotent, config)
    };
    let mut policy = made(false);
    policy.update_endpoints(
        T0,
        &[
            ready(0),
            ready(1),
            Endpoint {
                state: EndpointState::Draining,
                ..ready(2)
            },
        ],
        true,
    );
    (0..4).for_each(|id| {
        policy.adopt_connection(
            &Flow {
                group: Some("a".into()),
                ..flow(T0, id)
            },
            1,
        )
    });
    policy.on_event(
        T0,
        PolicyEvent::AttemptEnded {
            flow: 9,
            server_id: 2,
            end: AttemptEnd::Error,
            unanswered: None,
        },
    );
    for may_gossip in [true, false, true, false] {
        policy.apply_settings(made(may_gossip));
        policy.receive_gossip(
            T0,
            GroupPlacement {
                group: 1,
                server_id: 0,
            },
        );
        for id in 10..20 {
            let one = Flow {
                group: (!may_gossip).then(|| "a".into()),
                ..flow(T0, id)
            };
            let placed = policy.place(T0, &one);
            assert!(
                matches!(
                    placed,
                    Placement::Forward {
                        server_id: 0 | 1,
                        ..
                    }
                ) && (may_gossip || matches!(placed, Placement::Forward { server_id: 1, .. })),
                "{placed:?}"
            );
            policy.on_event(
                T0,
                PolicyEvent::AttemptEnded {
                    flow: id,
                    server_id: 1,
                    end: AttemptEnd::Done,
                    unanswered: None,
                },
            );
        }
    }
    let moved = (0..40).any(|second| {
        let now = T0 + second * 3 * SEC;
        !report_utilization(&mut policy, now, 1, 2.0 + second as f64 / 100.0).is_empty()
    });
    assert!(moved, "connections from before are still ours to move");
}

#[test]
fn a_figure_ends_though_probes_go_on_failing() {
    // Guards against a last figure that shuts a server for good when its probe path breaks at a high load.
    let mut policy = balancer(Idempotency::Idempotent);
    policy.update_endpoints(T0, &[ready(0)], true);
    report_utilization(&mut policy, T0, 0, 0.9);
    let mut open = Vec::new();
    for second in 1..=12 {
        let now = T0 + second * SEC;
        policy.on_event(now, PolicyEvent::TimerExpired);
        policy.on_event(
            now,
            PolicyEvent::HealthChecked {
                server_id: 0,
                passed: false,
                report: LoadReport::default(),
            },
        );
        let late = Flow {
            accepted_at: now - SEC,
            ..flow(now, second)
        };
        open.push(matches!(
            policy.place(now, &late),
            Placement::Forward { .. }
        ));
    }
    assert!(!open[2] && open[11], "{open:?}");
}

#[test]
fn large_lists_that_turn_over_within_one_moment_and_reports_absurd_on_a_part_do_no_harm() {
    // Guards against panics, and against sends to servers that came and went, at twice the largest size seen.
    let config = PolicyConfig {
        balancers: 1000.0,
        health_checks: health_checks(0.002),
        ..config()
    };
    let mut policy = balancer_with(Idempotency::Idempotent, config);
    let list = |from: ServerId, state| -> Vec<Endpoint> {
        let one = |server_id| Endpoint {
            state,
            started: if server_id % 7 == 0 { T0 } else { 0 },
            zone: server_id % 3,
            ..ready(server_id)
        };
        (from..from + 500).map(one).collect()
    };
    let mut placed = 0;
    for round in 0..20u64 {
        let now = T0 + round * SEC;
        policy.update_endpoints(now, &list(round * 250, EndpointState::Ready), false);
        policy.update_endpoints(
            now,
            &list(round * 250 + 250, EndpointState::Ready),
            round % 5 == 4,
        );
        policy.update_endpoints(now, &list(round * 250, EndpointState::Removed), false);
        for server_id in (0..6000).step_by(3) {
            let absurd = [f64::NAN, -1.0, f64::INFINITY, 1e300, 0.3];
            report_utilization(
                &mut policy,
                now,
                server_id,
                absurd[(server_id % 5) as usize],
            );
        }
        policy.on_event(now, PolicyEvent::TimerExpired);
        for id in 0..20 {
            let group = Some(format!("group {}", id % 4));
            let one = Flow {
                group,
                ..flow(now, round * 100 + id)
            };
            if let Placement::Forward {
                server_id, timeout, ..
            } = policy.place(now, &one)
            {
                let listed = round * 250 + 500..round * 250 + 750;
                assert!(
                    listed.contains(&server_id) && timeout < 2 * SEC,
                    "round {round}: {server_id}"
                );
                policy.on_event(
                    now,
                    PolicyEvent::Connected {
                        flow: one.id,
                        took: MS,
                    },
                );
                placed += 1;
            }
        }
    }
    assert!(placed > 100, "{placed} of 400 placed");
}
