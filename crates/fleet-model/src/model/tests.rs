//! Faults on the fleet: what each does, what it takes back, and what discovery then lists.

use nettlemux_policy::{EndpointState, MS, SEC};

use super::*;

fn model(faults: &str) -> FleetModel {
    let text = format!(
        r#"{{"name": "t", "seconds": 60, "balancers": {{"number": 1}}, "zones": {{"number": 2}},
        "fleet": {{"servers": 4, "capacity": 10}}, "clients": {{"rate": 1, "life": 9}},
        "types": [{{"name": "chat"}}], "faults": {faults}}}"#
    );
    FleetModel::new(serde_json::from_str(&text).unwrap(), 1)
}

fn until(model: &mut FleetModel, end: f64) -> Vec<FleetEvent> {
    (0..=(end * 10.0) as u64)
        .flat_map(|k| model.tick(k * 100 * MS))
        .collect()
}

#[test]
fn a_restart_that_discovery_misses_is_listed_with_its_start() {
    let mut model = model(r#"[{"what": "crash", "at": 5, "for": 1, "who": [2]}]"#);
    until(&mut model, 10.0);
    let told = model.since(1);
    assert_eq!(
        (
            told.len(),
            told[0].server_id,
            told[0].state,
            told[0].started
        ),
        (1, 2, EndpointState::Ready, 6 * SEC)
    );
}

#[test]
fn a_server_that_dies_is_listed_gone_late_and_comes_back_cold() {
    let mut model = model(r#"[{"what": "vanish", "at": 5, "for": 10, "who": [1]}]"#);
    until(&mut model, 8.0);
    assert!(model.since(1).is_empty() && model.servers[1].status == ServerStatus::Unresponsive);
    until(&mut model, 9.0);
    assert_eq!(model.since(1)[0].state, EndpointState::Removed);
    assert_eq!(model.since(0).len(), 3, "a whole list leaves it out");
    until(&mut model, 15.0);
    assert_eq!(
        (model.since(1)[0].state, model.servers[1].status),
        (EndpointState::Ready, ServerStatus::Up)
    );
}

#[test]
fn faults_overlap_and_each_takes_back_its_own() {
    let mut model = model(
        r#"[{"what": "slow", "at": 2, "for": 8, "who": [0], "amount": 0.5},
        {"what": "decay", "at": 4, "for": 10, "who": [0], "amount": 0.2},
        {"what": "store-slow", "at": 2, "for": 4, "amount": 0.1},
        {"what": "store-slow", "at": 3, "for": 10, "amount": 0.5},
        {"what": "list-wrong", "at": 2, "for": 3, "who": [3]},
        {"what": "list-wrong", "at": 3, "for": 4, "who": [3]},
        {"what": "zone-cut", "at": 1, "for": 4, "zone": 1},
        {"what": "zone-flaps", "at": 2, "for": 9, "zone": 1, "amount": 1}]"#,
    );
    until(&mut model, 5.5);
    assert!((model.store.health - 0.05).abs() < 1e-9 && model.servers[0].speed < 0.5);
    assert_eq!(model.since(1)[0].state, EndpointState::Removed);
    assert_eq!(model.reaches(0, 1), model.cuts[1] == 0);
    until(&mut model, 20.0);
    assert!((model.store.health - 1.0).abs() < 1e-9 && (model.servers[0].speed - 1.0).abs() < 1e-9);
    assert!(model.reaches(0, 1) && model.since(1)[0].state == EndpointState::Ready);
}

#[test]
fn drains_are_of_three_kinds() {
    for (drain_behavior, sent_away, cut) in [
        ("keeps-connections", 0, 6),
        ("migrates-gradually", 6, 0),
        ("migrates-at-once", 6, 0),
    ] {
        let fault = format!(
            r#"[{{"what": "shrink", "at": 2, "for": 1, "who": [0], "amount": 4, "drain_behavior": "{drain_behavior}"}}]"#
        );
        let mut model = model(&fault);
        for id in 0..6 {
            let connection = crate::server::ServerConnection {
                load: 0.1,
                group: None,
                class: 0,
                value: 1.0,
            };
            model.servers[0].attach(id, connection);
        }
        let events = until(&mut model, 10.0);
        let count =
            |pick: fn(&FleetEvent) -> Option<usize>| events.iter().filter_map(pick).sum::<usize>();
        let away = count(|h| match h {
            FleetEvent::ClientsMigrated { ids, .. } => Some(ids.len()),
            _ => None,
        });
        let reset = count(|h| match h {
            FleetEvent::ConnectionsReset { ids, .. } => Some(ids.len()),
            _ => None,
        });
        assert_eq!((away, reset), (sent_away, cut), "{drain_behavior}");
        assert_eq!(model.since(1)[0].state, EndpointState::Removed);
    }
}
