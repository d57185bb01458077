use super::*;
use crate::types::SEC;

#[test]
fn the_ejection_time_doubles_with_each_failure_up_to_eight_seconds() {
    let mut state = OutlierState::default();
    for seconds in [1, 2, 4, 8, 8, 8] {
        state.record_failed_attempt(100 * SEC);
        let end = (100 + seconds) * SEC;
        assert!(!state.is_healthy(end - 1), "{seconds} s");
        assert!(state.is_healthy(end), "{seconds} s");
    }
}

#[test]
fn an_attempt_that_connects_ends_an_ejection() {
    let mut state = OutlierState::default();
    state.record_failed_attempt(100 * SEC);
    state.record_connected(100 * SEC);
    assert!(state.is_healthy(100 * SEC));
}

#[test]
fn two_failed_checks_make_a_server_unresponsive_until_one_passes_or_a_flow_connects() {
    let mut state = OutlierState::default();
    state.record_failed_check(100 * SEC);
    assert!(state.is_healthy(101 * SEC));
    state.record_failed_check(102 * SEC);
    assert!(!state.is_healthy(1000 * SEC));
    state.record_passed_check();
    assert!(state.is_healthy(1000 * SEC));
    state.record_failed_check(1001 * SEC);
    state.record_failed_check(1002 * SEC);
    assert!(!state.is_healthy(1003 * SEC));
    state.record_connected(1003 * SEC);
    assert!(state.is_healthy(1003 * SEC));
}
