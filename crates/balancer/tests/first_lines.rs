//! Clients before they are served: malformed and overlong first lines, and clients that send
//! nothing, send too much or end their stream.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, TestBalancer};

/// Guards against a built-in limit that fails clients whose deadline is minutes away, although no
/// setting limits it.
#[test]
fn client_with_a_deadline_of_minutes_is_served_if_the_settings_have_no_limit() {
    let balancer = TestBalancer::new(1);
    for wait_ms in [60_000, 60_001, 120_000, 3_599_999] {
        let mut client = balancer.client(&format!("c=chat,d={wait_ms}"));
        assert_eq!(client.read_line(), "UP 1", "deadline of {wait_ms} ms");
    }
}

#[test]
fn malformed_first_line_gets_err_and_the_connection_is_closed() {
    let balancer = TestBalancer::new(1);
    let overlong = [
        b"OPEN 1 k c=chat,d=900,x=".as_slice(),
        &[b'x'; 5000],
        b"\r\n",
    ]
    .concat();
    let mut served = Client::connect_and_send(balancer.address, b"OPEN aa k c=chat,d=900\r\n");
    assert_eq!(served.read_line(), "UP 1");
    for bad in [
        &b"HELLO\r\n"[..],
        b"OPEN\r\n",
        b"OPEN 1 k c=none,d=9\r\n",
        // A longer deadline than any client of the class may have.
        b"OPEN 1 k c=chat,d=3600000\r\n",
        b"OPEN 1 k c=chat,d=0\r\n",
        b"\xff\xfe\r\n",
        &overlong,
        // The id of another client that is still open; several commands at once (see also the
        // `PING`s below).
        b"OPEN aa k c=chat,d=900\r\n",
        b"OPEN 1 k c=chat,d=900\r\nOPEN 2 k c=chat,d=900\r\n",
    ] {
        let mut client = Client::connect_and_send(balancer.address, bad);
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("ERR".into(), "end".into()),
            "expected ERR, then the end of the stream, for {:?}",
            &bad[..bad.len().min(30)]
        );
    }
    // None of these lines was forwarded to a server, and the client that is served is unaffected.
    assert_eq!(
        balancer.servers[0]
            .first_lines()
            .iter()
            .filter(|line| !line.contains(" 7f3a "))
            .count(),
        1
    );
    served.assert_echo("still there");
    let mut flood = Client::connect_and_send(balancer.address, &b"PING\r\n".repeat(300));
    assert!(
        (0..20).map(|_| flood.read_line()).any(|line| line == "ERR"),
        "expected ERR after hundreds of commands at once"
    );
    let mut split = Client::connect_and_send(balancer.address, b"PING\r\nPI");
    assert_eq!(split.read_line(), "PONG");
    split.send("NG\r\n");
    assert_eq!(split.read_line(), "PONG");
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
}

#[test]
fn client_that_sends_further_lines_before_it_is_served_gets_err() {
    let balancer = TestBalancer::new(1);
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let mut client = balancer.client("c=chat,d=900");
    thread::sleep(Duration::from_millis(50));
    client.send(&"OPEN 2 k c=chat,d=900\r\n".repeat(200));
    let since = Instant::now();
    thread::sleep(Duration::from_millis(200));
    // The lines sent are still unread by the balancer. The client must see the answer and the end
    // of the stream before the reset.
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ERR".into(), "end".into())
    );
    assert!(since.elapsed() < Duration::from_millis(500));
}

/// Guards against silent connections that hold all descriptors so that other clients find none
/// left, and against a balancer that reads an endless first line (60 MB) to its end.
#[test]
fn clients_are_served_in_time_beside_silent_clients_and_endless_first_lines() {
    let balancer = TestBalancer::with_config(1, |config| {
        config.replace("\"sockets\": 1024", "\"sockets\": 256")
    });
    let since = Instant::now();
    let mut silent: Vec<Client> = (0..300)
        .map(|_| Client::connect_and_send(balancer.address, b""))
        .collect();
    let mut incomplete = Client::connect_and_send(balancer.address, b"OPEN 1 k c=ch");
    let endless: Vec<_> = (0..4)
        .map(|_| {
            let mut client =
                Client::connect_and_send(balancer.address, b"OPEN 1 k c=chat,d=900,x=");
            let mut out = client.stream.try_clone().unwrap();
            let answer = thread::spawn(move || client.read_line());
            (
                thread::spawn(move || out.write_all(&vec![b'1'; 60 << 20])),
                answer,
            )
        })
        .collect();
    for _ in 0..20 {
        let since = Instant::now();
        assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
        assert!(
            since.elapsed() < Duration::from_millis(800),
            "expected UP 1 within 0.8 s, took {:?}",
            since.elapsed()
        );
    }
    for client in silent.iter_mut().chain([&mut incomplete]) {
        assert!(["BUSY", "end", "reset"].contains(&client.read_line().as_str()));
    }
    assert!(
        since.elapsed() < Duration::from_secs(3),
        "expected all silent clients to be answered or closed within 3 s, took {:?}",
        since.elapsed()
    );
    for (sent, answer) in endless {
        assert_eq!(answer.join().unwrap(), "ERR");
        assert!(
            sent.join().unwrap().is_err(),
            "expected the balancer not to read 60 MB"
        );
    }
    assert!(since.elapsed() < Duration::from_secs(5));
}

#[test]
fn client_that_half_closes_before_it_is_served_gets_err() {
    let balancer = TestBalancer::new(1);
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let mut client = balancer.client("c=order,d=900");
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ERR".into(), "end".into())
    );
}

/// Guards against closing a connection while a line is unread that arrived as `BUSY` was sent. Such
/// a close resets the connection, and the reset discards the answer.
#[test]
fn rejected_client_reads_its_answer_if_its_line_arrives_during_the_rejection() {
    let balancer = TestBalancer::new(1);
    let mut idle = TcpStream::connect(balancer.address).unwrap();
    idle.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    // The answer has arrived; `peek` leaves it unread.
    assert!(idle.peek(&mut [0; 8]).unwrap() > 0);
    idle.write_all(b"OPEN 9b1f03aa5c7e2d41 7f3a c=chat,d=900\r\n")
        .unwrap();
    // A reset would have arrived by now, and the next write would fail.
    thread::sleep(Duration::from_millis(100));
    idle.write_all(b"hello\r\n")
        .expect("the connection is not reset");
    idle.shutdown(Shutdown::Write)
        .expect("the connection is not reset");
    let mut answer = String::new();
    BufReader::new(idle)
        .read_to_string(&mut answer)
        .expect("the connection is not reset");
    assert_eq!(
        answer, "BUSY\r\n",
        "expected one answer and nothing after it"
    );
    assert!(
        !balancer.servers[0]
            .first_lines()
            .iter()
            .any(|line| line.contains("9b1f03aa5c7e2d41")),
        "expected the line not to be forwarded"
    );
}

/// A client sends further data before it is served. It must get its answer, however much it has
/// sent: unread data must not reset the connection, which would discard the answer.
#[test]
fn client_that_sends_up_to_60_kb_before_it_is_served_reads_its_answer() {
    let balancer = TestBalancer::with_draining_server_only();
    for size in [300, 20_000, 60_000] {
        let mut client = balancer.client("c=chat,d=3000");
        thread::sleep(Duration::from_millis(150));
        client.send(&"x".repeat(size));
        thread::sleep(Duration::from_millis(100));
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("ERR".into(), "end".into()),
            "expected ERR, then the end of the stream, after {size} bytes"
        );
    }
}
