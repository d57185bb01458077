//! The number of attempts that a warming server gets. For whole fleets, see fleet_slow_start.rs.

mod common;

use std::time::{Duration, Instant};

use common::*;
use nettlemux_policy::*;

/// Guards against a warming server that gets no flows because each of hundreds of balancers derives
/// its budget from the few attempts that it made lately.
#[test]
fn balancers_of_a_fleet_fill_a_warming_server_within_its_budget() {
    let mut sent = Vec::new();
    for (index, mut policy) in fleet(60, 0.7).enumerate() {
        policy.update_endpoints(
            T0,
            &[Endpoint {
                started: T0,
                ..ready(40)
            }],
            false,
        );
        for tick in 0..16 {
            let now = T0 + (tick * 500 + index as u64 * 8) * MS;
            (0..40).for_each(|server_id| {
                drop(report_utilization(
                    &mut policy,
                    now,
                    server_id,
                    0.7 + tick as f64 * 1e-3,
                ))
            });
            report_utilization(&mut policy, now, 40, 0.0);
            // Only the warming server has room.
            let Placement::Forward { server_id, .. } = policy.place(now, &flow(now, 10 + tick))
            else {
                continue;
            };
            policy.on_event(
                now,
                PolicyEvent::Connected {
                    flow: 10 + tick,
                    connect_duration: MS,
                },
            );
            sent.extend((server_id == 40).then_some(now));
        }
    }
    // Each warm server holds three connections at a utilization of 0.7, so that 4.3 fill one. The
    // budget is four times that in the warm-up of eight seconds, times the overload multiple of
    // three, times the present capacity of a warming server, 0.35 to 1: 35 in all and 17 in the
    // last three seconds, give or take chance.
    let sent_in_window = |from: Time| {
        sent.iter()
            .filter(|at| (from..from + 3 * SEC).contains(at))
            .count()
    };
    let most = sent.iter().map(|at| sent_in_window(*at)).max();
    assert!(
        (20..=50).contains(&sent.len()) && most < Some(30),
        "{} attempts at the warming server, at most {most:?} in 3 s",
        sent.len()
    );
}

/// Guards against a storm of attempts that raises the budget of a warming server, and against a
/// server that restarts under the same id and is treated as warm.
#[test]
fn warming_server_gets_its_share_of_the_ramp_rate_only() {
    for (storm, restart) in [(false, false), (true, false), (false, true)] {
        let mut policy = balancer();
        policy.update_endpoints(T0, &[ready(0), ready(1), ready(2)], true);
        let mut now = T0;
        let mut id = 0;
        let mut attempt = |policy: &mut Policy, now, connects: bool| {
            id += 1;
            let server_id = place_one(policy, now, id);
            if connects {
                policy.on_event(
                    now,
                    PolicyEvent::Connected {
                        flow: id,
                        connect_duration: MS,
                    },
                );
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
            attempt(&mut policy, now, true);
        }
        let warming = if restart { 2 } else { 3 };
        policy.update_endpoints(
            now,
            &[Endpoint {
                started: now,
                weight: 50.0,
                ..ready(warming)
            }],
            false,
        );
        // Two flows per second go to three servers. The warming server has 0.2 to 0.3 of its capacity
        // in this span.
        let mut sent = 0;
        for _ in 0..if storm { 400 } else { 8 } {
            now += if storm { 10 * MS } else { SEC / 2 };
            sent += i32::from(attempt(&mut policy, now, !storm) == warming);
        }
        assert!(
            sent <= 2,
            "storm {storm}, restart {restart}: {sent} attempts at the warming server"
        );
    }
}

/// Guards against 300 balancers that have each saved up one attempt and send them to a warming
/// server at the same moment, as all others are full: it got 5.0 times what it could serve then
/// (roll+mass and join+mass of slate-quarry, seed 2).
#[test]
fn many_balancers_do_not_save_up_attempts_at_a_warming_server() {
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
    // Fifteen connections fill each warm server to 0.79. The budget is four times the connections
    // that fill a server in 8 s, times the overload multiple of three, times the present capacity
    // of the warming server, 0.84: 24 per second, up to twice as many by the powers of two, give
    // or take chance.
    assert!(
        (8..=60).contains(&sent),
        "{sent} attempts of {balancers} balancers in one second"
    );
}

/// Guards against a server that gets nothing until it is warm, because new settings have a longer
/// warm-up than those under which all servers counted as warm.
#[test]
fn warming_server_gets_flows_after_settings_with_a_longer_warm_up() {
    let with_warm_up = |warm_up| {
        let slow_start = SlowStartConfig {
            warm_up,
            ..config().slow_start
        };
        balancer_with(PolicyConfig {
            slow_start,
            ..config()
        })
    };
    let mut policy = with_warm_up(SEC);
    let started = |server_id| Endpoint {
        started: T0,
        ..ready(server_id)
    };
    policy.update_endpoints(T0, &[ready(0), ready(1), started(2)], true);
    (100..160).for_each(|id| policy.adopt_connection(&flow(T0, id), id % 2));
    let now = T0 + 5 * SEC;
    policy.apply_settings(with_warm_up(20 * SEC));
    let sent = (0..100).filter(|id| {
        let at = now + id * 50 * MS;
        (0..2).for_each(|server_id| drop(report_utilization(&mut policy, at, server_id, 0.79)));
        report_utilization(&mut policy, at, 2, 0.1);
        let placed = policy.place(at, &flow(at, 1000 + id));
        matches!(placed, Placement::Forward { server_id: 2, .. })
    });
    assert!(sent.count() > 0, "no flow was sent to the warming server");
}

/// Returns how long it takes to place flows while a server is warming up, after this many flows that
/// were connected and have ended.
fn time_to_place_flows_after(ended_flows: u64) -> Duration {
    const PLACED_FLOWS: u64 = 200;
    let mut policy = balancer();
    policy.update_endpoints(T0, &[ready(1), ready(2)], true);
    for id in 0..ended_flows {
        let now = T0 + id * 100_000;
        if id % 4 == 0 {
            (1..=2).for_each(|server_id| {
                drop(report_utilization(&mut policy, now, server_id, 0.1));
            });
        }
        let server_id = place_one(&mut policy, now, id);
        let connect_duration = MS;
        policy.on_event(
            now,
            PolicyEvent::Connected {
                flow: id,
                connect_duration,
            },
        );
        policy.on_event(
            now,
            PolicyEvent::AttemptEnded {
                flow: id,
                server_id,
                end: AttemptEnd::Done,
                unanswered: None,
            },
        );
    }
    let now = T0 + 10 * SEC;
    let warming = Endpoint {
        started: now,
        ..ready(3)
    };
    policy.update_endpoints(now, &[warming], false);
    let since = Instant::now();
    for id in ended_flows..ended_flows + PLACED_FLOWS {
        let _ = policy.place(now, &flow(now, id));
    }
    since.elapsed()
}

/// Guards against clients that are answered late while a server warms up, because each placement
/// looks at every connection that others have opened and closed in the last 20 s.
#[test]
fn placement_takes_no_longer_after_many_recent_connections() {
    const SLOWDOWN_MAX: u32 = 10;
    let (few, many) = (
        time_to_place_flows_after(200),
        time_to_place_flows_after(15_000),
    );
    assert!(many < few * SLOWDOWN_MAX, "{few:?}, then {many:?}");
}
