//! Open connections: lines and ends pass both ways unchanged, and clients are moved off servers
//! that are overloaded, drain or fall silent.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{AfterAnswer, Client, TestBalancer, server_that_says};

#[test]
fn lines_pass_both_ways_and_ends_are_passed_on_alike() {
    let balancer = TestBalancer::new(1);
    // Guards against lines that are taken for whole as they come: split and joined.
    let mut client = Client::new(balancer.address, b"OPEN 1 k c=ch");
    thread::sleep(Duration::from_millis(30));
    client.send("at,d=900,x=7\r\n");
    assert_eq!(client.read_line(), "UP 1");
    client.send("first\r\nsec");
    client.send("ond\r\n");
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ok first".into(), "ok second".into())
    );
    // The line is forwarded unchanged but for the time that the balancer waits.
    let seen = balancer.servers[0].first_lines().pop().unwrap();
    let wait = seen
        .strip_prefix("OPEN 1 k c=chat,d=")
        .and_then(|rest| rest.strip_suffix(",x=7"));
    let wait: u64 = wait.expect(&seen).parse().unwrap();
    assert!((700..900).contains(&wait), "{seen}");
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    // Half-closed by the client: what the server still has to say comes back.
    client.send("last\r\n");
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ok last".into(), "end".into())
    );
    // Ended by the server: within a second, and its last line is not lost.
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
fn a_reset_is_passed_on() {
    let balancer = TestBalancer::new(1);
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    // Closed with bytes unread: a reset. The server sees an end, not a connection that stays open.
    balancer.servers[0].send_to_all("unread\r\n");
    thread::sleep(Duration::from_millis(50));
    drop(client);
    let mut next = balancer.client("c=chat,d=900");
    assert_eq!(next.read_line(), "UP 1");
    next.assert_echo("others go on");
}

/// `UP` in one read with what follows it: all of it is passed on, in order, and the end with it.
#[test]
fn what_comes_in_one_read_with_up_is_passed_on() {
    for (text, then) in [
        ("UP 1\r\nBYE\r\n", AfterAnswer::EndSending),
        ("UP 1\r\nMOVE\r\n", AfterAnswer::EndSending),
        (
            "UP 1\r\nLOAD 7\r\nok x\r\nBYE inflight=1,util=0.2\r\n",
            AfterAnswer::EndSending,
        ),
        ("UP 1\r\n", AfterAnswer::EndSending),
        ("UP 1\r\nLOAD 7\r\nok x\r\n", AfterAnswer::KeepOpen),
    ] {
        let balancer = TestBalancer::with_only_server(server_that_says(text, then));
        let mut client = balancer.client("c=chat,d=900");
        for line in text.lines() {
            assert_eq!(client.read_line(), line, "{text:?}");
        }
        if then == AfterAnswer::EndSending {
            assert_eq!(client.read_line(), "end", "{text:?}");
        }
    }
}

/// A line that comes in pieces is passed on whole once its last piece is there, one that breaks off
/// as far as it came, and one that is longer than lines may be isn't kept back.
#[test]
fn lines_in_pieces_pass_unchanged() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let long = "x".repeat(6000);
    let (said, pieces) = channel::<String>();
    let expected = format!("ok whole\r\n{long}\r\nBY");
    for piece in ["UP 1\r\nok wh", "ole\r\n", &long, "\r\nBY"] {
        said.send(piece.into()).unwrap();
    }
    drop(said);
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
        "{} bytes: {:?}",
        rest.len(),
        &rest[..rest.len().min(40)]
    );
}

/// A server that has stopped in the middle of a line is no reason to close its client's connection
/// without `MOVE`: what has come of the line is kept until it is whole, so `MOVE` stands between
/// two lines. Both when the balancer ends and when the server falls silent.
#[test]
fn a_client_beside_half_a_line_is_told_to_move() {
    thread::scope(|scope| {
        for why in ["the end", "silence"] {
            scope.spawn(move || {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let address = listener.local_addr().unwrap();
                // It never ends a connection by itself.
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
                    "{why}"
                );
                match why {
                    "the end" => balancer.terminate(),
                    _ => client.send("hello\r\n"),
                }
                assert_eq!(
                    (client.read_line(), client.read_line()),
                    ("MOVE".into(), "end".into()),
                    "{why}"
                );
                drop(client);
                if why == "the end" {
                    assert!(balancer.process.wait().unwrap().success());
                }
            });
        }
    });
}

#[test]
fn an_overloaded_server_sheds_clients_between_two_lines() {
    let balancer = TestBalancer::new(1);
    let mut clients: Vec<Client> = (0..6).map(|_| balancer.client("c=chat,d=900")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    // Guards against `MOVE` inside a line: this server is in the middle of one as it is overloaded.
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
        "{moved} moved of 6, at twice what the server can do"
    );
}

#[test]
fn clients_are_told_before_their_server_goes() {
    let balancer = TestBalancer::new(2);
    let mut clients: Vec<Client> = (0..8).map(|_| balancer.client("c=chat,d=900")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    let on_first = balancer.servers[0].first_lines().len();
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    // By the time in which a replacement is warm.
    thread::sleep(Duration::from_millis(8500));
    let mut moved = 0;
    for client in &mut clients {
        client.send("still there\r\n");
        moved += usize::from(client.read_line() == "MOVE");
    }
    // One or two of those that the first server has seen came before the eight.
    assert!(
        moved > 0 && moved <= on_first && on_first <= moved + 2,
        "{moved} of {on_first}"
    );
}

#[test]
fn a_silent_server_loses_its_clients_by_a_move() {
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

#[test]
fn an_alarm_that_cannot_be_acted_on_does_not_keep_the_core_busy() {
    let balancer = TestBalancer::new(1);
    let mut client = balancer.client("c=chat,d=900");
    assert_eq!(client.read_line(), "UP 1");
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    // Sent and half-closed: the line's silence is noticed while there is no client to move any
    // more. The server goes on holding its side, as a machine that has vanished does.
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
        "{ticks} hundredths of a second of CPU in six seconds of nothing"
    );
}
