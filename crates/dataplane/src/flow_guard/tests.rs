//! A flow whose coroutine panics.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::AtomicU64;

use super::*;
use crate::mailbox::Mailbox;
use crate::pool::{Buffers, DescriptorBudgets, Descriptors};

/// Guards against a flow that is lost, and a desk that keeps it, when its coroutine panics.
#[test]
fn a_flow_that_panics_is_answered_and_given_back() {
    let messages = Mailbox::new();
    let descriptors = Descriptors::new(9);
    let dataplane = Arc::new(Dataplane {
        dispatcher: messages.sender(),
        buffers: Buffers::new(),
        budgets: DescriptorBudgets::new(256, 32 << 20),
        ids: Arc::default(),
        settings: Arc::default(),
        numbers: AtomicU64::new(1),
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client
        .set_read_timeout(Some(std::time::Duration::from_secs(2)))
        .unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let slot = descriptors.take(0).unwrap();
    let id = dataplane.ids.take("9b1f").unwrap();
    // Guards against a flow that is opened under another's id, also once that has ended.
    assert!(dataplane.ids.take("9b1f").is_none());
    let ids = dataplane.ids.clone();
    let flow = Flow {
        id: 5,
        deadline: Time::MAX,
        ..Flow::default()
    };
    let panicked = may::go!(move || {
        let _flow = FlowGuard::new(&dataplane, &flow, Caller::new(stream, slot), id);
        panic!("on purpose");
    });
    assert!(panicked.join().is_err());
    assert!(ids.take("9b1f").is_none() && ids.take("9b20").is_some());
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    assert_eq!(answer.as_bytes(), wire::FAILED);
    let told = may::go!(move || messages.next(clock::now() + 1000 * MS))
        .join()
        .unwrap();
    assert!(matches!(
        told,
        Some(DispatcherMessage::FlowClosed { flow: 5 })
    ));
    let until = clock::now() + 1000 * MS;
    while descriptors.open() > 0 {
        assert!(clock::now() < until, "its descriptor is given back");
        std::thread::yield_now();
    }
}
