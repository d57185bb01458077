//! The rate limit on received gossip. It owns the count of the datagrams of one second, and must
//! never read their contents.

use nettlemux_policy::{SEC, Time};
use tracing::warn;

/// The number of datagrams in one second at which that datagram and the rest of the second's
/// datagrams are dropped. As many as a thousand balancers may send. Limits the load on the
/// dispatcher during a flood, since the dispatcher handles messages one by one.
const FLOOD_THRESHOLD_PER_SECOND: usize = 200;

/// Counts the received datagrams in each second of the clock.
#[derive(Default)]
pub(super) struct ReceiveLimit {
    /// The second that is being counted, since the start of the clock.
    second: Time,
    /// The number of datagrams received in that second.
    received: usize,
}

impl ReceiveLimit {
    /// Counts a datagram that was received at `now`, and returns whether it is within the limit.
    pub(super) fn admits(&mut self, now: Time) -> bool {
        let second = now / SEC;
        if second != self.second {
            self.second = second;
            self.received = 0;
        }
        self.received += 1;
        if self.received == FLOOD_THRESHOLD_PER_SECOND {
            warn!(
                limit = FLOOD_THRESHOLD_PER_SECOND,
                "gossip rate limit reached, dropping messages for the rest of this second"
            );
        }
        self.received < FLOOD_THRESHOLD_PER_SECOND
    }
}

#[cfg(test)]
mod tests;
