//! Tests of the tenant that a request is counted for, and of replaced settings.

use serde_json::json;

use super::*;

fn with_tenants(names: &[&str]) -> Settings {
    let tenants: Vec<_> = names.iter().map(|name| json!({"name": name})).collect();
    Settings::from_embedded(&json!({"service-types": [{"name": "a"}], "accounts": tenants}))
        .unwrap()
}

/// Guards against a request that is counted for another tenant after a reload: a tenant keeps its
/// number, and a position means the list of the settings in force.
#[test]
fn tenant_is_found_by_name_or_position_in_the_settings_in_force() {
    let first = with_tenants(&["x", "y"]);
    let second = with_tenants(&["z", "y"]).numbered_after(&first).unwrap();
    // The name of a tenant in a request, its number before and after the reload.
    for (name, before, after) in [
        (None, Some(0), Some(2)),
        (Some("x"), Some(0), None),
        (Some("y"), Some(1), Some(1)),
        (Some("z"), None, Some(2)),
        (Some("0"), Some(0), Some(2)),
        (Some("1"), Some(1), Some(1)),
        (Some("2"), None, None),
    ] {
        let number = |settings| {
            let settings = FirstLineSettings::from_platform(settings).unwrap();
            settings.tenant_number(name)
        };
        assert_eq!(
            (number(&first), number(&second)),
            (before, after),
            "{name:?}"
        );
    }
    let without_tenants = FirstLineSettings::from_platform(&with_tenants(&[])).unwrap();
    assert_eq!(without_tenants.tenant_number(Some("x")), Some(0));
}

/// Guards against requests of a removed class that are refused before the new settings count, and
/// against a class that is accepted long after it was removed.
#[test]
fn replaced_settings_count_until_the_new_ones_have_settled() {
    let of_class = |name| {
        let value = json!({"service-types": [{"name": name}]});
        FirstLineSettings::from_platform(&Settings::from_embedded(&value).unwrap()).unwrap()
    };
    let shared = SharedFirstLineSettings::new(of_class("first"));
    assert!(shared.unsettled(SEC).is_none());
    shared.replace(SEC, of_class("second"));
    let settled = SEC + RELOAD_SETTLING_TIME;
    let unsettled = shared.unsettled(settled - 1).unwrap();
    assert!(unsettled.class("first").is_some());
    assert!(shared.current().class("first").is_none());
    assert!(shared.unsettled(settled).is_none());
    shared.replace(settled, of_class("third"));
    let unsettled = shared.unsettled(settled).unwrap();
    assert!(unsettled.class("second").is_some() && unsettled.class("first").is_none());
}
