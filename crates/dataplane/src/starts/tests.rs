//! Starts on the first list and on later ones, by clocks that are off.

use nettlemux_policy::SEC;

use super::*;

const HOUR: Time = 3600 * SEC;
const NOW: Time = 1_000_000 * SEC;

#[test]
fn one_that_starts_while_we_watch_starts_when_we_are_told() {
    for told in [NOW - HOUR, NOW - 2 * SEC, NOW + 5 * SEC, NOW + HOUR] {
        let mut starts = StartTimes::default();
        // On the first list the wall clock tells, but for what lies in its future.
        assert_eq!(starts.of(NOW, 1, told), told.min(NOW));
        starts.watch();
        assert_eq!(
            starts.of(NOW + SEC, 1, told),
            told.min(NOW),
            "it has not started anew"
        );
        assert_eq!(starts.of(NOW + SEC, 2, told), NOW + SEC);
        assert_eq!(
            starts.of(NOW + 9 * SEC, 2, told),
            NOW + SEC,
            "told once more"
        );
        assert_eq!(
            starts.of(NOW + 9 * SEC, 1, told + 1),
            NOW + 9 * SEC,
            "started anew"
        );
        assert_eq!(starts.of(NOW + 9 * SEC, 3, 0), 0, "long ago");
    }
}

#[test]
fn starts_of_servers_that_are_gone_are_bounded() {
    let mut starts = StartTimes::default();
    (0..2 * UNLISTED_MAX as ServerId).for_each(|server_id| _ = starts.of(NOW, server_id, SEC));
    starts.keep(UNLISTED_MAX, |_| false);
    assert_eq!(starts.starts.len(), 2 * UNLISTED_MAX);
    starts.keep(1, |server_id| server_id == 7);
    assert_eq!(starts.starts.len(), 1);
}
