//! Tests of the schedule and the promises.

use super::*;

/// Guards against clients that all come back at one moment: no slice has more than twice the mean.
#[test]
fn returns_are_spread_and_never_sooner_than_needed() {
    let (mut schedule, mut rng) = (RetryAfterSchedule::new(2 * SEC), WyRand::new_seed(1));
    let mut slices = std::collections::BTreeMap::<Time, u32>::new();
    for k in 0..5000u64 {
        let now = 7 * SEC + k * MS / 5;
        let needed = [0, 400 * MS, 9 * SEC][k as usize % 3];
        let retry_after = schedule.schedule(now, needed, &mut rng);
        assert!(
            retry_after >= needed.min(SEC) && retry_after <= 2 * SEC,
            "{retry_after}"
        );
        *slices.entry((now + retry_after) / SLICE).or_default() += 1;
    }
    let counts: Vec<u32> = slices.values().copied().collect();
    let mean = 5000.0 / counts.len() as f64;
    assert!(
        counts.iter().all(|count| f64::from(*count) <= 2.0 * mean),
        "{mean}: {counts:?}"
    );
}

#[test]
fn a_promise_is_kept_once_and_only_on_time() {
    let mut promises = RetryAfterPromises::new(4096, 5);
    promises.record(10 * SEC, 7);
    assert!(!promises.redeem(9 * SEC, 7) && !promises.redeem(10 * SEC, 8));
    assert!(promises.redeem(10 * SEC, 7) && !promises.redeem(10 * SEC, 7));
    promises.record(10 * SEC, 7);
    assert!(!promises.redeem(12 * SEC, 7));
}
