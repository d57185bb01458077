//! A new configuration moves discovery to an address that takes a second for each answer, and a
//! server begins to drain. New work to it has to stop 4 s after SIGHUP and the grace.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::agent::Agent;
use crate::balancer::{Balancer, ROOMY};
use crate::client::Client;
use crate::record::Record;
use crate::server::{Behavior, Server};
use crate::settings;

/// How long each answer of the new discovery takes.
const ANSWER_TIME: Duration = Duration::from_secs(1);
const TOLD_AFTER: Duration = Duration::from_secs(4);
/// The grace of the settings, and 50 ms that the rules on sockets allow.
const GRACE: Duration = Duration::from_millis(400 + 50);
const WATCHED_FOR: Duration = Duration::from_secs(20);

pub fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let before = Agent::start(record);
    let after = Agent::start(record);
    let servers: Vec<_> = (0..4)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    for server in &servers {
        before.set(&server.name, server.address, "kelaniya", "Ready");
        after.set(&server.name, server.address, "kelaniya", "Ready");
    }
    let settings = settings::colombo().settings();
    let folder = folder.join("n0");
    let balancer = Balancer::start("n0", folder, before.address, &settings, ROOMY, record);
    if !balancer.wait_until_it_serves("lift-status", 1800) {
        return Verdict::CouldNotRun("the balancer does not serve".into());
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        after.set_delay(ANSWER_TIME);
    }
    let draining = &servers[0];
    draining.set_behavior(Behavior::TurnsAway);
    let told_at = record.now();
    balancer.change(after.address, &settings);
    after.set(&draining.name, draining.address, "kelaniya", "Terminating");
    thread::sleep(Duration::from_millis(1500));
    before.silence_open_watches();
    let mut clients = Vec::new();
    while record.now() < told_at + WATCHED_FOR {
        clients.push(Client::open(balancer.address, "lift-status", 1800, record));
        thread::sleep(Duration::from_millis(100));
    }
    let late = draining.received();
    let late = late
        .iter()
        .filter(|line| line.at > told_at + TOLD_AFTER + GRACE);
    let late: Vec<_> = late.collect();
    for line in &late {
        let after = (line.at - told_at).as_secs_f64();
        record.add(&format!("late: {} came {after:.3} s after SIGHUP", line.id));
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
