//! The balancer's clock: Unix time in whole nanoseconds, which never steps back. It owns the one reading of
//! the system's time at the start and must never be asked for anything but the time now.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

use nettlemux_policy::Time;

/// The time now: the wall clock as it was at the first call, gone on by the monotonic clock. The wall clock may be stepped, so
/// it is read once and serves for nothing but the starts on the first list (`start_times.rs`).
pub fn now() -> Time {
    static START: OnceLock<(Instant, Time)> = OnceLock::new();
    let (instant, unix) = START.get_or_init(|| {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        (Instant::now(), unix.as_nanos() as Time)
    });
    unix + instant.elapsed().as_nanos() as Time
}
