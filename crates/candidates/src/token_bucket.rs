//! A token bucket rate limiter.

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Limits how often an operation is done, by a rate and a burst. Times are nanoseconds of the
/// caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    /// Tokens held at `updated_at`.
    tokens: f64,
    updated_at: u64,
}

impl TokenBucket {
    /// Returns a full bucket that gains `per_second` tokens per second and holds `burst` tokens at
    /// most.
    pub fn new(per_second: f64, burst: f64) -> Self {
        TokenBucket {
            per_second,
            burst,
            tokens: burst,
            updated_at: 0,
        }
    }

    /// Returns the tokens that may be taken now. No tokens are gained while the clock goes back.
    pub fn available(&self, now: u64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let gained = self.per_second * elapsed / NANOSECONDS_PER_SECOND;
        (self.tokens + gained).min(self.burst)
    }

    /// Takes this many tokens, or none if fewer are available. Returns whether they were taken.
    pub fn try_take(&mut self, now: u64, tokens: f64) -> bool {
        let remaining = self.available(now) - tokens;
        if remaining < 0.0 {
            return false;
        }
        self.tokens = remaining;
        self.updated_at = now.max(self.updated_at);
        true
    }
}
