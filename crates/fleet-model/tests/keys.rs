//! The keys of scenarios and records. They stay as they are, whatever the code calls what they name.

use nettlemux_fleet_model::fault::{Fault, What};
use nettlemux_fleet_model::scenario::{Repeat, Scenario};
use nettlemux_fleet_model::seen::{Kind, Scope, Seen};
use serde_json::json;

#[test]
fn scenarios_say_hall_for_a_zone() {
    let scenario: Scenario = serde_json::from_value(json!({
        "name": "keys", "seconds": 60, "balancers": {"number": 1}, "halls": {"number": 2},
        "fleet": {"servers": 4, "capacity": 10}, "clients": {"rate": 1, "life": 9},
        "types": [{"name": "chat", "repeat": "referenced-hall"}],
        "faults": [{"what": "hall-cut", "at": 1, "hall": 1}, {"what": "hall-flaps", "at": 2, "hall": 1}]
    }))
    .unwrap();
    assert_eq!(
        (scenario.zones.number, scenario.types[0].repeat),
        (2, Repeat::ReferencedZone)
    );
    let faults: Vec<_> = scenario
        .faults
        .iter()
        .map(|fault| (fault.what, fault.zone))
        .collect();
    assert_eq!(faults, [(What::ZoneCut, 1), (What::ZoneFlaps, 1)]);
}

/// A hunt writes the faults that it has found into a scenario.
#[test]
fn faults_are_written_under_the_keys_that_are_read() {
    let text = json!({"what": "hall-flaps", "at": 1.0, "for": 2.0, "share": 0.0, "who": [], "hall": 1,
        "amount": 0.5, "leaving": "keeps"});
    let fault: Fault = serde_json::from_value(text.clone()).unwrap();
    assert_eq!(serde_json::to_value(&fault).unwrap(), text);
}

#[test]
fn a_faulty_key_is_named_as_the_file_has_it() {
    let mut scenario: Scenario = serde_json::from_value(json!({
        "name": "keys", "seconds": 60, "balancers": {"number": 1}, "halls": {"number": 2},
        "fleet": {"servers": 4, "capacity": 10}, "clients": {"rate": 1, "life": 9},
        "types": [{"name": "chat"}], "faults": [{"what": "hall-cut", "at": 1, "hall": 2}]
    }))
    .unwrap();
    assert_eq!(scenario.faults[0].check(&scenario).unwrap_err().0, "hall");
    scenario.zones.number = 0;
    assert_eq!(scenario.check().unwrap_err().0, "halls.number");
}

#[test]
fn records_say_hall_for_a_zone() {
    let server = Seen::Server {
        at: 1,
        server: 2,
        zone: 3,
        cell: 4,
        machine: 5,
    };
    let text = r#"{"what":"server","at":1,"server":2,"hall":3,"cell":4,"machine":5}"#;
    assert_eq!(serde_json::to_string(&server).unwrap(), text);
    assert_eq!(serde_json::from_str::<Seen>(text).unwrap(), server);
    let kind = Kind::Referenced {
        scope: Scope::Zone,
        window: 6,
    };
    assert_eq!(
        serde_json::to_string(&kind).unwrap(),
        r#"{"referenced":{"scope":"hall","window":6}}"#
    );
}
