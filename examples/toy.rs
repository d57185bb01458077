//! A toy deployment to try nettlemux with: a few servers and a discovery agent, all in one process
//! on loopback.
//!
//! `cargo run --example toy` starts three servers at 127.0.0.1:7101 to 7103 and discovery at
//! 127.0.0.1:7100. Lines on standard input change it, each a command and a server's port:
//!
//! | command | effect |
//! | --- | --- |
//! | `up 7101` | the server serves |
//! | `busy 7101`, `err 7101` | it answers `BUSY` or `ERR` to new clients |
//! | `silent 7101` | it reads and answers nothing |
//! | `cut 7101` | it closes connections without an answer |
//! | `load 7101 0.9` | it reports this load |
//! | `ready 7101`, `drain 7101`, `gone 7101` | discovery lists it as ready, as draining, or no longer |
//!
//! The tests of the program use the same servers and the same agent.

#[path = "toy/agent.rs"]
mod agent;
#[path = "toy/server.rs"]
mod server;

use std::collections::BTreeMap;
use std::io;

pub use agent::{AgentBehavior, DiscoveryAgent, RecordedCall};
use server::INITIAL_LOAD;
pub use server::{ServerBehavior, ToyServer};

/// Carries out one command from standard input.
fn execute(words: &[&str], port: &str, server: &ToyServer, agent: &DiscoveryAgent) {
    match words[0] {
        "up" => server.set_behavior(ServerBehavior::Serving),
        "busy" => server.set_behavior(ServerBehavior::Busy),
        "err" => server.set_behavior(ServerBehavior::Failing),
        "silent" => server.set_behavior(ServerBehavior::Silent),
        "cut" => server.set_behavior(ServerBehavior::Closing),
        "load" => {
            let load = words.get(2).and_then(|load| load.parse().ok());
            server.set_load(load.unwrap_or(INITIAL_LOAD));
        }
        "drain" => agent.publish(port, server.address, "Terminating"),
        "gone" => agent.publish(port, server.address, "Gone"),
        "ready" => agent.publish(port, server.address, "Ready"),
        other => println!("unknown command '{other}'"),
    }
}

fn main() -> io::Result<()> {
    let agent = DiscoveryAgent::start("127.0.0.1:7100")?;
    let mut servers = BTreeMap::new();
    for port in ["7101", "7102", "7103"] {
        let server = ToyServer::start(&format!("127.0.0.1:{port}"))?;
        agent.publish(port, server.address, "Ready");
        servers.insert(port, server);
    }
    println!(
        "discovery at {}, servers at ports 7101 to 7103",
        agent.address
    );
    for line in io::stdin().lines() {
        let line = line?;
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.get(1).and_then(|port| servers.get_key_value(port)) {
            Some((port, server)) => execute(&words, port, server, &agent),
            None => println!("a command and a port, for example: busy 7101"),
        }
    }
    Ok(())
}
