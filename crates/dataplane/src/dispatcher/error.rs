//! Why a dispatcher ends.

use crate::messages::Service;

/// Why the dispatcher has ended before it was told to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DispatcherError {
    /// A service that the balancer can't do without has failed for good.
    #[error("{service} has failed, and nothing is served without it")]
    ServiceFailed {
        /// The service that has failed.
        service: Service,
    },
}
