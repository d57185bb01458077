//! Mailboxes: a queue that many post to and one coroutine waits at, until a time. It owns the posts that have
//! not been read. It must never wait longer than it was asked to, which the channels of `may` do: their timed
//! receive starts anew with the whole time when it is woken a moment early, and takes under 1 ms for ever.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crossbeam_queue::SegQueue;
use may::coroutine::{self, Coroutine};
use nettlemux_policy::{MS, Time};

use crate::clock;

struct Shared<T> {
    posts: SegQueue<T>,
    /// The coroutine that waits, once it has looked for the first time.
    reader: OnceLock<Coroutine>,
}

pub struct Mailbox<T>(Arc<Shared<T>>);

/// The way into a mailbox.
pub struct Sender<T>(Arc<Shared<T>>);

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Sender(self.0.clone())
    }
}

impl<T> Sender<T> {
    pub fn send(&self, post: T) {
        self.0.posts.push(post);
        if let Some(reader) = self.0.reader.get() {
            reader.unpark();
        }
    }
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Mailbox::new()
    }
}

impl<T> Mailbox<T> {
    pub fn new() -> Self {
        Mailbox(Arc::new(Shared {
            posts: SegQueue::new(),
            reader: OnceLock::new(),
        }))
    }

    pub fn sender(&self) -> Sender<T> {
        Sender(self.0.clone())
    }

    /// The next post; none once that time has come. To be called from one coroutine only.
    pub fn next(&self, until: Time) -> Option<T> {
        self.0.reader.get_or_init(coroutine::current);
        loop {
            // Looked at after each wake-up: a post is there before its wake-up is.
            if let Some(post) = self.0.posts.pop() {
                return Some(post);
            }
            let now = clock::now();
            if now >= until {
                return None;
            }
            coroutine::park_timeout(Duration::from_millis(step((until - now).div_ceil(MS))));
        }
    }
}

/// How many of these milliseconds are waited for in one step. The timers keep a list for each length that was
/// ever asked for, so there are only so many lengths.
fn step(ms: u64) -> u64 {
    match ms {
        0..=50 => ms.max(1),
        51..=1000 => ms / 10 * 10,
        _ => (ms / 500 * 500).min(4000),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wait_ends_in_time_and_a_post_ends_it_at_once() {
        // Guards against waits of under 1 ms that never end, and waits that take twice their time.
        for us in [1, 300, 1000, 1700, 30_000, 73_210] {
            let late = may::go!(move || {
                let until = clock::now() + us * 1000;
                assert!(Mailbox::<()>::new().next(until).is_none());
                clock::now() - until
            });
            let late = late.join().unwrap();
            assert!(late < 20 * MS, "{us} us: late by {} us", late / 1000);
        }
        let mailbox = Mailbox::new();
        let sender = mailbox.sender();
        let read = may::go!(move || {
            let since = clock::now();
            (mailbox.next(since + 5000 * MS), clock::now() - since)
        });
        std::thread::sleep(Duration::from_millis(20));
        sender.send(7);
        let (post, took) = read.join().unwrap();
        assert!(post == Some(7) && took < 1000 * MS);
        let lengths: std::collections::BTreeSet<u64> = (0..100_000).map(step).collect();
        assert!(lengths.len() < 200);
    }
}
