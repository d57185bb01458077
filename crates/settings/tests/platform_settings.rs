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

/// Returns settings with traffic classes and tenants of these names.
fn named(classes: &[&str], tenants: &[&str]) -> Settings {
    let entries =
        |names: &[&str]| -> Vec<Value> { names.iter().map(|name| json!({"name": name})).collect() };
    let value = json!({"service-types": entries(classes), "accounts": entries(tenants)});
    Settings::from_embedded(&value).unwrap()
}

fn class_numbers(settings: &Settings) -> Vec<usize> {
    let classes = settings.traffic_classes().unwrap();
    classes.iter().map(|class| class.number).collect()
}

fn tenant_numbers(settings: &Settings) -> Vec<usize> {
    let tenants = settings.tenants();
    tenants.iter().map(|tenant| tenant.number).collect()
}

/// Guards against connections that are counted for another class or tenant after a reload.
#[test]
fn reloaded_settings_keep_the_numbers_of_traffic_classes_and_tenants() {
    let first = named(&["a", "b"], &["x"]);
    assert_eq!(class_numbers(&first), [0, 1]);
    let second = named(&["c", "b"], &["y", "x"]);
    let second = second.numbered_after(&first).unwrap();
    assert_eq!(class_numbers(&second), [2, 1]);
    assert_eq!(tenant_numbers(&second), [1, 0]);
    assert_eq!(second.tenant_quotas().unwrap(), [(0, 1.0), (1, 1.0)].into());
    // A name that comes back gets a new number: flows of its earlier time may still be open.
    let third = named(&["a", "b"], &[]).numbered_after(&second).unwrap();
    assert_eq!(class_numbers(&third), [3, 1]);
    for (classes, list) in [(["b", "b"], "service-types"), (["b", "c"], "accounts")] {
        let tenants = if list == "accounts" {
            ["x", "x"]
        } else {
            ["x", "y"]
        };
        let error = named(&classes, &tenants).numbered_after(&third).err();
        assert_eq!(
            error.map(|error| error.to_string()),
            Some(format!(
                "field '{list}': an entry has no name or the same name as another entry"
            ))
        );
    }
}

/// Guards against a balancer whose types of long ago still count, and whose settings grow, after
/// reloads with ever new names.
#[test]
fn a_hundred_reloads_leave_only_the_names_of_the_newest_settings() {
    let mut settings = named(&["kept"], &["kept"]);
    for reload in 0..100 {
        let new_name = format!("name-{reload}");
        let new = named(&["kept", &new_name], &[&new_name, "kept"]);
        settings = new.numbered_after(&settings).unwrap();
    }
    assert_eq!(settings.traffic_class_names(), ["kept", "name-99"]);
    assert_eq!(class_numbers(&settings), [0, 100]);
    assert_eq!(tenant_numbers(&settings), [100, 0]);
    assert_eq!(settings.tenant_quotas().unwrap().len(), 2);
}
