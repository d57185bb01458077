//! Load, overload, slow start and load reports of a server.

use super::*;

fn fleet() -> Fleet {
    serde_json::from_str(r#"{"servers": 1, "capacity": 10, "connection_rate": 4, "group_load": 2}"#)
        .unwrap()
}

fn server() -> (Fleet, Server, Rng) {
    let (fleet, mut rng) = (fleet(), Rng::new(1, 1));
    let server = Server::new(&fleet, 1, (0, 0, 0), &mut rng);
    (fleet, server, rng)
}

fn connection(load: f64, group: Option<u32>) -> ServerConnection {
    ServerConnection {
        load,
        group,
        class: 0,
        value: 1.0,
    }
}

#[test]
fn load_follows_connections_and_their_groups() {
    let (fleet, mut server, _) = server();
    server.attach(1, connection(2.0, Some(5)));
    server.attach(2, connection(1.0, Some(5)));
    server.attach(3, connection(1.0, None));
    assert_eq!(server.utilization(&fleet, 0), 0.6);
    server.set_load(3, 3.0);
    assert!(server.detach(1) && !server.detach(1));
    assert_eq!(server.utilization(&fleet, 0), 0.6);
    server.detach(2);
    server.detach(3);
    assert_eq!(
        (server.utilization(&fleet, 0), server.value_by_class[0]),
        (0.0, 0.0)
    );
}

#[test]
fn overloaded_server_slows_down_and_drops_the_connections_with_the_highest_load() {
    let (fleet, mut server, _) = server();
    (1..=40).for_each(|id| server.attach(id, connection(0.5 + id as f64 / 100.0, None)));
    assert!(server.fraction_answered_within(&fleet, 0, 0.2) < 0.5);
    assert!(
        server.advance(&fleet, SEC).is_empty() && server.mean_message_seconds(&fleet, SEC) > 1.0
    );
    assert_eq!(server.advance(&fleet, 4 * SEC), [40, 39]);
    assert_eq!(server.fraction_answered_within(&fleet, 4 * SEC, 0.2), 0.0);
}

#[test]
fn burst_of_attempts_collapses_a_server_in_slow_start_and_a_warm_server_rejects_it() {
    let (fleet, mut server, _) = server();
    let responses: Vec<AttemptResponse> = (0..60)
        .map(|_| server.receive_attempt(&fleet, SEC).0)
        .collect();
    assert_eq!(
        responses
            .iter()
            .filter(|response| **response == AttemptResponse::Overloaded)
            .count(),
        56
    );
    server.stop(ServerStatus::Down);
    assert_eq!(
        server.receive_attempt(&fleet, 2 * SEC).0,
        AttemptResponse::Refused
    );
    assert!(server.start(10 * SEC));
    // The budget is 3 times 0.35 of 4 attempts per second for 3 s, plus the slack: 16.6.
    let collapsed_at = (0..20).position(|_| server.receive_attempt(&fleet, 10 * SEC).1);
    assert_eq!(collapsed_at, Some(16));
    server.stop(ServerStatus::Down);
    assert!(!server.start(20 * SEC), "a collapsed server stays down");
}

#[test]
fn load_report_is_renewed_after_its_interval_unless_stuck_or_overridden() {
    let (fleet, mut server, mut rng) = server();
    server.attach(1, connection(5.0, None));
    let first = server
        .report(&fleet, 0, &mut rng)
        .unwrap()
        .utilization
        .unwrap();
    assert!((first - 0.5).abs() < 0.02);
    server.set_load(1, 8.0);
    assert_eq!(
        server
            .report(&fleet, SEC / 4, &mut rng)
            .unwrap()
            .utilization,
        Some(first)
    );
    server.reports_stuck = true;
    assert_eq!(
        server
            .report(&fleet, 9 * SEC, &mut rng)
            .unwrap()
            .utilization,
        Some(first)
    );
    (server.reports_stuck, server.reported_utilization) = (false, Some(7.5));
    assert_eq!(
        server
            .report(&fleet, 10 * SEC, &mut rng)
            .unwrap()
            .utilization,
        Some(7.5)
    );
    server.health_checks_fail = true;
    assert_eq!(server.report(&fleet, 11 * SEC, &mut rng), None);
}
