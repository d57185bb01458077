//! Tests of the release of permits and of how descriptors are divided among the budgets.

use super::*;

#[test]
fn a_permit_is_released_when_its_last_clone_is_dropped() {
    let descriptors = DescriptorBudget::new(3);
    let first = descriptors.try_acquire().expect("room");
    let second = descriptors.try_acquire_with_reserve(1).expect("room");
    // Guards against flows that leave no descriptor for health checks and discovery.
    assert!(descriptors.try_acquire_with_reserve(1).is_none());
    let _last = descriptors.try_acquire().expect("the reserved permit");
    assert!(descriptors.try_acquire().is_none());
    drop((first.clone(), second));
    assert_eq!(descriptors.in_use(), 2, "clones share one permit");
    drop(first);
    assert_eq!(descriptors.in_use(), 1);
}

#[test]
fn small_limits_allow_a_third_as_many_flows_as_sockets_and_24_health_checks() {
    for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
        let budgets = DescriptorBudgets::new(sockets, memory_mb << 20);
        let all = budgets.pending.limit()
            + 2 * budgets.flows.limit()
            + budgets.control.limit()
            + STANDING_DESCRIPTORS;
        assert!(all <= sockets, "{sockets}: {all}");
        // Guards against fixed reserves, which left room for only 72 flows at 256 sockets.
        assert!(
            budgets.flows.limit() * 3 >= sockets,
            "{sockets}: {} flows",
            budgets.flows.limit()
        );
        assert!(budgets.control.limit() >= 24 && budgets.pending.limit() >= 32);
    }
    assert!(
        DescriptorBudgets::new(4096, 32 << 20).flows.limit() < 600,
        "memory limits the flows too"
    );
}

/// Guards against a process that passes its memory limit when all connections that it may have are
/// open at once, for whatever purpose.
#[test]
fn connections_of_all_budgets_fit_into_the_memory() {
    for memory_mb in [16, 32, 48, 64, 192, 1024] {
        for sockets in [160, 256, 384, 1024, 4096, 65_536] {
            let memory = memory_mb << 20;
            let budgets = DescriptorBudgets::new(sockets, memory);
            let connections = budgets.pending.limit() + budgets.control.limit();
            let used = PROGRAM_BYTES
                + client_ids_bytes(memory)
                + connections * CONNECTION_BYTES_MAX
                + budgets.flows.limit() * FLOW_BYTES_MAX;
            assert!(used <= memory, "{sockets} sockets, {memory_mb} MB: {used}");
            assert!(
                budgets.flows.limit() >= 60.min(sockets / 4),
                "{sockets} sockets, {memory_mb} MB: {} flows",
                budgets.flows.limit()
            );
        }
    }
}
