//! Retries of system calls that fail with a transient error. It must never retry after other errors:
//! a mistake in the configuration or a missing permission is reported at once.

use std::io;
use std::thread;
use std::time::Duration;

use crate::errno::{
    EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EINTR, EIO, EMFILE, ENETDOWN, ENFILE, ENOBUFS, ENOMEM,
};

/// Errors that may disappear without intervention.
const TRANSIENT_ERRORS: [i32; 10] = [
    EINTR,
    EIO,
    EAGAIN,
    ENOMEM,
    ENFILE,
    EMFILE,
    EADDRINUSE,
    EADDRNOTAVAIL,
    ENETDOWN,
    ENOBUFS,
];
/// Attempts at a step of the start: 5 s in total at [`RETRY_INTERVAL`]. Nine in ten restarted
/// balancers have to be ready within 6 s on the shortest days.
const ATTEMPTS_MAX: u32 = 100;
/// Time between two attempts at a step of the start.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether the same call may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|error| TRANSIENT_ERRORS.contains(&error))
}

/// Tries a step of the start until it succeeds or fails permanently. Blocks the calling thread.
///
/// # Errors
/// The step's last error: one that isn't transient, or one that still occurs after 5 s.
pub fn retry_transient<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..ATTEMPTS_MAX {
        match step() {
            Err(error) if is_transient(&error) => thread::sleep(RETRY_INTERVAL),
            result => return result,
        }
    }
    step()
}
