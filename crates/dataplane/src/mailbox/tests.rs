//! Tests of waits that end at their deadline or on a message.

use std::thread;
use std::time::{Duration, Instant};

use may::coroutine::JoinHandle;
use nettlemux_policy::MS;

use super::*;
use crate::timer::check_delay_ms;

/// Longest time that a coroutine of these tests may take.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for the coroutine and returns its result. Panics after [`JOIN_TIMEOUT`], so that a wait
/// that never ends doesn't block the whole test run.
fn join<T>(coroutine: JoinHandle<T>) -> T {
    let since = Instant::now();
    while !coroutine.is_done() {
        assert!(
            since.elapsed() < JOIN_TIMEOUT,
            "wait did not end within 10 s"
        );
        thread::sleep(Duration::from_millis(1));
    }
    coroutine.join().unwrap()
}

#[test]
fn a_wait_ends_at_its_deadline_or_at_once_on_a_message() {
    // Guards against waits of under 1 ms that never end, and waits that take twice as long.
    for us in [1, 300, 1000, 1700, 30_000, 73_210] {
        let late = may::go!(move || {
            let until = clock::now() + us * 1000;
            assert!(Mailbox::<()>::new().next(until).is_none());
            clock::now() - until
        });
        let late = join(late);
        assert!(late < 20 * MS, "{us} us: late by {} us", late / 1000);
    }
    let mailbox = Mailbox::new();
    let sender = mailbox.sender();
    let read = may::go!(move || {
        let since = clock::now();
        (mailbox.next(since + 5000 * MS), clock::now() - since)
    });
    thread::sleep(Duration::from_millis(20));
    sender.send(7);
    let (message, took) = join(read);
    assert!(message == Some(7) && took < 1000 * MS);
    let lengths: std::collections::BTreeSet<u64> = (0..100_000).map(check_delay_ms).collect();
    assert!(lengths.len() < 200);
}
