//! Clients before they are served: malformed and overlong first lines, clients that send nothing,
//! too much or their end.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, TestBalancer};

/// Guards against a client that fails since it would wait for minutes, which no setting forbids.
#[test]
fn clients_may_wait_for_minutes_where_the_settings_have_no_limit() {
    let balancer = TestBalancer::new(1);
    for wait_ms in [60_000, 60_001, 120_000, 3_599_999] {
        let mut client = balancer.client(&format!("c=chat,d={wait_ms}"));
        assert_eq!(client.read_line(), "UP 1", "{wait_ms}");
    }
}

#[test]
fn what_is_no_first_line_is_answered_and_ended() {
    let balancer = TestBalancer::new(1);
    let overlong = [
        b"OPEN 1 k c=chat,d=900,x=".as_slice(),
        &[b'x'; 5000],
        b"\r\n",
    ]
    .concat();
    let mut served = Client::new(balancer.address, b"OPEN aa k c=chat,d=900\r\n");
    assert_eq!(served.read_line(), "UP 1");
    for bad in [
        &b"HELLO\r\n"[..],
        b"OPEN\r\n",
        b"OPEN 1 k c=none,d=9\r\n",
        // More than any client of the class waits.
        b"OPEN 1 k c=chat,d=3600000\r\n",
        b"OPEN 1 k c=chat,d=0\r\n",
        b"\xff\xfe\r\n",
        &overlong,
        // Another client's id while that is open; many commands at once, also as questions.
        b"OPEN aa k c=chat,d=900\r\n",
        b"OPEN 1 k c=chat,d=900\r\nOPEN 2 k c=chat,d=900\r\n",
    ] {
        let mut client = Client::new(balancer.address, bad);
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("ERR".into(), "end".into()),
            "{:?}",
            &bad[..bad.len().min(30)]
        );
    }
    // None of them has come to a server, and the one that is served hasn't noticed.
    assert_eq!(
        balancer.servers[0]
            .first_lines()
            .iter()
            .filter(|line| !line.contains(" 7f3a "))
            .count(),
        1
    );
    served.assert_echo("still there");
    let mut flood = Client::new(balancer.address, &b"PING\r\n".repeat(300));
    assert!(
        (0..20).map(|_| flood.read_line()).any(|line| line == "ERR"),
        "hundreds of commands at once"
    );
    let mut front = Client::new(balancer.address, b"PING\r\nPI");
    assert_eq!(front.read_line(), "PONG");
    front.send("NG\r\n");
    assert_eq!(front.read_line(), "PONG");
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
}

#[test]
fn a_client_that_goes_on_before_it_is_served_is_rejected() {
    let balancer = TestBalancer::new(1);
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let mut client = balancer.client("c=chat,d=900");
    thread::sleep(Duration::from_millis(50));
    client.send(&"OPEN 2 k c=chat,d=900\r\n".repeat(200));
    let since = Instant::now();
    thread::sleep(Duration::from_millis(200));
    // What it sent is still unread: the end comes before the reset, so the answer holds.
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ERR".into(), "end".into())
    );
    assert!(since.elapsed() < Duration::from_millis(500));
}

/// Guards against silent connections that hold all descriptors, clients who find none left, and 60
/// MB that are read to their end.
#[test]
fn silent_and_endless_clients_keep_nobody_out() {
    let balancer = TestBalancer::with_config(1, |config| {
        config.replace("\"sockets\": 1024", "\"sockets\": 256")
    });
    let since = Instant::now();
    let mut silent: Vec<Client> = (0..300)
        .map(|_| Client::new(balancer.address, b""))
        .collect();
    let mut half = Client::new(balancer.address, b"OPEN 1 k c=ch");
    let endless: Vec<_> = (0..4)
        .map(|_| {
            let mut client = Client::new(balancer.address, b"OPEN 1 k c=chat,d=900,x=");
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
            "{:?}",
            since.elapsed()
        );
    }
    for client in silent.iter_mut().chain([&mut half]) {
        assert!(["BUSY", "end", "reset"].contains(&client.read_line().as_str()));
    }
    assert!(
        since.elapsed() < Duration::from_secs(3),
        "{:?}",
        since.elapsed()
    );
    for (sent, answer) in endless {
        assert_eq!(answer.join().unwrap(), "ERR");
        assert!(sent.join().unwrap().is_err(), "nobody reads 60 MB");
    }
    assert!(since.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_client_that_ends_its_sending_is_answered() {
    let balancer = TestBalancer::new(1);
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let mut client = balancer.client("c=order,d=900");
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ERR".into(), "end".into())
    );
}

/// Guards against a close over a line that comes in the moment of `BUSY`: the reset takes the
/// answer with it.
#[test]
fn a_line_that_comes_as_its_client_is_rejected_does_not_reset_the_answer() {
    let balancer = TestBalancer::new(1);
    let mut resting = TcpStream::connect(balancer.address).unwrap();
    resting
        .set_read_timeout(Some(Duration::from_secs(4)))
        .unwrap();
    // Its answer has come, and isn't read yet.
    assert!(resting.peek(&mut [0; 8]).unwrap() > 0);
    resting
        .write_all(b"OPEN 9b1f03aa5c7e2d41 7f3a c=chat,d=900\r\n")
        .unwrap();
    // A reset would have come by now, and this would meet it.
    thread::sleep(Duration::from_millis(100));
    resting.write_all(b"hello\r\n").expect("no reset");
    resting.shutdown(Shutdown::Write).expect("no reset");
    let mut answer = String::new();
    BufReader::new(resting)
        .read_to_string(&mut answer)
        .expect("no reset");
    assert_eq!(answer, "BUSY\r\n", "one answer, and nothing after it");
    assert!(
        !balancer.servers[0]
            .first_lines()
            .iter()
            .any(|line| line.contains("9b1f03aa5c7e2d41")),
        "never forwarded"
    );
}

/// A client that sends more before it is served gets its answer, however much it has sent: what is
/// unread must not reset the connection and take the answer along.
#[test]
fn a_client_that_sends_much_before_it_is_served_reads_its_answer() {
    let balancer = TestBalancer::without_ready_servers();
    for size in [300, 20_000, 60_000] {
        let mut client = balancer.client("c=chat,d=3000");
        thread::sleep(Duration::from_millis(150));
        client.send(&"x".repeat(size));
        thread::sleep(Duration::from_millis(100));
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("ERR".into(), "end".into()),
            "{size}"
        );
    }
}
