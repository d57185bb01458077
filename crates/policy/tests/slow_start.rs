//! How many attempts a warming server gets; for whole fleets, see fleet_slow_start.rs.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn a_fleet_of_balancers_fills_a_warming_server_within_the_rule() {
    // Guards against hundreds that each go by the few attempts they lately made: warming servers
    // got nothing.
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
            // Only the warming one has room.
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
    // Three connections a warm server at 0.7: 4.3 fill one, four times that in eight seconds, times
    // three, times what a warming one has, 0.35 to 1: 35 in all and 17 in the last three seconds,
    // and chance.
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
fn warming_servers_get_their_share_of_the_ramp_rate_only() {
    // Guards against a storm of attempts, which must not raise the budget, and a restart under one
    // id.
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
        // Two a second over three servers; a warming one has 0.2 to 0.3 of its capacity in this
        // span.
        let mut sent = 0;
        for _ in 0..if storm { 400 } else { 8 } {
            now += if storm { 10 * MS } else { SEC / 2 };
            sent += i32::from(go(&mut policy, now, !storm) == warming);
        }
        assert!(sent <= 2, "storm {storm}, restart {restart}: {sent}");
    }
}

#[test]
fn what_hundreds_of_balancers_saved_up_for_a_cold_server_is_not_spent_at_once() {
    // Guards against 300 balancers that turn to a warming server in one moment, since all others
    // are full, with an attempt saved up by each (roll+mass and join+mass of slate-quarry, seed 2:
    // 5.0 times what the server could then do).
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
    // Fifteen connections on each fill them to 0.79. Four times that in 8 s, times three, times
    // what the warming one has by then, 0.84: 24 in a second, up to twice as many by the powers of
    // two, and chance.
    assert!((8..=60).contains(&sent), "{sent} of {balancers}");
}
