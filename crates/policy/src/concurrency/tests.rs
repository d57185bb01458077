use super::*;
use crate::types::SEC;

#[test]
fn the_initial_limit_is_divided_among_all_balancers() {
    for (balancers, initial) in [(1.0, 8), (75.0, 8), (300.0, 2), (5000.0, 1)] {
        let limit = ConcurrencyLimit::new(balancers);
        assert!(!limit.is_reached(SEC, initial - 1), "{balancers} balancers");
        assert!(limit.is_reached(SEC, initial), "{balancers} balancers");
    }
}

#[test]
fn the_limit_is_halved_once_per_interval_and_congested_below_its_initial_value() {
    let mut limit = ConcurrencyLimit::new(1.0);
    limit.decrease(SEC);
    limit.decrease(SEC + LIMIT_DECREASE_INTERVAL - 1);
    assert!(limit.is_congested() && limit.is_reached(SEC, 4) && !limit.is_reached(SEC, 3));
    limit.decrease(SEC + LIMIT_DECREASE_INTERVAL);
    assert!(limit.is_reached(SEC, 2) && !limit.is_reached(SEC, 1));
}

#[test]
fn the_limit_increases_by_one_per_round_above_the_threshold() {
    let mut limit = ConcurrencyLimit::new(1.0);
    limit.decrease(SEC);
    (0..4).for_each(|_| limit.increase());
    assert!(!limit.is_reached(SEC, 4) && limit.is_reached(SEC, 5));
}

#[test]
fn a_limit_below_one_pauses_attempts_for_at_most_four_seconds() {
    let mut limit = ConcurrencyLimit::new(1.0);
    let mut now = SEC;
    for _ in 0..50 {
        now += LIMIT_DECREASE_INTERVAL;
        limit.decrease(now);
    }
    assert!(limit.is_reached(now + 4 * SEC - 1, 0));
    assert!(!limit.is_reached(now + 4 * SEC, 0));
}

#[test]
fn a_change_of_settings_keeps_the_current_limit() {
    let mut old = ConcurrencyLimit::new(1.0);
    old.decrease(SEC);
    let mut new = ConcurrencyLimit::new(300.0);
    new.take_state_from(old);
    assert!(!new.is_reached(SEC, 3) && new.is_reached(SEC, 4));
    assert!(!new.is_congested(), "the new initial limit is 2");
}
