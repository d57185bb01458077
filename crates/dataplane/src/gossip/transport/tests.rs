//! What becomes of a peer's datagrams.

use super::*;

/// Guards against a datagram that is too long, cut as it is read, and taken for a whole one.
#[test]
fn a_datagram_that_is_too_long_is_refused_and_the_next_one_is_read() {
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let messages = Mailbox::new();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let peers = vec![peer.local_addr().unwrap()];
    let (transport, _sender) = GossipTransport::start(any_port, peers, messages.sender()).unwrap();
    let mut datagram = b"\x01\xca\xfes-17".to_vec();
    let whole = datagram.clone();
    datagram.resize(DATAGRAM_BYTES_MAX + 1, b'x');
    for sent in [&datagram, &whole] {
        peer.send_to(sent, transport.own_address).unwrap();
    }
    let first = may::go!(move || messages.next(clock::now() + 5 * SEC));
    let Some(DispatcherMessage::GossipReceived(message)) = first.join().unwrap() else {
        panic!("no gossip message");
    };
    assert_eq!(&*message.server, "s-17");
}
