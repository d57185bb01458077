//! The order in which events leave the queue.

use super::*;

/// Guards against events at the same time leaving in another order than they were scheduled, which
/// would make runs irreproducible. Many events are needed, since a heap keeps a few in order by
/// chance.
#[test]
fn events_leave_ordered_by_time_and_then_by_scheduling_order() {
    const TIMES: u64 = 3;
    const CLIENTS: u64 = 100;
    let mut queue = EventQueue::default();
    for client in 0..CLIENTS {
        queue.schedule(TIMES - client % TIMES, Event::ClientTries { client });
    }
    let mut order = Vec::new();
    while let Some((at, Event::ClientTries { client })) = queue.pop() {
        order.push((at, client));
    }
    let mut expected: Vec<_> = (0..CLIENTS)
        .map(|client| (TIMES - client % TIMES, client))
        .collect();
    expected.sort();
    assert_eq!(order, expected);
    assert!(queue.pop().is_none());
}
