//! Tests of the service rate.

use nettlemux_policy::MS;

use super::*;

#[test]
fn estimate_falls_within_a_second_and_rises_more_slowly() {
    let mut rate = ServiceRate::default();
    assert_eq!(rate.per_second(), INITIAL_RATE);
    let serve = |rate: &mut ServiceRate, from: Time, seconds: u64, per_second: u64| {
        (0..seconds * per_second).for_each(|k| rate.record(from + k * SEC / per_second));
    };
    serve(&mut rate, 0, 20, 50);
    assert!(
        (40.0..60.0).contains(&rate.per_second()),
        "{}",
        rate.per_second()
    );
    serve(&mut rate, 20 * SEC, 1, 5);
    rate.decay(21 * SEC);
    assert!(rate.per_second() < 15.0, "{}", rate.per_second());
    serve(&mut rate, 21 * SEC, 1, 50);
    rate.decay(22 * SEC + MS);
    assert!(rate.per_second() < 45.0, "{}", rate.per_second());
    // A clock that steps back doesn't change the estimate.
    let before = rate.per_second();
    rate.decay(0);
    assert_eq!(rate.per_second(), before);
}
