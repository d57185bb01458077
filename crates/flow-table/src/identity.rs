//! The origin of a flow, as far as admission control distinguishes clients.

use nettlemux_policy::Time;

/// The origin of a flow for admission control. The default stands in where there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientIdentity {
    /// The tenant or client in whose queue the flow waits.
    pub key: u64,
    /// The client, recognized when it comes back.
    pub client: u64,
    /// Whether the client says that it has tried before.
    pub is_retry: bool,
    /// When the flow's latency objective runs out, in nanoseconds of the caller's clock.
    pub latency_deadline: Time,
}
