use super::*;

const T0: Time = 1000 * SEC;
const LIFETIME: Time = 9 * SEC;

#[test]
fn a_report_counts_for_its_lifetime() {
    let mut load = ServerLoad::default();
    assert_eq!(load.utilization(T0, LIFETIME), None);
    load.record_report(T0, 0.5);
    assert_eq!(load.utilization(T0 + LIFETIME - 1, LIFETIME), Some(0.5));
    assert_eq!(load.utilization(T0 + LIFETIME, LIFETIME), None);
    assert_eq!(load.last_utilization(), Some(0.5));
}

#[test]
fn identical_reports_count_as_stuck_unless_the_server_is_idle() {
    for (utilization, counts) in [(0.5, false), (0.0, true)] {
        let mut load = ServerLoad::default();
        for second in 0..REPORTS_KEPT_MAX as Time {
            assert!(second == 0 || load.utilization(T0 + second * SEC, LIFETIME).is_some());
            load.record_report(T0 + second * SEC, utilization);
        }
        let now = T0 + REPORTS_KEPT_MAX as Time * SEC;
        assert_eq!(load.utilization(now, LIFETIME).is_some(), counts);
        load.record_report(now, 0.51);
        assert_eq!(load.utilization(now, LIFETIME), Some(0.51));
    }
}

#[test]
fn attempts_older_than_the_report_delay_are_no_longer_counted_after_a_report() {
    let mut load = ServerLoad::default();
    load.record_attempt(T0);
    load.record_attempt(T0 + REPORT_DELAY);
    load.record_report(T0 + REPORT_DELAY, 0.5);
    assert_eq!(load.recent_attempts(), 1);
    load.withdraw_attempt();
    assert_eq!(load.recent_attempts(), 0);
}

#[test]
fn a_report_is_outdated_past_its_age_unless_a_check_has_just_ended() {
    let mut load = ServerLoad::default();
    load.record_report(T0, 0.5);
    assert!(!load.is_outdated(T0 + 8 * SEC - 1, EXCLUSION_REPORT_AGE_MAX));
    assert!(load.is_outdated(T0 + 8 * SEC, EXCLUSION_REPORT_AGE_MAX));
    load.record_check(T0 + 8 * SEC);
    assert!(!load.is_outdated(T0 + 9 * SEC - 1, EXCLUSION_REPORT_AGE_MAX));
    assert!(load.is_outdated(T0 + 9 * SEC, EXCLUSION_REPORT_AGE_MAX));
}

#[test]
fn expected_utilization_counts_own_and_peer_attempts() {
    let expected = ExpectedUtilization {
        mean: 0.25,
        per_connection: 0.125,
        peer_attempts: 2.0,
    };
    let mut load = ServerLoad::default();
    load.record_attempt(T0);
    assert_eq!(expected.estimate(&load, Some(0.5)), 0.875);
    assert_eq!(
        expected.estimate(&load, None),
        0.25,
        "the mean if no utilization is known"
    );
}

#[test]
fn utilizations_outside_the_plausible_range_are_rejected() {
    for utilization in [f64::NAN, f64::INFINITY, -0.1, 100.0] {
        assert!(!is_plausible(utilization), "{utilization}");
    }
    assert!(is_plausible(0.0) && is_plausible(3.0));
}
