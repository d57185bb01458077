//! Waits that follow one another, and waits that are given up.

use super::*;

/// Coroutines that wait at the same time, and the waits of each.
const COROUTINES: u64 = 200;
const WAITS: u64 = 20;

/// Guards against a wait that takes the time of an earlier and longer one, and against one that
/// never ends.
#[test]
fn waits_that_grow_and_shrink_all_end() {
    let waiting: Vec<_> = (0..COROUTINES)
        .map(|coroutine| {
            may::go!(move || {
                let waiter = Waiter::current();
                (0..WAITS).for_each(|wait| {
                    let length = (coroutine * 7 + wait * 5) % 23 * MS;
                    let wake_at = clock::now() + length;
                    while clock::now() < wake_at {
                        waiter.park_until(wake_at);
                    }
                });
            })
        })
        .collect();
    let longest = Duration::from_secs(10);
    let since = std::time::Instant::now();
    while waiting.iter().any(|coroutine| !coroutine.is_done()) {
        assert!(since.elapsed() < longest, "a wait doesn't end");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against memory that grows with flows that end long before their deadlines.
#[test]
fn a_waiter_that_is_dropped_leaves_nothing_queued() {
    let queue = TimerQueue::new().unwrap();
    let waiter = may::go!(Waiter::current).join().unwrap();
    let now = clock::now();
    queue.insert(&waiter.entry, now, now + 9000 * MS);
    queue.insert(&waiter.entry, now, now + 5000 * MS);
    assert_eq!(queue.length(), 1);
    queue.remove(&waiter.entry);
    assert_eq!(queue.length(), 0);
}
