//! Tests of the times of a shutdown's steps: migrations, the answer deadline and the exit.

use nettlemux_policy::SEC;

use super::*;
use crate::mailbox::Mailbox;

/// More than twice [`NEW_CLIENTS_TIMEOUT`], so that migrations begin at half of this timeout.
const ANSWER_TIMEOUT: Time = SEC;
const STARTED_AT: Time = 1_000_000 * SEC;

fn client_table(count: FlowId) -> ClientTable {
    let mut clients = ClientTable::default();
    for flow in 0..count {
        clients.insert(flow, Mailbox::new().sender(), None);
    }
    clients
}

fn started_shutdown(pending_connections: &Arc<DescriptorBudget>) -> GracefulShutdown {
    let deadline = AnswerDeadline::new(ANSWER_TIMEOUT);
    let mut shutdown = GracefulShutdown::new(deadline, pending_connections.clone());
    assert!(shutdown.progress(STARTED_AT).is_none(), "not started");
    shutdown.start(STARTED_AT);
    shutdown
}

/// Guards against clients that all connect to the other balancers at once.
#[test]
fn each_client_is_migrated_once_in_order_and_spread_over_the_time_left() {
    let clients = client_table(1000);
    let mut shutdown = started_shutdown(&DescriptorBudget::new(1));
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

/// Guards against a flow that arrives after the first check and is never answered.
#[test]
fn the_answer_check_is_due_again_at_each_step_after_the_deadline() {
    let mut shutdown = started_shutdown(&DescriptorBudget::new(1));
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
fn the_exit_waits_for_open_connections_until_its_timeout() {
    let pending_connections = DescriptorBudget::new(1);
    let shutdown = started_shutdown(&pending_connections);
    let is_complete = |elapsed, clients: &ClientTable| {
        let progress = shutdown.progress(STARTED_AT + elapsed).unwrap();
        shutdown.is_complete(&progress, clients)
    };
    let (no_clients, one_client) = (client_table(0), client_table(1));
    let migrations_end = ANSWER_TIMEOUT + LAST_MIGRATIONS_TIMEOUT;
    assert!(
        !is_complete(migrations_end - 1, &no_clients),
        "clients may still come"
    );
    assert!(is_complete(migrations_end, &no_clients));
    assert!(!is_complete(migrations_end, &one_client));
    let pending = pending_connections.try_acquire();
    assert!(
        !is_complete(migrations_end, &no_clients),
        "a connection is being closed"
    );
    drop(pending);
    assert!(is_complete(migrations_end, &no_clients));
    assert!(!is_complete(ANSWER_TIMEOUT + EXIT_TIMEOUT - 1, &one_client));
    assert!(is_complete(ANSWER_TIMEOUT + EXIT_TIMEOUT, &one_client));
}
