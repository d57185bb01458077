//! The events that wake the coroutine that watches the endpoint list.

use super::call::CallResult;
use super::poll_schedule::CallNumber;

/// An event for the coroutine that watches the endpoint list.
pub(super) enum WatchEvent {
    /// The configuration was reloaded, and the agent's address may have changed.
    Reloaded,
    /// A call has ended.
    CallEnded {
        /// The call's number.
        number: CallNumber,
        /// The response, or why there is none.
        result: CallResult,
    },
}
