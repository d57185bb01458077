//! The keys of scenarios and records: the current names, and the names of earlier versions, which
//! must still be read.

use nettlemux_fleet_model::fault::{DrainBehavior, Fault, FaultKind};
use nettlemux_fleet_model::observation::{
    DeduplicationScope, FinalAnswer, Idempotency, Observation,
};
use nettlemux_fleet_model::scenario::{Fleet, IdempotencySetting, Limits, Scenario, TrafficClass};
use nettlemux_settings::operator::AdmissionKey;
use serde_json::json;

#[test]
fn scenario_with_the_old_name_hall_is_read_as_zone() {
    for (zones, cut, flaps, zone, idempotency) in [
        (
            "zones",
            "zone-cut",
            "zone-flaps",
            "zone",
            "deduplicated-in-zone",
        ),
        ("halls", "hall-cut", "hall-flaps", "hall", "referenced-hall"),
    ] {
        let scenario: Scenario = serde_json::from_value(json!({
            "name": "keys", "seconds": 60, "balancers": {"number": 1}, zones: {"number": 2},
            "fleet": {"servers": 4, "capacity": 10}, "clients": {"rate": 1, "life": 9},
            "types": [{"name": "chat", "idempotency": idempotency}],
            "faults": [{"what": cut, "at": 1, zone: 1}, {"what": flaps, "at": 2, zone: 1}]
        }))
        .unwrap();
        assert_eq!(
            (scenario.zones.number, scenario.types[0].idempotency),
            (2, IdempotencySetting::DeduplicatedInZone),
            "{zones}"
        );
        let faults: Vec<_> = scenario
            .faults
            .iter()
            .map(|fault| (fault.kind, fault.zone))
            .collect();
        assert_eq!(
            faults,
            [(FaultKind::ZoneCut, 1), (FaultKind::ZoneFlaps, 1)],
            "{zones}"
        );
    }
}

/// The search for failures (`hunt`) writes the faults that it found into a scenario.
#[test]
fn fault_is_serialized_under_the_keys_that_are_deserialized() {
    let text = json!({"what": "zone-flaps", "at": 1.0, "for": 2.0, "share": 0.0, "who": [], "zone": 1,
        "amount": 0.5, "drain_behavior": "keeps-connections"});
    let fault: Fault = serde_json::from_value(text.clone()).unwrap();
    assert_eq!(serde_json::to_value(&fault).unwrap(), text);
}

#[test]
fn invalid_key_is_reported_under_its_current_name() {
    let mut scenario: Scenario = serde_json::from_value(json!({
        "name": "keys", "seconds": 60, "balancers": {"number": 1}, "zones": {"number": 2},
        "fleet": {"servers": 4, "capacity": 10}, "clients": {"rate": 1, "life": 9},
        "types": [{"name": "chat"}], "faults": [{"what": "zone-cut", "at": 1, "zone": 2}]
    }))
    .unwrap();
    assert_eq!(scenario.faults[0].check(&scenario).unwrap_err().key, "zone");
    scenario.zones.number = 0;
    assert_eq!(scenario.check().unwrap_err().key, "zones.number");
}

#[test]
fn record_with_the_old_name_hall_is_read_as_zone() {
    let server = Observation::Server {
        at: 1,
        server: 2,
        zone: 3,
        cell: 4,
        machine: 5,
    };
    let text = r#"{"what":"server","at":1,"server":2,"zone":3,"cell":4,"machine":5}"#;
    assert_eq!(serde_json::to_string(&server).unwrap(), text);
    assert_eq!(serde_json::from_str::<Observation>(text).unwrap(), server);
    let earlier = text.replace("zone", "hall");
    assert_eq!(
        serde_json::from_str::<Observation>(&earlier).unwrap(),
        server
    );
    let idempotency = Idempotency::Deduplicated {
        scope: DeduplicationScope::Zone,
        window: 6,
    };
    let text = r#"{"deduplicated":{"scope":"zone","window":6}}"#;
    assert_eq!(serde_json::to_string(&idempotency).unwrap(), text);
    let earlier = text
        .replace("zone", "hall")
        .replace("deduplicated", "referenced");
    assert_eq!(
        serde_json::from_str::<Idempotency>(&earlier).unwrap(),
        idempotency
    );
}

#[test]
fn scenario_with_the_old_name_customer_is_read_as_tenant() {
    for (tenants, surge, by) in [
        ("tenants", "tenant-surge", "tenant"),
        ("customers", "customer-surge", "customer"),
    ] {
        let scenario: Scenario = serde_json::from_value(json!({
            "name": "keys", "seconds": 60, "balancers": {"number": 1},
            "fleet": {"servers": 4, "capacity": 10},
            "clients": {"rate": 1, "life": 9, tenants: [0.5, 0.5]},
            "types": [{"name": "chat"}], "door": {"by": by},
            "faults": [{"what": surge, "at": 1, "amount": 2}]
        }))
        .unwrap();
        assert_eq!(scenario.clients.tenants, [0.5, 0.5], "{tenants}");
        assert_eq!(scenario.faults[0].kind, FaultKind::TenantSurge, "{tenants}");
        let admission = scenario.admission.as_ref().unwrap();
        assert_eq!(admission.by, AdmissionKey::Tenant, "{tenants}");
    }
}

#[test]
fn old_name_connect_is_read_as_attempt() {
    let attempt = Observation::Attempt {
        at: 1,
        balancer: 2,
        flow: 3,
        number: 0,
        server: 4,
    };
    let text = r#"{"what":"attempt","at":1,"balancer":2,"flow":3,"number":0,"server":4}"#;
    assert_eq!(serde_json::to_string(&attempt).unwrap(), text);
    let earlier = text.replace("attempt", "connect");
    assert_eq!(
        serde_json::from_str::<Observation>(&earlier).unwrap(),
        attempt
    );
    let ended = Observation::AttemptEnded {
        at: 1,
        flow: 3,
        number: 0,
        known_unexecuted: true,
    };
    let earlier = r#"{"what":"connect-ended","at":1,"flow":3,"number":0,"never_ran":true}"#;
    assert_eq!(serde_json::from_str::<Observation>(earlier).unwrap(), ended);
    for (attempts, retry_after) in [("attempts", "retry_after"), ("connects", "come_back")] {
        let limits: Limits =
            serde_json::from_value(json!({attempts: 4, retry_after: 9.0})).unwrap();
        assert_eq!(
            (limits.attempts, limits.retry_after),
            (4, 9.0),
            "{attempts}"
        );
    }
}

#[test]
fn old_names_of_idempotency_are_read() {
    use IdempotencySetting::*;
    for (earlier, now, want) in [
        ("repeatable", "idempotent", Idempotent),
        ("referenced-all", "deduplicated-all", DeduplicatedAll),
        (
            "referenced-zone",
            "deduplicated-in-zone",
            DeduplicatedInZone,
        ),
        (
            "referenced-cell",
            "deduplicated-in-cell",
            DeduplicatedInCell,
        ),
        ("once-only", "non-idempotent", NonIdempotent),
    ] {
        for (key, value) in [("repeat", earlier), ("idempotency", now)] {
            let class: TrafficClass =
                serde_json::from_value(json!({"name": "chat", key: value})).unwrap();
            assert_eq!(class.idempotency, want, "{key} = {value}");
        }
    }
    for (earlier, want) in [
        (r#""repeatable""#, Idempotency::Idempotent),
        (r#""once-only""#, Idempotency::NonIdempotent),
    ] {
        assert_eq!(
            serde_json::from_str::<Idempotency>(earlier).unwrap(),
            want,
            "{earlier}"
        );
    }
}

#[test]
fn accepted_record_with_old_names_is_read() {
    let accepted = Observation::Accepted {
        at: 1,
        balancer: 2,
        flow: 3,
        idempotency: Idempotency::NonIdempotent,
        deadline: 9,
    };
    for text in [
        r#"{"what":"taken","at":1,"balancer":2,"flow":3,"kind":"once-only","give_up":9}"#,
        r#"{"what":"accepted","at":1,"balancer":2,"flow":3,"idempotency":"non-idempotent","deadline":9}"#,
    ] {
        assert_eq!(serde_json::from_str::<Observation>(text).unwrap(), accepted);
    }
}

#[test]
fn final_answer_with_old_names_established_and_aborted_is_read() {
    for (text, want) in [
        (r#""established""#, FinalAnswer::Connected),
        (r#""connected""#, FinalAnswer::Connected),
        (r#""aborted""#, FinalAnswer::Failed),
        (r#""failed""#, FinalAnswer::Failed),
        (r#""rejected""#, FinalAnswer::Rejected),
    ] {
        assert_eq!(
            serde_json::from_str::<FinalAnswer>(text).unwrap(),
            want,
            "{text}"
        );
    }
}

#[test]
fn old_names_of_drain_behavior_and_connection_rate_are_read() {
    for (earlier, now, want) in [
        (
            "keeps",
            "keeps-connections",
            DrainBehavior::KeepsConnections,
        ),
        (
            "bit-by-bit",
            "migrates-gradually",
            DrainBehavior::MigratesGradually,
        ),
        (
            "all-at-once",
            "migrates-at-once",
            DrainBehavior::MigratesAtOnce,
        ),
    ] {
        for (key, value) in [("leaving", earlier), ("drain_behavior", now)] {
            let fault: Fault =
                serde_json::from_value(json!({"what": "shrink", "at": 1, key: value})).unwrap();
            assert_eq!(fault.drain_behavior, want, "{key} = {value}");
        }
    }
    for key in ["newcomers", "connection_rate"] {
        let fleet: Fleet =
            serde_json::from_value(json!({"servers": 1, "capacity": 10, key: 4})).unwrap();
        assert_eq!(fleet.connection_rate, 4.0, "{key}");
    }
}

#[test]
fn observations_with_old_names_are_read_and_written_under_current_names() {
    for (earlier, now) in [
        (
            r#""started","at":1,"server":2"#,
            r#""server-started","at":1,"server":2"#,
        ),
        (
            r#""fell","at":1,"server":2"#,
            r#""server-collapsed","at":1,"server":2"#,
        ),
        (
            r#""told","at":1,"balancer":2,"server":3,"ready":true"#,
            r#""endpoint-notified","at":1,"balancer":2,"server":3,"ready":true"#,
        ),
        (
            r#""left","at":1,"flow":2"#,
            r#""client-left","at":1,"flow":2"#,
        ),
        (
            r#""ended","at":1,"flow":2,"by":"client","told":true,"sound":false"#,
            r#""connection-closed","at":1,"flow":2,"by":"client","client_notified":true,"server_healthy":false"#,
        ),
    ] {
        let [earlier, now] = [earlier, now].map(|fields| format!(r#"{{"what":{fields}}}"#));
        let read: Observation = serde_json::from_str(&earlier).unwrap();
        assert_eq!(serde_json::to_string(&read).unwrap(), now);
        assert_eq!(serde_json::from_str::<Observation>(&now).unwrap(), read);
    }
}
