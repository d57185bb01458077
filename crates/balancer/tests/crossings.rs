//! Two events that cross, forced on the real program: stand-ins hold back what is to come late until the other event has
//! happened, and where both have to come at one go the program is stopped meanwhile (SIGSTOP). docs/design/crossings.md is
//! the table of which order does harm and what guards against it.

mod common;

use std::io::{BufRead, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::{Client, Stand, changed, soon};
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// A server whose connections come up late: its queue is full, so the system leaves a connection begun, until it is let in
/// and the caller's machine tries again, a second after its first try.
struct Late {
    listener: TcpListener,
    address: SocketAddr,
    _first: TcpStream,
}

impl Late {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        Late { listener, address, _first: TcpStream::connect(address).unwrap() }
    }

    /// Whether anybody's connection to it has begun and is not up.
    fn dialled(&self) -> bool {
        let SocketAddr::V4(at) = self.address else { unreachable!() };
        let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let mut rows = table.lines().map(|row| row.split_whitespace().skip(2).take(2).collect::<Vec<_>>());
        rows.any(|row| row == [remote.as_str(), "02"])
    }

    /// Lets them in: what the next one sends, up to its end or its first line.
    fn let_in(&self) -> String {
        drop(self.listener.accept().unwrap());
        self.listener.set_nonblocking(true).unwrap();
        let mut seen = String::new();
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                    let _ = BufReader::new(stream).read_line(&mut seen);
                    return seen;
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
        seen
    }
}

/// A balancer that knows this server alone, without probes, and waits long for connections and targets.
fn with_only(late: &Late, may_cancel: bool) -> Stand {
    let stand = Stand::with(1, |config| {
        changed(
            &config,
            &[
                ("limits/may-cancel", json!(may_cancel)),
                ("limits/probes", json!(false)),
                ("limits/dial-timeout", json!(5_000_000)),
                ("service-types/0/setup-target", json!(4_000_000)),
            ],
        )
    });
    stand.agent.tell("s-late", late.address, "Ready");
    stand.agent.tell("s-0", stand.toys[0].address, "Gone");
    // Its own word in the list comes with the other's end.
    soon("the new list", || stand.client("c=chat,d=60").line() != "UP 1");
    stand
}

/// A client that leaves while its connection to a server comes up: nothing is sent on, whatever the settings allow.
/// Without the look before the line is written, the server gets it a second after the client's leave.
#[test]
fn a_client_that_leaves_while_its_server_is_dialled_is_not_sent_on() {
    thread::scope(|scope| {
        for may_cancel in [false, true] {
            for leave in ["end", "reset", "end after more", "half"] {
                scope.spawn(move || {
                    let late = Late::new();
                    let stand = with_only(&late, may_cancel);
                    soon("nobody dialling", || !late.dialled());
                    let mut client = stand.client("c=chat,d=4500");
                    soon("a connection begun", || late.dialled());
                    let linger = |time| socket2::SockRef::from(&client.stream).set_linger(time).unwrap();
                    match leave {
                        "half" => client.stream.shutdown(Shutdown::Write).unwrap(),
                        "reset" => linger(Some(Duration::ZERO)),
                        "end after more" => client.send("hello\r\n"),
                        _ => {}
                    }
                    if leave == "half" {
                        assert_eq!(
                            (client.line(), client.line()),
                            ("ERR".into(), "end".into()),
                            "{may_cancel}"
                        );
                    }
                    drop(client);
                    thread::sleep(Duration::from_millis(300));
                    assert_eq!(late.let_in(), "", "{leave}, {may_cancel}: sent on for nobody");
                });
            }
        }
    });
}

/// What is done while the program stands still comes to it at one go.
fn at_one_go<T>(stand: &Stand, events: impl FnOnce() -> T) -> T {
    stand.signal("-STOP");
    let done = events();
    stand.signal("-CONT");
    done
}

/// A client's end that comes in one with its line rings no bell of its own. Without a look of its own it is waited for,
/// and sent on once a server is ready.
#[test]
fn a_client_whose_end_comes_with_its_line_is_not_waited_for() {
    let stand = Stand::with(1, |config| {
        changed(
            &config,
            &[("service-types/0/setup-target", json!(4_000_000)), ("limits/probes", json!(false))],
        )
    });
    stand.agent.tell("s-0", stand.toys[0].address, "Terminating");
    soon("no server", || stand.client("c=chat,d=60").line() != "UP 1");
    let since = Instant::now();
    // Taken in before, so that the line and the end are one event.
    let mut clients: Vec<Client> = (0..5).map(|_| Client::new(stand.at, b"PING\r\n")).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.line(), "PONG"));
    at_one_go(&stand, || {
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(&format!("OPEN e{i} k c=chat,d=4500\r\n"));
            client.stream.shutdown(Shutdown::Write).unwrap();
        }
    });
    for client in &mut clients {
        assert_eq!((client.line(), client.line()), ("ERR".into(), "end".into()));
    }
    assert!(since.elapsed() < Duration::from_millis(1500), "{:?}", since.elapsed());
    stand.agent.tell("s-0", stand.toys[0].address, "Ready");
    soon("the server", || stand.client("c=chat,d=900").says("UP 1"));
    let seen = stand.toys[0].seen();
    assert!(seen.iter().all(|line| !line.starts_with("OPEN e")), "{seen:?}");
}
