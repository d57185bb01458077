//! A token bucket.

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Limits how often something is done: so many tokens a second, and so many at once. Times are
/// nanoseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    /// Tokens as of `updated_at`.
    tokens: f64,
    updated_at: u64,
}

impl TokenBucket {
    /// Returns a full bucket that gains `per_second` tokens and holds `burst` at most.
    pub fn new(per_second: f64, burst: f64) -> Self {
        TokenBucket {
            per_second,
            burst,
            tokens: burst,
            updated_at: 0,
        }
    }

    /// Returns the tokens that may be taken now. A clock that goes back brings none.
    pub fn available(&self, now: u64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let gained = self.per_second * elapsed / NANOSECONDS_PER_SECOND;
        (self.tokens + gained).min(self.burst)
    }

    /// Takes so many tokens, or none where not all of them are available. Returns whether it took
    /// them.
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
