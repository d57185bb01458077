//! A client whose coroutine panics before the client has a flow.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use nettlemux_dataplane::descriptors::DescriptorBudget;

use super::*;

/// Guards against closing a client's connection without an answer after its line was read.
#[test]
fn client_is_answered_if_its_coroutine_panics_before_it_has_a_flow() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let timeout = Duration::from_secs(2);
    client.set_read_timeout(Some(timeout)).unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let descriptors = DescriptorBudget::new(1);
    let permit = descriptors.try_acquire().unwrap();
    let panicked = may::go!(move || {
        let _client = UnansweredClient::new(Connection::new(stream, permit));
        panic!("on purpose");
    });
    assert!(panicked.join().is_err());
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    assert_eq!(answer.as_bytes(), wire::REPLY_FAILED);
}
