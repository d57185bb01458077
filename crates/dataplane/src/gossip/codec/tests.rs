//! The bytes of gossip datagrams, and what is not read.

use super::*;

#[test]
fn messages_are_read_as_they_are_written_and_others_passed_over() {
    let message = GossipMessage {
        group: 51_966,
        server: "s-17".into(),
    };
    assert_eq!(encode(&message).unwrap(), b"\x01\xca\xfes-17");
    assert_eq!(decode(&encode(&message).unwrap()), Ok(message));
    assert_eq!(
        encode(&GossipMessage {
            group: 1,
            server: "s".repeat(254)
        }),
        Err(EncodeError::ServerNameTooLong { bytes: 254 })
    );
    for bad in [
        &b""[..],
        b"\x01",
        b"\x01\x00\x01",
        b"\x02\x00\x01s-1",
        b"\x01\x00\x01\xff",
    ] {
        assert!(decode(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn a_datagram_of_an_earlier_version_is_read() {
    // Written out, as balancers of the version before send it: guards against a change of format
    // that reading and writing share.
    let datagram = b"\x01\xca\xfes-17";
    let message = GossipMessage {
        group: 0xcafe,
        server: "s-17".into(),
    };
    assert_eq!(decode(datagram), Ok(message));
}

#[test]
fn the_longest_server_name_fills_the_datagram() {
    let message = GossipMessage {
        group: 1,
        server: "s".repeat(SERVER_NAME_BYTES_MAX),
    };
    let datagram = encode(&message).unwrap();
    assert_eq!(datagram.len(), DATAGRAM_BYTES_MAX);
    assert_eq!(decode(&datagram), Ok(message));
}

#[test]
fn errors_say_what_is_wrong_with_a_datagram() {
    assert_eq!(
        decode(b"\x01").unwrap_err().to_string(),
        "a datagram of 1 bytes; the header alone has 3"
    );
    assert_eq!(
        decode(b"\x02\x00\x01s-1"),
        Err(DecodeError::UnknownVersion(2))
    );
    assert_eq!(decode(b"\x01\x00\x01"), Err(DecodeError::NoServerName));
    assert!(matches!(
        decode(b"\x01\x00\x01\xff"),
        Err(DecodeError::ServerNameNotUtf8(_))
    ));
}
