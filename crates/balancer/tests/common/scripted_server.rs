//! Servers that answer every first line with a fixed text, and balancers with a single server or no
//! ready server.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::{TestBalancer, wait_for, with_settings};

/// What a server does with a connection after it has answered the first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BehaviorAfterAnswer {
    /// Shuts down its sending direction.
    ShutdownWrite,
    /// Leaves its sending direction open.
    KeepOpen,
}

/// How long a server waits for another line after its answer before it closes the connection.
const NEXT_LINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a server that answers each `OPEN` first line with this text. Returns its address.
pub fn start_fixed_answer_server(text: &'static str, then: BehaviorAfterAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            if lines
                .next()
                .is_none_or(|line| line.is_ok_and(|line| !line.starts_with("OPEN")))
            {
                continue;
            }
            let _ = (&stream).write_all(text.as_bytes());
            if then == BehaviorAfterAnswer::ShutdownWrite {
                let _ = stream.shutdown(Shutdown::Write);
            }
            stream.set_read_timeout(Some(NEXT_LINE_TIMEOUT)).unwrap();
            drop(lines.next());
        }
    });
    address
}

impl TestBalancer {
    /// Starts a balancer whose only server is this one, without health checks.
    pub fn with_only_server(address: SocketAddr) -> Self {
        let balancer = TestBalancer::with_config(1, |config| {
            with_settings(&config, &[("limits/probes", json!(false))])
        });
        // The removal is published first: once a client is served by the new server, the old one
        // has been removed.
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Gone");
        balancer.agent.publish("s-1", address, "Ready");
        let first_lines_of_removed_server = || balancer.servers[0].first_lines().len();
        wait_for("the new endpoint list", || {
            let before = first_lines_of_removed_server();
            balancer.client("c=chat,d=900").next_line_is("UP 1")
                && first_lines_of_removed_server() == before
        });
        balancer
    }

    /// Starts a balancer whose only server drains, without health checks. Clients of the first
    /// traffic class have a set-up target of 4 s, so they wait long for another server.
    pub fn with_draining_server_only() -> Self {
        let balancer = TestBalancer::with_config(1, |config| {
            with_settings(
                &config,
                &[
                    ("service-types/0/setup-target", json!(4_000_000)),
                    ("limits/probes", json!(false)),
                ],
            )
        });
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Terminating");
        balancer.wait_for_current_list();
        balancer
    }
}
