//! Consecutive waits of many coroutines, and waiters that are dropped while queued.

use super::*;

/// Coroutines that wait at the same time.
const COROUTINES: u64 = 200;
/// Consecutive waits of each coroutine.
const WAITS_PER_COROUTINE: u64 = 20;

/// Guards against a wait that lasts as long as an earlier, longer wait of the same coroutine, and
/// against a wait that never ends.
#[test]
fn consecutive_waits_of_varying_length_all_end() {
    let waiting: Vec<_> = (0..COROUTINES)
        .map(|coroutine| {
            may::go!(move || {
                let waiter = Waiter::current();
                (0..WAITS_PER_COROUTINE).for_each(|wait| {
                    let length = (coroutine * 7 + wait * 5) % 23 * MS;
                    let wake_at = clock::now() + length;
                    while clock::now() < wake_at {
                        waiter.park_until(wake_at);
                    }
                });
            })
        })
        .collect();
    let timeout = Duration::from_secs(10);
    let started_at = std::time::Instant::now();
    while waiting.iter().any(|coroutine| !coroutine.is_done()) {
        assert!(started_at.elapsed() < timeout, "a wait didn't end in time");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against memory growth by flows that end long before their deadlines.
#[test]
fn removed_entry_leaves_nothing_queued() {
    let queue = TimerQueue::new().unwrap();
    let waiter = may::go!(Waiter::current).join().unwrap();
    let now = clock::now();
    queue.insert(&waiter.entry, now, now + 9000 * MS);
    queue.insert(&waiter.entry, now, now + 5000 * MS);
    assert_eq!(queue.length(), 1);
    queue.remove(&waiter.entry);
    assert_eq!(queue.length(), 0);
}
