//! Attempts whose client has left before they begin.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use nettlemux_policy::{Flow, SEC};
use socket2::SockRef;

use super::*;
use crate::buffers::BufferPool;
use crate::client_ids::ClientIds;
use crate::connection::Connection;
use crate::descriptors::{DescriptorBudget, DescriptorBudgets};
use crate::mailbox::Mailbox;
use crate::messages::{DispatcherMessage, Server};
use crate::runtime_settings::{RuntimeSettings, SharedSettings};

fn dataplane(messages: &Mailbox<DispatcherMessage>) -> Arc<Dataplane> {
    Arc::new(Dataplane {
        dispatcher: messages.sender(),
        buffers: BufferPool::new(),
        descriptor_budgets: DescriptorBudgets::new(256, 32 << 20),
        client_ids: ClientIds::new(0),
        settings: SharedSettings::new(RuntimeSettings {
            connect_timeout: SEC,
            ..RuntimeSettings::default()
        }),
        next_flow: AtomicU64::new(1),
    })
}

/// Makes an attempt for a flow after its client has run `client_action`. Returns whether the
/// attempt ended unsent because the client had left, and whether the server was dialled.
fn attempt_after(client_action: impl FnOnce(&mut TcpStream)) -> (bool, bool) {
    let (listener, server) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    server.set_nonblocking(true).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    client_action(&mut client);
    // Loopback delivers before the call returns; the pause allows for slow machines.
    std::thread::sleep(Duration::from_millis(20));
    let address = server.local_addr().unwrap();
    let unsent = may::go!(move || {
        let messages = Mailbox::new();
        let dataplane = dataplane(&messages);
        let (permit, client_id) = (
            DescriptorBudget::new(9).try_acquire().unwrap(),
            dataplane.client_ids.reserve("9b1f").unwrap(),
        );
        let flow = Flow {
            id: 5,
            deadline: Time::MAX,
            ..Flow::default()
        };
        let mut flow = FlowGuard::new(
            &dataplane,
            &flow,
            Connection::new(stream, permit),
            client_id,
        );
        let server = Arc::new(Server {
            name: "s-0".into(),
            address,
            ready: AtomicBool::new(true),
            started: AtomicU64::new(0),
        });
        let deadline = clock::now() + SEC / 5;
        let target = AttemptTarget {
            server_id: 1,
            number: 0,
            server,
            deadline,
            send_by: deadline,
        };
        let result = run(
            &dataplane,
            &mut flow,
            &target,
            b"OPEN 9b1f 7f3a c=chat,d=900",
            FlowOrigin::New,
        );
        if flow.answer_pending() {
            flow.fail();
        }
        matches!(
            result,
            Err(AttemptFailure::ClientLeft(LineProgress::Unsent))
        )
    });
    let unsent = unsent.join().unwrap();
    let dialled = !matches!(server.accept(), Err(e) if e.kind() == ErrorKind::WouldBlock);
    (unsent, dialled)
}

/// Guards against an attempt that begins long after the client has left. The client's end has not
/// been notified here, as when the worker has been busy since.
#[test]
fn a_server_is_not_dialled_for_a_client_that_has_left() {
    assert_eq!(attempt_after(|_| {}), (false, true), "client stays");
    assert_eq!(
        attempt_after(|client| client.shutdown(Shutdown::Both).unwrap()),
        (true, false),
        "client closes"
    );
    assert_eq!(
        attempt_after(|client| client.shutdown(Shutdown::Write).unwrap()),
        (true, false),
        "client half-closes"
    );
    let send_more = |client: &mut TcpStream| client.write_all(b"hello\r\n").unwrap();
    assert_eq!(
        attempt_after(send_more),
        (true, false),
        "client sends more before it is served"
    );
    let reset = |client: &mut TcpStream| {
        SockRef::from(&*client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        let other = TcpListener::bind("127.0.0.1:0").unwrap();
        *client = TcpStream::connect(other.local_addr().unwrap()).unwrap();
    };
    assert_eq!(attempt_after(reset), (true, false), "client resets");
}
