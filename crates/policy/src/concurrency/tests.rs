use super::*;
use crate::types::SEC;

#[test]
fn the_initial_limit_is_shared_by_all_balancers() {
    for (balancers, initial) in [(1.0, 8), (75.0, 8), (300.0, 2), (5000.0, 1)] {
        let limit = ConcurrencyLimit::new(balancers);
        assert!(!limit.is_reached(SEC, initial - 1), "{balancers} balancers");
        assert!(limit.is_reached(SEC, initial), "{balancers} balancers");
    }
}

#[test]
fn it_is_halved_once_in_an_interval_and_is_congested_below_its_start() {
    let mut limit = ConcurrencyLimit::new(1.0);
    limit.decrease(SEC);
    limit.decrease(SEC + DECREASE_INTERVAL - 1);
    assert!(limit.is_congested() && limit.is_reached(SEC, 4) && !limit.is_reached(SEC, 3));
    limit.decrease(SEC + DECREASE_INTERVAL);
    assert!(limit.is_reached(SEC, 2) && !limit.is_reached(SEC, 1));
}

#[test]
fn it_increases_by_one_a_round_above_the_threshold() {
    let mut limit = ConcurrencyLimit::new(1.0);
    limit.decrease(SEC);
    (0..4).for_each(|_| limit.increase());
    assert!(!limit.is_reached(SEC, 4) && limit.is_reached(SEC, 5));
}

#[test]
fn below_one_it_is_a_pause_of_four_seconds_at_most() {
    let mut limit = ConcurrencyLimit::new(1.0);
    let mut now = SEC;
    for _ in 0..50 {
        now += DECREASE_INTERVAL;
        limit.decrease(now);
    }
    assert!(limit.is_reached(now + 4 * SEC - 1, 0));
    assert!(!limit.is_reached(now + 4 * SEC, 0));
}

#[test]
fn other_settings_keep_the_limit_that_stands() {
    let mut old = ConcurrencyLimit::new(1.0);
    old.decrease(SEC);
    let mut new = ConcurrencyLimit::new(300.0);
    new.continue_from(old);
    assert!(!new.is_reached(SEC, 3) && new.is_reached(SEC, 4));
    assert!(!new.is_congested(), "the new start is 2");
}
