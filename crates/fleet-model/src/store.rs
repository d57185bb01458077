//! The store that all servers share: each attempt costs it one call. It owns the calls that wait. A
//! fluid queue: what it can't serve piles up and every new call waits behind it, which is what
//! makes a retry storm feed itself.

use nettlemux_policy::{SEC, Time};

/// Calls that wait longer than this have been given up by whoever made them; the pile is bounded by
/// it.
const WAIT_SECONDS_MAX: f64 = 10.0;

/// The store, a fluid queue.
pub struct Store {
    /// Calls a second.
    rate: f64,
    /// One call's time that waits for no other, in seconds.
    call_time: f64,
    /// Part of the rate that is left; 1 while it is well.
    pub health: f64,
    waiting: f64,
    at: Time,
}

impl Store {
    /// Makes a store that serves `rate` calls a second and takes `call_time` seconds for a call
    /// that waits for no other.
    pub fn new(rate: f64, call_time: f64) -> Self {
        Store {
            rate,
            call_time,
            health: 1.0,
            waiting: 0.0,
            at: 0,
        }
    }

    fn pace(&self) -> f64 {
        (self.rate * self.health).max(1e-3)
    }

    fn advance(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at) as f64 / SEC as f64;
        self.waiting = (self.waiting - passed * self.pace()).max(0.0);
        self.at = self.at.max(now);
    }

    /// Makes one call; in how many seconds it is answered.
    pub fn call(&mut self, now: Time) -> f64 {
        self.advance(now);
        let pace = self.pace();
        self.waiting = (self.waiting + 1.0).min(WAIT_SECONDS_MAX * pace);
        self.call_time / self.health.max(1e-3) + (self.waiting - 1.0).max(0.0) / pace
    }

    /// How long a call made now would take, in seconds, without making it.
    pub fn would_take(&mut self, now: Time) -> f64 {
        self.advance(now);
        self.call_time / self.health.max(1e-3) + self.waiting / self.pace()
    }
}

#[cfg(test)]
mod tests;
