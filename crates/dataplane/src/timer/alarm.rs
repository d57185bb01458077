//! A system timer (`timerfd`) that one coroutine waits for. This module owns the timer's
//! descriptor, and must never know why the coroutine waits.

use std::io;
use std::os::fd::{AsFd, AsRawFd, RawFd};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};

/// The shortest delay that a timer can be set to; zero would disarm it.
const DELAY_MIN: Duration = Duration::from_nanos(1);

/// A reusable one-shot timer on the monotonic clock, for one waiting coroutine.
pub(super) struct Alarm {
    timer: CoIo<Descriptor>,
}

/// The timer in the form that the selector accepts.
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

    /// Sets the alarm to expire after `delay`, in place of the previous setting.
    pub(super) fn set(&self, delay: Duration) {
        let expiration = Expiration::OneShot(TimeSpec::from(delay.max(DELAY_MIN)));
        let timer = &self.timer.inner().0;
        let set = timer.set(expiration, TimerSetTimeFlags::empty());
        debug_assert!(
            set.is_ok(),
            "setting a timer fails only if the descriptor is not a timer"
        );
    }

    /// Waits until the alarm expires, or returns at once if it has expired since the last wait. May
    /// return spuriously.
    pub(super) fn wait(&self) {
        self.timer.wait_io();
    }
}
