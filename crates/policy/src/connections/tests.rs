use super::*;

fn flow(id: FlowId, tenant: usize, group: &str) -> Flow {
    Flow {
        id,
        tenant,
        group: Some(group.into()),
        ..Flow::default()
    }
}

#[test]
fn an_attempt_is_in_flight_until_it_connects() {
    let mut table = ConnectionTable::default();
    table.record_attempt(5, &flow(1, 0, "a"), 51);
    assert_eq!(table.in_flight[&1].since, 5);
    assert_eq!(table.mark_connected(1), Some(51));
    assert_eq!(
        table.mark_connected(1),
        None,
        "a second call finds nothing in flight"
    );
    assert!(table.in_flight.is_empty() && table.own[&1].is_connected);
}

#[test]
fn a_further_attempt_of_a_flow_replaces_the_earlier_one() {
    let mut table = ConnectionTable::default();
    table.record_attempt(5, &flow(1, 0, "a"), 51);
    table.record_attempt(6, &flow(1, 0, "a"), 52);
    assert_eq!((table.count_at(51), table.count_at(52)), (0.0, 1.0));
    assert_eq!(table.by_tenant[&0], 1);
}

#[test]
fn indexes_are_empty_after_all_connections_are_removed() {
    let mut table = ConnectionTable::default();
    table.record_connection(&flow(1, 0, "a"), 51);
    table.record_attempt(5, &flow(2, 3, "b"), 51);
    table.update_load(1, 2.0);
    table.update_load(1, 3.0);
    assert_eq!((table.loads[&0].count, table.loads[&0].sum), (1.0, 3.0));
    assert_eq!(
        table.group_holders(&flow(9, 0, "b")).map(BTreeMap::len),
        Some(1)
    );
    for id in [1, 2] {
        assert!(table.remove(id).is_some());
        assert!(table.remove(id).is_none());
    }
    assert!(table.own.is_empty() && table.in_flight.is_empty() && table.by_server.is_empty());
    assert!(table.by_group.is_empty() && table.by_tenant.is_empty());
    assert_eq!((table.loads[&0].count, table.loads[&0].sum), (0.0, 0.0));
}

#[test]
fn only_the_first_estimate_of_a_load_counts() {
    let mut table = ConnectionTable::default();
    table.record_connection(&flow(1, 0, "a"), 51);
    table.estimate_loads(51, None);
    table.estimate_loads(51, Some(0.5));
    table.estimate_loads(51, Some(0.25));
    assert_eq!(table.own[&1].estimated_load, Some(0.5));
}

#[test]
fn load_totals_of_classes_without_a_reported_load_are_forgotten() {
    let mut table = ConnectionTable::default();
    for (id, number) in [(1, 0), (2, 5)] {
        let mut flow = flow(id, 0, "a");
        flow.class.number = number;
        table.record_connection(&flow, 51);
        table.update_load(id, 2.0);
    }
    table.remove(1);
    table.forget_unused_classes();
    assert_eq!(table.loads.keys().collect::<Vec<_>>(), [&5]);
}
