//! Tests of the times of a shutdown's steps: migrations, the answer deadline and the exit.

use std::collections::BTreeMap;

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

/// Guards against an exit together with the last migrations, or soon after them, so that the
/// clients' coroutines can't carry them out.
#[test]
fn every_client_is_migrated_well_before_the_exit_whenever_settings_change() {
    // The longest time for which the process may be held up.
    const HOLD_UP_MAX: Time = 150 * MS;
    let clients = client_table(100);
    for new_timeout in [0, 10 * MS, 150 * MS, 700 * MS, 5 * SEC] {
        for reload_at in (0..ANSWER_TIMEOUT + EXIT_TIMEOUT).step_by(STEP_INTERVAL as usize / 2) {
            let mut shutdown = started_shutdown(&DescriptorBudget::new(1));
            let mut migrated_at = BTreeMap::new();
            let mut elapsed = 0;
            let exit_at = loop {
                if elapsed == reload_at {
                    shutdown.reload(STARTED_AT + elapsed, new_timeout);
                }
                let progress = shutdown.progress(STARTED_AT + elapsed).unwrap();
                for flow in shutdown.next_migrations(&progress, &clients) {
                    migrated_at.entry(flow).or_insert(elapsed);
                }
                if shutdown.is_complete(&progress, &clients) {
                    break elapsed;
                }
                elapsed += STEP_INTERVAL / 10;
            };
            let case = format!("{new_timeout} ns at {reload_at}: exit at {exit_at}");
            assert_eq!(migrated_at.len(), 100, "{case}");
            let last = *migrated_at.values().max().unwrap();
            assert!(last + HOLD_UP_MAX <= exit_at, "{case}, last at {last}");
            assert!(exit_at <= ANSWER_TIMEOUT + EXIT_TIMEOUT, "{case}");
        }
    }
}

/// Guards against a client inside a line that waits for the end of that line until a deadline that
/// a reload has shortened, and is cut off by the exit.
#[test]
fn clients_told_to_migrate_are_told_again_after_a_reload_that_shortens_the_shutdown() {
    let clients = client_table(100);
    let mut shutdown = started_shutdown(&DescriptorBudget::new(1));
    let migrated_from = |shutdown: &mut GracefulShutdown, elapsed| {
        let progress = shutdown.progress(STARTED_AT + elapsed).unwrap();
        let batch = shutdown.next_migrations(&progress, &clients);
        (batch.first().copied(), progress.migration_deadline())
    };
    let reload_at = ANSWER_TIMEOUT / 2 + STEP_INTERVAL / 2;
    let (first, deadline) = migrated_from(&mut shutdown, ANSWER_TIMEOUT / 2);
    assert_eq!(first, Some(0));
    shutdown.reload(STARTED_AT + reload_at, ANSWER_TIMEOUT);
    assert_eq!(migrated_from(&mut shutdown, reload_at), (None, deadline));
    shutdown.reload(STARTED_AT + reload_at, ANSWER_TIMEOUT / 4);
    let (first, shortened) = migrated_from(&mut shutdown, reload_at);
    assert!(first == Some(0) && shortened < deadline, "{first:?}");
}
