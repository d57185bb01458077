//! What balancers tell one another.

mod common;

use common::*;
use nettlemux_policy::*;

#[test]
fn groups_go_where_others_say_that_they_are_held() {
    // Guards against a group on as many servers as there are balancers. Whether messages are
    // allowed, their age in seconds, whether the group follows them into the other zone.
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
        let mut policy = balancer_with(Idempotency::Idempotent, config);
        let list = |server_id| Endpoint {
            zone: u64::from(server_id > 3),
            ..ready(server_id)
        };
        policy.update_endpoints(T0, &(0..9).map(list).collect::<Vec<_>>(), true);
        let group = Some("a".to_string());
        // Whoever places one announces it, once.
        let mut announcer = balancer_with(Idempotency::Idempotent, gossiping(1.0));
        announcer.update_endpoints(T0, &[list(7)], true);
        let mut messages = Vec::new();
        for id in 0..5 {
            let one = Flow {
                group: group.clone(),
                ..flow(T0 + id * SEC, id)
            };
            assert!(matches!(
                announcer.place(one.accepted_at, &one),
                Placement::Forward { server_id: 7, .. }
            ));
            messages.extend(
                announcer
                    .on_event(
                        one.accepted_at,
                        PolicyEvent::Connected { flow: id, took: MS },
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
            panic!("room")
        };
        assert_eq!(
            server_id == 7,
            follows,
            "gossip {may_gossip}, {age} s: {server_id}"
        );
    }
    for bad in [&b""[..], b"\x01", b"\x00\x01\x00\x07", b"\x00\x01123456789"] {
        assert_eq!(GroupPlacement::from_bytes(bad), None, "{bad:?}");
    }
}

#[test]
fn gossip_stays_within_what_all_balancers_can_receive() {
    // Guards against a storm in which each of hundreds announces each client (4 million messages in
    // 16 s). Balancers, messages in 10 s at most.
    for (balancers, most) in [(1.0, 100), (30.0, 12), (600.0, 2)] {
        let mut policy = balancer_with(Idempotency::Idempotent, gossiping(balancers));
        policy.update_endpoints(T0, &[ready(0)], true);
        let mut messages = 0;
        for id in 0..100 {
            let now = T0 + id * SEC / 10;
            let one = Flow {
                group: Some(format!("group {id}")),
                ..flow(now, id)
            };
            policy.place(now, &one);
            messages += usize::from(
                policy
                    .on_event(now, PolicyEvent::Connected { flow: id, took: MS })
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
            "{balancers} balancers: {messages}"
        );
    }
}
