//! Receiving a peer's datagrams.

use super::*;

/// Guards against accepting an overlong datagram that was truncated when it was read.
#[test]
fn overlong_datagram_is_ignored_and_the_next_one_is_delivered() {
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
