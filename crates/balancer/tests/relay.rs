//! Open connections: lines and ends of streams are forwarded unchanged in both directions, and
//! clients are migrated off servers that are overloaded, drain or stop responding.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{BehaviorAfterAnswer, Client, TestBalancer, start_fixed_answer_server};

#[test]
fn lines_and_ends_of_streams_are_forwarded_in_both_directions() {
    let balancer = TestBalancer::new(1);
    // Guards against treating the bytes of one read as one line: lines arrive split and joined.
    let mut client = Client::connect_and_send(balancer.address, b"OPEN 1 k c=ch");
    thread::sleep(Duration::from_millis(30));
    client.send("at,d=900,x=7\r\n");
    assert_eq!(client.read_line(), "UP 1");
    client.send("first\r\nsec");
    client.send("ond\r\n");
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ok first".into(), "ok second".into())
    );
    // The first line is forwarded unchanged, except that `d` is reduced by the time spent in the
    // balancer.
    let seen = balancer.servers[0].first_lines().pop().unwrap();
    let wait = seen
        .strip_prefix("OPEN 1 k c=chat,d=")
        .and_then(|rest| rest.strip_suffix(",x=7"));
    let wait: u64 = wait.expect(&seen).parse().unwrap();
    assert!((700..900).contains(&wait), "{seen}");
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    // Half-closed by the client: the lines that the server still sends are forwarded.
    client.send("last\r\n");
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ok last".into(), "end".into())
    );
    // Closed by the server: forwarded within a second, and its last line is not lost.
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    let since = Instant::now();
    balancer.servers[0].send_and_close("BYE\r\n");
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("BYE".into(), "end".into())
    );
    assert!(since.elapsed() < Duration::from_secs(1));
}

#[test]
fn reset_by_a_client_leaves_other_connections_to_the_server_working() {
    let balancer = TestBalancer::new(1);
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    // A close with unread bytes is a reset. The server sees the end of the stream instead of a
    // connection that stays open.
    balancer.servers[0].send_to_all("unread\r\n");
    thread::sleep(Duration::from_millis(50));
    drop(client);
    let mut next = balancer.client("c=chat,d=900");
    assert_eq!(next.read_line(), "UP 1");
    next.assert_echo("others go on");
}

/// `UP` arrives in one read with the lines after it. All of them must be forwarded in order, and so
/// must the end of the stream.
#[test]
fn lines_that_arrive_in_one_read_with_up_are_forwarded_in_order() {
    for (text, then) in [
        ("UP 1\r\nBYE\r\n", BehaviorAfterAnswer::ShutdownWrite),
        ("UP 1\r\nMOVE\r\n", BehaviorAfterAnswer::ShutdownWrite),
        (
            "UP 1\r\nLOAD 7\r\nok x\r\nBYE inflight=1,util=0.2\r\n",
            BehaviorAfterAnswer::ShutdownWrite,
        ),
        ("UP 1\r\n", BehaviorAfterAnswer::ShutdownWrite),
        ("UP 1\r\nLOAD 7\r\nok x\r\n", BehaviorAfterAnswer::KeepOpen),
    ] {
        let balancer = TestBalancer::with_only_server(start_fixed_answer_server(text, then));
        let mut client = balancer.client("c=chat,d=900");
        for line in text.lines() {
            assert_eq!(
                client.read_line(),
                line,
                "expected the lines and the end that the server sent: {text:?}"
            );
        }
        if then == BehaviorAfterAnswer::ShutdownWrite {
            assert_eq!(
                client.read_line(),
                "end",
                "expected the lines and the end that the server sent: {text:?}"
            );
        }
    }
}

/// A line that arrives in pieces must be forwarded whole once its last piece is there. A line that
/// breaks off must be forwarded as far as it arrived, and one that is longer than the line limit
/// must not be held back.
#[test]
fn lines_that_arrive_in_pieces_are_forwarded_unchanged() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let long = "x".repeat(6000);
    let (sender, pieces) = channel::<String>();
    let expected = format!("ok whole\r\n{long}\r\nBY");
    for piece in ["UP 1\r\nok wh", "ole\r\n", &long, "\r\nBY"] {
        sender.send(piece.into()).unwrap();
    }
    drop(sender);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut line = String::new();
            if BufReader::new(&stream)
                .read_line(&mut line)
                .is_ok_and(|_| line.contains("c=order"))
            {
                for piece in &pieces {
                    (&stream).write_all(piece.as_bytes()).unwrap();
                    thread::sleep(Duration::from_millis(100));
                }
                return;
            }
            let _ = (&stream).write_all(b"UP 1\r\n");
        }
    });
    let balancer = TestBalancer::with_only_server(address);
    let mut client = balancer.client("c=order,d=900");
    assert_eq!(client.read_line(), "UP 1");
    let mut rest = String::new();
    client.reader.read_to_string(&mut rest).unwrap();
    assert!(
        rest == expected,
        "expected the server's bytes unchanged, got {} bytes: {:?}",
        rest.len(),
        &rest[..rest.len().min(40)]
    );
}

/// A server has stopped in the middle of a line. Its client must still get `MOVE` before its
/// connection is closed, both when the balancer shuts down and when the server stops responding.
/// The balancer holds back an incomplete line, so `MOVE` stands between two lines.
#[test]
fn client_gets_move_although_its_server_has_sent_half_a_line() {
    thread::scope(|scope| {
        for cause in ["shutdown", "unresponsive server"] {
            scope.spawn(move || {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let address = listener.local_addr().unwrap();
                // This server never closes a connection.
                thread::spawn(move || {
                    let mut open = Vec::new();
                    for mut stream in listener.incoming().flatten() {
                        let _ = stream.write_all(b"UP 1\r\nok one\r\nok tw");
                        open.push(stream);
                    }
                });
                let mut balancer = TestBalancer::with_only_server(address);
                let mut client = balancer.client("c=chat,d=900");
                assert_eq!(
                    (client.read_line(), client.read_line()),
                    ("UP 1".into(), "ok one".into()),
                    "{cause}: expected UP 1 and the one complete line"
                );
                match cause {
                    "shutdown" => balancer.terminate(),
                    _ => client.send("hello\r\n"),
                }
                assert_eq!(
                    (client.read_line(), client.read_line()),
                    ("MOVE".into(), "end".into()),
                    "{cause}: expected MOVE, then the end of the stream"
                );
                drop(client);
                if cause == "shutdown" {
                    assert!(balancer.process.wait().unwrap().success());
                }
            });
        }
    });
}

#[test]
fn some_clients_of_an_overloaded_server_get_move_between_two_lines() {
    let balancer = TestBalancer::new(1);
    let mut clients: Vec<Client> = (0..6).map(|_| balancer.client("c=chat,d=900")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    // Guards against `MOVE` inside a line: the server becomes overloaded in the middle of one.
    balancer.servers[0].send_to_all("half a ");
    balancer.servers[0].set_load(2.0);
    thread::sleep(Duration::from_millis(5000));
    balancer.servers[0].send_to_all("line\r\n");
    let mut moved = 0;
    for client in &mut clients {
        assert_eq!(client.read_line(), "half a line");
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        moved += usize::from(client.read_line() == "MOVE");
    }
    assert!(
        (1..6).contains(&moved),
        "expected 1 to 5 of 6 clients to get MOVE at twice the server's capacity, found {moved}"
    );
}

#[test]
fn clients_get_move_before_their_draining_server_ends() {
    let balancer = TestBalancer::new(2);
    let mut clients: Vec<Client> = (0..8).map(|_| balancer.client("c=chat,d=900")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    let on_first = balancer.servers[0].first_lines().len();
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    // Within this time a replacement server has warmed up.
    thread::sleep(Duration::from_millis(8500));
    let mut moved = 0;
    for client in &mut clients {
        client.send("still there\r\n");
        moved += usize::from(client.read_line() == "MOVE");
    }
    // One or two of the first server's clients connected before the eight.
    assert!(
        moved > 0 && moved <= on_first && on_first <= moved + 2,
        "expected MOVE for the clients of the draining server: {moved} of {on_first}"
    );
}

#[test]
fn client_of_an_unresponsive_server_gets_move() {
    let balancer = TestBalancer::new(1);
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    client.assert_echo("are you there");
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let since = Instant::now();
    client.send("and now\r\n");
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("MOVE".into(), "end".into())
    );
    assert!((Duration::from_secs(3)..Duration::from_secs(7)).contains(&since.elapsed()));
}

/// Guards against a balancer that spins because the response timeout of a flow fires and no client
/// is left to be migrated.
#[test]
fn response_timeout_after_the_client_half_closed_does_not_keep_the_cpu_busy() {
    let balancer = TestBalancer::new(1);
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    // The client sends a line and half-closes. The missing answer is noticed when there is no
    // client to migrate any more. The server keeps its side open, as a machine that has vanished
    // does.
    client.send("anyone\r\n");
    thread::sleep(Duration::from_millis(2500));
    client.stream.shutdown(Shutdown::Write).unwrap();
    thread::sleep(Duration::from_millis(3500));
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", balancer.process.id())).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    assert!(
        ticks < 50,
        "expected less than 0.5 s of CPU time in six seconds without traffic, \
         found {ticks} hundredths of a second"
    );
}
