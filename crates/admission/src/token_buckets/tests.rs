//! Tests of the token buckets.

use nettlemux_policy::MS;

use super::*;

const LIMIT: RateLimit = RateLimit {
    rate: 10.0,
    burst: 5.0,
};

#[test]
fn a_rate_is_kept_and_a_shared_slot_costs_no_key_its_tokens() {
    let mut buckets = TokenBuckets::new(64, 9);
    let taken = (0..1000)
        .filter(|k| buckets.take(k * 10 * MS, 5, LIMIT))
        .count();
    assert!((100..=106).contains(&taken), "{taken}");
    // A hundred keys flood the table: most of the quiet ones still get their tokens.
    let mut buckets = TokenBuckets::new(1024, 9);
    for k in 0..100 {
        (0..100u64).for_each(|flood| _ = buckets.take(k * 10 * MS, flood, LIMIT));
    }
    let quiet = (1000..2000u64)
        .filter(|key| buckets.take(SEC, *key, LIMIT))
        .count();
    assert!(quiet > 970, "{quiet} of 1000");
}
