//! Supervision of the services that run as long as the process does. It owns nothing; it must never
//! know what a service does, and never end the process itself.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use tracing::error;

use crate::mailbox::Sender;
use crate::messages::{DispatcherMessage, Service};
use crate::timer;

/// Runs of a service in all: one that fails more often won't recover.
const RUNS_MAX: usize = 20;
/// Time between the end of one run and the start of the next.
const RESTART_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a service that should never end, again whenever it returns or panics, and tells the
/// dispatcher once it has failed too often. Blocks its coroutine until then.
///
/// Guards against a process that goes on without a service, of no use to anybody.
pub fn supervise(service: Service, dispatcher: &Sender<DispatcherMessage>, run: impl Fn()) {
    for _ in 0..RUNS_MAX {
        let panicked = catch_unwind(AssertUnwindSafe(&run)).is_err();
        error!(
            service = service.name(),
            panicked, "service ended, restarting it"
        );
        timer::sleep(RESTART_INTERVAL);
    }
    dispatcher.send(DispatcherMessage::ServiceFailed(service));
}

#[cfg(test)]
mod tests;
