//! The limit on gossip that is received. It owns the count of one second's datagrams, and must
//! never look into them.

use nettlemux_policy::{SEC, Time};
use tracing::warn;

/// The datagram of a second from which on the rest of that second's are dropped, as many as a
/// thousand balancers may send. Guards against a flood, each message of which would cost the
/// dispatcher a turn.
const FLOOD_THRESHOLD_PER_SECOND: usize = 200;

/// Counts the datagrams of each second of the clock.
#[derive(Default)]
pub(super) struct ReceiveLimit {
    /// The second that is counted, since the clock's start.
    second: Time,
    /// Datagrams received in it.
    received: usize,
}

impl ReceiveLimit {
    /// Counts a datagram that is received now, and returns whether it is within the limit.
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
                "too many gossip messages in a second, the rest are dropped"
            );
        }
        self.received < FLOOD_THRESHOLD_PER_SECOND
    }
}

#[cfg(test)]
mod tests;
