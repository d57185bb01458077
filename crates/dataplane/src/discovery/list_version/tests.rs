//! Which part of the list is asked for, of one agent and of the next one.

use super::*;

fn complete_list(version: u64) -> ListUpdate {
    ListUpdate {
        version,
        is_complete: true,
        entries: Vec::new(),
    }
}

/// Returns the state after an agent has been asked for its complete list at `now` since it may have
/// been restarted.
fn after_restart_of_agent(now: Time) -> ListVersion {
    let mut list = ListVersion::new(Some(41));
    list.suspect_restart();
    let request = list.request(now, false);
    assert!(request.after_restart && request.from_version.is_none());
    list.record_update(&complete_list(41), &request, now);
    list
}

/// Guards against another list of a restarted agent under the known version that is noticed a minute
/// late, because the agent that was called before had been restarted too.
#[test]
fn restart_of_an_agent_is_followed_although_the_agent_before_it_was_restarted() {
    let now = 100 * SEC;
    let mut list = after_restart_of_agent(now);
    list.suspect_restart();
    assert!(!list.request(now + SEC, false).after_restart, "same agent");
    list.change_agent();
    let request = list.request(now + SEC, false);
    assert_eq!(request.from_version, None);
    list.record_update(&complete_list(7), &request, now + SEC);
    assert_eq!(list.request(now + SEC, false).from_version, Some(7));
    list.suspect_restart();
    assert!(list.request(now + 2 * SEC, false).after_restart);
}

/// Guards against a complete list for each balancer from a service that they share.
#[test]
fn shared_service_is_not_asked_for_the_complete_list_because_it_may_have_been_restarted() {
    let mut list = ListVersion::new(Some(41));
    list.suspect_restart();
    assert_eq!(list.request(SEC, true).from_version, Some(41));
}

/// Guards against changes that never arrive because an agent has restarted its version numbers.
#[test]
fn lower_version_of_a_change_leads_to_a_request_for_the_complete_list() {
    let mut list = ListVersion::new(Some(41));
    let request = list.request(SEC, false);
    let update = ListUpdate {
        is_complete: false,
        ..complete_list(40)
    };
    list.record_update(&update, &request, SEC);
    assert_eq!(list.request(SEC, false).from_version, None);
}
