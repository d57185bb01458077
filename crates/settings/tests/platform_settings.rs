//! The platform's settings: error messages, defaults and reloading.

use nettlemux_policy::MS;
use nettlemux_settings::{DrainMigration, LoadReportFormat, Settings};
use serde_json::{Value, json};

/// The settings that have no default.
fn settings() -> Value {
    json!({"service-types": [{"name": "a"}, {"name": "b", "hard-limit": 3e6}]})
}

fn policy_error(settings: &Value) -> String {
    let settings = Settings::from_embedded(settings).unwrap();
    let policy = settings.policy(1, 0, DrainMigration::Enabled);
    policy.err().map(|e| e.to_string()).unwrap_or_default()
}

#[test]
fn error_names_the_invalid_field_and_the_problem() {
    assert_eq!(policy_error(&settings()), "");
    for (key, value, error) in [
        (
            "service-types",
            json!(null),
            "field 'service-types': required setting is missing",
        ),
        (
            "service-types",
            json!(3),
            "field 'service-types': wrong type or out of range: 3",
        ),
        (
            "service-types",
            json!([{"repeat": "often"}]),
            "field 'repeat': unknown kind of idempotency 'often'",
        ),
        (
            "service-types",
            json!([{"repeat": "guarded", "group": "few"}]),
            "field 'group': unknown deduplication scope 'few'",
        ),
        (
            "accounts",
            json!("none"),
            "field 'accounts': expected a list",
        ),
        (
            "costs",
            json!({"probe": 1e30}),
            "field 'costs/probe': wrong type or out of range: 1e+30",
        ),
        (
            "limits",
            json!({"max-connects": "two"}),
            "field 'limits/max-connects': wrong type or out of range: \"two\"",
        ),
    ] {
        let mut invalid = settings();
        invalid[key] = value;
        assert_eq!(policy_error(&invalid), error);
    }
    let error = |text| Settings::parse(text).err().map(|e| e.to_string());
    assert_eq!(
        error("[]").as_deref(),
        Some("field 'conf': expected a JSON object")
    );
    assert!(error("{").is_some_and(|error| error.starts_with("field 'conf': not valid JSON: ")));
    let embedded = Settings::from_embedded(&json!([]))
        .err()
        .map(|e| e.to_string());
    assert_eq!(
        embedded.as_deref(),
        Some("field 'settings': expected a JSON object")
    );
    let report = LoadReportFormat::default().parse("busy=0.5,rif", '=');
    let report = report.map_err(|e| e.to_string());
    assert_eq!(
        report,
        Err("field 'report': expected a pair of a name and a value, found 'rif'".to_string())
    );
}

#[test]
fn omitted_settings_have_their_defaults() {
    let settings = Settings::from_embedded(&settings()).unwrap();
    assert_eq!(settings.attempts_max().unwrap(), 1);
    assert_eq!(settings.max_retry_after().unwrap(), None);
    assert_eq!(settings.endpoint_poll_interval_max().unwrap(), None);
    assert_eq!(settings.traffic_class_timeouts(), [None, Some(3000 * MS)]);
    assert_eq!(settings.flow_timeout_max(), u64::MAX);
    assert!(!settings.gossip_allowed().unwrap() && !settings.has_groups());
    assert!(settings.has_load_reports());
}

#[test]
fn reloaded_settings_keep_the_numbers_of_traffic_classes() {
    let previous = Settings::from_embedded(&settings()).unwrap();
    let reload = |names: &[&str]| {
        let classes: Vec<Value> = names.iter().map(|name| json!({"name": name})).collect();
        let new = Settings::from_embedded(&json!({"service-types": classes})).unwrap();
        let merged = new.merged_with_previous(&previous);
        merged
            .map(|merged| merged.traffic_class_names())
            .map_err(|e| e.to_string())
    };
    let merged = reload(&["c", "b"]).unwrap();
    assert_eq!(merged, ["a", "b", "c"]);
    assert_eq!(
        reload(&["b", "b"]),
        Err(
            "field 'service-types': an entry has no name or the same name as another entry"
                .to_string()
        )
    );
}
