//! Servers that answer first lines with a fixed text, and balancers that know one server or none.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::{TestBalancer, wait_for, with_settings};

/// What a server does once it has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// Ends its sending.
    EndSending,
    KeepOpen,
}

/// How long a server that has answered waits for a further line before it closes the connection.
const NEXT_LINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a server that answers each first line with this text, and returns its address.
pub fn server_that_says(text: &'static str, then: AfterAnswer) -> SocketAddr {
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
            if then == AfterAnswer::EndSending {
                let _ = stream.shutdown(Shutdown::Write);
            }
            stream.set_read_timeout(Some(NEXT_LINE_TIMEOUT)).unwrap();
            drop(lines.next());
        }
    });
    address
}

impl TestBalancer {
    /// Starts one that knows this server alone, without health checks.
    pub fn with_only_server(address: SocketAddr) -> Self {
        let balancer = TestBalancer::with_config(1, |config| {
            with_settings(&config, &[("limits/probes", json!(false))])
        });
        // In this order: who is served by the second is so once the first is gone.
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Gone");
        balancer.agent.publish("s-1", address, "Ready");
        let seen = || balancer.servers[0].first_lines().len();
        wait_for("the new list", || {
            let before = seen();
            balancer.client("c=chat,d=900").receives("UP 1") && seen() == before
        });
        balancer
    }

    /// Starts one whose only server drains, without health checks; clients wait long for another
    /// server.
    pub fn without_ready_servers() -> Self {
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
        wait_for("no server", || {
            balancer.client("c=chat,d=60").read_line() != "UP 1"
        });
        balancer
    }
}
