//! Starts on the first list and on later ones, by clocks that are off.

use nettlemux_policy::SEC;

use super::*;

const HOUR: Time = 3600 * SEC;
const NOW: Time = 1_000_000 * SEC;

#[test]
fn one_that_starts_while_we_watch_starts_when_we_are_told() {
    for told in [NOW - HOUR, NOW - 2 * SEC, NOW + 5 * SEC, NOW + HOUR] {
        let mut start_times = StartTimes::default();
        // On the first list the wall clock tells, but for what lies in its future.
        assert_eq!(start_times.of(NOW, 1, told), told.min(NOW));
        start_times.watch();
        assert_eq!(
            start_times.of(NOW + SEC, 1, told),
            told.min(NOW),
            "it has not started anew"
        );
        assert_eq!(start_times.of(NOW + SEC, 2, told), NOW + SEC);
        assert_eq!(
            start_times.of(NOW + 9 * SEC, 2, told),
            NOW + SEC,
            "told once more"
        );
        assert_eq!(
            start_times.of(NOW + 9 * SEC, 1, told + 1),
            NOW + 9 * SEC,
            "started anew"
        );
        assert_eq!(start_times.of(NOW + 9 * SEC, 3, 0), 0, "long ago");
    }
}

#[test]
fn starts_of_servers_that_are_gone_are_bounded() {
    let mut start_times = StartTimes::default();
    (0..2 * UNLISTED_MAX as ServerId).for_each(|server_id| _ = start_times.of(NOW, server_id, SEC));
    start_times.keep(UNLISTED_MAX, |_| false);
    assert_eq!(start_times.start_times.len(), 2 * UNLISTED_MAX);
    start_times.keep(1, |server_id| server_id == 7);
    assert_eq!(start_times.start_times.len(), 1);
}
