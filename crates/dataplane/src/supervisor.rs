//! Supervision of the services that run as long as the process does. It owns nothing. It must never
//! depend on what a service does and never end the process itself.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use tracing::error;

use crate::mailbox::Sender;
use crate::messages::{DispatcherMessage, Service};
use crate::timer;

/// Total number of runs of a service. A service that fails more often is not expected to recover.
const RUNS_MAX: usize = 20;
/// Time between the end of one run and the start of the next.
const RESTART_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a service that should never end. Restarts it when it returns or panics, and notifies the
/// dispatcher after `RUNS_MAX` runs. Blocks the calling coroutine until then.
///
/// Guards against a process that keeps running without one of its services and can't serve clients.
pub fn supervise(service: Service, dispatcher: &Sender<DispatcherMessage>, run: impl Fn()) {
    for _ in 0..RUNS_MAX {
        let panicked = catch_unwind(AssertUnwindSafe(&run)).is_err();
        error!(
            service = service.name(),
            panicked, "service ended unexpectedly, restarting it"
        );
        timer::sleep(RESTART_INTERVAL);
    }
    dispatcher.send(DispatcherMessage::ServiceFailed(service));
}

#[cfg(test)]
mod tests;
