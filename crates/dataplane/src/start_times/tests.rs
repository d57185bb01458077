//! Start times on the first list and on later lists, with clocks that are wrong.

use nettlemux_policy::SEC;

use super::*;

const HOUR: Time = 3600 * SEC;
const NOW: Time = 1_000_000 * SEC;

#[test]
fn start_during_the_watch_counts_from_its_first_report() {
    for reported in [NOW - HOUR, NOW - 2 * SEC, NOW + 5 * SEC, NOW + HOUR] {
        let mut start_times = StartTimes::default();
        // On the first list the wall clock is used, except for a start time in its future.
        assert_eq!(start_times.local_start(NOW, 1, reported), reported.min(NOW));
        start_times.record_first_update();
        assert_eq!(
            start_times.local_start(NOW + SEC, 1, reported),
            reported.min(NOW),
            "changed without a restart"
        );
        assert_eq!(start_times.local_start(NOW + SEC, 2, reported), NOW + SEC);
        assert_eq!(
            start_times.local_start(NOW + 9 * SEC, 2, reported),
            NOW + SEC,
            "changed by a second report"
        );
        assert_eq!(
            start_times.local_start(NOW + 9 * SEC, 1, reported + 1),
            NOW + 9 * SEC,
            "not updated after a restart"
        );
        assert_eq!(
            start_times.local_start(NOW + 9 * SEC, 3, 0),
            0,
            "a reported start of 0 is not long ago"
        );
    }
}

#[test]
fn start_times_of_unlisted_servers_are_removed_above_the_limit() {
    let mut start_times = StartTimes::default();
    (0..2 * UNLISTED_SERVERS_MAX as ServerId)
        .for_each(|server_id| _ = start_times.local_start(NOW, server_id, SEC));
    start_times.forget_unlisted(UNLISTED_SERVERS_MAX, |_| false);
    assert_eq!(start_times.starts.len(), 2 * UNLISTED_SERVERS_MAX);
    start_times.forget_unlisted(1, |server_id| server_id == 7);
    assert_eq!(start_times.starts.len(), 1);
}
