//! Queueing of the store's calls.

use super::*;

#[test]
fn a_burst_waits_in_proportion_to_the_rate_and_the_queue_drains() {
    let mut store = Store::new(100.0, 0.005);
    assert_eq!(store.call(0), 0.005);
    let last = (0..100).map(|_| store.call(0)).last().unwrap();
    assert!((last - 1.005).abs() < 0.011, "{last}");
    assert!((store.call(2 * SEC) - 0.005).abs() < 1e-9);
    // At a tenth of the rate, half as large a burst takes five times as long.
    store.rate_factor = 0.1;
    let last = (0..50).map(|_| store.call(3 * SEC)).last().unwrap();
    assert!((4.5..5.5).contains(&last), "{last}");
}
