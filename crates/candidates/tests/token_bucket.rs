//! The token bucket.

use nettlemux_candidates::TokenBucket;

const SEC: u64 = 1_000_000_000;

#[test]
fn no_more_than_its_rate_over_time_nor_its_burst_at_once() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    let at_once = (0..100).filter(|_| bucket.try_take(0, 1.0)).count();
    assert_eq!(at_once, 5);
    let in_a_minute = (1..=60_000)
        .filter(|ms| bucket.try_take(ms * SEC / 1_000, 1.0))
        .count();
    assert!((598..=601).contains(&in_a_minute), "{in_a_minute}");
}

#[test]
fn all_of_a_cost_is_taken_or_nothing() {
    let mut bucket = TokenBucket::new(10.0, 4.0);
    assert!(bucket.try_take(0, 3.0) && !bucket.try_take(0, 2.0));
    assert!(bucket.try_take(0, 1.0) && !bucket.try_take(0, 1.0));
}

#[test]
fn a_clock_that_goes_back_brings_nothing() {
    let mut bucket = TokenBucket::new(10.0, 1.0);
    assert!(bucket.try_take(10 * SEC, 1.0));
    assert!(!bucket.try_take(5 * SEC, 1.0));
    assert!(!bucket.try_take(10 * SEC, 1.0), "time counts once");
    assert_eq!(TokenBucket::default().available(SEC), 0.0);
}
