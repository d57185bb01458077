//! The balancer's clock: Unix time in whole nanoseconds that never goes back. It owns the system
//! time that was read at the start and must never wait.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

use nettlemux_policy::Time;

/// Returns the current time in nanoseconds: the wall clock at the first call, advanced by the
/// monotonic clock. The wall clock is read only once because it may be stepped. Only the start
/// times of servers in the first endpoint list are compared with it.
pub fn now() -> Time {
    static FIRST_CALL: OnceLock<(Instant, Time)> = OnceLock::new();
    let (instant, unix_time) = FIRST_CALL.get_or_init(|| {
        let unix_time = unix_time();
        (Instant::now(), unix_time)
    });
    unix_time + instant.elapsed().as_nanos() as Time
}

/// Returns the time of the wall clock; 0 if it is before 1970.
fn unix_time() -> Time {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as Time
}
