//! The balancer's clock: Unix time in whole nanoseconds, which never steps back. It owns the one reading of
//! the system's time at the start and must never be asked for anything but the time now.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

use nettlemux_policy::Time;

/// The time now. All machines read one Unix clock, so a server's start on the list can be told apart from
/// our own time; between readings it follows the monotonic clock.
pub fn now() -> Time {
    static START: OnceLock<(Instant, Time)> = OnceLock::new();
    let (instant, unix) = START.get_or_init(|| {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), unix.as_nanos() as Time)
    });
    unix + instant.elapsed().as_nanos() as Time
}
