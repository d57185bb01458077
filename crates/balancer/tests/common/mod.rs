//! Shared helpers for tests that run the real program. It runs on loopback together with toy
//! servers, a toy discovery agent and clients. Every wait has a time limit.

// Each test target uses only some of the helpers.
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
pub use late_server::DelayedAcceptServer;
pub use scripted_server::{BehaviorAfterAnswer, start_fixed_answer_server};

/// The configuration of the README's example.
pub const EXAMPLE: &str = include_str!("../../../../examples/balancer.json");

/// How long [`wait_for`] waits at most.
const WAIT_MAX: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the configuration with some of its settings changed. Each change is a path such as
/// `a/b/0` and its new value; `null` removes the setting.
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

/// Returns the settings changes that give both traffic classes of the example this maximum
/// deadline.
pub fn deadline_settings(deadline_ms: u64) -> [(&'static str, Value); 2] {
    let limit = json!(deadline_ms * 1000);
    [
        ("service-types/0/hard-limit", limit.clone()),
        ("service-types/1/hard-limit", limit),
    ]
}

/// Waits until the condition holds; `what` names the awaited event in the panic message.
///
/// # Panics
/// If the condition does not hold within 8 s.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_MAX;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a loopback address that nothing else uses. A port that is free now could be assigned to
/// the client end of another test's connection a moment later, so each call returns its own IP
/// address.
pub fn unused_address() -> SocketAddr {
    static ADDRESSES: AtomicU64 = AtomicU64::new(0);
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let run = 2 + std::process::id() % 250;
    format!("127.{run}.{}.{}:7000", 1 + number / 250, 1 + number % 250)
        .parse()
        .unwrap()
}
