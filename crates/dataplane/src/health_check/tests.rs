//! Connections that are kept, replaced and closed, and checks that wait for a descriptor.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::thread;
use std::time::{Duration, Instant};

use nettlemux_policy::{SEC, ServerId};
use socket2::{Domain, Socket, Type};

use super::requests::request_channel;
use super::session::Session;
use super::*;
use crate::buffers::BufferPool;
use crate::clock;
use crate::descriptors::DescriptorBudget;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{DispatcherMessage, Server};
use crate::runtime_settings::{RuntimeSettings, SharedSettings};

const SERVER_ID: ServerId = 7;

/// A checker with its own descriptor budget, and the mailbox that receives its results.
struct Fixture {
    checker: HealthChecker,
    messages: Mailbox<DispatcherMessage>,
    descriptors: Arc<DescriptorBudget>,
}

fn context(
    dispatcher: Sender<DispatcherMessage>,
    descriptors: Arc<DescriptorBudget>,
) -> HealthCheckContext {
    HealthCheckContext {
        dispatcher,
        descriptors,
        buffers: BufferPool::new(),
        settings: SharedSettings::new(RuntimeSettings::default()),
    }
}

impl Fixture {
    fn new(descriptors: usize) -> Self {
        let messages = Mailbox::new();
        let descriptors = DescriptorBudget::new(descriptors);
        let checker = HealthChecker::new(context(messages.sender(), descriptors.clone()));
        Fixture {
            checker,
            messages,
            descriptors,
        }
    }

    /// Runs `steps` in a coroutine, as timed waits require. All steps that read the mailbox must
    /// run in the same coroutine.
    fn run(mut self, steps: impl FnOnce(&mut Fixture) + Send + 'static) -> Self {
        let running = may::go!(move || {
            steps(&mut self);
            self
        });
        running.join().unwrap()
    }

    /// Waits for the next result and returns whether that check passed.
    fn next_has_passed(&self) -> bool {
        match self.messages.next(clock::now() + 5 * SEC) {
            Some(DispatcherMessage::HealthChecked(result)) => {
                assert_eq!(result.server_id, SERVER_ID);
                result.passed
            }
            Some(_) => panic!("unexpected message"),
            None => panic!("no check ended within 5 s"),
        }
    }

    /// Waits until `expected` descriptors are in use. The descriptor of a closed connection is
    /// released a little later, by the coroutine that watches its socket. Must be called outside of
    /// coroutines.
    fn wait_for_descriptors_in_use(&self, expected: usize) {
        let deadline = Instant::now() + Duration::from_secs(5);
        while self.descriptors.in_use() != expected {
            let in_use = self.descriptors.in_use();
            assert!(Instant::now() < deadline, "{in_use} in use, not {expected}");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn server(address: SocketAddr) -> Arc<Server> {
    Arc::new(Server {
        name: "s-7".into(),
        address,
        ready: AtomicBool::new(true),
        started: AtomicU64::new(0),
    })
}

/// Accepts one connection, answers `checks` health checks on it and returns it.
fn answer(listener: &TcpListener, checks: usize) -> TcpStream {
    let mut stream = listener.accept().unwrap().0;
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    for _ in 0..checks {
        assert_eq!(lines.next().unwrap().unwrap(), "PING");
        stream.write_all(b"PONG\r\n").unwrap();
    }
    stream
}

#[test]
fn connection_is_kept_between_checks_replaced_when_ended_and_closed_when_unlisted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = server(listener.local_addr().unwrap());
    let answering = thread::spawn(move || {
        drop(answer(&listener, 2));
        let mut second = BufReader::new(answer(&listener, 1));
        let mut rest = String::new();
        second.read_line(&mut rest).unwrap();
        assert_eq!(rest, "", "not closed by the balancer");
    });
    let mut fixture = Fixture::new(16).run(move |fixture| {
        for _ in 0..3 {
            fixture.checker.check(SERVER_ID, server.clone());
            assert!(fixture.next_has_passed());
        }
    });
    fixture.wait_for_descriptors_in_use(1);
    fixture.checker.retain_listed(|_| false);
    fixture.wait_for_descriptors_in_use(0);
    answering.join().unwrap();
}

#[test]
fn check_waits_for_a_descriptor_until_its_server_is_unlisted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = server(listener.local_addr().unwrap());
    let answering = thread::spawn(move || answer(&listener, 1));
    // Three descriptors are reserved for discovery, and one is in use.
    let fixture = Fixture::new(4);
    let in_use = fixture.descriptors.try_acquire().unwrap();
    let fixture = fixture.run(move |fixture| {
        fixture.checker.check(SERVER_ID, server.clone());
        fixture.checker.check(SERVER_ID + 1, server);
        assert!(fixture.checker.has_queued());
        fixture.checker.retain_listed(|listed| listed == SERVER_ID);
        drop(in_use);
        fixture.checker.start_queued();
        assert!(!fixture.checker.has_queued());
        assert!(fixture.next_has_passed());
    });
    // Too few descriptors are free for the connection to be kept.
    fixture.wait_for_descriptors_in_use(0);
    drop(answering.join().unwrap());
}

/// Guards against losing a check that is requested after a session has looked for requests for the
/// last time and before it ends.
#[test]
fn request_to_an_ending_session_is_refused() {
    let fixture = Fixture::new(16);
    let permit = fixture.descriptors.try_acquire().unwrap();
    let context = context(fixture.messages.sender(), fixture.descriptors.clone());
    let (sender, requests) = request_channel();
    let session = Session::new(SERVER_ID, requests, permit, context);
    let server = server(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert!(sender.send(server.clone()));
    assert!(session.next_request().is_some());
    assert!(session.next_request().is_none());
    assert!(
        !sender.send(server),
        "accepted after the session closed its channel"
    );
}

#[test]
fn check_fails_if_the_server_refuses_the_connection() {
    // Bound but not listening: connections are refused, and no other test gets the port.
    let refusing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    refusing.bind(&any_port.into()).unwrap();
    let address = refusing.local_addr().unwrap().as_socket().unwrap();
    let fixture = Fixture::new(16).run(move |fixture| {
        fixture.checker.check(SERVER_ID, server(address));
        assert!(!fixture.next_has_passed());
    });
    fixture.wait_for_descriptors_in_use(0);
}
