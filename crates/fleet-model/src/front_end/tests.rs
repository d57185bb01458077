//! How the front deals out clients while balancers die and return.

use nettlemux_policy::SEC;

use super::*;

#[test]
fn the_front_deals_in_turn_notices_late_and_goes_to_another_zone() {
    let mut front = FrontEnd::new(4, 2);
    let dealt: Vec<_> = (0..4).map(|_| front.pick_balancer(0, 0)).collect();
    assert_eq!(dealt, [Some(2), Some(0), Some(2), Some(0)]);
    front.mark_dead(0, 2 * SEC);
    front.mark_dead(2, 2 * SEC);
    assert!(
        matches!(front.pick_balancer(SEC, 0), Some(0 | 2)),
        "not noticed yet"
    );
    assert!(matches!(front.pick_balancer(2 * SEC, 0), Some(1 | 3)));
    front.mark_dead(1, 0);
    front.mark_dead(3, 0);
    assert_eq!(front.pick_balancer(2 * SEC, 0), None);
    front.mark_alive(2);
    assert_eq!(front.pick_balancer(2 * SEC, 1), Some(2));
}
