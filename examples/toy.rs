//! A toy deployment for trying out nettlemux: three servers and a discovery agent, all in one
//! process on the loopback interface.
//!
//! `cargo run --example toy` starts the servers at 127.0.0.1:7101 to 7103 and the agent at
//! 127.0.0.1:7100. Each line on standard input is a command that changes the deployment: a word, a
//! server's port and, for `load`, a value:
//!
//! | command | effect |
//! | --- | --- |
//! | `up 7101` | the server serves clients |
//! | `busy 7101`, `err 7101` | it answers each line of a client with `BUSY` or `ERR` |
//! | `silent 7101` | it reads lines and answers none, not even health checks |
//! | `cut 7101` | it closes a connection when it receives a client's line, without an answer |
//! | `load 7101 0.9` | it reports this load in health checks |
//! | `ready 7101`, `drain 7101`, `gone 7101` | the agent lists it as ready or draining, or no longer lists it |
//!
//! The tests of the `nettlemux` program use the same servers and the same agent.

#[path = "toy/agent.rs"]
mod agent;
#[path = "toy/server.rs"]
mod server;

use std::collections::BTreeMap;
use std::io;

pub use agent::{AgentBehavior, DiscoveryAgent, RecordedCall};
use server::INITIAL_LOAD;
pub use server::{ServerBehavior, ToyServer};

/// Executes one command from standard input.
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
        "discovery agent at {}, servers at ports 7101 to 7103",
        agent.address
    );
    for line in io::stdin().lines() {
        let line = line?;
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.get(1).and_then(|port| servers.get_key_value(port)) {
            Some((port, server)) => execute(&words, port, server, &agent),
            None => println!("expected a command and a server's port, for example: busy 7101"),
        }
    }
    Ok(())
}
