//! Test of a service that panics in each of its runs.

use std::panic::resume_unwind;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use nettlemux_policy::SEC;

use super::*;
use crate::clock;
use crate::mailbox::Mailbox;

/// Guards against a balancer that keeps running without its listener or its endpoint list.
#[test]
fn a_service_that_panics_in_each_run_is_restarted_and_finally_reported_as_failed() {
    let messages = Mailbox::new();
    let (dispatcher, runs) = (messages.sender(), Arc::new(AtomicUsize::new(0)));
    let counted = runs.clone();
    may::go!(move || {
        supervise(Service::Listener, &dispatcher, || {
            counted.fetch_add(1, Ordering::Relaxed);
            // Unlike `panic!`, prints nothing: a backtrace would hold up the worker that the other
            // tests of this program use too.
            resume_unwind(Box::new("on purpose"));
        });
    });
    let message = may::go!(move || messages.next(clock::now() + 10 * SEC))
        .join()
        .unwrap();
    assert!(matches!(
        message,
        Some(DispatcherMessage::ServiceFailed(Service::Listener))
    ));
    assert_eq!(runs.load(Ordering::Relaxed), RUNS_MAX);
}
