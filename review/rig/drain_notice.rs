//! A server drains and then stops. Its clients have to be told to move before.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::agent::Agent;
use crate::balancer::{Balancer, ROOMY};
use crate::client::{Client, Status};
use crate::record::Record;
use crate::server::{Behavior, Server};
use crate::settings;

const CLIENTS: usize = 24;
/// How long the server drains.
const DRAIN_TIME: Duration = Duration::from_millis(5300);

pub fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let agent = Agent::start(record);
    let servers: Vec<_> = (0..4)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    for server in &servers {
        agent.set(&server.name, server.address, "kelaniya", "Ready");
    }
    let settings = settings::colombo().settings();
    let folder = folder.join("n0");
    let balancer = Balancer::start("n0", folder, agent.address, &settings, ROOMY, record);
    if !balancer.wait_until_it_serves("lift-status", 1800) {
        return Verdict::CouldNotRun("the balancer does not serve".into());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let client = Client::open(balancer.address, "lift-status", 1800, record);
            client.wait_for_answer(Duration::from_secs(3));
            client
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let draining = &servers[0];
    let held: Vec<_> = clients
        .iter()
        .filter(|client| {
            let here = draining.received().iter().any(|line| line.id == client.id);
            here && client.status() == Status::Up
        })
        .collect();
    if held.is_empty() {
        return Verdict::CouldNotRun("the server holds no client".into());
    }
    if trouble {
        agent.set(&draining.name, draining.address, "kelaniya", "Terminating");
        draining.set_behavior(Behavior::TurnsAway);
        thread::sleep(DRAIN_TIME);
        draining.stop();
        agent.set(&draining.name, draining.address, "kelaniya", "Gone");
    }
    thread::sleep(Duration::from_secs(1));
    let cut = held
        .iter()
        .filter(|client| client.status() == Status::CutOff)
        .count();
    record.add(&format!(
        "of {} clients {cut} were cut off without MOVE",
        held.len()
    ));
    if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
