//! Assignment of clients to balancers while balancers die and restart.

use nettlemux_policy::SEC;

use super::*;

#[test]
fn balancers_are_picked_round_robin_death_is_detected_late_and_other_zones_are_the_fallback() {
    let mut front_end = FrontEnd::new(4, 2);
    let picked: Vec<_> = (0..4).map(|_| front_end.pick_balancer(0, 0)).collect();
    assert_eq!(picked, [Some(2), Some(0), Some(2), Some(0)]);
    front_end.mark_dead(0, 2 * SEC);
    front_end.mark_dead(2, 2 * SEC);
    assert!(
        matches!(front_end.pick_balancer(SEC, 0), Some(0 | 2)),
        "the deaths are not detected yet"
    );
    assert!(matches!(front_end.pick_balancer(2 * SEC, 0), Some(1 | 3)));
    front_end.mark_dead(1, 0);
    front_end.mark_dead(3, 0);
    assert_eq!(front_end.pick_balancer(2 * SEC, 0), None);
    front_end.mark_alive(2);
    assert_eq!(front_end.pick_balancer(2 * SEC, 1), Some(2));
}
