//! Clients that keep the balancer busy, and what other clients see of it: their answers must stay in
//! time, and memory within its limit.

mod common;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::TestBalancer;

/// Guards against clients that wait behind connections that others have opened, while the balancer
/// pauses between the connections that it accepts.
#[test]
fn client_behind_a_burst_of_connections_is_answered_within_300_ms() {
    const BURST: usize = 1300;
    const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
    let balancer = TestBalancer::new(1);
    let mut client = balancer.while_stopped(|| {
        for _ in 0..BURST {
            drop(TcpStream::connect(balancer.address).unwrap());
        }
        balancer.client("c=chat,d=900")
    });
    let since = Instant::now();
    assert_eq!(client.read_line(), "UP 1");
    let took = since.elapsed();
    assert!(took < ANSWER_TIMEOUT, "answered after {took:?}");
}
