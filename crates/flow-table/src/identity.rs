//! The properties of a flow and its client that admission control uses.

use nettlemux_policy::Time;

/// The properties of a flow and its client that admission control uses. The default value is for
/// callers without admission control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionAttributes {
    /// Identifies the tenant or client in whose fair queue the flow waits.
    pub key: u64,
    /// Identifies the client, so that it is recognized when it retries.
    pub client: u64,
    /// Whether the client marks the flow as a retry.
    pub is_retry: bool,
    /// When the flow's latency objective expires, in nanoseconds of the caller's clock.
    pub latency_deadline: Time,
}
