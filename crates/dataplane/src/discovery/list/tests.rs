//! What is read of the agent's updates.

use super::*;

#[test]
fn answers_are_read_and_bad_entries_left_out() {
    let text = r#"{"generation":41,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"127.1.0.18:8081","zone":"a","machineType":"m2","cell":3,
         "lifecycle":"Ready","weight":1.5,"startedAtMs":1700000000123},
        {"instanceId":"s-2","hostPort":"nowhere","lifecycle":"Ready"},
        {"instanceId":"s-3","lifecycle":"Gone"},
        {"instanceId":"s-5","hostPort":null,"lifecycle":"Terminating"},
        {"instanceId":"s-4","hostPort":"127.1.0.18:8081","lifecycle":"Asleep"}]}"#;
    let read = parse_list_update(&serde_json::from_str(text).unwrap()).unwrap();
    assert_eq!(
        (read.version, read.is_complete, read.entries.len()),
        (41, true, 3)
    );
    let first = &read.entries[0];
    assert_eq!(
        (first.name.as_str(), first.cell.as_str(), first.state),
        ("s-1", "3", EndpointState::Ready)
    );
    assert_eq!(first.started, 1_700_000_000_123 * MS);
    assert_eq!(
        (read.entries[1].name.as_str(), read.entries[1].state),
        ("s-3", EndpointState::Removed)
    );
    assert_eq!(
        (read.entries[2].name.as_str(), read.entries[2].state),
        ("s-5", EndpointState::Draining)
    );
    for bad in [r#"{}"#, r#"{"generation":1,"reset":true}"#, r#"[]"#] {
        assert!(
            parse_list_update(&serde_json::from_str(bad).unwrap()).is_err(),
            "{bad}"
        );
    }
}

#[test]
fn nesting_depth_is_found_without_recursion() {
    assert!(is_nested_deeper(b"[[[", 2) && is_nested_deeper(br#"{"a":"]]]\"","b":[{"c":1}]}"#, 2));
    assert!(!is_nested_deeper(br#"[[1],["[[[[\\"],[2]]"#, 2) && !is_nested_deeper(b"]]][[", 2));
}
