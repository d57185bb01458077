//! What is read of the agent's answers, and the pauses after calls that failed.

use super::*;

#[test]
fn answers_are_read_and_bad_entries_left_out() {
    let text = r#"{"generation":41,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"127.1.0.18:8081","zone":"a","machineType":"m2","cell":3,
         "lifecycle":"Ready","weight":1.5,"startedAtMs":1700000000123},
        {"instanceId":"s-2","hostPort":"nowhere","lifecycle":"Ready"},
        {"instanceId":"s-3","lifecycle":"Gone"},
        {"instanceId":"s-5","hostPort":null,"lifecycle":"Terminating"},
        {"instanceId":"s-4","hostPort":"127.1.0.18:8081","lifecycle":"Asleep"}]}"#;
    let read = news(&serde_json::from_str(text).unwrap()).unwrap();
    assert_eq!((read.version, read.whole, read.entries.len()), (41, true, 3));
    let first = &read.entries[0];
    assert_eq!((first.name.as_str(), first.cell.as_str(), first.state), ("s-1", "3", State::Ready));
    assert_eq!(first.started, 1_700_000_000_123 * MS);
    assert_eq!((read.entries[1].name.as_str(), read.entries[1].state), ("s-3", State::Gone));
    assert_eq!((read.entries[2].name.as_str(), read.entries[2].state), ("s-5", State::Draining));
    for bad in [r#"{}"#, r#"{"generation":1,"reset":true}"#, r#"[]"#] {
        assert!(news(&serde_json::from_str(bad).unwrap()).is_err(), "{bad}");
    }
}

#[test]
fn a_shared_service_that_turns_calls_away_is_left_alone_for_longer_and_longer() {
    let mut rng = WyRand::new_seed(7);
    // What the call took, how many failed before it, the longest pause that may come of it.
    for (took, failed, most) in [
        (0, 0, AGAIN),
        (2 * SEC, 0, 8 * SEC),
        (2 * SEC, 1, 10 * SEC),
        (MS, 9, 2048 * MS),
        (Time::MAX, u32::MAX, 10 * SEC),
    ] {
        let drawn: Vec<Time> = (0..200).map(|_| pause(took, failed, 10 * SEC, &mut rng)).collect();
        let (least, longest) = (drawn.iter().min().unwrap(), drawn.iter().max().unwrap());
        assert!(*least >= AGAIN && *longest <= most, "{took}, {failed}: {least} to {longest}");
        // Spread over the whole span, not all at its end.
        assert!(most == AGAIN || *least < most / 10 && *longest > most / 10 * 9, "{least} to {longest}");
    }
}

#[test]
fn depth_is_told_without_following_it() {
    assert!(deeper(b"[[[", 2) && deeper(br#"{"a":"]]]\"","b":[{"c":1}]}"#, 2));
    assert!(!deeper(br#"[[1],["[[[[\\"],[2]]"#, 2) && !deeper(b"]]][[", 2));
}

#[test]
fn heads() {
    assert!(head(b"HTTP/1.1 200 OK\r\nContent-Le").unwrap().is_none());
    for (text, stays) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\ncontent-length: 5\r\nConnection: close\r\n\r\n", false),
        ("HTTP/1.0 200 OK\r\n\r\n", false),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true),
    ] {
        assert_eq!(head(text.as_bytes()).unwrap().unwrap().2, stays, "{text}");
    }
    for bad in ["HTTP/1.1 503 No\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "SSH-2.0\r\n\r\n"]
    {
        assert!(head(bad.as_bytes()).is_err(), "{bad}");
    }
}
