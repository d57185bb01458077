//! How long the last answer may take once the balancer is told to end. SIGKILL comes by the longest deadline of the
//! deployment, which a reload may change just before or after SIGTERM: which of the two counts is not told, so the shorter
//! one does. Plain values; it must never read a clock.

use nettlemux_policy::{SEC, Time};

/// What is owed an answer is given up once the longest deadline has passed, and this at the latest: SIGKILL comes 0.7 s after
/// that.
const LONGEST: Time = 3 * SEC;
/// A new configuration counts as told so long after its signal.
const RELOAD_SETTLES: Time = 4 * SEC;

/// When the last answer is due.
#[derive(Clone, Copy, Debug)]
pub struct AnswerDeadline {
    current: Time,
    /// What held before the last reload, and when that came.
    previous: Option<(Time, Time)>,
    /// What was left to it when the end was asked for, and shorter ones told since.
    fixed: Option<Time>,
}

impl AnswerDeadline {
    /// By the settings' longest deadline.
    pub fn new(longest: Time) -> Self {
        AnswerDeadline {
            current: longest.min(LONGEST),
            previous: None,
            fixed: None,
        }
    }

    /// Other settings hold from now on.
    pub fn reload(&mut self, now: Time, longest: Time) {
        let longest = longest.min(LONGEST);
        self.previous = Some((self.at(now), now));
        self.current = longest;
        self.fixed = self.fixed.map(|fixed| fixed.min(longest));
    }

    /// The end is asked for.
    pub fn terminate(&mut self, now: Time) {
        self.fixed = self.fixed.or(Some(self.at(now)));
    }

    /// How long after SIGTERM the last answer is due, were it to come now; once it has come, how long it was.
    pub fn at(&self, now: Time) -> Time {
        let previous = self
            .previous
            .filter(|(_, reloaded)| now < reloaded + RELOAD_SETTLES);
        let longest = previous.map_or(self.current, |(previous, _)| previous.min(self.current));
        self.fixed.unwrap_or(longest)
    }
}

#[cfg(test)]
mod tests;
