//! How long after SIGTERM the last answer may be sent. The time of SIGKILL depends on the longest
//! flow timeout of the deployment, which a reload may change just before or after SIGTERM. It isn't
//! known then whether the old or the new timeout applies, so the shorter one is used. A reload after
//! SIGTERM makes the answers due at once at the earliest, never in the past: the steps that follow
//! the last answer take the same time as without a reload. This module owns these timeouts and must
//! never read a clock.

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
    termination: Option<Termination>,
}

/// The shutdown that SIGTERM has started.
#[derive(Clone, Copy, Debug)]
struct Termination {
    at: Time,
    /// The timeout that applied at SIGTERM, or a shorter one from a later reload.
    timeout: Time,
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
            termination: None,
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
        if let Some(termination) = &mut self.termination {
            // Guards against a deadline so far in the past that the last migrations and the exit are
            // due at the same time.
            let elapsed = now.saturating_sub(termination.at);
            termination.timeout = termination.timeout.min(timeout.max(elapsed));
        }
    }

    /// Records SIGTERM. Further calls have no effect.
    pub fn terminate(&mut self, now: Time) {
        let timeout = self.timeout_at(now);
        self.termination
            .get_or_insert(Termination { at: now, timeout });
    }

    /// Returns how long after SIGTERM the last answer is due. Before SIGTERM, this is the timeout
    /// that a SIGTERM at `now` would get.
    pub fn timeout_at(&self, now: Time) -> Time {
        if let Some(termination) = &self.termination {
            return termination.timeout;
        }
        let settling = self
            .previous
            .filter(|previous| now < previous.replaced_at + RELOAD_SETTLING_TIME);
        settling.map_or(self.current, |previous| previous.timeout.min(self.current))
    }
}

#[cfg(test)]
mod tests;
