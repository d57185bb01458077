//! The incarnations of servers that leave the list, return, restart or move.

use nettlemux_policy::SEC;

use super::*;

/// Returns the entry of server `s-0` at this port with this state and start.
fn entry(port: u16, state: EndpointState, started_at: Time) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        name: "s-0".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        machine: "m".into(),
        cell: "0".into(),
        state,
        weight: 1.0,
        started_at,
    }
}

/// Guards against the result of a health check that was begun before a server left the list, was
/// restarted or moved, and that is taken for one of its successor under the same name.
#[test]
fn incarnation_is_not_present_after_the_server_has_left_and_returned() {
    use EndpointState::{Draining, Ready, Removed};
    let first = || entry(1, Ready, 0);
    // The updates after the incarnation was taken, and whether it is still the present one.
    for (updates, is_present) in [
        (vec![], true),
        (vec![first()], true),
        (vec![entry(1, Draining, 0)], true),
        (vec![entry(1, Removed, 0)], false),
        (vec![entry(1, Removed, 0), first()], false),
        (vec![entry(1, Removed, 0), entry(1, Ready, 5 * SEC)], false),
        (vec![entry(1, Ready, 5 * SEC)], false),
        (vec![entry(2, Ready, 0)], false),
        (vec![entry(2, Ready, 0), first()], false),
    ] {
        let mut directory = ServerDirectory::new(Vec::new(), Vec::new());
        let listed = directory.update(SEC, vec![first()], ListScope::Complete);
        let server_id = listed[0].server_id;
        let incarnation = ServerIncarnation::of(directory.get(server_id).unwrap());
        directory.discovery_answered();
        for update in updates.clone() {
            directory.update(9 * SEC, vec![update], ListScope::Changes);
        }
        assert_eq!(
            directory.is_present(server_id, &incarnation),
            is_present,
            "{updates:?}"
        );
    }
}
