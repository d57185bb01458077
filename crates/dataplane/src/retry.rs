//! What the system refuses for a moment and grants a moment later. It must never make anything else again: a mistake in the
//! configuration, or a missing right, is told at once.

use std::io;
use std::thread;
use std::time::Duration;

/// Errors that may pass by themselves: EINTR, EIO, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRINUSE, EADDRNOTAVAIL, ENETDOWN and
/// ENOBUFS.
const PASSING: [i32; 10] = [4, 5, 11, 12, 23, 24, 98, 99, 100, 105];
/// So often, and at such intervals, a step of the start is tried: 5 s in all. Nine in ten restarted balancers have to be
/// ready within 6 s on the shortest days.
const TRIES: u32 = 100;
const INTERVAL: Duration = Duration::from_millis(50);

/// Whether the same call may succeed a moment later.
pub fn may_pass(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|error| PASSING.contains(&error))
}

/// Tries a step of the start until it succeeds, or fails for good. It blocks its thread.
///
/// # Errors
/// The last one, where it doesn't pass.
pub fn until_it_passes<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..TRIES {
        match step() {
            Err(error) if may_pass(&error) => thread::sleep(INTERVAL),
            result => return result,
        }
    }
    step()
}
