//! The store's queue.

use super::*;

#[test]
fn a_burst_waits_and_the_queue_empties_again() {
    let mut store = Store::new(100.0, 0.005);
    assert_eq!(store.call(0), 0.005);
    let last = (0..100).map(|_| store.call(0)).last().unwrap();
    assert!((last - 1.005).abs() < 0.011, "{last}");
    assert!((store.call(2 * SEC) - 0.005).abs() < 1e-9);
    // A tenth of its pace: the same burst takes ten times as long.
    store.health = 0.1;
    let last = (0..50).map(|_| store.call(3 * SEC)).last().unwrap();
    assert!((4.5..5.5).contains(&last), "{last}");
}
