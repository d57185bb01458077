//! One timer of the system that a coroutine waits for. It owns the timer's descriptor, and must
//! never know what is waited for.

use std::io;
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};

/// The shortest time that a timer can be set to: none at all would stop it.
const AFTER_MIN: Duration = Duration::from_nanos(1);

/// A timer that is set again and again, and waited for by one coroutine. It counts the time of the
/// monotonic clock.
pub(super) struct Alarm {
    timer: CoIo<Descriptor>,
}

/// The timer as the selector takes it.
struct Descriptor(TimerFd);

impl AsRawFd for Descriptor {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_fd().as_raw_fd()
    }
}

impl Alarm {
    /// Returns an alarm that isn't set.
    ///
    /// # Errors
    /// The system has no descriptor, no memory or no room in the selector for it.
    pub(super) fn new() -> io::Result<Self> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags)?;
        let timer = CoIo::new(Descriptor(timer))?;
        Ok(Alarm { timer })
    }

    /// Has it go off after a time, and not when it was set to before.
    pub(super) fn set(&self, after: Duration) {
        let expiration = Expiration::OneShot(TimeSpec::from(after.max(AFTER_MIN)));
        let timer = &self.timer.inner().0;
        let set = timer.set(expiration, TimerSetTimeFlags::empty());
        debug_assert!(
            set.is_ok(),
            "refused only for a descriptor that is no timer"
        );
    }

    /// Waits until it goes off, or has gone off since the last wait. May return without that.
    pub(super) fn wait(&self) {
        self.timer.wait_io();
    }
}
