//! Tests of the schedule and the reservations of retries.

use super::*;

/// Guards against clients that all retry at the same time: no slice has more than twice the mean
/// number of retries.
#[test]
fn retries_are_spread_over_time_and_not_scheduled_sooner_than_needed() {
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
        *slices
            .entry((now + retry_after) / SLICE_DURATION)
            .or_default() += 1;
    }
    let counts: Vec<u32> = slices.values().copied().collect();
    let mean = 5000.0 / counts.len() as f64;
    assert!(
        counts.iter().all(|count| f64::from(*count) <= 2.0 * mean),
        "mean {mean}, counts {counts:?}"
    );
}

#[test]
fn reservation_is_claimed_only_once_and_only_on_time() {
    let mut reservations = RetryReservations::new(4096, 5);
    reservations.record(10 * SEC, 7);
    assert!(!reservations.claim(9 * SEC, 7) && !reservations.claim(10 * SEC, 8));
    assert!(reservations.claim(10 * SEC, 7) && !reservations.claim(10 * SEC, 7));
    reservations.record(10 * SEC, 7);
    assert!(!reservations.claim(12 * SEC, 7));
}
