//! Permits that are given back, and how descriptors are shared out.

use super::*;

#[test]
fn permits_are_given_back() {
    let descriptors = DescriptorBudget::new(3);
    let first = descriptors.try_acquire().expect("room");
    let second = descriptors.try_acquire_leaving(1).expect("room");
    // Guards against flows that leave no descriptor for health checks and discovery.
    assert!(descriptors.try_acquire_leaving(1).is_none());
    let _last = descriptors.try_acquire().expect("the spare one");
    assert!(descriptors.try_acquire().is_none());
    drop((first.clone(), second));
    assert_eq!(descriptors.in_use(), 2, "copies are one permit");
    drop(first);
    assert_eq!(descriptors.in_use(), 1);
}

#[test]
fn small_limits_carry_a_third_of_flows_and_a_health_check_for_each_server() {
    for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
        let budgets = DescriptorBudgets::new(sockets, memory_mb << 20);
        let all = budgets.pending.limit()
            + 2 * budgets.flows.limit()
            + budgets.control.limit()
            + STANDING_DESCRIPTORS;
        assert!(all <= sockets, "{sockets}: {all}");
        // Guards against fixed reserves, which at 256 left room for 72 flows.
        assert!(
            budgets.flows.limit() * 3 >= sockets,
            "{sockets}: {} flows",
            budgets.flows.limit()
        );
        assert!(budgets.control.limit() >= 24 && budgets.pending.limit() >= 32);
    }
    assert!(
        DescriptorBudgets::new(4096, 32 << 20).flows.limit() < 600,
        "memory bounds them too"
    );
}
