//! Tests of the token buckets.

use nettlemux_policy::MS;

use super::*;

const LIMIT: RateLimit = RateLimit {
    rate: 10.0,
    burst: 5.0,
};

#[test]
fn rate_limit_holds_and_busy_keys_affect_few_other_keys() {
    let mut buckets = TokenBuckets::new(64, 9);
    let taken = (0..1000)
        .filter(|k| buckets.take(k * 10 * MS, 5, LIMIT))
        .count();
    assert!((100..=106).contains(&taken), "{taken}");
    // A hundred keys use up the tokens of their slots. Most of the other keys still get a token.
    let mut buckets = TokenBuckets::new(1024, 9);
    for k in 0..100 {
        (0..100u64).for_each(|key| _ = buckets.take(k * 10 * MS, key, LIMIT));
    }
    let served = (1000..2000u64)
        .filter(|key| buckets.take(SEC, *key, LIMIT))
        .count();
    assert!(served > 970, "{served} of 1000 keys got a token");
}
