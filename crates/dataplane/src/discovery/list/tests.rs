//! The agent's updates and the path that requests them, in the agent's wire format.

use super::*;

#[test]
fn update_is_parsed_without_its_unreadable_entries() {
    let text = r#"{"generation":41,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"127.1.0.18:8081","zone":"a","machineType":"m2","cell":3,
         "lifecycle":"Ready","weight":1.5,"startedAtMs":1700000000123},
        {"instanceId":"s-2","hostPort":"nowhere","lifecycle":"Ready"},
        {"instanceId":"s-3","lifecycle":"Gone"},
        {"instanceId":"s-5","hostPort":null,"lifecycle":"Terminating"},
        {"instanceId":"s-4","hostPort":"127.1.0.18:8081","lifecycle":"Asleep"}]}"#;
    let update = parse_list_update(&serde_json::from_str(text).unwrap()).unwrap();
    assert_eq!(update.version, 41);
    assert!(update.is_complete);
    let [first, second, third] = &update.entries[..] else {
        panic!("expected three entries: {update:?}");
    };
    assert_eq!(first.name, "s-1");
    assert_eq!(first.cell, "3");
    assert_eq!(first.state, EndpointState::Ready);
    assert_eq!(first.started_at, 1_700_000_000_123 * MS);
    assert_eq!(second.name, "s-3");
    assert_eq!(second.state, EndpointState::Removed);
    assert_eq!(third.name, "s-5");
    assert_eq!(third.state, EndpointState::Draining);
    for bad in [r#"{}"#, r#"{"generation":1,"reset":true}"#, r#"[]"#] {
        assert!(
            parse_list_update(&serde_json::from_str(bad).unwrap()).is_err(),
            "{bad}"
        );
    }
}

#[test]
fn nesting_depth_counts_brackets_outside_of_strings() {
    assert!(is_nested_deeper(b"[[[", 2) && is_nested_deeper(br#"{"a":"]]]\"","b":[{"c":1}]}"#, 2));
    assert!(!is_nested_deeper(br#"[[1],["[[[[\\"],[2]]"#, 2) && !is_nested_deeper(b"]]][[", 2));
}

/// Operators read these texts in configuration errors and in the log. The texts name the JSON
/// members.
#[test]
fn error_text_names_the_invalid_member() {
    for (body, text) in [
        (
            "[[[[[[[[[[[[[[[[[",
            "endpoint list nested deeper than 16 levels",
        ),
        ("{", "EOF while parsing an object at line 1 column 1"),
        ("[]", "'generation' is missing or not an unsigned integer"),
        (
            r#"{"generation":-1}"#,
            "'generation' is missing or not an unsigned integer",
        ),
        (
            r#"{"generation":1,"reset":1}"#,
            "'reset' is missing or not a boolean",
        ),
        (
            r#"{"generation":1,"reset":true}"#,
            "'instances' is missing or not an array",
        ),
    ] {
        let error = parse_body(body.as_bytes()).unwrap_err();
        assert_eq!(error.to_string(), text, "{body}");
    }
    for (entry, text) in [
        (
            r#"{"instanceId":"s-1","lifecycle":"Asleep"}"#,
            "s-1: unknown 'lifecycle' value 'Asleep'",
        ),
        (
            r#"{"instanceId":"s-1","lifecycle":"Ready","hostPort":"nowhere"}"#,
            "s-1: 'hostPort' is not an IP address with a port",
        ),
        (
            r#"{"lifecycle":"Gone"}"#,
            "'instanceId' is missing or empty",
        ),
    ] {
        let error = parse_entry(&serde_json::from_str(entry).unwrap()).unwrap_err();
        assert_eq!(error.to_string(), text, "{entry}");
    }
}

#[test]
fn request_path_has_the_version_and_the_hold_only_if_there_is_a_version() {
    assert_eq!(
        request_path(Some(41), 1000 * MS),
        "/api/targets?from=41&hold_ms=1000"
    );
    assert_eq!(request_path(Some(41), 0), "/api/targets?from=41&hold_ms=0");
    assert_eq!(request_path(None, 0), "/api/targets");
}
