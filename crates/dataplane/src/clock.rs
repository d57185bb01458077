//! The balancer's clock: Unix time in whole nanoseconds, which never steps back. It owns the one
//! reading of the system's time at the start, and must never wait.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

use nettlemux_policy::Time;

/// Returns the time now, in nanoseconds: the wall clock at the first call, advanced by the
/// monotonic clock since. The wall clock may be stepped, so it is read once, and only the starts of
/// servers on the first endpoint list are compared with it.
pub fn now() -> Time {
    static FIRST_CALL: OnceLock<(Instant, Time)> = OnceLock::new();
    let (instant, unix_time) = FIRST_CALL.get_or_init(|| {
        let unix_time = unix_time();
        (Instant::now(), unix_time)
    });
    unix_time + instant.elapsed().as_nanos() as Time
}

/// Returns what the wall clock shows; 0 where it is before 1970.
fn unix_time() -> Time {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as Time
}
