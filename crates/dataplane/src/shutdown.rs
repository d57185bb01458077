//! How long the last answer may take after SIGTERM. SIGKILL follows by the longest flow timeout of
//! the deployment, which a reload may change just before or after SIGTERM. Which of the two
//! timeouts counts isn't known then, so the shorter one does. It owns these timeouts, and must
//! never read a clock.

use nettlemux_policy::{SEC, Time};

/// The longest wait for the last answer: SIGKILL comes 0.7 s after the longest flow timeout, and
/// 0.7 s after this at the latest.
const ANSWER_TIMEOUT_MAX: Time = 3 * SEC;
/// How long after its signal a new configuration counts as applied.
const RELOAD_SETTLING_TIME: Time = 4 * SEC;

/// When the last answer is due after SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct AnswerDeadline {
    current: Time,
    previous: Option<ReplacedTimeout>,
    /// The timeout that held at SIGTERM, or a shorter one that a reload has brought since.
    after_termination: Option<Time>,
}

/// The timeout that held before the last reload.
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

    /// Applies the longest flow timeout of other settings, which hold from now on.
    pub fn reload(&mut self, now: Time, flow_timeout_max: Time) {
        let timeout = flow_timeout_max.min(ANSWER_TIMEOUT_MAX);
        self.previous = Some(ReplacedTimeout {
            timeout: self.timeout_at(now),
            replaced_at: now,
        });
        self.current = timeout;
        self.after_termination = self.after_termination.map(|fixed| fixed.min(timeout));
    }

    /// Notes SIGTERM; a further one changes nothing.
    pub fn terminate(&mut self, now: Time) {
        self.after_termination = self.after_termination.or(Some(self.timeout_at(now)));
    }

    /// Returns how long after SIGTERM the last answer is due: before SIGTERM, for one that came
    /// now.
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
