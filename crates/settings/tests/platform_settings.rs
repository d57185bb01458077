//! The platform's settings: their errors as users read them, and settings that are read again.

use nettlemux_policy::MS;
use nettlemux_settings::{DrainMigration, LoadReportFormat, Settings};
use serde_json::{Value, json};

/// Settings with what has no default.
fn settings() -> Value {
    json!({"service-types": [{"name": "a"}, {"name": "b", "hard-limit": 3e6}]})
}

fn policy_error(settings: &Value) -> String {
    let settings = Settings::within(settings).unwrap();
    let policy = settings.policy(1, 0, DrainMigration::Enabled);
    policy.err().map(|e| e.to_string()).unwrap_or_default()
}

#[test]
fn errors_name_the_field_and_what_is_wrong_with_it() {
    assert_eq!(policy_error(&settings()), "");
    for (key, value, error) in [
        (
            "service-types",
            json!(null),
            "field 'service-types': missing setting",
        ),
        (
            "service-types",
            json!(3),
            "field 'service-types': can't use 3",
        ),
        (
            "service-types",
            json!([{"repeat": "often"}]),
            "field 'repeat': unknown kind 'often'",
        ),
        (
            "service-types",
            json!([{"repeat": "guarded", "group": "few"}]),
            "field 'group': unknown scope 'few'",
        ),
        ("accounts", json!("none"), "field 'accounts': is no list"),
        (
            "costs",
            json!({"probe": 1e30}),
            "field 'costs/probe': can't use 1e+30",
        ),
        (
            "limits",
            json!({"max-connects": "two"}),
            "field 'limits/max-connects': can't use \"two\"",
        ),
    ] {
        let mut faulty = settings();
        faulty[key] = value;
        assert_eq!(policy_error(&faulty), error);
    }
    let error = |text| Settings::parse(text).err().map(|e| e.to_string());
    assert_eq!(error("[]").as_deref(), Some("field 'conf': no object"));
    assert!(error("{").is_some_and(|error| error.starts_with("field 'conf': no JSON: ")));
    let embedded = Settings::within(&json!([])).err().map(|e| e.to_string());
    assert_eq!(embedded.as_deref(), Some("field 'settings': no object"));
    let report = LoadReportFormat::default().parse("busy=0.5,rif", '=');
    let report = report.map_err(|e| e.to_string());
    assert_eq!(report, Err("field 'report': 'rif' is no pair".to_string()));
}

#[test]
fn what_settings_leave_out_has_its_default() {
    let settings = Settings::within(&settings()).unwrap();
    assert_eq!(settings.attempts_max().unwrap(), 1);
    assert_eq!(settings.max_retry_after().unwrap(), None);
    assert_eq!(settings.endpoint_poll_interval_max().unwrap(), None);
    assert_eq!(settings.flow_timeouts(), [None, Some(3000 * MS)]);
    assert_eq!(settings.flow_timeout_max(), u64::MAX);
    assert!(!settings.gossip_allowed().unwrap() && !settings.has_groups());
    assert!(settings.has_load_reports());
}

#[test]
fn settings_read_again_keep_the_numbers_of_classes_and_tenants() {
    let previous = Settings::within(&settings()).unwrap();
    let read_again = |names: &[&str]| {
        let classes: Vec<Value> = names.iter().map(|name| json!({"name": name})).collect();
        let new = Settings::within(&json!({"service-types": classes})).unwrap();
        let merged = new.merged_with_previous(&previous);
        merged
            .map(|merged| merged.traffic_class_names())
            .map_err(|e| e.to_string())
    };
    let merged = read_again(&["c", "b"]).unwrap();
    assert_eq!(merged, ["a", "b", "c"]);
    assert_eq!(
        read_again(&["b", "b"]),
        Err("field 'service-types': a name is missing or comes twice".to_string())
    );
}
