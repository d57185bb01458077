//! The open watches fall silent, a server begins to drain, and discovery turns each balancer's next
//! call away. New work to the server has to stop 6 s after the silence and the grace.

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

const BALANCERS: usize = 12;
const SERVERS: usize = 4;
/// How long discovery lets a call wait before it turns it away.
const QUEUE_TIME: Duration = Duration::from_secs(2);
/// What a silent watch misses counts as told this long after it fell silent.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The grace of the settings, and 50 ms that the rules on sockets allow.
const GRACE: Duration = Duration::from_millis(400 + 50);
/// Clients come from shortly before the grace ends.
const CLIENTS_FROM: Duration = Duration::from_millis(6300);
const CLIENTS_UNTIL: Duration = Duration::from_millis(9500);

pub fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let settings = settings::deneyevi().settings();
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| Server::start(&format!("s-{number}"), record))
        .collect();
    let mut agents = Vec::new();
    let mut balancers = Vec::new();
    for number in 0..BALANCERS {
        let agent = Agent::start(record);
        for server in &servers {
            agent.set(&server.name, server.address, "ist-1", "Ready");
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
        if !balancer.wait_until_it_serves("practice", 3200) {
            return Verdict::CouldNotRun("a balancer does not serve".into());
        }
    }
    thread::sleep(Duration::from_secs(3));

    let silent_at = record.now();
    if trouble {
        for agent in &agents {
            agent.turn_away(1, QUEUE_TIME);
            agent.silence_open_watches();
        }
    }
    thread::sleep(Duration::from_millis(200));
    let draining = &servers[0];
    draining.set_behavior(Behavior::TurnsAway);
    for agent in &agents {
        agent.set(&draining.name, draining.address, "ist-1", "Terminating");
    }
    thread::sleep((silent_at + CLIENTS_FROM).saturating_sub(record.now()));
    let mut clients: Vec<Client> = Vec::new();
    while record.now() < silent_at + CLIENTS_UNTIL {
        for balancer in &balancers {
            clients.push(Client::open(balancer.address, "practice", 3200, record));
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(1));
    let served = clients
        .iter()
        .filter(|client| client.status() == Status::Up)
        .count();
    if served == 0 {
        return Verdict::CouldNotRun("no client was served".into());
    }
    let last_allowed = silent_at + TOLD_AFTER + GRACE;
    let late: Vec<_> = draining
        .received()
        .into_iter()
        .filter(|line| line.at > last_allowed)
        .collect();
    for line in &late {
        record.add(&format!(
            "late: {} came to {} {:.3} s after the silence",
            line.id,
            draining.name,
            (line.at - silent_at).as_secs_f64()
        ));
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
