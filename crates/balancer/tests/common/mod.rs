//! Helpers that the tests of the real program share: it is started between toy servers, a toy
//! discovery agent and clients, all on loopback. Each wait is bounded.

// Each test program uses some of them.
#![allow(dead_code, unused_imports)]

mod balancer;
mod client;
pub mod draws;
pub mod faults;
mod late_server;
mod pending_connects;
pub mod recorder;
mod scripted_server;
#[path = "../../../../examples/toy.rs"]
pub mod toy;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub use balancer::TestBalancer;
pub use client::Client;
pub use late_server::LateServer;
pub use scripted_server::{AfterAnswer, server_that_says};

/// The configuration that the README's example starts with.
pub const EXAMPLE: &str = include_str!("../../../../examples/balancer.json");

/// The longest that [`wait_for`] waits.
const WAIT_MAX: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the configuration with some of its settings changed: each path as `a/b/0`, and what
/// stands there then; `null` removes it.
pub fn with_settings(config: &str, changes: &[(&str, Value)]) -> String {
    let mut value: Value = serde_json::from_str(config).unwrap();
    for (path, new) in changes {
        let (parent, key) = path
            .rsplit_once('/')
            .map_or((String::new(), *path), |(parent, key)| {
                (format!("/{parent}"), key)
            });
        match value["settings"].pointer_mut(&parent).unwrap() {
            Value::Array(list) => list[key.parse::<usize>().unwrap()] = new.clone(),
            parent if new.is_null() => drop(parent.as_object_mut().unwrap().remove(key)),
            parent => parent[key] = new.clone(),
        }
    }
    value.to_string()
}

/// The changes that give both traffic classes of the example this longest deadline.
pub fn deadline_settings(deadline_ms: u64) -> [(&'static str, Value); 2] {
    let limit = json!(deadline_ms * 1000);
    [
        ("service-types/0/hard-limit", limit.clone()),
        ("service-types/1/hard-limit", limit),
    ]
}

/// Waits until it holds.
///
/// # Panics
/// If it doesn't hold in 8 s.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_MAX;
    while !holds() {
        assert!(Instant::now() < until, "no {what} in time");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns an address that nothing else has. Guards against a port that was free a moment ago and
/// is then given to a client's end of another test's connection.
pub fn unused_address() -> SocketAddr {
    static ADDRESSES: AtomicU64 = AtomicU64::new(0);
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let run = 2 + std::process::id() % 250;
    format!("127.{run}.{}.{}:7000", 1 + number / 250, 1 + number % 250)
        .parse()
        .unwrap()
}
