//! Retries of calls that the system refuses for a moment and grants a moment later. It must never
//! retry anything else: a mistake in the configuration, or a missing permission, is reported at
//! once.

use std::io;
use std::thread;
use std::time::Duration;

use crate::errno::{
    EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EINTR, EIO, EMFILE, ENETDOWN, ENFILE, ENOBUFS, ENOMEM,
};

/// Errors that may pass by themselves.
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
/// Attempts at a step of the start, at [`RETRY_INTERVAL`]: 5 s in all. Nine in ten restarted
/// balancers have to be ready within 6 s on the shortest days.
const ATTEMPTS_MAX: u32 = 100;
/// Between two attempts at a step of the start.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether the same call may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|error| TRANSIENT_ERRORS.contains(&error))
}

/// Tries a step of the start until it succeeds or fails for good. It blocks its thread.
///
/// # Errors
/// The step's last error: one that isn't transient, or that still comes after 5 s.
pub fn retry_transient<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..ATTEMPTS_MAX {
        match step() {
            Err(error) if is_transient(&error) => thread::sleep(RETRY_INTERVAL),
            result => return result,
        }
    }
    step()
}
