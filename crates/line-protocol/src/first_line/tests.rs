//! First lines as real clients send them, and those that must not be guessed at.

use super::*;

#[test]
fn first_lines() {
    let line = b"OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f,h=3,x";
    assert_eq!(parse(line), Err(MalformedLine::UnnamedValue));
    let open = ConnectRequest {
        id: "9b1f",
        key: "7f3a",
        class: "chat",
        wait_ms: Some(2000),
        group: Some("5c0f"),
        ..ConnectRequest::default()
    };
    assert_eq!(parse(&line[..line.len() - 2]), Ok(Request::Connect(open)));
    let at = ConnectRequest {
        id: "1",
        key: "k",
        class: "c",
        previous_server: Some("s-2"),
        ..ConnectRequest::default()
    };
    assert_eq!(parse(b"OPEN 1 k c=c,at=s-2"), Ok(Request::Connect(at)));
    assert_eq!(parse(b"PING"), Ok(Request::Ping));
    for bad in [
        &b""[..],
        b"HELLO",
        b"OPEN",
        b"OPEN 1",
        b"OPEN 1 k",
        b"OPEN 1 k d=1",
        b"OPEN 1 k c=a,d=x",
        b"\xff",
        // Guards against lines that are guessed at: whatever they ask for would be served.
        b"PING x",
        b"OPEN  k c=a,d=1",
        b"OPEN 1  c=a,d=1",
        b"OPEN 1 k  c=a,d=1",
        b"OPEN 1 k c=a,d=1 x",
        b"OPEN 1 k c=a,d=1,c=a",
        b"OPEN 1 k c=a,d=+5",
        b"OPEN 1 k c=a,d=-5",
        b"OPEN 1 k c=a,d=5.0",
        b"OPEN 1 k c=a,d=99999999999999999999",
        b"OPEN 1 k c=a,d=",
        b"OPEN 1 k c=a,d=1,g=",
        b"OPEN 1 k c=a,d=1,r=2",
        b"OPEN 1 k c=a,d=1,h=much",
        b"OPEN 1 k c=a,d=1,h=nan",
        b"OPEN 1 k c=a,d=1,h=inf",
        b"OPEN 1 k c=a,d=1\tx",
        format!(
            "OPEN 1 k c=a{}",
            (0..40).map(|n| format!(",x{n}=1")).collect::<String>()
        )
        .as_bytes(),
    ] {
        assert!(parse(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn a_malformed_line_says_what_is_wrong() {
    for (line, text) in [
        (&b"\xff"[..], "no text"),
        (b"OPEN 1 k c=a,d=1\tx", "no line of text"),
        (b"HELLO", "neither OPEN, PING nor STATS"),
        (b"PING x", "neither OPEN, PING nor STATS"),
        (b"OPEN", "no id"),
        (b"OPEN  k c=a", "no id"),
        (b"OPEN 1", "no key"),
        (b"OPEN 1 k", "no values"),
        (b"OPEN 1 k c=a x", "more than an id, a key and values"),
        (b"OPEN 1 k c=a,d", "a value has no name"),
        (b"OPEN 1 k c=a,d=", "a name or a value is empty"),
        (b"OPEN 1 k c=a,c=a", "a name comes twice"),
        (b"OPEN 1 k c=a,d=99999999999999999999", "d is too large"),
        (b"OPEN 1 k c=a,d=+5", "d is no whole number"),
        (b"OPEN 1 k c=a,again=2", "a mark is not 1"),
        (b"OPEN 1 k c=a,h=nan", "a figure is no number"),
        (b"OPEN 1 k d=1", "no class"),
    ] {
        let error = parse(line).unwrap_err();
        assert_eq!(error.to_string(), text, "{line:?}");
    }
}
