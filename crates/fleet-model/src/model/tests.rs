//! Effects of faults on the fleet, their reversal, and what discovery lists.

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

fn run_until(model: &mut FleetModel, end: f64) -> Vec<FleetEvent> {
    (0..=(end * 10.0) as u64)
        .flat_map(|step| model.tick(step * 100 * MS))
        .collect()
}

#[test]
fn restart_before_discovery_detects_the_crash_publishes_the_new_start_time() {
    let mut model = model(r#"[{"what": "crash", "at": 5, "for": 1, "who": [2]}]"#);
    run_until(&mut model, 10.0);
    let changed = model.entries_since(1);
    assert_eq!(
        (
            changed.len(),
            changed[0].server_id,
            changed[0].state,
            changed[0].started
        ),
        (1, 2, EndpointState::Ready, 6 * SEC)
    );
}

#[test]
fn unresponsive_server_is_listed_as_removed_after_a_delay_and_as_ready_after_its_restart() {
    let mut model = model(r#"[{"what": "vanish", "at": 5, "for": 10, "who": [1]}]"#);
    run_until(&mut model, 8.0);
    assert!(
        model.entries_since(1).is_empty() && model.servers[1].status == ServerStatus::Unresponsive
    );
    run_until(&mut model, 9.0);
    assert_eq!(model.entries_since(1)[0].state, EndpointState::Removed);
    assert_eq!(
        model.entries_since(0).len(),
        3,
        "the full list omits the server"
    );
    run_until(&mut model, 15.0);
    assert_eq!(
        (model.entries_since(1)[0].state, model.servers[1].status),
        (EndpointState::Ready, ServerStatus::Up)
    );
}

#[test]
fn overlapping_faults_revert_only_their_own_effects() {
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
    run_until(&mut model, 5.5);
    assert!((model.store.rate_factor - 0.05).abs() < 1e-9 && model.servers[0].speed < 0.5);
    assert_eq!(model.entries_since(1)[0].state, EndpointState::Removed);
    assert_eq!(model.can_reach(0, 1), model.cuts_by_zone[1] == 0);
    run_until(&mut model, 20.0);
    assert!(
        (model.store.rate_factor - 1.0).abs() < 1e-9 && (model.servers[0].speed - 1.0).abs() < 1e-9
    );
    assert!(model.can_reach(0, 1) && model.entries_since(1)[0].state == EndpointState::Ready);
}

#[test]
fn draining_server_migrates_or_resets_its_connections_by_drain_behavior() {
    for (drain_behavior, migrated_expected, reset_expected) in [
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
        let events = run_until(&mut model, 10.0);
        let count =
            |pick: fn(&FleetEvent) -> Option<usize>| events.iter().filter_map(pick).sum::<usize>();
        let migrated = count(|event| match event {
            FleetEvent::ClientsMigrated { ids, .. } => Some(ids.len()),
            _ => None,
        });
        let reset = count(|event| match event {
            FleetEvent::ConnectionsReset { ids, .. } => Some(ids.len()),
            _ => None,
        });
        assert_eq!(
            (migrated, reset),
            (migrated_expected, reset_expected),
            "{drain_behavior}"
        );
        assert_eq!(model.entries_since(1)[0].state, EndpointState::Removed);
    }
}
