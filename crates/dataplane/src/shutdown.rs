//! How long after SIGTERM the last answer may be sent. The time of SIGKILL depends on the longest
//! flow timeout of the deployment, which a reload may change just before or after SIGTERM. It isn't
//! known then whether the old or the new timeout applies, so the shorter one is used. This module
//! owns these timeouts and must never read a clock.

use nettlemux_policy::{SEC, Time};

/// The longest time after SIGTERM in which answers are sent. SIGKILL comes 0.7 s after the longest
/// flow timeout, but no later than 0.7 s after this time.
const ANSWER_TIMEOUT_MAX: Time = 3 * SEC;
/// Time after the signal for a reload until the new configuration counts as applied.
pub const RELOAD_SETTLING_TIME: Time = 4 * SEC;

/// How long after SIGTERM the last answer is due.
#[derive(Clone, Copy, Debug)]
pub struct AnswerDeadline {
    current: Time,
    previous: Option<ReplacedTimeout>,
    /// The timeout that applied at SIGTERM, or a shorter one from a later reload.
    after_termination: Option<Time>,
}

/// The timeout that applied before the last reload.
#[derive(Clone, Copy, Debug)]
struct ReplacedTimeout {
    timeout: Time,
    replaced_at: Time,
}

impl AnswerDeadline {
    /// Creates a deadline from the longest flow timeout of the settings.
    pub fn new(flow_timeout_max: Time) -> Self {
        AnswerDeadline {
            current: flow_timeout_max.min(ANSWER_TIMEOUT_MAX),
            previous: None,
            after_termination: None,
        }
    }

    /// Applies the longest flow timeout of new settings.
    pub fn reload(&mut self, now: Time, flow_timeout_max: Time) {
        let timeout = flow_timeout_max.min(ANSWER_TIMEOUT_MAX);
        self.previous = Some(ReplacedTimeout {
            timeout: self.timeout_at(now),
            replaced_at: now,
        });
        self.current = timeout;
        self.after_termination = self.after_termination.map(|fixed| fixed.min(timeout));
    }

    /// Records SIGTERM. Further calls have no effect.
    pub fn terminate(&mut self, now: Time) {
        self.after_termination = self.after_termination.or(Some(self.timeout_at(now)));
    }

    /// Returns how long after SIGTERM the last answer is due. Before SIGTERM, this is the timeout
    /// that a SIGTERM at `now` would get.
    pub fn timeout_at(&self, now: Time) -> Time {
        if let Some(timeout) = self.after_termination {
            return timeout;
        }
        let settling = self
            .previous
            .filter(|previous| now < previous.replaced_at + RELOAD_SETTLING_TIME);
        settling.map_or(self.current, |previous| previous.timeout.min(self.current))
    }
}

#[cfg(test)]
mod tests;
