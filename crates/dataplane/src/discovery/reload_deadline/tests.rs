//! The time left after one reload and after several.

use nettlemux_policy::MS;

use super::*;

#[test]
fn time_left_counts_to_the_next_deadline_of_the_first_recent_reload() {
    // The times of the reloads, the present time, and the time left, all in ms.
    for (reloads, now, left) in [
        (vec![], 100, None),
        (vec![1000], 1000, Some(3750)),
        (vec![1000], 4600, Some(150)),
        (vec![1000], 4750, Some(2000)),
        (vec![1000], 6750, None),
        // A second reload doesn't extend the deadline of the first.
        (vec![1000, 2000], 3000, Some(1750)),
        (vec![1000, 2000], 4750, Some(1000)),
        (vec![1000, 2000], 6750, Some(1000)),
        (vec![1000, 2000], 7750, None),
        // Of the reloads between the first and the last, none is remembered.
        (vec![1000, 2000, 3000, 6900], 7000, Some(3650)),
        // The last reload becomes the first once the deadlines of the first have passed.
        (vec![1000, 5000, 7500], 7500, Some(1250)),
        (vec![1000, 2000, 3000, 9000], 9000, Some(3750)),
    ] {
        let mut recent = RecentReloads::default();
        for reload in &reloads {
            recent.record(reload * MS);
        }
        assert_eq!(
            recent.time_left(now * MS),
            left.map(|left: Time| left * MS),
            "reloads at {reloads:?}, {now}"
        );
    }
}

/// Guards against a balancer that polls more and more often as a deadline approaches.
#[test]
fn a_reload_shortens_as_many_backoffs_as_it_has_deadlines() {
    let mut reloads = RecentReloads::default();
    let mut backoffs = ShortenedBackoffs::default();
    assert_eq!(backoffs.shorten(3 * SEC, &reloads, SEC), 3 * SEC);
    for reload in [10 * SEC, 20 * SEC] {
        reloads.record(reload);
        let now = reload + 2 * SEC;
        assert_eq!(backoffs.shorten(60 * MS, &reloads, now), 60 * MS);
        assert!(backoffs.shorten(3 * SEC, &reloads, now) < 500 * MS);
        assert!(backoffs.shorten(3 * SEC, &reloads, now) < 500 * MS);
        assert_eq!(backoffs.shorten(3 * SEC, &reloads, now), 3 * SEC);
    }
}
