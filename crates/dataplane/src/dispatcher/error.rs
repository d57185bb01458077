//! The error that ends a dispatcher.

use crate::messages::Service;

/// Why the dispatcher has ended without a request to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DispatcherError {
    /// A service that the balancer can't run without has failed permanently.
    #[error("{service} has failed permanently, and the balancer can't serve clients without it")]
    ServiceFailed {
        /// The service that has failed.
        service: Service,
    },
}
