//! Discovery is down for 8 s, and what it tells at its return is that a server drains. Calls that
//! came while it was down get no answer. New work to the server has to stop after the grace.

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

const BALANCERS: usize = 8;
const SERVERS: usize = 4;
const OUTAGE: Duration = Duration::from_secs(8);
/// The grace of the settings, and 50 ms that the rules on sockets allow.
const GRACE: Duration = Duration::from_millis(400 + 50);
const WATCHED_FOR: Duration = Duration::from_secs(3);

pub fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let settings = settings::colombo().settings();
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    let mut agents = Vec::new();
    let mut balancers = Vec::new();
    for number in 0..BALANCERS {
        let agent = Agent::start(record);
        for server in &servers {
            agent.set(&server.name, server.address, "kelaniya", "Ready");
        }
        let name = format!("n{number}");
        let folder = folder.join(&name);
        balancers.push(Balancer::start(
            &name,
            folder,
            agent.address,
            &settings,
            ROOMY,
            record,
        ));
        agents.push(agent);
    }
    for balancer in &balancers {
        if !balancer.wait_until_it_serves("lift-status", 1800) {
            return Verdict::CouldNotRun("a balancer does not serve".into());
        }
    }
    thread::sleep(Duration::from_secs(3));

    for agent in &agents {
        if trouble {
            agent.go_down();
        }
    }
    thread::sleep(OUTAGE);
    let told_at = record.now();
    let draining = &servers[0];
    draining.set_behavior(Behavior::TurnsAway);
    for agent in &agents {
        agent.set(&draining.name, draining.address, "kelaniya", "Terminating");
        if trouble {
            agent.come_back();
        }
    }
    let mut clients: Vec<Client> = Vec::new();
    while record.now() < told_at + WATCHED_FOR {
        for balancer in &balancers {
            clients.push(Client::open(balancer.address, "lift-status", 1800, record));
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(1));
    let served = clients
        .iter()
        .filter(|client| client.status() == Status::Up)
        .count();
    if served == 0 {
        return Verdict::CouldNotRun("no client was served".into());
    }
    let last_allowed = told_at + GRACE;
    let late: Vec<_> = draining
        .received()
        .into_iter()
        .filter(|line| line.at > last_allowed)
        .collect();
    for line in &late {
        record.add(&format!(
            "late: {} came to {} {:.3} s after the return",
            line.id,
            draining.name,
            (line.at - told_at).as_secs_f64()
        ));
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
