//! The steps of a shutdown by its times: migrations, the answer deadline and the end.

use nettlemux_policy::SEC;

use super::*;
use crate::mailbox::Mailbox;

/// Longer than twice [`NEW_CLIENTS_TIMEOUT`], so that migrations begin at half of it.
const ANSWER_TIMEOUT: Time = SEC;
const STARTED_AT: Time = 1_000_000 * SEC;

fn clients(count: FlowId) -> ClientTable {
    let mut clients = ClientTable::default();
    for flow in 0..count {
        clients.insert(flow, Mailbox::new().sender(), None);
    }
    clients
}

fn started(pending_connections: &Arc<DescriptorBudget>) -> GracefulShutdown {
    let deadline = AnswerDeadline::new(ANSWER_TIMEOUT);
    let mut shutdown = GracefulShutdown::new(deadline, pending_connections.clone());
    assert!(shutdown.progress(STARTED_AT).is_none(), "not started");
    shutdown.start(STARTED_AT);
    shutdown
}

/// Guards against clients that all reach the other balancers at once.
#[test]
fn each_client_is_migrated_once_in_order_and_spread_over_the_time_left() {
    let clients = clients(1000);
    let mut shutdown = started(&DescriptorBudget::new(1));
    let mut batches = Vec::new();
    for elapsed in (0..=ANSWER_TIMEOUT + LAST_MIGRATIONS_TIMEOUT).step_by(MS as usize) {
        let progress = shutdown.progress(STARTED_AT + elapsed).unwrap();
        let batch = shutdown.next_migrations(&progress, &clients);
        assert!(elapsed >= ANSWER_TIMEOUT / 2 || batch.is_empty(), "early");
        if !batch.is_empty() {
            batches.push(batch);
        }
    }
    let largest = batches.iter().map(Vec::len).max().unwrap();
    assert!(largest <= 1000 / 10, "{largest} in one batch");
    assert!(batches.concat().into_iter().eq(0..1000));
}

/// Guards against a flow that comes after the first check and never gets its answer.
#[test]
fn the_answer_check_is_due_again_at_each_step_after_the_deadline() {
    let mut shutdown = started(&DescriptorBudget::new(1));
    for (elapsed, is_due) in [
        (ANSWER_TIMEOUT - 1, false),
        (ANSWER_TIMEOUT, true),
        (ANSWER_TIMEOUT + STEP_INTERVAL - 1, false),
        (ANSWER_TIMEOUT + STEP_INTERVAL, true),
    ] {
        let progress = shutdown.progress(STARTED_AT + elapsed).unwrap();
        assert_eq!(
            shutdown.answer_check_is_due(&progress),
            is_due,
            "{elapsed} ns"
        );
        assert_eq!(
            shutdown.answer_deadline_passed(),
            elapsed >= ANSWER_TIMEOUT,
            "{elapsed} ns"
        );
    }
}

#[test]
fn the_end_waits_for_open_connections_up_to_its_timeout() {
    let pending_connections = DescriptorBudget::new(1);
    let shutdown = started(&pending_connections);
    let is_complete = |elapsed, clients: &ClientTable| {
        let progress = shutdown.progress(STARTED_AT + elapsed).unwrap();
        shutdown.is_complete(&progress, clients)
    };
    let (none, one) = (clients(0), clients(1));
    let migrated = ANSWER_TIMEOUT + LAST_MIGRATIONS_TIMEOUT;
    assert!(!is_complete(migrated - 1, &none), "clients may still come");
    assert!(is_complete(migrated, &none));
    assert!(!is_complete(migrated, &one));
    let pending = pending_connections.try_acquire();
    assert!(!is_complete(migrated, &none), "one is being closed");
    drop(pending);
    assert!(is_complete(migrated, &none));
    assert!(!is_complete(ANSWER_TIMEOUT + EXIT_TIMEOUT - 1, &one));
    assert!(is_complete(ANSWER_TIMEOUT + EXIT_TIMEOUT, &one));
}
