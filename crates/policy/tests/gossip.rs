//! Gossip about the servers that hold a group.

mod common;

use common::*;
use nettlemux_policy::*;

/// Guards against a group that is held on as many servers as there are balancers.
#[test]
fn group_follows_gossip_about_its_holder_for_forty_seconds() {
    // Whether gossip is enabled, age of the message in seconds, whether the flow goes to the
    // announced holder in the other zone.
    for (may_gossip, age, follows) in [
        (true, 1, true),
        (true, 39, true),
        (true, 41, false),
        (false, 1, false),
    ] {
        let config = PolicyConfig {
            gossip: GossipConfig {
                enabled: may_gossip,
            },
            ..config()
        };
        let mut policy = balancer_with(config);
        let endpoint = |server_id| Endpoint {
            zone: u64::from(server_id > 3),
            ..ready(server_id)
        };
        policy.update_endpoints(T0, &(0..9).map(endpoint).collect::<Vec<_>>(), true);
        let group = Some("a".to_string());
        // The balancer that places the group announces it once.
        let mut announcer = balancer_with(config_with_gossip(1.0));
        announcer.update_endpoints(T0, &[endpoint(7)], true);
        let mut messages = Vec::new();
        for id in 0..5 {
            let new_flow = Flow {
                group: group.clone(),
                ..flow(T0 + id * SEC, id)
            };
            assert!(matches!(
                announcer.place(new_flow.accepted_at, &new_flow),
                Placement::Forward { server_id: 7, .. }
            ));
            messages.extend(
                announcer
                    .on_event(
                        new_flow.accepted_at,
                        PolicyEvent::Connected {
                            flow: id,
                            connect_duration: MS,
                        },
                    )
                    .gossip,
            );
        }
        assert_eq!(messages.len(), 1, "{messages:?}");
        let bytes = messages[0].to_bytes();
        assert_eq!(
            (bytes.len(), GroupPlacement::from_bytes(&bytes)),
            (3, Some(messages[0]))
        );
        policy.receive_gossip(T0, messages[0]);
        policy.receive_gossip(
            T0,
            GroupPlacement {
                server_id: 99,
                ..messages[0]
            },
        );
        let now = T0 + age * SEC;
        let Placement::Forward { server_id, .. } = policy.place(
            now,
            &Flow {
                group,
                ..flow(now, 9)
            },
        ) else {
            panic!("the flow was not forwarded")
        };
        assert_eq!(
            server_id == 7,
            follows,
            "gossip enabled {may_gossip}, message {age} s old: server {server_id}"
        );
    }
    for invalid in [&b""[..], b"\x01", b"\x00\x01\x00\x07", b"\x00\x01123456789"] {
        assert_eq!(GroupPlacement::from_bytes(invalid), None, "{invalid:?}");
    }
}

/// Guards against flows that follow an announcement to a server that has lost the group since, as it
/// was restarted, or left the list and came back. The server is warm again at the time of the flow.
#[test]
fn group_does_not_follow_gossip_from_before_the_holder_was_restarted() {
    let endpoint = |server_id, started| Endpoint {
        zone: u64::from(server_id > 3),
        started,
        ..ready(server_id)
    };
    let removed = Endpoint {
        state: EndpointState::Removed,
        ..endpoint(7, 0)
    };
    let restarted = endpoint(7, T0 + 2 * SEC);
    // The updates of the list after the announcement at `T0`, and whether another one follows them.
    for (updates, is_repeated, follows) in [
        (vec![], false, true),
        (vec![endpoint(7, 0)], false, true),
        (vec![restarted], false, false),
        (vec![removed, restarted], false, false),
        (vec![restarted], true, true),
    ] {
        let mut policy = balancer_with(config_with_gossip(1.0));
        let listed: Vec<_> = (0..9).map(|server_id| endpoint(server_id, 0)).collect();
        policy.update_endpoints(T0, &listed, true);
        let group = Some("a".to_string());
        let mut announcer = balancer_with(config_with_gossip(1.0));
        announcer.update_endpoints(T0, &[endpoint(7, 0)], true);
        let announced = Flow {
            group: group.clone(),
            ..flow(T0, 1)
        };
        announcer.place(T0, &announced);
        let connected = PolicyEvent::Connected {
            flow: 1,
            connect_duration: MS,
        };
        let message = announcer.on_event(T0, connected).gossip.unwrap();
        policy.receive_gossip(T0, message);
        for update in &updates {
            policy.update_endpoints(T0 + 2 * SEC, &[*update], false);
        }
        if is_repeated {
            policy.receive_gossip(T0 + 3 * SEC, message);
        }
        let now = T0 + 38 * SEC;
        let new_flow = Flow {
            group,
            ..flow(now, 9)
        };
        let Placement::Forward { server_id, .. } = policy.place(now, &new_flow) else {
            panic!("the flow was not forwarded")
        };
        assert_eq!(server_id == 7, follows, "{updates:?}, {is_repeated}");
    }
}

/// Guards against a message storm: hundreds of balancers announced each client and sent 4 million
/// messages in 16 s.
#[test]
fn gossip_messages_of_a_balancer_decrease_with_the_number_of_balancers() {
    // Balancers, highest number of messages in 10 s.
    for (balancers, most) in [(1.0, 100), (30.0, 12), (600.0, 2)] {
        let mut policy = balancer_with(config_with_gossip(balancers));
        policy.update_endpoints(T0, &[ready(0)], true);
        let mut messages = 0;
        for id in 0..100 {
            let now = T0 + id * SEC / 10;
            let new_flow = Flow {
                group: Some(format!("group {id}")),
                ..flow(now, id)
            };
            policy.place(now, &new_flow);
            messages += usize::from(
                policy
                    .on_event(
                        now,
                        PolicyEvent::Connected {
                            flow: id,
                            connect_duration: MS,
                        },
                    )
                    .gossip
                    .is_some(),
            );
            policy.on_event(
                now,
                PolicyEvent::AttemptEnded {
                    flow: id,
                    server_id: 0,
                    end: AttemptEnd::Done,
                    unanswered: None,
                },
            );
        }
        assert!(
            (1..=most).contains(&messages),
            "{balancers} balancers: {messages} messages"
        );
    }
}
