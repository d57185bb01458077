//! The counts of recent connections as they enter and leave the window, and their limit.

use super::*;

/// Guards against decisions that take longer and longer while connections come and go at full speed.
#[test]
fn counts_by_server_follow_the_window_without_a_look_at_each_connection() {
    let mut recent = RecentConnections::default();
    let counts = |recent: &RecentConnections| recent.by_server().collect::<Vec<_>>();
    recent.record(0, 7);
    recent.record(SEC, 7);
    recent.record(2 * SEC, 8);
    recent.count_window(RATE_WINDOW);
    assert_eq!(counts(&recent), [(7, 2), (8, 1)]);
    // Connections that have left the window are no longer counted, but remembered until they expire.
    recent.count_window(RATE_WINDOW + SEC + 1);
    assert_eq!(counts(&recent), [(8, 1)]);
    assert_eq!((recent.count_in_window(), recent.len()), (1, 3));
    recent.expire(RATE_WINDOW + SEC + 1);
    assert_eq!((recent.count_in_window(), recent.len()), (1, 1));
    recent.expire(RATE_WINDOW + 2 * SEC + 1);
    assert_eq!((counts(&recent), recent.len()), (vec![], 0));
}

/// Guards against memory that grows with the rate of connections.
#[test]
fn the_oldest_connections_are_forgotten_above_the_limit() {
    let mut recent = RecentConnections::default();
    for server_id in [1, 2] {
        for _ in 0..RECENT_CONNECTIONS_MAX {
            recent.record(SEC, server_id);
        }
        let counts: Vec<_> = recent.by_server().collect();
        assert_eq!(counts, [(server_id, RECENT_CONNECTIONS_MAX)]);
        assert_eq!(recent.count_in_window(), RECENT_CONNECTIONS_MAX);
    }
    assert!(recent.established.capacity() <= RECENT_CONNECTIONS_MAX);
}
