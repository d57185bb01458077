//! The bytes of gossip datagrams, and datagrams that are rejected.

use super::*;

#[test]
fn encoded_message_decodes_to_itself_and_malformed_datagrams_are_errors() {
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
fn datagram_of_a_previous_release_is_decoded() {
    // The bytes that balancers of the previous release send. Guards against a format change that is
    // made in both the encoder and the decoder.
    let datagram = b"\x01\xca\xfes-17";
    let message = GossipMessage {
        group: 0xcafe,
        server: "s-17".into(),
    };
    assert_eq!(decode(datagram), Ok(message));
}

#[test]
fn longest_server_name_makes_the_longest_datagram() {
    let message = GossipMessage {
        group: 1,
        server: "s".repeat(SERVER_NAME_BYTES_MAX),
    };
    let datagram = encode(&message).unwrap();
    assert_eq!(datagram.len(), DATAGRAM_BYTES_MAX);
    assert_eq!(decode(&datagram), Ok(message));
}

#[test]
fn decode_error_states_the_fault() {
    assert_eq!(
        decode(b"\x01").unwrap_err().to_string(),
        "datagram of 1 bytes, shorter than the header of 3 bytes"
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
