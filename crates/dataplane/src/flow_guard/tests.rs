//! Test of a flow whose coroutine panics.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::panic::resume_unwind;
use std::sync::atomic::AtomicU64;

use super::*;
use crate::buffers::BufferPool;
use crate::client_ids::ClientIds;
use crate::descriptors::{DescriptorBudget, DescriptorBudgets};
use crate::mailbox::Mailbox;

/// Guards against a client that is never answered, and a dispatcher that keeps the flow, when the
/// flow's coroutine panics.
#[test]
fn a_flow_whose_coroutine_panics_is_answered_and_its_resources_are_released() {
    let messages = Mailbox::new();
    let descriptors = DescriptorBudget::new(9);
    let dataplane = Arc::new(Dataplane {
        dispatcher: messages.sender(),
        buffers: BufferPool::new(),
        descriptor_budgets: DescriptorBudgets::new(256, 32 << 20),
        client_ids: ClientIds::new(0),
        settings: Arc::default(),
        next_flow: AtomicU64::new(1),
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client
        .set_read_timeout(Some(std::time::Duration::from_secs(2)))
        .unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let permit = descriptors.try_acquire().unwrap();
    let client_id = dataplane.client_ids.reserve("9b1f").unwrap();
    // Guards against a flow that reuses the client id of another flow, even of one that has ended.
    assert!(dataplane.client_ids.reserve("9b1f").is_none());
    let ids = dataplane.client_ids.clone();
    let flow = Flow {
        id: 5,
        deadline: Time::MAX,
        ..Flow::default()
    };
    let panicked = may::go!(move || {
        let _flow = FlowGuard::new(
            &dataplane,
            &flow,
            Connection::new(stream, permit),
            client_id,
        );
        // Unlike `panic!`, prints nothing: a backtrace would hold up the worker that the other
        // tests of this program use too.
        resume_unwind(Box::new("on purpose"));
    });
    assert!(panicked.join().is_err());
    assert!(ids.reserve("9b1f").is_none() && ids.reserve("9b20").is_some());
    let mut answer = String::new();
    client.read_to_string(&mut answer).unwrap();
    assert_eq!(answer.as_bytes(), wire::REPLY_FAILED);
    let message = may::go!(move || messages.next(clock::now() + 1000 * MS))
        .join()
        .unwrap();
    assert!(matches!(
        message,
        Some(DispatcherMessage::FlowClosed { flow: 5 })
    ));
    let until = clock::now() + 1000 * MS;
    while descriptors.in_use() > 0 {
        assert!(clock::now() < until, "descriptor not released within 1 s");
        std::thread::yield_now();
    }
}
