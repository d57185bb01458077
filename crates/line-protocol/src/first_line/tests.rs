//! First lines as real clients send them, and malformed first lines, which must be rejected.

use super::*;

#[test]
fn valid_lines_are_parsed_and_malformed_lines_are_rejected() {
    let line = b"OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f,h=3,x";
    assert_eq!(parse(line), Err(MalformedLine::UnnamedValue));
    let connect = ConnectRequest {
        id: "9b1f",
        key: "7f3a",
        class: "chat",
        wait_ms: Some(2000),
        group: Some("5c0f"),
        ..ConnectRequest::default()
    };
    assert_eq!(
        parse(&line[..line.len() - 2]),
        Ok(Request::Connect(connect))
    );
    let adopted = ConnectRequest {
        id: "1",
        key: "k",
        class: "c",
        previous_server: Some("s-2"),
        ..ConnectRequest::default()
    };
    assert_eq!(parse(b"OPEN 1 k c=c,at=s-2"), Ok(Request::Connect(adopted)));
    assert_eq!(parse(b"PING"), Ok(Request::Ping));
    for malformed in [
        &b""[..],
        b"HELLO",
        b"OPEN",
        b"OPEN 1",
        b"OPEN 1 k",
        b"OPEN 1 k d=1",
        b"OPEN 1 k c=a,d=x",
        b"\xff",
        // Guards against a lenient parser: it would serve requests that it has only guessed.
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
        assert!(parse(malformed).is_err(), "{malformed:?}");
    }
}

#[test]
fn error_says_why_a_line_is_malformed() {
    for (line, text) in [
        (&b"\xff"[..], "expected UTF-8 text"),
        (b"OPEN 1 k c=a,d=1\tx", "control character in the line"),
        (b"HELLO", "expected OPEN, PING or STATS"),
        (b"PING x", "expected OPEN, PING or STATS"),
        (b"OPEN", "id is missing"),
        (b"OPEN  k c=a", "id is missing"),
        (b"OPEN 1", "key is missing"),
        (b"OPEN 1 k", "values are missing"),
        (
            b"OPEN 1 k c=a x",
            "expected an id, a key and values, found more",
        ),
        (b"OPEN 1 k c=a,d", "expected name=value, found no '='"),
        (b"OPEN 1 k c=a,d=", "empty name or value"),
        (b"OPEN 1 k c=a,c=a", "duplicate name"),
        (b"OPEN 1 k c=a,d=99999999999999999999", "d is too large"),
        (b"OPEN 1 k c=a,d=+5", "expected a whole number for d"),
        (b"OPEN 1 k c=a,again=2", "expected 1 for a flag"),
        (
            b"OPEN 1 k c=a,h=nan",
            "expected a number for an unknown name",
        ),
        (b"OPEN 1 k d=1", "c, the traffic class, is missing"),
    ] {
        let error = parse(line).unwrap_err();
        assert_eq!(error.to_string(), text, "{line:?}");
    }
}
