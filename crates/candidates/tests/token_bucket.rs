//! Rate, burst and clock of the token bucket.

use nettlemux_candidates::TokenBucket;

const SEC: u64 = 1_000_000_000;

#[test]
fn takes_are_limited_to_the_burst_at_once_and_to_the_rate_over_time() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    let at_once = (0..100).filter(|_| bucket.try_take(0, 1.0)).count();
    assert_eq!(at_once, 5);
    let in_a_minute = (1..=60_000)
        .filter(|ms| bucket.try_take(ms * SEC / 1_000, 1.0))
        .count();
    assert!(
        (598..=601).contains(&in_a_minute),
        "{in_a_minute} tokens taken in 60 s"
    );
}

#[test]
fn no_token_is_taken_if_fewer_than_asked_for_are_available() {
    let mut bucket = TokenBucket::new(10.0, 4.0);
    assert!(bucket.try_take(0, 3.0) && !bucket.try_take(0, 2.0));
    assert!(bucket.try_take(0, 1.0) && !bucket.try_take(0, 1.0));
}

/// Guards against a clock that goes back and forth and gains the tokens of the same time twice.
#[test]
fn clock_that_goes_back_gains_no_tokens() {
    let mut bucket = TokenBucket::new(10.0, 1.0);
    assert!(bucket.try_take(10 * SEC, 1.0));
    assert!(!bucket.try_take(5 * SEC, 1.0));
    assert!(
        !bucket.try_take(10 * SEC, 1.0),
        "the same time gained tokens twice"
    );
    assert_eq!(TokenBucket::default().available(SEC), 0.0);
}
