//! The events of virtual time.

use nettlemux_policy::{End, FlowId, Time};
use nettlemux_world::seen::Final;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum What {
    Tick,
    Sample,
    Arrival,
    Try(u64),
    LifeOver(u64),
    LoadChange(FlowId),
    /// The client's patience is at its end.
    GivesUp(FlowId),
    Due(usize, u32),
    /// A connect comes to its server.
    Reaches(FlowId, usize),
    /// What came of it comes back.
    ComesBack(FlowId, usize, Back),
    /// The balancer waits for it no longer.
    TimeUp(FlowId, usize),
    /// A server was seen to be silent under a connection.
    Silent(FlowId),
    Probe(usize, u32, usize),
    Told(usize, u32),
    Restart(usize, Time),
    MoveSome(usize, u32, Time),
    Dies(usize, u32, bool, Time),
    Back(usize),
    /// An answer that mischief has held back.
    Answer(FlowId, Final, Option<Time>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Back {
    Up,
    Busy,
    Error,
    Refused,
    Unreachable,
    Cut,
    SentAway,
}

impl Back {
    /// How the connect ended, and whether that proves that it never ran.
    pub(super) fn end(self) -> (End, bool) {
        match self {
            Back::Up => (End::Done, false),
            Back::Busy => (End::Full, true),
            Back::Error => (End::Error, false),
            Back::Refused | Back::Unreachable => (End::Unreachable, true),
            Back::Cut => (End::Cut, false),
            Back::SentAway => (End::CalledOff, false),
        }
    }
}
