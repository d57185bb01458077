//! The store that all servers share: each attempt makes one call to it. It is modelled as a fluid
//! queue. Calls beyond its rate queue up, and every new call waits behind them. That is why a retry
//! storm sustains itself.

use nettlemux_policy::{SEC, Time};

/// The longest wait in the queue. Callers have given up on calls that wait longer, so the queue is
/// bounded by this.
const WAIT_SECONDS_MAX: f64 = 10.0;

/// The shared store, modelled as a fluid queue.
pub struct Store {
    /// Calls served per second without faults.
    rate: f64,
    /// The time of a call that does not wait for other calls, in seconds.
    call_time: f64,
    /// The fraction of the rate that faults leave; 1 without a fault.
    pub rate_factor: f64,
    /// Calls in the queue when it was last updated.
    queued_calls: f64,
    /// When the queue was last updated.
    updated_at: Time,
}

impl Store {
    /// Creates a store that serves `rate` calls per second and takes `call_time` seconds for a call
    /// that does not wait for other calls.
    pub fn new(rate: f64, call_time: f64) -> Self {
        Store {
            rate,
            call_time,
            rate_factor: 1.0,
            queued_calls: 0.0,
            updated_at: 0,
        }
    }

    /// Calls served per second now.
    fn effective_rate(&self) -> f64 {
        (self.rate * self.rate_factor).max(1e-3)
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / SEC as f64;
        self.queued_calls = (self.queued_calls - elapsed * self.effective_rate()).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Makes one call. Returns the number of seconds until it is answered.
    pub fn call(&mut self, now: Time) -> f64 {
        self.advance(now);
        let rate = self.effective_rate();
        self.queued_calls = (self.queued_calls + 1.0).min(WAIT_SECONDS_MAX * rate);
        self.call_time / self.rate_factor.max(1e-3) + (self.queued_calls - 1.0).max(0.0) / rate
    }

    /// Returns how many seconds a call made now would take, without making it.
    pub fn call_time_at(&mut self, now: Time) -> f64 {
        self.advance(now);
        self.call_time / self.rate_factor.max(1e-3) + self.queued_calls / self.effective_rate()
    }
}

#[cfg(test)]
mod tests;
