//! The state of balancers and flows.

use nettlemux_hand::{Brain, Hand};
use nettlemux_policy::Time;

pub(super) struct Balancer {
    pub(super) hand: Option<Hand<Box<dyn Brain>>>,
    /// Told apart from its earlier runs.
    pub(super) epoch: u32,
    pub(super) hall: usize,
    /// The version of the list that it has.
    pub(super) version: u64,
    pub(super) due: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The client waits for its answer.
    Owed,
    /// It was answered, or has left; a connect may still be out.
    Settled,
    Open,
}

pub(super) struct Live {
    pub(super) client: u64,
    pub(super) balancer: usize,
    pub(super) taken: Time,
    pub(super) phase: Phase,
    /// The connect that is out, and where; once open, where it is.
    pub(super) at: Option<(usize, usize)>,
    /// To be sent away as soon as it is open.
    pub(super) moving: bool,
}
