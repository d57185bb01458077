//! The rate limit during a flood of datagrams.

use super::*;

#[test]
fn datagrams_over_the_limit_are_dropped_until_the_next_second() {
    let mut limit = ReceiveLimit::default();
    let first_second = 7 * SEC;
    let admitted = (0..1000)
        .filter(|milliseconds| limit.admits(first_second + milliseconds * SEC / 1000))
        .count();
    assert_eq!(admitted, FLOOD_THRESHOLD_PER_SECOND - 1);
    assert!(
        limit.admits(first_second + SEC),
        "dropped although the next second has begun"
    );
}
